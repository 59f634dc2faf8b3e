#include "proxy_fleet.h"

#include <doctest/doctest.h>

using namespace persimmonshelf;

// Guards against limits that also refuse legal use: without load, the longest message that is
// allowed is served under the same limits as in the tests with crowds.

namespace {

// Writes and reads an item whose QUERY has exactly 1 MiB, including its end of line.
void
check_longest_message(proxy_fleet& fleet)
{
  constexpr std::size_t message_limit = 1 << 20;
  const std::string query_start = "QUERY ordinary ";
  const std::string write = "WRITE large ";
  const std::string data(message_limit - query_start.size() - write.size() - 2, 'x');
  REQUIRE(fleet.request(write + data));
  const auto answer = fleet.request("READ large");
  REQUIRE(answer);
  CHECK(answer->starts_with("ROW " + data + "\r\n"));
  fleet.check_bounds();
}

}

TEST_CASE("a message of 1 MiB is served")
{
  const auto fleet = proxy_fleet::create_single();
  check_longest_message(*fleet);
}

TEST_CASE("a message of 1 MiB is served on a relayed session")
{
  const auto fleet = proxy_fleet::create_relayed();
  check_longest_message(*fleet);
}
