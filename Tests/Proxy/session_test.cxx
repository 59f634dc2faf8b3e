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

// Guards against errors that guarantee no effect after a commit or write was sent; the users rely
// on "not run" being true. The answer is lost at each step of a statement.
TEST_CASE("an answer lost at any step causes the correct error")
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
  SUBCASE("begin: nothing was sent, so the transaction begins on another connection")
  {
    session_bench bench("writes");
    bench.submit(statement_kind::begin, "BEGIN");
    bench.submit(statement_kind::write, "WRITE a x");
    bench.lose_connection();
    REQUIRE(bench.commands.size() == 1);
    CHECK(bench.command().kind == command_kind::begin);
    CHECK(bench.answers.size() == 1);
  }
  SUBCASE("write inside a transaction: certainly rolled back")
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
  SUBCASE("commit of a transaction that only read: no effect is possible")
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

// Guards against reporting a commit at a replaced primary as done.
TEST_CASE("a commit without valid evidence of the primary has an unknown outcome")
{
  session_bench bench("writes");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.commit_valid = false;
  bench.reply(std::nullopt, transaction_state::idle, point(3, 11));
  CHECK(bench.answers.back().error == statement_error::outcome_unknown);
}

// Guards against a statement that reaches the old primary because the primary changed while the
// connection was prepared.
TEST_CASE("a write is redirected when the primary changes before it is sent")
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

// Guards against reads that wait forever for a position of a rolled-back term.
TEST_CASE("a read goes to the primary without a position when a replica lags")
{
  session_bench bench("own");
  bench.submit(statement_kind::read, "READ a");
  REQUIRE(bench.command().min_position == point(3, 10));
  bench.reply(statement_error::lagging, transaction_state::idle);
  REQUIRE(bench.commands.size() == 1);
  CHECK_FALSE(bench.command().min_position);
  CHECK(bench.requests.back().needs_primary);
}

// Guards against stale reads: a replica that was promoted while it ran a read answered with the
// position it had as a replica, and that counted as the primary's.
TEST_CASE("a position counts only if the member was the primary when the command left")
{
  session_bench bench("stale");
  bench.submit(statement_kind::read, "READ 1");
  REQUIRE(bench.commands.size() == 1);
  // The read runs at a replica, which is promoted before its answer arrives.
  bench.current_primary = group_primary{ member_id("m2"), true, std::nullopt };
  bench.reply(std::nullopt, transaction_state::idle, point(3, 12));
  CHECK(bench.observed_positions.empty());

  bench.current_primary = group_primary{ member_id("m1"), true, std::nullopt };
  bench.fresh.reset();
  bench.submit(statement_kind::read, "READ 1");
  REQUIRE(bench.commands.size() == 1);
  bench.reply(std::nullopt, transaction_state::idle, point(3, 20));
  CHECK(bench.observed_positions == std::vector{ point(3, 20) });
}

// Guards against stale reads: a member that refuses writes does not lead, whatever the records say,
// and its log may lack commits.
TEST_CASE("the position in a refusal of a write does not count")
{
  session_bench bench("writes");
  bench.submit(statement_kind::write, "WRITE 1 x");
  REQUIRE(bench.commands.size() == 1);
  bench.reply(statement_error::read_only, transaction_state::idle, point(3, 12));
  CHECK(bench.observed_positions.empty());
}

// Guards against reads that miss the session's own commit.
TEST_CASE("a read after a write of the session requires at least the write's position")
{
  session_bench bench("own");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.reply(std::nullopt, transaction_state::idle, point(3, 25));
  bench.submit(statement_kind::read, "READ a");
  CHECK(bench.command().min_position == point(3, 25));
}

// Guards against stale reads when no recent position is known.
TEST_CASE("a read without a fresh position goes to the primary")
{
  session_bench bench("stale");
  bench.fresh.reset();
  bench.submit(statement_kind::read, "READ a");
  CHECK(bench.requests.back().needs_primary);
  CHECK_FALSE(bench.command().min_position);
}

// Guards against settings or prepared statements of one session that become visible in another on a
// shared connection.
TEST_CASE("a connection has exactly the session's settings before a statement runs")
{
  session_bench bench("writes");
  bench.submit(statement_kind::set, "SET a 1", "a", "1");
  bench.submit(statement_kind::prepare, "PREPARE s READ q", "s", "q", false);
  bench.submit(statement_kind::execute, "EXECUTE s k", "s", "k");
  REQUIRE(bench.commands.size() == 2);
  CHECK(bench.commands[0].command.kind == command_kind::set);
  CHECK(bench.commands[1].command.kind == command_kind::prepare);
  CHECK(bench.commands[1].command.argument == "q");
  const auto number = bench.commands[1].command.prepared;
  bench.reply(std::nullopt, transaction_state::idle);
  bench.reply(std::nullopt, transaction_state::idle);
  REQUIRE(bench.command().kind == command_kind::execute);
  CHECK(bench.command().prepared == number);
  CHECK(bench.command().name.empty());
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

// Guards against withdrawn keys that still run statements in an open session.
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

// Guards against statements that run in the name of a workspace which no longer holds the caller's
// key: on a route that is open to all, the session goes on without its key, and kept the former
// workspace.
TEST_CASE("a session on an open route loses the workspace of a withdrawn key")
{
  session_bench bench("stale");
  auto open = make_configuration();
  open.routes[1].open_to_all = true;
  bench.configuration = configuration_index(open);
  bench.submit(statement_kind::read, "READ 1");
  CHECK(bench.requests.back().workspace == workspace_id("w"));
  bench.reply(std::nullopt, transaction_state::idle);

  auto withdrawn = open;
  withdrawn.version = config_version(2);
  withdrawn.workspaces.front().keys = { "key-new" };
  bench.configuration = configuration_index(withdrawn);
  bench.submit(statement_kind::read, "READ 1");
  CHECK(bench.requests.back().workspace == workspace_id());
  bench.reply(std::nullopt, transaction_state::idle);
  CHECK_FALSE(bench.answers.back().error);
  // Without a workspace no limit applies.
  CHECK(bench.admitted == 1);

  // The key returns, now to another workspace.
  auto moved = withdrawn;
  moved.version = config_version(3);
  moved.workspaces.push_back(make_workspace("w2", 100, 100));
  moved.workspaces.back().keys = { "key-w" };
  bench.configuration = configuration_index(moved);
  bench.submit(statement_kind::read, "READ 1");
  CHECK(bench.requests.back().workspace == workspace_id("w2"));
  CHECK(bench.admitted == 2);
}

// Guards against the same in an open transaction: its connection was started in the name of the
// workspace that held the key.
TEST_CASE("a change of the key's workspace ends the open transaction")
{
  for (const bool commits : { false, true }) {
    CAPTURE(commits);
    session_bench bench("own");
    auto open = make_configuration();
    open.routes[2].open_to_all = true;
    bench.configuration = configuration_index(open);
    bench.submit(statement_kind::begin, "BEGIN");
    bench.submit(statement_kind::write, "WRITE 1 x");
    bench.reply(std::nullopt, transaction_state::open);
    bench.reply(std::nullopt, transaction_state::open);
    CHECK_FALSE(bench.answers.back().error);

    open.workspaces.front().keys = { "key-new" };
    bench.configuration = configuration_index(open);
    bench.submit(commits ? statement_kind::commit : statement_kind::write, "WRITE 2 x");
    CHECK(bench.answers.back().error == statement_error::aborted);
    CHECK(bench.answers.back().state ==
          (commits ? transaction_state::idle : transaction_state::failed));
    REQUIRE(bench.commands.size() == 1);
    CHECK(bench.command().kind == member_command::command_kind::rollback);
  }
}

// Guards against the same on an instance without contact to the store, which cannot know whether a
// workspace still holds the caller's key.
TEST_CASE("without key evidence an open route serves only callers without a workspace")
{
  session_bench bench("stale");
  auto open = make_configuration();
  open.routes[1].open_to_all = true;
  bench.configuration = configuration_index(open);
  bench.key_evidence_missing = "the configuration was last confirmed long ago";
  bench.submit(statement_kind::read, "READ 1");
  CHECK(bench.commands.empty());
  REQUIRE(bench.answers.size() == 1);
  CHECK(bench.answers.back().error == statement_error::busy);

  open.workspaces.front().keys = { "key-new" };
  bench.configuration = configuration_index(open);
  bench.submit(statement_kind::read, "READ 1");
  CHECK(bench.commands.size() == 1);
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

// Guards against operations that are counted several times, and against transactions that are
// refused in the middle.
TEST_CASE("a transaction counts once against the limit")
{
  session_bench bench("writes");
  begin_and_write(bench);
  bench.submit(statement_kind::commit, "COMMIT");
  bench.reply(std::nullopt, transaction_state::idle, point(3, 12));
  CHECK(bench.admitted == 1);
}

// Guards against callers that wait past the route's time limit, and against "not run" after
// something ran.
TEST_CASE("the time limit ends a statement with the correct error")
{
  session_bench bench("writes");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.now += ms(900);
  bench.session->tick(bench.now);
  CHECK(bench.answers.back().error == statement_error::timed_out);
  CHECK(bench.closed.size() == 1);
}

// Guards against requests without an answer at the end of a planned stop, and against promises
// about statements that may have run.
TEST_CASE("a session that is given up answers with what is known")
{
  session_bench waiting("writes");
  waiting.current_primary.reset();
  waiting.submit(statement_kind::write, "WRITE a x");
  waiting.session->give_up();
  REQUIRE(waiting.answers.size() == 1);
  CHECK(waiting.answers.back().error == statement_error::busy);

  session_bench running("writes");
  running.submit(statement_kind::write, "WRITE a x");
  running.session->give_up();
  REQUIRE(running.answers.size() == 1);
  CHECK(running.answers.back().error == statement_error::timed_out);
  CHECK(running.answers.back().state == transaction_state::idle);

  session_bench in_transaction("writes");
  begin_and_write(in_transaction);
  in_transaction.submit(statement_kind::write, "WRITE b y");
  in_transaction.session->give_up();
  CHECK(in_transaction.answers.back().error == statement_error::aborted);
  CHECK(in_transaction.closed.size() == 1);

  session_bench committing("writes");
  begin_and_write(committing);
  committing.submit(statement_kind::commit, "COMMIT");
  committing.session->give_up();
  CHECK(committing.answers.back().error == statement_error::timed_out);

  // Without a statement in progress there is nothing to answer.
  session_bench idle("writes");
  idle.session->give_up();
  CHECK(idle.answers.empty());
}

// Guards against connections that stay in use when a caller disconnects during a transaction.
TEST_CASE("a caller that disconnects returns its connection")
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

// Guards against a statement that runs with the values of an earlier session (PINNED): its caller
// disconnected, and the member refused to reset the connection.
TEST_CASE("a connection whose reset is refused is closed when its caller disconnects")
{
  session_bench bench("writes");
  bench.submit(statement_kind::set, "SET a 1", "a", "1");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.reply(std::nullopt, transaction_state::idle);
  bench.session->disconnect();
  bench.reply(std::nullopt, transaction_state::idle);
  REQUIRE(bench.command().kind == command_kind::reset);
  bench.reply(statement_error::failed, transaction_state::idle);
  CHECK(bench.closed.size() == 1);
  CHECK(bench.pool.connection_count() == 0);
}

// Guards against a refused PREPARE that is told as an unreachable member, after three connections
// were closed for it.
TEST_CASE("a refused preparation is told to the caller and keeps the connection")
{
  session_bench bench("writes");
  bench.submit(statement_kind::prepare, "PREPARE s READ q", "s", "q");
  bench.submit(statement_kind::execute, "EXECUTE s k", "s", "k");
  bench.reply(statement_error::malformed, transaction_state::idle);
  CHECK(bench.answers.back().error == statement_error::malformed);
  CHECK(bench.closed.empty());
  bench.submit(statement_kind::write, "WRITE a x");
  CHECK(bench.command().kind == command_kind::reset);
  bench.reply(std::nullopt, transaction_state::idle);
  CHECK(bench.command().text == "WRITE a x");
}

// Guards against an error of the caller where a member had no time to prepare its connection.
TEST_CASE("a preparation that a member did not run is repeated")
{
  session_bench bench("writes");
  bench.submit(statement_kind::set, "SET a 1", "a", "1");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.reply(statement_error::busy, transaction_state::idle);
  CHECK(bench.command().kind == command_kind::reset);
  bench.reply(std::nullopt, transaction_state::idle);
  CHECK(bench.command().kind == command_kind::set);
  bench.reply(std::nullopt, transaction_state::idle);
  CHECK(bench.command().text == "WRITE a x");
}

// Guards against a connection that is used further although its member reports another transaction
// state than a preparation, a BEGIN or a reset leaves.
TEST_CASE("a connection in another transaction state than expected is closed")
{
  for (const auto error :
       { std::optional<statement_error>(), std::optional(statement_error::busy) }) {
    CAPTURE(error.has_value());
    session_bench preparing("writes");
    preparing.submit(statement_kind::set, "SET a 1", "a", "1");
    preparing.submit(statement_kind::write, "WRITE a x");
    preparing.reply(error, transaction_state::open);
    CHECK(preparing.closed.size() == 1);
  }
  session_bench beginning("writes");
  beginning.submit(statement_kind::begin, "BEGIN");
  beginning.submit(statement_kind::write, "WRITE a x");
  beginning.reply(std::nullopt, transaction_state::idle);
  CHECK(beginning.answers.back().error == statement_error::aborted);
  CHECK(beginning.closed.size() == 1);
  session_bench leaving("writes");
  leaving.submit(statement_kind::write, "WRITE a x");
  leaving.session->disconnect();
  leaving.reply(std::nullopt, transaction_state::open);
  leaving.reply(std::nullopt, transaction_state::open);
  CHECK(leaving.closed.size() == 1);
}

// Guards against an error of the caller for what only the preparation of a connection met.
TEST_CASE("a preparation that failed at a member is tried at another connection")
{
  session_bench bench("writes");
  bench.submit(statement_kind::set, "SET a 1", "a", "1");
  bench.submit(statement_kind::write, "WRITE a x");
  for (int attempts = 1; attempts < 4; ++attempts) {
    bench.reply(statement_error::timed_out, transaction_state::idle);
    CHECK(bench.answers.size() == 1);
    REQUIRE(bench.command().kind == command_kind::reset);
    bench.reply(std::nullopt, transaction_state::idle);
  }
  bench.reply(statement_error::timed_out, transaction_state::idle);
  CHECK(bench.answers.back().error == statement_error::aborted);
}

// Guards against a prepared statement that is unknown to the caller although it was acknowledged,
// and that stays unknown on the connection.
TEST_CASE("a prepared statement that the member lost in a transaction aborts it")
{
  session_bench bench("writes");
  bench.submit(statement_kind::prepare, "PREPARE s READ q", "s", "q");
  bench.submit(statement_kind::begin, "BEGIN");
  bench.submit(statement_kind::execute, "EXECUTE s k", "s", "k");
  bench.reply(std::nullopt, transaction_state::idle);
  bench.reply(std::nullopt, transaction_state::open);
  REQUIRE(bench.command().kind == command_kind::execute);
  bench.reply(statement_error::unknown_statement, transaction_state::failed);
  CHECK(bench.answers.back().error == statement_error::aborted);
  bench.reply(std::nullopt, transaction_state::idle);
  bench.submit(statement_kind::rollback, "ROLLBACK");
  bench.submit(statement_kind::execute, "EXECUTE s k", "s", "k");
  CHECK(bench.command().kind == command_kind::reset);
}

// Guards against a statement that runs inside another session's transaction: a caller disconnected
// while its BEGIN was in progress, and the next session got the connection.
TEST_CASE(
  "a connection on which a transaction may have begun is closed when its caller disconnects")
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

// Guards against the same after any other command: the transaction state that the member reports
// decides.
TEST_CASE("a connection that the member reports as in a transaction is closed")
{
  session_bench bench("writes");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.reply(std::nullopt, transaction_state::open, point(3, 11));
  CHECK(bench.pool.connection_count() == 0);
}
