#include <doctest/doctest.h>

#include "Home/backend_pool.h"
#include "Home/transaction_table.h"
#include "member_home_fixture.h"

#include <sstream>

using namespace persimmonshelf;

namespace {

// Runs a script on a pool. A line has a time in ms, a call with a connection number where it needs
// one, and after "=" the expected reaction: o, c and p for a connection that is opened, closed or
// probed, u for the one that is handed out, and "down".
void
run_script(std::size_t cap, std::size_t kept_open, const std::string& script)
{
  std::string log;
  const auto note = [&](const char* what) {
    return [&log, what](auto number) { log += " " + (what + std::to_string(number.get())); };
  };
  backend_pool::options options;
  options.max_connections = cap;
  options.target_connections = kept_open;
  backend_pool pool(options, { note("o"), note("c"), note("p") });
  std::istringstream lines(script);
  for (std::string line; std::getline(lines, line);) {
    CAPTURE(line);
    log.clear();
    std::istringstream words(line.substr(0, line.find(" =")));
    std::int64_t milliseconds = 0;
    std::string call;
    std::uint64_t value = 0;
    words >> milliseconds >> call >> value;
    const auto now = at_ms(milliseconds);
    const connection_number number(value);
    const auto used = call == "use" ? pool.acquire() : std::nullopt;
    used ? note("u")(*used) : void();
    call == "tick" ? pool.tick(now) : void();
    call == "up" || call == "fail" ? pool.connected(number, call == "up", now) : void();
    call == "probed" || call == "mute" ? pool.probe_ended(number, call == "probed", now) : void();
    call == "release" ? pool.release(number, now) : void();
    call == "broken" ? pool.discard(number, backend_pool::fault::broken, now) : void();
    call == "silent" ? pool.discard(number, backend_pool::fault::unresponsive, now) : void();
    call == "leave" || call == "stay" ? pool.set_leaving(call == "leave") : void();
    CHECK(log + (pool.down() ? " down" : "") == line.substr(line.find(" =") + 2));
  }
}

}

// Guards against more connections than the configuration allows, and against connections that are
// opened for a member that is leaving.
TEST_CASE("a pool opens up to its cap and nothing while the member is leaving")
{
  run_script(2, 5, R"(0 tick = o1 o2
1 up 1 =
1 up 2 =
1 use = u2
1 leave = c1
1 use =
2 release 2 = c2
5000 tick =
5001 stay =
5001 tick = o3 o4)");
}

// Guards against sending statements on connections that went silent unnoticed.
TEST_CASE("idle connections are probed, after a fault before any use")
{
  run_script(3, 2, R"(0 tick = o1 o2
0 up 1 =
0 up 2 =
2000 tick = p1 p2
2000 use =
2001 probed 1 =
2001 probed 2 =
2001 use = u2
2500 silent 2 = c2 p1 o3
2500 use =
2501 probed 1 =
2501 use = u1)");
}

// Guards against calling a member down because old connections went silent while new ones work,
// against not noticing that it is down, and against attempts without a pause.
TEST_CASE("a member is down only after a fresh connection failed")
{
  const std::string old_one_is_silent = R"(0 tick = o1
0 up 1 =
1 use = u1
1 release 1 =
2001 tick = p1
2501 tick = c1 o2
)";
  run_script(1, 1, old_one_is_silent + R"(2502 up 2 = p2
2503 probed 2 =
2503 use = u2)");
  run_script(1, 1, old_one_is_silent + R"(2502 fail 2 = c2 down
2551 tick = down
2552 tick = o3 down
2552 broken 3 = c3 down
2651 tick = down
2652 tick = o4 down
2653 up 4 = p4 down
2654 probed 4 =)");
  run_script(1, 1, old_one_is_silent + R"(2502 up 2 = p2
3002 tick = c2 down)");
}

// Guards against trusting an answer that is whole but cannot be right: another term than the one
// that was asked for, or a code outside the protocol.
TEST_CASE("an answer of another term or with an unlisted code closes the connection")
{
  for (const bool other_term : { true, false }) {
    member_home_fixture bench(1);
    bench.home.tick(bench.now);
    bench.connect();
    bench.submit("r", operation::statement, 5000);
    const auto used = bench.sends.back().connection;
    const auto code = other_term ? result_code::ok : result_code::bad_request;
    const log_point point{ term(other_term ? 2 : 1), log_position(1) };
    bench.home.backend_answered(used, { request_id("r"), code, "", point }, bench.now);
    CHECK(bench.answers.back().code == result_code::malformed_answer);
    CHECK_FALSE(bench.open.contains(used));
  }
}

// Guards against a transaction id that another instance or incarnation reads as its own, and
// against a transaction that is used with another workspace or key.
TEST_CASE("a transaction belongs to its instance, incarnation, workspace and key")
{
  transaction_table::options options;
  options.instance = instance_id("zone.a-entry");
  options.incarnation = incarnation_id(0xabcdef);
  transaction_table table(options, [] { return 0xffff'0000'ffff'0000U; });
  auto request = member_home_fixture::request("b", operation::begin, at_ms(1));
  const auto id = table.open(request, connection_number(1), term(3), at_ms(0)).id;
  const auto name = transaction_id_parts::parse(id);
  REQUIRE(name);
  CHECK(name.value().instance == options.instance);
  CHECK(name.value().incarnation == options.incarnation);
  CHECK(name.value().nonce == 0xffff'0000'ffff'0000U);

  struct row
  {
    result_code expected;
    std::function<void(home_request&)> change;
  };
  const std::vector<row> rows = {
    { result_code::ok, [](auto&) {} },
    { result_code::unknown_transaction, [](auto& made) { made.workspace = workspace_id("w2"); } },
    { result_code::unknown_transaction, [](auto& made) { made.key_digest = sha256("other"); } },
    { result_code::wrong_home,
      [](auto& made) { made.transaction = transaction_id("x.0000000000abcdef.1.1"); } },
    { result_code::transaction_lost,
      [](auto& made) { made.transaction = transaction_id("zone.a-entry.1.1.1"); } },
    { result_code::bad_request, [](auto& made) { made.transaction = transaction_id("x.1.z.1"); } },
  };
  for (const auto& one : rows) {
    auto made = member_home_fixture::request("s", operation::statement, at_ms(1));
    made.transaction = id;
    one.change(made);
    const auto found = table.find(made);
    CHECK((found ? result_code::ok : found.error().code) == one.expected);
  }
}

// Guards against a caller that keeps a slot for ever by sending statements in time.
TEST_CASE("a busy transaction is rolled back after its open limit of 300 s")
{
  member_home_fixture bench(1);
  bench.home.tick(bench.now);
  bench.connect();
  bench.submit("begin", operation::begin, 1000);
  bench.answer("begin");
  const auto id = bench.answers.back().transaction;
  for (int i = 0; bench.answers.back().code == result_code::ok && i < 100; ++i) {
    bench.run(bench.now + ms(5000));
    auto statement =
      member_home_fixture::request(std::to_string(i), operation::statement, bench.now + ms(9));
    statement.transaction = id;
    bench.home.submit(statement, bench.now);
    bench.answer(statement.id.get());
  }
  // Statement 59 arrives at the limit.
  CHECK(bench.answers_to("58").at(0).code == result_code::ok);
  CHECK(bench.answers_to("59").at(0).code == result_code::transaction_lost);
  CHECK(bench.times_sent("59") == 0);
  CHECK(bench.home.stats().slots_used == 0);
}

// Guards against a write of an earlier term, which may never be held, that delays the later ones.
TEST_CASE("a write of a later term is confirmed without the earlier one")
{
  std::string done;
  request_tracker table({}, [&](const home_answer& answer) { done += answer.id.get(); });
  for (std::uint64_t in_term = 1; in_term <= 3; ++in_term) {
    auto& item = table.add(
      member_home_fixture::request(std::to_string(in_term), operation::statement, at_ms(100)),
      at_ms(0));
    item.point = { term(in_term), log_position(10 * in_term) };
    table.await_majority(item);
  }
  table.finish_replicated([](log_point point) { return point.in_term == term(2); }, at_ms(1));
  CHECK(done == "2");
}

// Guards against a member that is called free of work, or down, while reads could go elsewhere.
TEST_CASE("reads that another member can answer are not held at a member that cannot")
{
  struct row
  {
    result_code expected;
    std::function<void(member_home_fixture&)> prepare;
  };
  const std::vector<row> rows = {
    { result_code::no_fresh_member, [](auto& bench) { bench.readiness = read_readiness::never; } },
    { result_code::backend_leaving, [](auto& bench) { bench.home.set_leaving(true); } },
    { result_code::backend_connect_failed, [](auto& bench) { bench.now += ms(1000); } },
    { result_code::draining, [](auto& bench) { bench.home.drain(bench.now); } },
  };
  for (const auto& one : rows) {
    member_home_fixture bench(1);
    bench.readiness = read_readiness::wait;
    bench.home.tick(bench.now);
    auto read = member_home_fixture::request("early", operation::statement, bench.now + ms(5000));
    read.write = false;
    bench.home.submit(read, bench.now);
    one.prepare(bench);
    bench.home.tick(bench.now + ms(100));
    // A drained home still runs what it has accepted.
    CHECK(bench.answers.size() == (one.expected == result_code::draining ? 0 : 1));
    read.id = request_id("late");
    bench.home.submit(read, bench.now);
    REQUIRE_FALSE(bench.answers.empty());
    for (const auto& answer : bench.answers) {
      CHECK(name_of(answer.code) == name_of(one.expected));
    }
    CHECK(bench.sends.empty());
  }
}
