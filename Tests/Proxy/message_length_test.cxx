#include <doctest/doctest.h>

#include "platform/line_protocol.h"
#include "session_bench.h"

#include <algorithm>
#include <string>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

// Sends the text of a caller with the shortest id. Answers all commands to members with success, or
// as malformed if they cannot be sent. Returns the length of the longest message to a member, in
// bytes.
std::size_t
longest_message(session_bench& bench, const std::string& text)
{
  const auto parsed = platform::parse_caller_message("QUERY 1 " + text);
  REQUIRE(parsed);
  bench.session->handle(*parsed.value());
  bench.open_connections();
  std::size_t longest = 0;
  while (!bench.commands.empty()) {
    const auto message = platform::encode_command(bench.command());
    longest = std::max(longest, message ? message.value().size() : 0);
    bench.reply(message ? std::nullopt : std::optional(statement_error::malformed),
                transaction_state::idle);
  }
  REQUIRE_FALSE(bench.answers.empty());
  return longest;
}

// The text, filled up so that the caller's message has exactly the longest length.
std::string
filled_up(const std::string& text)
{
  const std::string around = "QUERY 1 \r\n";
  return text + std::string(platform::line_limit_bytes - around.size() - text.size(), 'x');
}

}

// Guards against messages that become longer than the protocol allows on their way, because the
// proxy adds a position, a longer name or a blank. A member refuses them or closes the connection,
// which other sessions use too.
TEST_CASE("a read of the longest length that a replica may answer stays within the limit")
{
  session_bench bench("stale");
  CHECK(longest_message(bench, filled_up("READ ")) <= platform::line_limit_bytes);
  CHECK_FALSE(bench.answers.back().error);
}

TEST_CASE("an execution of the longest length stays within the limit")
{
  session_bench bench("writes");
  longest_message(bench, "PREPARE s WRITE shape of some length");
  CHECK(longest_message(bench, filled_up("EXECUTE s k ")) <= platform::line_limit_bytes);
  CHECK_FALSE(bench.answers.back().error);
}

TEST_CASE("a prepared statement of the longest length stays within the limit")
{
  session_bench bench("writes");
  longest_message(bench, filled_up("PREPARE s WRITE "));
  CHECK(longest_message(bench, "EXECUTE s k d") <= platform::line_limit_bytes);
  CHECK_FALSE(bench.answers.back().error);
}

TEST_CASE("a value of the longest length stays within the limit")
{
  for (const std::string text : { "SET s ", "SET s" }) {
    CAPTURE(text);
    session_bench bench("writes");
    longest_message(bench, filled_up(text));
    CHECK(longest_message(bench, "WRITE k d") <= platform::line_limit_bytes);
  }
}
