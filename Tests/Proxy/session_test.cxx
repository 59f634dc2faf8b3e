#include <doctest/doctest.h>

#include "session_bench.h"

using namespace persimmonshelf;
using namespace persimmonshelf::testing;
using command_kind = member_command::command_kind;

namespace {

void
begin_and_write(session_bench& bench)
{
  bench.submit(statement_kind::begin, "BEGIN");
  bench.submit(statement_kind::write, "WRITE a x");
  REQUIRE(bench.command().kind == command_kind::begin);
  bench.reply(std::nullopt, transaction_state::open);
  REQUIRE(bench.command().text == "WRITE a x");
  bench.reply(std::nullopt, transaction_state::open);
  REQUIRE(bench.answers.size() == 2);
}

}

// Guards against refusals that claim "nothing kept" after a commit or a write was sent, the users'
// promise that a refusal "not run" is true: each step of a statement, its answer lost.
TEST_CASE("an answer lost at any step says only what is true")
{
  SUBCASE("single write: the outcome is unknown")
  {
    session_bench bench("writes");
    bench.submit(statement_kind::write, "WRITE a x");
    bench.lose_connection();
    REQUIRE(bench.answers.size() == 1);
    CHECK(bench.answers[0].error == statement_error::outcome_unknown);
    CHECK(bench.answers[0].state == transaction_state::idle);
  }
  SUBCASE("begin: nothing was sent, so the transaction begins elsewhere")
  {
    session_bench bench("writes");
    bench.submit(statement_kind::begin, "BEGIN");
    bench.submit(statement_kind::write, "WRITE a x");
    bench.lose_connection();
    REQUIRE(bench.commands.size() == 1);
    CHECK(bench.command().kind == command_kind::begin);
    CHECK(bench.answers.size() == 1);
  }
  SUBCASE("write inside a transaction: rolled back, which is a promise")
  {
    session_bench bench("writes");
    begin_and_write(bench);
    bench.submit(statement_kind::write, "WRITE b y");
    bench.lose_connection();
    CHECK(bench.answers.back().error == statement_error::aborted);
    CHECK(bench.answers.back().state == transaction_state::failed);
  }
  SUBCASE("commit of a transaction that wrote: the outcome is unknown")
  {
    session_bench bench("writes");
    begin_and_write(bench);
    bench.submit(statement_kind::commit, "COMMIT");
    bench.lose_connection();
    CHECK(bench.answers.back().error == statement_error::outcome_unknown);
    CHECK(bench.answers.back().state == transaction_state::idle);
  }
  SUBCASE("commit of a transaction that only read: nothing can be kept")
  {
    session_bench bench("writes");
    bench.submit(statement_kind::begin, "BEGIN");
    bench.submit(statement_kind::read, "READ a");
    bench.reply(std::nullopt, transaction_state::open);
    bench.reply(std::nullopt, transaction_state::open);
    bench.submit(statement_kind::commit, "COMMIT");
    bench.lose_connection();
    CHECK(bench.answers.back().error == statement_error::aborted);
  }
  SUBCASE("connection lost between two statements of a transaction")
  {
    session_bench bench("writes");
    begin_and_write(bench);
    bench.pool.on_connection_closed(connection_number(1), false, bench.now);
    bench.submit(statement_kind::commit, "COMMIT");
    CHECK(bench.answers.back().error == statement_error::aborted);
    CHECK(bench.answers.back().state == transaction_state::idle);
    CHECK(bench.commands.empty());
  }
}

// Guards against a commit at a replaced primary that is reported as done.
TEST_CASE("a commit without evidence of the lead is of unknown outcome")
{
  session_bench bench("writes");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.commit_valid = false;
  bench.reply(std::nullopt, transaction_state::idle, point(3, 11));
  CHECK(bench.answers.back().error == statement_error::outcome_unknown);
}

// Guards against a statement that reaches the old primary because the lead changed while the
// connection was prepared.
TEST_CASE("a write looks for another member when the lead changes before it is sent")
{
  session_bench bench("writes");
  bench.submit(statement_kind::set, "SET a b", "a", "b");
  bench.submit(statement_kind::write, "WRITE a x");
  REQUIRE(bench.command().kind == command_kind::set);
  bench.current_primary = group_primary{ member_id("m2"), true, std::nullopt };
  bench.reply(std::nullopt, transaction_state::idle);
  REQUIRE(bench.commands.size() == 1);
  CHECK(bench.command().kind == command_kind::set);
  CHECK(bench.requests.size() == 2);
}

// Guards against reads that wait for a position of a rolled-back term for ever.
TEST_CASE("a read that a replica lacks the position for goes to the primary without one")
{
  session_bench bench("own");
  bench.submit(statement_kind::read, "READ a");
  REQUIRE(bench.command().min_position == point(3, 10));
  bench.reply(statement_error::lagging, transaction_state::idle);
  REQUIRE(bench.commands.size() == 1);
  CHECK_FALSE(bench.command().min_position);
  CHECK(bench.requests.back().needs_primary);
}

// Guards against reads that miss the session's own commit.
TEST_CASE("a read after a write of the session carries at least the write's position")
{
  session_bench bench("own");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.reply(std::nullopt, transaction_state::idle, point(3, 25));
  bench.submit(statement_kind::read, "READ a");
  CHECK(bench.command().min_position == point(3, 25));
}

// Guards against stale reads when no young position is known.
TEST_CASE("a read without a fresh position goes to the primary")
{
  session_bench bench("stale");
  bench.fresh.reset();
  bench.submit(statement_kind::read, "READ a");
  CHECK(bench.requests.back().needs_primary);
  CHECK_FALSE(bench.command().min_position);
}

// Guards against settings or prepared names of one session that show in another: connections are
// shared.
TEST_CASE("a connection gets the session's settings and no others before a statement runs")
{
  session_bench bench("writes");
  bench.submit(statement_kind::set, "SET a 1", "a", "1");
  bench.submit(statement_kind::prepare, "PREPARE s READ q", "s", "q", false);
  bench.submit(statement_kind::execute, "EXECUTE s k", "s", "k");
  REQUIRE(bench.commands.size() == 2);
  CHECK(bench.commands[0].command.kind == command_kind::set);
  CHECK(bench.commands[1].command.kind == command_kind::prepare);
  bench.reply(std::nullopt, transaction_state::idle);
  bench.reply(std::nullopt, transaction_state::idle);
  REQUIRE(bench.command().kind == command_kind::execute);
  // The name at the member is made from the statement, not from the session's own name.
  CHECK(bench.command().name == "r.q");
  CHECK(bench.command().argument == "k");
  bench.reply(std::nullopt, transaction_state::idle);
}

// Guards against requests that run without evidence that their key is still valid.
TEST_CASE("without key evidence nothing runs, and an open transaction is rolled back")
{
  session_bench bench("writes");
  begin_and_write(bench);
  bench.key_evidence_missing = "the configuration was last confirmed 5000 ms ago";
  bench.submit(statement_kind::write, "WRITE b y");
  CHECK(bench.answers.back().error == statement_error::busy);
  CHECK(bench.answers.back().state == transaction_state::failed);
  REQUIRE(bench.commands.size() == 1);
  CHECK(bench.command().kind == command_kind::rollback);
}

// Guards against withdrawn keys that still run statements on an open session.
TEST_CASE("a withdrawn key is refused on an open session")
{
  session_bench bench("writes");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.reply(std::nullopt, transaction_state::idle, point(3, 11));
  auto next = make_configuration(2);
  next.workspaces[0].keys.clear();
  bench.configuration = configuration_index(next);
  bench.submit(statement_kind::write, "WRITE a y");
  CHECK(bench.answers.back().error == statement_error::unknown_key);
  CHECK(bench.commands.empty());
}

// Guards against a success without a member's signature: a failed transaction cannot be committed.
TEST_CASE("a commit after a failure is an error and ends the transaction")
{
  session_bench bench("writes");
  begin_and_write(bench);
  bench.submit(statement_kind::write, "WRITE b y");
  bench.reply(statement_error::failed, transaction_state::failed);
  CHECK(bench.answers.back().state == transaction_state::failed);
  bench.submit(statement_kind::read, "READ a");
  CHECK(bench.answers.back().error == statement_error::malformed);
  bench.submit(statement_kind::commit, "COMMIT");
  CHECK(bench.answers.back().error == statement_error::aborted);
  CHECK(bench.answers.back().state == transaction_state::idle);
}

// Guards against operations that count several times, and transactions that are refused half-way.
TEST_CASE("a transaction counts once against the limit")
{
  session_bench bench("writes");
  begin_and_write(bench);
  bench.submit(statement_kind::commit, "COMMIT");
  bench.reply(std::nullopt, transaction_state::idle, point(3, 12));
  CHECK(bench.admitted == 1);
}

// Guards against callers that are held past the route's time limit, and against "not run" after
// something ran.
TEST_CASE("the time limit ends a statement with what is true")
{
  session_bench bench("writes");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.now += ms(900);
  bench.session->tick(bench.now);
  CHECK(bench.answers.back().error == statement_error::timed_out);
  CHECK(bench.closed.size() == 1);
}

// Guards against connections that stay taken when a caller leaves in the middle.
TEST_CASE("a caller that leaves gives its connection back")
{
  session_bench bench("writes");
  begin_and_write(bench);
  bench.session->disconnect();
  REQUIRE(bench.commands.size() == 1);
  CHECK(bench.command().kind == command_kind::rollback);
  bench.reply(std::nullopt, transaction_state::idle);
  session_bench other("writes");
  CHECK(bench.pool.connection_count() == 1);
}

// Guards against the statement of a hunted day that ran inside another session's transaction: the
// caller had left while its BEGIN was on the way, and the connection was given to the next session.
TEST_CASE("a connection on which a transaction may have begun is not shared when its caller leaves")
{
  session_bench bench("writes");
  bench.submit(statement_kind::begin, "BEGIN");
  bench.submit(statement_kind::write, "WRITE a x");
  REQUIRE(bench.command().kind == command_kind::begin);
  bench.session->disconnect();
  while (!bench.commands.empty()) {
    bench.reply(std::nullopt, transaction_state::open);
  }
  CHECK(bench.closed.size() == 1);
  CHECK(bench.pool.connection_count() == 0);
}

// Guards against the same after any other command: the member's own word on the state decides.
TEST_CASE("a connection that the member calls busy with a transaction is closed")
{
  session_bench bench("writes");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.reply(std::nullopt, transaction_state::open, point(3, 11));
  CHECK(bench.pool.connection_count() == 0);
}
