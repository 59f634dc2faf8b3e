#include "Entry/request_table.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace persimmonshelf;
using namespace std::chrono_literals;

namespace {

enum class fault
{
  refused,
  not_run_retryable,
  not_run_final,
  unknown,
  silent,
  home_lost,
  late_answer,
  primary_changed,
};

enum class kind
{
  write,
  idempotent_write,
  read,
  begin,
  in_transaction,
  commit,
};

constexpr std::size_t fault_count = 8;
constexpr std::size_t kind_count = 6;

// What the homes do with the attempts after the one that meets the fault.
enum class later
{
  answer,
  refuse,
  stay_silent,
  repeat_fault,
};

struct expectation
{
  run_outcome outcome;
  result_code code;
  std::size_t attempts;
};

using enum result_code;
constexpr auto done = run_outcome::done;
constexpr auto not_run = run_outcome::not_run;
constexpr auto unknown = run_outcome::unknown;
constexpr expectation retried{ done, ok, 2 };

// The end of a request whose first attempt meets the fault while later attempts are answered, in
// the order of `kind`.
const std::map<fault, std::vector<expectation>> matrix = {
  { fault::refused, { retried, retried, retried, retried, retried, retried } },
  { fault::not_run_retryable,
    { retried,
      retried,
      retried,
      retried,
      { not_run, backend_busy, 1 },
      { not_run, backend_busy, 1 } } },
  { fault::not_run_final,
    { { not_run, queue_full, 1 },
      { not_run, queue_full, 1 },
      { not_run, queue_full, 1 },
      { not_run, queue_full, 1 },
      { not_run, queue_full, 1 },
      { not_run, queue_full, 1 } } },
  { fault::unknown,
    { { unknown, connection_lost, 1 },
      retried,
      retried,
      { unknown, connection_lost, 1 },
      { unknown, connection_lost, 1 },
      { unknown, connection_lost, 1 } } },
  { fault::silent,
    { { unknown, answer_overdue, 1 },
      { unknown, answer_overdue, 1 },
      { unknown, answer_overdue, 1 },
      { unknown, answer_overdue, 1 },
      { unknown, answer_overdue, 1 },
      { unknown, answer_overdue, 1 } } },
  { fault::home_lost,
    { { unknown, home_lost, 1 },
      retried,
      retried,
      { unknown, home_lost, 1 },
      { unknown, home_lost, 1 },
      { unknown, home_lost, 1 } } },
  { fault::late_answer,
    { { unknown, home_lost, 1 },
      retried,
      retried,
      { unknown, home_lost, 1 },
      { unknown, home_lost, 1 },
      { unknown, home_lost, 1 } } },
  { fault::primary_changed,
    { retried,
      retried,
      retried,
      retried,
      { not_run, wrong_home, 1 },
      { not_run, wrong_home, 1 } } },
};

// One request against scripted homes.
struct bench
{
  router routes{ zone_id("z1") };
  retry_budget budget;
  std::vector<attempt> sent;
  std::vector<attempt> unhandled;
  std::size_t may_have_run = 0;
  std::vector<expectation> ends;
  request_table table{ routes,
                       budget,
                       { [this](const request_id&, const attempt& next) {
                          sent.push_back(next);
                          unhandled.push_back(next);
                        },
                         [this](const request_id&,
                                result_code code,
                                run_outcome outcome,
                                const std::string&,
                                const attempt_answer*) {
                           ends.push_back({ outcome, code, sent.size() });
                           ended_at = now;
                         } } };
  instant now{ 100s };
  instant ended_at;

  bench()
  {
    routes.configure({ { database_id("d"),
                         { { member_id("a"), zone_id("z1") },
                           { member_id("b"), zone_id("z2") },
                           { member_id("c"), zone_id("z3") } } } });
    routes.record_primary(database_id("d"), member_id("a"), term(1));
  }

  void start(kind of)
  {
    request_spec plan;
    plan.database = database_id("d");
    plan.write = of != kind::read;
    plan.idempotent = of == kind::idempotent_write || of == kind::read;
    plan.deadline = now + 1s;
    if (of == kind::in_transaction || of == kind::commit) {
      plan.owner = instance_id("i2");
    }
    table.start(request_id("r"), plan, now);
  }

  void answer(const attempt& to,
              result_code code,
              run_outcome outcome,
              std::optional<member_id> primary = {})
  {
    may_have_run += outcome == run_outcome::not_run ? 0 : 1;
    table.attempt_answered({ to.id, code, outcome, "", std::move(primary), term(2) }, now);
  }

  void meet(fault met, const attempt& target)
  {
    switch (met) {
      case fault::refused:
        return table.attempt_not_sent(target.id, now);
      case fault::not_run_retryable:
        return answer(target, backend_busy, not_run);
      case fault::not_run_final:
        return answer(target, queue_full, not_run);
      case fault::unknown:
        return answer(target, connection_lost, unknown);
      case fault::silent:
        ++may_have_run;
        return;
      case fault::home_lost:
      case fault::late_answer:
        ++may_have_run;
        return table.home_lost({ target.id }, now);
      case fault::primary_changed:
        return answer(target, wrong_home, not_run, member_id("b"));
    }
  }

  // Answers of abandoned attempts must change nothing, whatever they say.
  void repeat_late(const attempt& target)
  {
    for (const auto outcome : { not_run, done, unknown }) {
      table.attempt_answered(
        { target.id, outcome == done ? ok : backend_busy, outcome, "", {}, {} }, now);
    }
    table.attempt_not_sent(target.id, now);
    table.home_lost({ target.id }, now);
  }

  void run(fault met, later then)
  {
    for (int step = 0; step < 300; ++step, now += 5ms) {
      for (const auto& next : std::exchange(unhandled, {})) {
        const bool first = next.id == sent.front().id;
        if (first || then == later::repeat_fault) {
          meet(met, next);
        } else if (then == later::answer) {
          answer(next, ok, done);
        } else if (then == later::refuse) {
          table.attempt_not_sent(next.id, now);
        } else {
          ++may_have_run;
        }
        if (met == fault::late_answer && first) {
          repeat_late(next);
        }
      }
      table.tick(now);
    }
  }
};

}

// Guards against a request that runs twice, ends twice or never, or is called "not run" although an
// attempt may have run, in every combination of fault, kind and later behaviour.
TEST_CASE("fault matrix of the request table")
{
  for (std::size_t f = 0; f < fault_count; ++f) {
    const auto met = static_cast<fault>(f);
    REQUIRE_MESSAGE(matrix.contains(met), "fault " << f << " has no case");
    REQUIRE_MESSAGE(matrix.at(met).size() == kind_count, "fault " << f << " lacks a kind");
    for (std::size_t k = 0; k < kind_count; ++k) {
      const auto of = static_cast<kind>(k);
      for (const auto then :
           { later::answer, later::refuse, later::stay_silent, later::repeat_fault }) {
        CAPTURE(f);
        CAPTURE(k);
        CAPTURE(static_cast<int>(then));
        bench one;
        one.start(of);
        one.run(met, then);
        REQUIRE(one.ends.size() == 1);
        CHECK(one.table.size() == 0);
        const auto& end = one.ends.front();
        if (of != kind::idempotent_write && of != kind::read) {
          CHECK(one.may_have_run <= 1);
        }
        CHECK_FALSE((end.outcome == not_run && one.may_have_run > 0));
        CHECK(outcome_of(end.code) == end.outcome);
        const bool owned = of == kind::in_transaction || of == kind::commit;
        if (met == fault::refused && then == later::repeat_fault && owned) {
          CHECK(end.code == transaction_lost);
          CHECK(one.ended_at < instant(100s) + 600ms);
        }
        if (then != later::answer) {
          continue;
        }
        const auto& expected = matrix.at(met)[k];
        CHECK(end.outcome == expected.outcome);
        CHECK(end.code == expected.code);
        CHECK(end.attempts == expected.attempts);
        if (met == fault::primary_changed && end.attempts == 2 && of != kind::read) {
          CHECK(one.sent.back().member == member_id("b"));
        }
      }
    }
  }
}

// Guards against idempotent requests that are repeated without limit while the homes are failing.
TEST_CASE("repeated unknown outcomes stay within the retry budget")
{
  bench one;
  std::size_t attempts = 0;
  for (int i = 0; i < 200; ++i, one.now += 5ms) {
    one.sent.clear();
    one.start(kind::idempotent_write);
    while (!one.unhandled.empty()) {
      const auto next = one.unhandled.back();
      one.unhandled.clear();
      one.answer(next, connection_lost, unknown);
    }
    attempts += one.sent.size();
  }
  CHECK(one.ends.size() == 200);
  CHECK(attempts - 200 <= 20 + 3);
}
