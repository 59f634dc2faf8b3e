#include <doctest/doctest.h>

#include "session_bench.h"

#include <string>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

using command_kind = member_command::command_kind;

// Guards against a session that keeps any number of values and prepared statements: 24 values of 1
// MB on 40 connections used 758 MB.
TEST_CASE("a session keeps a bounded number of bytes")
{
  const std::string large(1'000'000, 'x');
  for (const auto kind : { statement_kind::set, statement_kind::prepare }) {
    session_bench bench("writes");
    bench.submit(kind, "", "a", large);
    CHECK_FALSE(bench.answers.back().error);
    bench.submit(kind, "", "b", large);
    CHECK_FALSE(bench.answers.back().error);
    bench.submit(kind, "", "c", large);
    CHECK(bench.answers.back().error == statement_error::malformed);
    CHECK(bench.session->kept_bytes() <= caller_session::max_kept_bytes);
    // The session continues, and a value may be replaced by another one.
    bench.submit(kind, "", "a", large);
    CHECK_FALSE(bench.answers.back().error);
    bench.submit(kind, "", "a", "1");
    bench.submit(kind, "", "c", large);
    CHECK_FALSE(bench.answers.back().error);
  }
}

// Guards against small entries that use memory for their nodes and are counted as nothing, and
// against prepared statements that still count after they were removed.
TEST_CASE("many small entries count and removed ones do not")
{
  session_bench bench("writes");
  int accepted = 0;
  while (accepted < 100'000) {
    bench.submit(statement_kind::prepare, "", "s" + std::to_string(accepted), "q");
    if (bench.answers.back().error) {
      break;
    }
    ++accepted;
  }
  CHECK(accepted < 20'000);
  for (int i = 0; i < accepted; ++i) {
    bench.submit(statement_kind::deallocate, "", "s" + std::to_string(i));
  }
  CHECK(bench.session->kept_bytes() == 0);
}

// Guards against values that are copied and compared for each statement in any number: one session
// could use all of the processor.
TEST_CASE("a session has a bounded number of values")
{
  session_bench bench("writes");
  for (std::size_t i = 0; i < caller_session::max_settings; ++i) {
    bench.submit(statement_kind::set, "", "s" + std::to_string(i), "1");
    REQUIRE_FALSE(bench.answers.back().error);
  }
  bench.submit(statement_kind::set, "", "more", "1");
  CHECK(bench.answers.back().error == statement_error::malformed);
  bench.submit(statement_kind::set, "", "s1", "2");
  CHECK_FALSE(bench.answers.back().error);
}

// Guards against large values of one session that stay in memory for each connection that it used,
// and against their effect on the next session that uses the connection.
TEST_CASE("a connection is reset after a session with large values")
{
  session_bench bench("writes");
  bench.submit(statement_kind::set, "", "a", std::string(100'000, 'x'));
  bench.submit(statement_kind::write, "WRITE k v");
  REQUIRE(bench.command().kind == command_kind::set);
  bench.reply(std::nullopt, transaction_state::idle);
  bench.reply(std::nullopt, transaction_state::idle);
  CHECK_FALSE(bench.answers.back().error);
  bench.submit(statement_kind::write, "WRITE k w");
  REQUIRE(bench.commands.size() == 2);
  CHECK(bench.commands[0].command.kind == command_kind::reset);
  CHECK(bench.commands[1].command.kind == command_kind::set);
  bench.reply(std::nullopt, transaction_state::idle);
  bench.reply(std::nullopt, transaction_state::idle);
  REQUIRE(bench.commands.size() == 1);
  CHECK(bench.command().text == "WRITE k w");
}

// Guards against an error that repeats what the caller sent: 1 MiB goes out for each 1 MiB.
TEST_CASE("an error quotes a bounded part of a name")
{
  session_bench bench("writes");
  bench.submit(statement_kind::execute, "", std::string(1'000'000, 'x'), "k");
  CHECK(bench.answers.back().error == statement_error::unknown_statement);
  CHECK(bench.answers.back().error_text.size() < 200);
}
