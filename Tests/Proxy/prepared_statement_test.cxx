#include <doctest/doctest.h>

#include "Checks/Sessions/statement_workload.h"

using namespace persimmonshelf;

// Guards against executions whose fields are split otherwise at the member, because the name there
// held blanks of the shape (UNASKED of issue 38).
TEST_CASE("an execution keeps its name and arguments if its shape looks like a statement")
{
  for (const std::string shape : { "qa READ oisqdyzkqk", "q0 READ xy", "qa two", "  q", "q\t" }) {
    CAPTURE(shape);
    statement_workload workload(1);
    workload.send(0, "PREPARE s1 READ " + shape);
    workload.send(0, "EXECUTE s1 #f");
    CHECK(workload.violations == "");
    CHECK(workload.executed == 1);
    CHECK_FALSE(workload.last_answer(0)->error);
  }
}

// Guards against a shape that replaces the prepared statement of another session on a shared
// connection (PINNED of issue 38).
TEST_CASE("an execution keeps its shape after another session prepared a similar one")
{
  statement_workload workload(1);
  workload.send(0, "PREPARE s1 READ q12");
  workload.send(1, "PREPARE s1 READ q12 READ zd");
  for (const std::size_t caller : { 0, 1, 0 }) {
    workload.send(caller, "EXECUTE s1 k");
    CHECK_FALSE(workload.last_answer(caller)->error);
  }
  CHECK(workload.violations == "");
  CHECK(workload.executed == 3);
}

// Guards against any other way in which sessions that share connections get each other's shapes,
// values or transactions, or a text is changed on its way to the member.
TEST_CASE("each statement runs as its caller sent it and set it up")
{
  constexpr std::uint32_t seeds = 300;
  constexpr int steps = 200;
  for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    statement_workload workload(seed);
    workload.run_random(steps);
    REQUIRE(workload.violations == "");
    CHECK(workload.executed > 0);
  }
}
