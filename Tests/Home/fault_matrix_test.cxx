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

// A row a fault, a column a step. A cell has the expected code and how often the request is sent,
// or
// "-" and the reason for which the fault cannot occur there. In the columns "queued" and "idle" the
// fault hits what stands before the request: the statement in the only slot, or the transaction.
// Only a failure before any byte, busy and wrong term may lead to a second sending. A write outside
// a transaction and a commit wait for a majority; other statements in a transaction do not. A
// leaving member's write waits for another primary, which the scenario does not bring.
constexpr std::string_view matrix =
  R"(|queued|connecting|sent|replicating|idle|running|commit sent
connection_silent|ok 1|ok 1|answer_overdue 1|ok 1|transaction_broken 1|transaction_broken 1|answer_overdue 1
reset_before_any_byte|ok 1|ok 1|ok 2|ok 1|transaction_lost 0|transaction_lost 1|transaction_lost 1
reset_after_sending|ok 1|- nothing sent|connection_lost 1|- answered before|- nothing sent|transaction_broken 1|connection_lost 1
answer_late|ok 1|- nothing sent|answer_overdue 1|not_replicated 1|- nothing sent|transaction_broken 1|answer_overdue 1
answer_with_other_id|ok 1|- nothing sent|malformed_answer 1|ok 1|transaction_lost 0|transaction_broken 1|malformed_answer 1
answer_damaged|ok 1|- nothing sent|malformed_answer 1|- answered before|- nothing sent|transaction_broken 1|malformed_answer 1
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
  member_home_fixture bench{ 1 };
  std::size_t at;
  const instant expires = bench.now + ms(5000);
  home_request tested;
  bool submitted = false;

  explicit scenario(std::size_t wanted)
    : at(wanted)
    , tested(member_home_fixture::request("r", operation::statement, expires))
  {
    bench.home.tick(bench.now);
    if (at != connecting) {
      bench.connect();
    }
    if (at == queued) {
      bench.submit("before", operation::statement, 1000);
    }
    if (at >= idle) {
      bench.submit("begin", operation::begin, 5000);
      bench.answer("begin");
      tested.transaction = bench.answers.back().transaction;
      tested.kind = at == commit_sent ? operation::commit : operation::statement;
    }
    if (at != idle) {
      submit();
    }
    if (at == replicating) {
      bench.majority = false;
      bench.answer("r");
      bench.majority = true;
    }
  }

  void submit()
  {
    submitted = true;
    bench.home.submit(tested, bench.now);
  }

  // The request that the fault hits, and the connection, also when no request runs on it.
  std::string victim() const { return at == queued ? "before" : "r"; }
  connection_number link() const
  {
    return bench.sends.empty() ? bench.connecting.front() : bench.sends.back().connection;
  }

  void fail(bool may_have_been_sent, result_code reason)
  {
    const auto number = link();
    if (auto* item = bench.last_sent(victim())) {
      item->ended = true;
      bench.home.backend_failed(number, may_have_been_sent, reason, bench.now);
    } else if (at == connecting) {
      std::erase(bench.connecting, number);
      bench.home.connected(number, false, bench.now);
    } else {
      bench.home.connection_closed(number, bench.now);
    }
  }

  void inject(std::string_view what)
  {
    auto& home = bench.home;
    if (at == idle && (what == "connection_silent" || what == "busy" || what == "wrong_term")) {
      submit();
    }
    if (what == "connection_silent") {
      bench.unresponsive = bench.open;
      bench.connecting.clear();
    } else if (what == "reset_before_any_byte") {
      fail(false, result_code::connection_lost);
    } else if (what == "reset_after_sending") {
      fail(true, result_code::connection_lost);
    } else if (what == "answer_damaged") {
      fail(true, result_code::malformed_answer);
    } else if (what == "answer_with_other_id") {
      home.backend_answered(link(), { request_id("x"), result_code::ok, "", {} }, bench.now);
    } else if (what == "answer_late" || what == "deadline_passed") {
      // The confirmation of a replicating write is late too.
      bench.majority = false;
      bench.now = at == queued && what == "answer_late" ? bench.now + ms(1000) : expires;
      what == "answer_late" ? bench.answer(victim()) : home.tick(bench.now);
      home.tick(bench.now);
      bench.majority = true;
    } else if (what == "busy") {
      bench.answer(victim(), result_code::backend_busy);
    } else if (what == "wrong_term") {
      bench.answer(victim(), result_code::backend_wrong_term);
      bench.primary = std::nullopt;
      bench.run(bench.now + ms(500));
      bench.primary = term(2);
    } else if (what == "primary_replaced") {
      bench.primary = std::nullopt;
      bench.other_primary = true;
      bench.majority = false;
      home.group_changed(bench.now);
    } else if (what == "replicas_behind") {
      bench.majority = false;
    } else if (what == "key_revoked") {
      home.revoke_key(tested.key_digest, bench.now);
      bench.run(bench.now + ms(50));
      CHECK(home.stats().transactions == 0);
    } else if (what == "member_leaving") {
      home.set_leaving(true);
    } else if (what == "drain") {
      home.drain(bench.now);
    } else {
      REQUIRE(what == "duplicate_submit");
      submit();
      submit();
    }
  }
};

}

// Guards against an outcome that does not match what can have happened at the member (a false "not
// run", a write that is sent twice, no answer or two), and against the reuse of a connection whose
// last answer was not whole, on time and of the right request.
TEST_CASE("every fault at every step ends with the right outcome")
{
  const auto rows = split(matrix, '\n');
  REQUIRE(std::set<std::string>(rows.begin(), rows.end()).size() == 1 + fault_count);
  for (std::size_t cell = 0; cell < fault_count * step_count; ++cell) {
    const auto where = cell % step_count;
    const auto columns = split(rows[1 + cell / step_count], '|');
    REQUIRE(columns.size() == 1 + step_count);
    const auto& what = columns[0];
    const auto& expected = columns[1 + where];
    CAPTURE(what);
    CAPTURE(where);
    if (expected.starts_with("- ")) {
      continue;
    }
    scenario run(where);
    auto& bench = run.bench;
    const auto link = run.link();
    run.inject(what);
    if (!run.submitted) {
      run.submit();
    }
    bench.run(run.expires + ms(2500));

    REQUIRE(bench.answers_to("r").size() == 1);
    const auto answer = bench.answers_to("r").front();
    const auto sends = std::to_string(bench.times_sent("r"));
    CHECK(std::string(name_of(answer.code)) + " " + sends == expected);
    CHECK(answer.outcome == outcome_of(answer.code));
    CHECK(answer.rows == (answer.outcome == run_outcome::done ? "rows of r" : ""));
    const bool may_change = where <= replicating || where == commit_sent;
    CHECK(answer.write_pending == (answer.outcome == run_outcome::unknown && may_change));
    const bool keeps = expected == "ok 1" || expected == "ok 2" || expected == "not_replicated 1";
    if (where == sent) {
      const bool whole = keeps && what != "reset_before_any_byte" && what != "member_leaving";
      CHECK(bench.open.contains(link) == whole);
    }
    // A repeated submit gets the stored answer and is not run.
    run.submit();
    REQUIRE(bench.answers_to("r").size() == 2);
    CHECK(bench.answers.back().outcome == answer.outcome);
    CHECK(bench.answers.back().rows == answer.rows);
    CHECK(std::to_string(bench.times_sent("r")) == sends);
    // Everything that the request used is free again once an idle transaction has timed out.
    bench.run(bench.now + ms(12'000));
    CHECK(bench.home.stats().slots_used == 0);
    CHECK(bench.home.stats().transactions == 0);
    CHECK(bench.home.stats().unanswered == 0);
    CHECK((what != "drain" || bench.home.drained()));
  }
}
