#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "member_home_fixture.h"

#include <algorithm>
#include <sstream>
#include <string_view>

using namespace persimmonshelf;

namespace {

// Columns of the matrix.
constexpr std::size_t queued = 0, connecting = 1, sent = 2, replicating = 3, idle = 4,
                      commit_sent = 6, step_count = 7, fault_count = 15;

// Expected results: one row per fault, one column per step. A cell holds the expected code and how
// often the request is sent, or "-" and the reason why the fault cannot occur at that step. In the
// columns "queued" and "idle" the fault affects what precedes the request: the statement in the
// only slot, or the transaction. The request may be sent a second time only after a failure before
// any byte was sent, a busy answer, or a wrong-term answer. A write outside a transaction and a
// commit wait for a majority; other statements in a transaction do not. A write at a leaving member
// waits for another primary, which the scenario does not provide.
constexpr std::string_view matrix =
  R"(|queued|connecting|sent|replicating|idle|running|commit sent
connection_unresponsive|ok 1|ok 1|answer_overdue 1|ok 1|transaction_broken 1|transaction_broken 1|answer_overdue 1
reset_before_any_byte|ok 1|ok 1|ok 2|ok 1|transaction_lost 0|transaction_lost 1|transaction_lost 1
reset_after_sending|ok 1|- nothing sent|connection_lost 1|- answered before|- nothing sent|transaction_broken 1|connection_lost 1
answer_late|ok 1|- nothing sent|answer_overdue 1|not_replicated 1|- nothing sent|transaction_broken 1|answer_overdue 1
answer_with_other_id|ok 1|- nothing sent|malformed_answer 1|ok 1|transaction_lost 0|transaction_broken 1|malformed_answer 1
answer_malformed|ok 1|- nothing sent|malformed_answer 1|- answered before|- nothing sent|transaction_broken 1|malformed_answer 1
busy|ok 1|- nothing sent|ok 2|- answered before|ok 2|ok 2|ok 2
wrong_term|ok 1|- nothing sent|ok 2|- answered before|transaction_lost 1|transaction_lost 1|transaction_lost 1
primary_replaced|wrong_home 0|wrong_home 0|not_replicated 1|not_replicated 1|transaction_lost 0|ok 1|not_replicated 1
replicas_behind|not_replicated 1|not_replicated 1|not_replicated 1|not_replicated 1|ok 1|ok 1|not_replicated 1
deadline_passed|deadline_expired 0|backend_connect_failed 0|answer_overdue 1|not_replicated 1|deadline_expired 0|transaction_broken 1|answer_overdue 1
key_revoked|key_rejected 0|key_rejected 0|key_withdrawn_in_flight 1|key_withdrawn_in_flight 1|key_rejected 0|key_withdrawn_in_flight 1|key_withdrawn_in_flight 1
member_leaving|backend_leaving 0|backend_leaving 0|ok 1|ok 1|ok 1|ok 1|ok 1
drain|ok 1|ok 1|ok 1|ok 1|ok 1|ok 1|ok 1
duplicate_submit|ok 1|ok 1|ok 1|ok 1|ok 1|ok 1|ok 1
)";

std::vector<std::string>
split(std::string_view text, char separator)
{
  std::vector<std::string> parts;
  std::istringstream in{ std::string(text) };
  for (std::string part; std::getline(in, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

// Brings a home to a step with the request "r", and injects a fault there.
struct scenario
{
  member_home_fixture fixture{ 1 };
  std::size_t step;
  const instant expires = fixture.now + ms(5000);
  home_request request;
  bool submitted = false;

  explicit scenario(std::size_t wanted_step)
    : step(wanted_step)
    , request(member_home_fixture::request("r", operation::statement, expires))
  {
    fixture.home.tick(fixture.now);
    if (step != connecting) {
      fixture.connect();
    }
    if (step == queued) {
      fixture.submit("before", operation::statement, 1000);
    }
    if (step >= idle) {
      fixture.submit("begin", operation::begin, 5000);
      fixture.answer("begin");
      request.transaction = fixture.answers.back().transaction;
      request.kind = step == commit_sent ? operation::commit : operation::statement;
    }
    if (step != idle) {
      submit();
    }
    if (step == replicating) {
      fixture.majority = false;
      fixture.answer("r");
      fixture.majority = true;
    }
  }

  void submit()
  {
    submitted = true;
    fixture.home.submit(request, fixture.now);
  }

  // The request and the connection that the fault affects. The connection may have no request in
  // flight.
  std::string affected_request() const { return step == queued ? "before" : "r"; }
  connection_number connection_under_test() const
  {
    return fixture.sends.empty() ? fixture.connecting.front() : fixture.sends.back().connection;
  }

  void fail(bool may_have_been_sent, result_code reason)
  {
    const auto number = connection_under_test();
    if (auto* item = fixture.last_sent(affected_request())) {
      item->ended = true;
      fixture.home.backend_failed(number, may_have_been_sent, reason, fixture.now);
    } else if (step == connecting) {
      std::erase(fixture.connecting, number);
      fixture.home.connected(number, false, fixture.now);
    } else {
      fixture.home.connection_closed(number, fixture.now);
    }
  }

  void inject(std::string_view fault)
  {
    auto& home = fixture.home;
    if (step == idle &&
        (fault == "connection_unresponsive" || fault == "busy" || fault == "wrong_term")) {
      submit();
    }
    if (fault == "connection_unresponsive") {
      fixture.unresponsive = fixture.open;
      fixture.connecting.clear();
    } else if (fault == "reset_before_any_byte") {
      fail(false, result_code::connection_lost);
    } else if (fault == "reset_after_sending") {
      fail(true, result_code::connection_lost);
    } else if (fault == "answer_malformed") {
      fail(true, result_code::malformed_answer);
    } else if (fault == "answer_with_other_id") {
      home.backend_answered(
        connection_under_test(), { request_id("x"), result_code::ok, "", {} }, fixture.now);
    } else if (fault == "answer_late" || fault == "deadline_passed") {
      // Replication of a write that waits for a majority is late too.
      fixture.majority = false;
      fixture.now = step == queued && fault == "answer_late" ? fixture.now + ms(1000) : expires;
      fault == "answer_late" ? fixture.answer(affected_request()) : home.tick(fixture.now);
      home.tick(fixture.now);
      fixture.majority = true;
    } else if (fault == "busy") {
      fixture.answer(affected_request(), result_code::backend_busy);
    } else if (fault == "wrong_term") {
      fixture.answer(affected_request(), result_code::backend_wrong_term);
      fixture.primary = std::nullopt;
      fixture.run(fixture.now + ms(500));
      fixture.primary = term(2);
    } else if (fault == "primary_replaced") {
      fixture.primary = std::nullopt;
      fixture.other_primary = true;
      fixture.majority = false;
      home.group_changed(fixture.now);
    } else if (fault == "replicas_behind") {
      fixture.majority = false;
    } else if (fault == "key_revoked") {
      home.revoke_key(request.key_digest, fixture.now);
      fixture.run(fixture.now + ms(50));
      CHECK(home.stats().transactions == 0);
    } else if (fault == "member_leaving") {
      home.set_leaving(true);
    } else if (fault == "drain") {
      home.drain(fixture.now);
    } else {
      REQUIRE(fault == "duplicate_submit");
      submit();
      submit();
    }
  }
};

}

// Guards against an outcome that contradicts what may have happened at the member (a false "not
// run", a write that is sent twice, no answer or two answers), and against the reuse of a
// connection whose last answer was not valid, on time and for the right request.
TEST_CASE("every fault at every step ends with the expected outcome")
{
  const auto rows = split(matrix, '\n');
  REQUIRE(std::set<std::string>(rows.begin(), rows.end()).size() == 1 + fault_count);
  for (std::size_t cell = 0; cell < fault_count * step_count; ++cell) {
    const auto step = cell % step_count;
    const auto columns = split(rows[1 + cell / step_count], '|');
    REQUIRE(columns.size() == 1 + step_count);
    const auto& fault = columns[0];
    const auto& expected = columns[1 + step];
    CAPTURE(fault);
    CAPTURE(step);
    if (expected.starts_with("- ")) {
      continue;
    }
    scenario run(step);
    auto& fixture = run.fixture;
    const auto connection_under_test = run.connection_under_test();
    run.inject(fault);
    if (!run.submitted) {
      run.submit();
    }
    fixture.run(run.expires + ms(2500));

    REQUIRE(fixture.answers_to("r").size() == 1);
    const auto answer = fixture.answers_to("r").front();
    const auto sends = std::to_string(fixture.times_sent("r"));
    CHECK(std::string(name_of(answer.code)) + " " + sends == expected);
    CHECK(answer.outcome == outcome_of(answer.code));
    CHECK(answer.rows == (answer.outcome == run_outcome::done ? "rows of r" : ""));
    const bool may_change = step <= replicating || step == commit_sent;
    CHECK(answer.write_pending == (answer.outcome == run_outcome::unknown && may_change));
    const bool stays_open =
      expected == "ok 1" || expected == "ok 2" || expected == "not_replicated 1";
    if (step == sent) {
      const bool reusable =
        stays_open && fault != "reset_before_any_byte" && fault != "member_leaving";
      CHECK(fixture.open.contains(connection_under_test) == reusable);
    }
    // A repeated submit gets the cached answer and is not run.
    run.submit();
    REQUIRE(fixture.answers_to("r").size() == 2);
    CHECK(fixture.answers.back().outcome == answer.outcome);
    CHECK(fixture.answers.back().rows == answer.rows);
    CHECK(std::to_string(fixture.times_sent("r")) == sends);
    // All resources of the request are released once an idle transaction has timed out.
    fixture.run(fixture.now + ms(12'000));
    CHECK(fixture.home.stats().slots_used == 0);
    CHECK(fixture.home.stats().transactions == 0);
    CHECK(fixture.home.stats().unanswered == 0);
    CHECK((fault != "drain" || fixture.home.drained()));
  }
}
