#include <doctest/doctest.h>

#include "Entry/request_table.h"

#include <map>
#include <vector>

namespace {

using namespace persimmonshelf;

// A request table with one database of two members. Records attempts and final results.
struct request_table_fixture
{
  request_table_fixture()
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
    request_spec spec;
    spec.database = database_id("orders");
    spec.deadline = now + std::chrono::milliseconds(deadline_ms);
    table.start(request_id(id), spec, now);
  }

  void answer(const request_id& id, result_code code, run_outcome outcome)
  {
    attempt_answer made;
    made.id = id;
    made.code = code;
    made.outcome = outcome;
    table.attempt_answered(made, now);
  }

  // Advances the time in ticks of 5 ms.
  void advance_time(int milliseconds)
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

// The table scans its requests only when one may be due. If a due time is lost, a caller gets no
// answer.
TEST_CASE("requests end at their own deadlines, in any order and after others "
          "ended")
{
  request_table_fixture fixture;
  fixture.start("long", 400);
  fixture.start("short", 100);
  fixture.start("answered", 50);
  fixture.answer(fixture.attempts.back().id, result_code::ok, run_outcome::done);
  CHECK(fixture.ended("answered"));
  fixture.advance_time(95);
  CHECK_FALSE(fixture.ended("short"));
  fixture.advance_time(5);
  CHECK(fixture.ended("short"));
  fixture.start("later", 100);
  fixture.advance_time(100);
  CHECK(fixture.ended("later"));
  CHECK_FALSE(fixture.ended("long"));
  fixture.advance_time(200);
  CHECK(fixture.ends.at(request_id("long")) == result_code::answer_overdue);
  CHECK(fixture.table.size() == 0);
}

// A delayed round of attempts is due before the deadline. After the retry, the deadline must be due
// again.
TEST_CASE("a delayed round is retried in time and still ends at the deadline")
{
  request_table_fixture fixture;
  fixture.start("other", 5000);
  fixture.start("retried", 200);
  fixture.answer(fixture.attempts.at(1).id, result_code::backend_busy, run_outcome::not_run);
  fixture.answer(fixture.attempts.at(2).id, result_code::backend_busy, run_outcome::not_run);
  REQUIRE(fixture.attempts.size() == 3);
  fixture.advance_time(45);
  CHECK(fixture.attempts.size() == 3);
  fixture.advance_time(5);
  CHECK(fixture.attempts.size() == 4);
  fixture.advance_time(145);
  CHECK_FALSE(fixture.ended("retried"));
  fixture.advance_time(5);
  CHECK(fixture.ended("retried"));
  CHECK_FALSE(fixture.ended("other"));
}
