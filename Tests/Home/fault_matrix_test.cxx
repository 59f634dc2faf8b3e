#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "home_bench.h"

#include <functional>

using namespace persimmonshelf;

namespace {

enum step : std::size_t
{
  queued,
  connecting,
  sent,
  replicating,
  transaction_idle,
  transaction_running,
  commit_sent,
  step_count,
};

enum fault : std::size_t
{
  connection_silent,
  reset_before_any_byte,
  reset_after_sending,
  answer_late,
  answer_with_other_id,
  answer_damaged,
  busy,
  wrong_term,
  primary_replaced,
  replicas_behind,
  deadline_passed,
  key_revoked,
  member_leaving,
  drain,
  duplicate_submit,
  fault_count,
};

// Expected end of the request under test: its code and how often it may be sent. A cell without a
// code is not applicable and states why.
struct cell
{
  std::optional<result_code> code;
  std::size_t sends = 0;
  const char* not_applicable = nullptr;
};

cell
na(const char* reason)
{
  return { std::nullopt, 0, reason };
}

using code = result_code;

// Columns: queued, connecting, sent, replicating, transaction idle, transaction running, commit
// sent. In the first and the fifth column the fault hits what stands before the request: the
// statement in the only slot, or the transaction that the request belongs to.
const std::vector<std::vector<cell>>&
matrix()
{
  static const auto no_bytes = na("no request is sent while the connection opens");
  static const auto answered = na("the request was answered whole before");
  static const auto unasked = na("no answer is awaited");
  static const std::vector<std::vector<cell>> cells = {
    // connection_silent
    { { code::ok, 1 },
      { code::ok, 1 },
      { code::answer_overdue, 1 },
      { code::ok, 1 },
      { code::transaction_lost, 1 },
      { code::transaction_lost, 1 },
      { code::answer_overdue, 1 } },
    // reset_before_any_byte: the only failure after which the home sends again
    { { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 2 },
      { code::ok, 1 },
      { code::transaction_lost, 0 },
      { code::transaction_lost, 1 },
      { code::transaction_lost, 1 } },
    // reset_after_sending
    { { code::ok, 1 },
      no_bytes,
      { code::connection_lost, 1 },
      answered,
      na("nothing is sent while the transaction is idle"),
      { code::transaction_lost, 1 },
      { code::connection_lost, 1 } },
    // answer_late: for a replicating write the confirmation is late
    { { code::ok, 1 },
      no_bytes,
      { code::answer_overdue, 1 },
      { code::not_replicated, 1 },
      unasked,
      { code::transaction_lost, 1 },
      { code::answer_overdue, 1 } },
    // answer_with_other_id: unsolicited on the idle connection in the fourth and fifth column
    { { code::ok, 1 },
      no_bytes,
      { code::malformed_answer, 1 },
      { code::ok, 1 },
      { code::transaction_lost, 0 },
      { code::transaction_lost, 1 },
      { code::malformed_answer, 1 } },
    // answer_damaged
    { { code::ok, 1 },
      no_bytes,
      { code::malformed_answer, 1 },
      answered,
      unasked,
      { code::transaction_lost, 1 },
      { code::malformed_answer, 1 } },
    // busy
    { { code::ok, 1 },
      no_bytes,
      { code::ok, 2 },
      answered,
      { code::ok, 2 },
      { code::ok, 2 },
      { code::ok, 2 } },
    // wrong_term
    { { code::ok, 1 },
      no_bytes,
      { code::ok, 2 },
      answered,
      { code::transaction_lost, 1 },
      { code::transaction_lost, 1 },
      { code::transaction_lost, 1 } },
    // primary_replaced
    { { code::wrong_home, 0 },
      { code::wrong_home, 0 },
      { code::not_replicated, 1 },
      { code::not_replicated, 1 },
      { code::transaction_lost, 0 },
      { code::ok, 1 },
      { code::not_replicated, 1 } },
    // replicas_behind: only a write outside a transaction and a commit wait for a majority
    { { code::not_replicated, 1 },
      { code::not_replicated, 1 },
      { code::not_replicated, 1 },
      { code::not_replicated, 1 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::not_replicated, 1 } },
    // deadline_passed: a connection that did not open until then makes the member count as down
    { { code::deadline_expired, 0 },
      { code::backend_connect_failed, 0 },
      { code::answer_overdue, 1 },
      { code::not_replicated, 1 },
      { code::deadline_expired, 0 },
      { code::transaction_lost, 1 },
      { code::answer_overdue, 1 } },
    // key_revoked
    { { code::key_rejected, 0 },
      { code::key_rejected, 0 },
      { code::key_withdrawn_in_flight, 1 },
      { code::key_withdrawn_in_flight, 1 },
      { code::key_rejected, 0 },
      { code::key_withdrawn_in_flight, 1 },
      { code::key_withdrawn_in_flight, 1 } },
    // member_leaving: a write waits for another primary, which this scenario does not bring
    { { code::backend_leaving, 0 },
      { code::backend_leaving, 0 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 } },
    // drain
    { { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 } },
    // duplicate_submit
    { { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 },
      { code::ok, 1 } },
  };
  return cells;
}

// Brings a home to the step with the request "r", and injects a fault there.
struct scenario
{
  home_bench bench{ 1 };
  step at;
  home_request tested;
  const instant expires = bench.now + ms(5000);
  bool submitted = false;

  explicit scenario(step wanted)
    : at(wanted)
  {
    tested = home_bench::request("r", operation::statement, expires);
    bench.home.tick(bench.now);
    if (at != connecting) {
      bench.connect();
    }
    if (at == queued) {
      bench.home.submit(home_bench::request("before", operation::statement, bench.now + ms(1000)),
                        bench.now);
    }
    if (at >= transaction_idle) {
      bench.home.submit(home_bench::request("begin", operation::begin, expires), bench.now);
      bench.answer("begin");
      tested.transaction = bench.answers.back().transaction;
      tested.kind = at == commit_sent ? operation::commit : operation::statement;
    }
    if (at != transaction_idle) {
      submit();
    }
    if (at == replicating) {
      bench.majority = false;
      bench.answer("r");
      bench.home.tick(bench.now);
    }
  }

  void submit()
  {
    submitted = true;
    bench.home.submit(tested, bench.now);
  }

  // The request that the fault hits: the one that runs.
  std::string victim() const { return at == queued ? "before" : "r"; }

  // The connection that the fault hits, also when no request runs on it.
  connection_number victim_connection() const
  {
    return bench.sends.empty() ? bench.opening.front() : bench.sends.back().connection;
  }

  void fail(bool may_have_been_sent, result_code reason)
  {
    const auto number = victim_connection();
    if (auto* item = bench.last_sent(victim())) {
      item->ended = true;
      bench.home.backend_failed(number, may_have_been_sent, reason, bench.now);
    } else if (at == connecting) {
      std::erase(bench.opening, number);
      bench.home.connected(number, false, bench.now);
    } else {
      bench.home.connection_closed(number, bench.now);
    }
  }

  void inject(fault what)
  {
    auto& home = bench.home;
    if (at == replicating && what != primary_replaced && what != replicas_behind &&
        what != deadline_passed && what != answer_late) {
      bench.majority = true;
    }
    switch (what) {
      case connection_silent:
        if (at == connecting) {
          bench.opening.clear();
          break;
        }
        bench.silent = bench.open;
        if (at == transaction_idle) {
          submit();
        }
        break;
      case reset_before_any_byte:
        fail(false, code::connection_lost);
        break;
      case reset_after_sending:
        fail(true, code::connection_lost);
        break;
      case answer_late:
        bench.now = at == queued ? bench.now + ms(1000) : expires;
        bench.answer(victim());
        break;
      case answer_with_other_id:
        home.backend_answered(
          victim_connection(), { request_id("x"), code::ok, "", {} }, bench.now);
        break;
      case answer_damaged:
        fail(true, code::malformed_answer);
        break;
      case busy:
      case wrong_term:
        if (at == transaction_idle) {
          submit();
        }
        bench.answer(victim(), what == busy ? code::backend_busy : code::backend_wrong_term);
        if (what == wrong_term) {
          bench.primary = std::nullopt;
          home.group_changed(bench.now);
          bench.run(bench.now + ms(500));
          bench.primary = term(2);
        }
        break;
      case primary_replaced:
        bench.primary = std::nullopt;
        bench.other_primary = true;
        bench.majority = false;
        home.group_changed(bench.now);
        break;
      case replicas_behind:
        bench.majority = false;
        break;
      case deadline_passed:
        bench.now = expires;
        home.tick(bench.now);
        break;
      case key_revoked:
        home.revoke(tested.key_digest, bench.now);
        break;
      case member_leaving:
        home.set_leaving(true);
        break;
      case drain:
        home.drain(bench.now);
        break;
      case duplicate_submit:
        submit();
        submit();
        break;
      default:
        FAIL("fault without an injection");
    }
  }
};

}

// Guards against an outcome that does not match what can have happened at the member: a false "not
// run", a write that is sent twice, a request without an answer or with two.
TEST_CASE("every fault at every step ends with the right outcome")
{
  REQUIRE(matrix().size() == fault_count);
  for (std::size_t what = 0; what < fault_count; ++what) {
    REQUIRE(matrix()[what].size() == step_count);
    for (std::size_t where = 0; where < step_count; ++where) {
      CAPTURE(what);
      CAPTURE(where);
      const auto& expected = matrix()[what][where];
      if (!expected.code) {
        CHECK(std::string(expected.not_applicable) != "");
        continue;
      }
      scenario run(static_cast<step>(where));
      run.inject(static_cast<fault>(what));
      if (!run.submitted) {
        run.submit();
      }
      run.bench.run(run.expires + ms(2500));

      const auto answers = run.bench.answers_to("r");
      REQUIRE(answers.size() == 1);
      CHECK(name_of(answers[0].code) == name_of(*expected.code));
      CHECK(answers[0].outcome == outcome_of(*expected.code));
      CHECK(run.bench.times_sent("r") == expected.sends);
      if (answers[0].outcome == run_outcome::done) {
        CHECK(answers[0].rows == "rows of r");
      }
      const bool may_change = where <= replicating || where == commit_sent;
      CHECK(answers[0].pending == (answers[0].outcome == run_outcome::unknown && may_change));
      // A repeated submit gets the stored answer and is not run.
      const bool revoked = answers[0].code == code::key_withdrawn_in_flight;
      run.bench.home.submit(run.tested, run.bench.now);
      REQUIRE(run.bench.answers_to("r").size() == 2);
      CHECK(run.bench.answers.back().outcome == answers[0].outcome);
      CHECK((revoked || run.bench.answers.back().rows == answers[0].rows));
      CHECK(run.bench.times_sent("r") == expected.sends);
      // Everything that the request used is free again once an idle transaction has timed out.
      run.bench.run(run.bench.now + ms(12'000));
      CHECK(run.bench.home.figures().slots_used == 0);
      CHECK(run.bench.home.figures().transactions == 0);
      CHECK(run.bench.home.figures().unanswered == 0);
      if (what == drain) {
        CHECK(run.bench.home.drained());
      }
    }
  }
}
