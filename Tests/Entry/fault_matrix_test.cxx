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
  not_sent,
  not_run_retryable,
  not_run_final,
  unknown,
  unanswered,
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

// How homes handle the attempts after the first one.
enum class later_behavior
{
  answer,
  not_sent,
  do_not_answer,
  repeat_fault,
};

struct expected_result
{
  run_outcome outcome;
  result_code code;
  std::size_t attempts;
};

using enum result_code;
constexpr auto done = run_outcome::done;
constexpr auto not_run = run_outcome::not_run;
constexpr auto unknown = run_outcome::unknown;
constexpr expected_result retried{ done, ok, 2 };

// The expected outcome of a request whose first attempt encounters the fault while later attempts
// are answered, in the order of `kind`.
const std::map<fault, std::vector<expected_result>> matrix = {
  { fault::not_sent, { retried, retried, retried, retried, retried, retried } },
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
  { fault::unanswered,
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

// A request table with one database of three members, whose homes behave as scripted.
struct request_table_fixture
{
  router routes{ zone_id("z1") };
  retry_budget budget;
  std::vector<attempt> sent;
  std::vector<attempt> unhandled;
  std::size_t may_have_run = 0;
  std::vector<expected_result> ends;
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

  request_table_fixture()
  {
    routes.configure({ { database_id("d"),
                         { { member_id("a"), zone_id("z1") },
                           { member_id("b"), zone_id("z2") },
                           { member_id("c"), zone_id("z3") } } } });
    routes.record_primary(database_id("d"), member_id("a"), term(1));
  }

  void start(kind request_kind)
  {
    request_spec spec;
    spec.database = database_id("d");
    spec.write = request_kind != kind::read;
    spec.idempotent = request_kind == kind::idempotent_write || request_kind == kind::read;
    spec.deadline = now + 1s;
    if (request_kind == kind::in_transaction || request_kind == kind::commit) {
      spec.owner = instance_id("i2");
    }
    table.start(request_id("r"), spec, now);
  }

  void answer(const attempt& to,
              result_code code,
              run_outcome outcome,
              std::optional<member_id> primary = {})
  {
    may_have_run += outcome == run_outcome::not_run ? 0 : 1;
    table.attempt_answered({ to.id, code, outcome, "", std::move(primary), term(2) }, now);
  }

  void inject(fault injected, const attempt& target)
  {
    switch (injected) {
      case fault::not_sent:
        return table.attempt_not_sent(target.id, now);
      case fault::not_run_retryable:
        return answer(target, backend_busy, not_run);
      case fault::not_run_final:
        return answer(target, queue_full, not_run);
      case fault::unknown:
        return answer(target, connection_lost, unknown);
      case fault::unanswered:
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

  // Sends late answers for an abandoned attempt. They must have no effect.
  void send_late_answers(const attempt& target)
  {
    for (const auto outcome : { not_run, done, unknown }) {
      table.attempt_answered(
        { target.id, outcome == done ? ok : backend_busy, outcome, "", {}, {} }, now);
    }
    table.attempt_not_sent(target.id, now);
    table.home_lost({ target.id }, now);
  }

  void run(fault injected, later_behavior behavior)
  {
    for (int step = 0; step < 300; ++step, now += 5ms) {
      for (const auto& next : std::exchange(unhandled, {})) {
        const bool first = next.id == sent.front().id;
        if (first || behavior == later_behavior::repeat_fault) {
          inject(injected, next);
        } else if (behavior == later_behavior::answer) {
          answer(next, ok, done);
        } else if (behavior == later_behavior::not_sent) {
          table.attempt_not_sent(next.id, now);
        } else {
          ++may_have_run;
        }
        if (injected == fault::late_answer && first) {
          send_late_answers(next);
        }
      }
      table.tick(now);
    }
  }
};

}

// Guards against a request that runs twice, ends twice or never, or is reported as "not run"
// although an attempt may have run, for every combination of fault, request kind and later
// behavior.
TEST_CASE("every fault of an attempt ends the request with the expected outcome")
{
  for (std::size_t f = 0; f < fault_count; ++f) {
    const auto injected = static_cast<fault>(f);
    REQUIRE_MESSAGE(matrix.contains(injected), "fault " << f << " has no case");
    REQUIRE_MESSAGE(matrix.at(injected).size() == kind_count, "fault " << f << " lacks a kind");
    for (std::size_t k = 0; k < kind_count; ++k) {
      const auto request_kind = static_cast<kind>(k);
      for (const auto behavior : { later_behavior::answer,
                                   later_behavior::not_sent,
                                   later_behavior::do_not_answer,
                                   later_behavior::repeat_fault }) {
        CAPTURE(f);
        CAPTURE(k);
        CAPTURE(static_cast<int>(behavior));
        request_table_fixture fixture;
        fixture.start(request_kind);
        fixture.run(injected, behavior);
        REQUIRE(fixture.ends.size() == 1);
        CHECK(fixture.table.size() == 0);
        const auto& end = fixture.ends.front();
        if (request_kind != kind::idempotent_write && request_kind != kind::read) {
          CHECK(fixture.may_have_run <= 1);
        }
        CHECK_FALSE((end.outcome == not_run && fixture.may_have_run > 0));
        CHECK(outcome_of(end.code) == end.outcome);
        const bool owned = request_kind == kind::in_transaction || request_kind == kind::commit;
        if (injected == fault::not_sent && behavior == later_behavior::repeat_fault && owned) {
          CHECK(end.code == transaction_lost);
          CHECK(fixture.ended_at < instant(100s) + 600ms);
        }
        if (behavior != later_behavior::answer) {
          continue;
        }
        const auto& expected = matrix.at(injected)[k];
        CHECK(end.outcome == expected.outcome);
        CHECK(end.code == expected.code);
        CHECK(end.attempts == expected.attempts);
        if (injected == fault::primary_changed && end.attempts == 2 && request_kind != kind::read) {
          CHECK(fixture.sent.back().member == member_id("b"));
        }
      }
    }
  }
}

// Guards against idempotent requests that are retried without limit while homes are failing.
TEST_CASE("retries after unknown outcomes stay within the retry budget")
{
  request_table_fixture fixture;
  std::size_t attempts = 0;
  for (int i = 0; i < 200; ++i, fixture.now += 5ms) {
    fixture.sent.clear();
    fixture.start(kind::idempotent_write);
    while (!fixture.unhandled.empty()) {
      const auto next = fixture.unhandled.back();
      fixture.unhandled.clear();
      fixture.answer(next, connection_lost, unknown);
    }
    attempts += fixture.sent.size();
  }
  CHECK(fixture.ends.size() == 200);
  CHECK(attempts - 200 <= 20 + 3);
}
