#include <doctest/doctest.h>

#include "Entry/request_table.h"

#include <map>
#include <vector>

namespace {

using namespace persimmonshelf;

// A table over one database of two members, with recorded attempts and ends.
struct table_bench
{
  table_bench()
    : routes(zone_id("north"))
    , table(
        routes,
        budget,
        { [this](const auto&, const attempt& sent) { attempts.push_back(sent); },
          [this](const auto& id, auto code, auto, const auto&, const auto*) { ends[id] = code; } })
  {
    routes.configure(
      { { database_id("orders"),
          { { member_id("m0"), zone_id("north") }, { member_id("m1"), zone_id("south") } } } });
  }

  void start(const std::string& id, int deadline_ms)
  {
    request_spec plan;
    plan.database = database_id("orders");
    plan.deadline = now + std::chrono::milliseconds(deadline_ms);
    table.start(request_id(id), plan, now);
  }

  void answer(const request_id& id, result_code code, run_outcome outcome)
  {
    attempt_answer made;
    made.id = id;
    made.code = code;
    made.outcome = outcome;
    table.attempt_answered(made, now);
  }

  // Ticks every 5 ms.
  void pass(int milliseconds)
  {
    for (int i = 0; i < milliseconds; i += 5) {
      now += std::chrono::milliseconds(5);
      table.tick(now);
    }
  }

  bool ended(const std::string& id) const { return ends.contains(request_id(id)); }

  instant now{ std::chrono::seconds(1000) };
  std::vector<attempt> attempts;
  std::map<request_id, result_code> ends;
  router routes;
  retry_budget budget;
  request_table table;
};

}

// The table walks its requests only when one may be due. A due time that is lost leaves a caller
// without an answer.
TEST_CASE("requests end at their own deadlines, in any order and after others "
          "ended")
{
  table_bench bench;
  bench.start("long", 400);
  bench.start("short", 100);
  bench.start("answered", 50);
  bench.answer(bench.attempts.back().id, result_code::ok, run_outcome::done);
  CHECK(bench.ended("answered"));
  bench.pass(95);
  CHECK_FALSE(bench.ended("short"));
  bench.pass(5);
  CHECK(bench.ended("short"));
  bench.start("later", 100);
  bench.pass(100);
  CHECK(bench.ended("later"));
  CHECK_FALSE(bench.ended("long"));
  bench.pass(200);
  CHECK(bench.ends.at(request_id("long")) == result_code::answer_overdue);
  CHECK(bench.table.size() == 0);
}

// A delayed round lowers the due time below the deadlines, and the deadline must be due again after
// the retry.
TEST_CASE("a delayed round is retried in time and still ends at the deadline")
{
  table_bench bench;
  bench.start("other", 5000);
  bench.start("retried", 200);
  bench.answer(bench.attempts.at(1).id, result_code::backend_busy, run_outcome::not_run);
  bench.answer(bench.attempts.at(2).id, result_code::backend_busy, run_outcome::not_run);
  REQUIRE(bench.attempts.size() == 3);
  bench.pass(45);
  CHECK(bench.attempts.size() == 3);
  bench.pass(5);
  CHECK(bench.attempts.size() == 4);
  bench.pass(145);
  CHECK_FALSE(bench.ended("retried"));
  bench.pass(5);
  CHECK(bench.ended("retried"));
  CHECK_FALSE(bench.ended("other"));
}
