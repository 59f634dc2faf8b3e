#include <doctest/doctest.h>

#include "Home/backend_pool.h"
#include "Home/transactions.h"
#include "home_bench.h"

#include <algorithm>

using namespace persimmonshelf;

namespace {

// A pool with a log of its calls: "o" open, "c" close, "p" probe, each with the connection number.
struct pool_bench
{
  std::string log;
  backend_pool pool;

  explicit pool_bench(std::size_t cap, std::size_t kept_open)
    : pool(make_options(cap, kept_open),
           { [this](auto number) { log += "o" + std::to_string(number.get()) + " "; },
             [this](auto number) { log += "c" + std::to_string(number.get()) + " "; },
             [this](auto number) { log += "p" + std::to_string(number.get()) + " "; } })
  {
  }

  static backend_pool::options make_options(std::size_t cap, std::size_t kept_open)
  {
    backend_pool::options options;
    options.cap = cap;
    options.kept_open = kept_open;
    return options;
  }

  std::string taken() { return std::exchange(log, {}); }
};

const connection_number first(1);
const connection_number second(2);
const connection_number third(3);

}

// Guards against more connections than the configuration allows, and against connections that are
// opened for a member that is leaving.
TEST_CASE("a pool opens up to its cap and nothing while the member is leaving")
{
  pool_bench bench(2, 5);
  bench.pool.tick(at_ms(0));
  CHECK(bench.taken() == "o1 o2 ");
  bench.pool.connected(first, true, at_ms(1));
  bench.pool.connected(second, true, at_ms(1));
  const auto used = bench.pool.acquire();
  REQUIRE(used);
  bench.pool.set_leaving(true);
  CHECK(bench.taken() == (*used == first ? "c2 " : "c1 "));
  CHECK_FALSE(bench.pool.acquire());
  bench.pool.release(*used, at_ms(2));
  CHECK(bench.taken() == "c" + std::to_string(used->get()) + " ");
  bench.pool.tick(at_ms(5000));
  CHECK(bench.taken().empty());
  bench.pool.set_leaving(false);
  bench.pool.tick(at_ms(5001));
  CHECK(bench.taken() == "o3 o4 ");
}

// Guards against sending statements on connections that went silent unnoticed.
TEST_CASE("idle connections are probed, after a fault before any use")
{
  pool_bench bench(3, 2);
  bench.pool.tick(at_ms(0));
  bench.pool.connected(first, true, at_ms(0));
  bench.pool.connected(second, true, at_ms(0));
  bench.pool.tick(at_ms(2000));
  CHECK(bench.taken() == "o1 o2 p1 p2 ");
  CHECK_FALSE(bench.pool.acquire());
  bench.pool.probe_ended(first, true, at_ms(2001));
  bench.pool.probe_ended(second, true, at_ms(2001));
  const auto used = *bench.pool.acquire();
  const auto other = used == first ? second : first;
  bench.taken();
  bench.pool.discard(used, backend_pool::fault::silent, at_ms(2500));
  CHECK(bench.taken() ==
        "c" + std::to_string(used.get()) + " p" + std::to_string(other.get()) + " o3 ");
  CHECK_FALSE(bench.pool.acquire());
}

// Guards against calling a member down because old connections went silent while new ones work, and
// against not noticing that it is down.
TEST_CASE("a member is down only after a fresh connection failed")
{
  for (const bool fresh_works : { true, false }) {
    pool_bench bench(1, 1);
    bench.pool.tick(at_ms(0));
    bench.pool.connected(first, true, at_ms(0));
    bench.pool.release(*bench.pool.acquire(), at_ms(1));
    bench.pool.tick(at_ms(2001));
    bench.pool.tick(at_ms(2501));
    CHECK(bench.taken() == "o1 p1 c1 o2 ");
    CHECK_FALSE(bench.pool.down());
    bench.pool.connected(second, fresh_works, at_ms(2502));
    CHECK(bench.pool.down() == !fresh_works);
    if (fresh_works) {
      CHECK(bench.taken() == "p2 ");
      bench.pool.probe_ended(second, true, at_ms(2503));
      CHECK(bench.pool.has_idle());
      continue;
    }
    CHECK(bench.taken() == "c2 ");
    bench.pool.tick(at_ms(2551));
    CHECK(bench.taken().empty());
    bench.pool.tick(at_ms(2552));
    CHECK(bench.taken() == "o3 ");
    bench.pool.connected(third, true, at_ms(2553));
    CHECK(bench.pool.down());
    bench.pool.probe_ended(third, true, at_ms(2554));
    CHECK_FALSE(bench.pool.down());
  }
}

// Guards against a connection that stays in use after an answer that belongs elsewhere; one row a
// way in which an exchange can end.
TEST_CASE("a connection is reused only after a whole answer on time with the right id")
{
  struct row
  {
    const char* name;
    bool reused;
    std::function<void(home_bench&, connection_number)> end;
  };
  const auto reply = [](const std::string& id, result_code code) {
    return [=](home_bench& bench, connection_number on) {
      bench.home.backend_answered(on, { request_id(id), code, "", { term(1), {} } }, bench.now);
    };
  };
  const std::vector<row> rows = {
    { "answer", true, reply("r", result_code::ok) },
    { "failed statement", true, reply("r", result_code::statement_failed) },
    { "busy", true, reply("r", result_code::backend_busy) },
    { "wrong term", true, reply("r", result_code::backend_wrong_term) },
    { "other id", false, reply("s", result_code::ok) },
    { "unlisted code", false, reply("r", result_code::bad_request) },
    { "late",
      false,
      [&](auto& bench, auto on) {
        bench.now += ms(5000);
        reply("r", result_code::ok)(bench, on);
      } },
    { "abandoned",
      false,
      [](auto& bench, auto) {
        bench.now += ms(5000);
        bench.home.tick(bench.now);
      } },
    { "truncated",
      false,
      [](auto& bench, auto on) {
        bench.home.backend_failed(on, true, result_code::malformed_answer, bench.now);
      } },
    { "answer of another term",
      false,
      [](auto& bench, auto on) {
        bench.home.backend_answered(
          on, { request_id("r"), result_code::ok, "", { term(2), {} } }, bench.now);
      } },
  };
  for (const auto& one : rows) {
    CAPTURE(one.name);
    home_bench bench(1);
    bench.home.tick(bench.now);
    bench.connect();
    bench.home.submit(home_bench::request("r", operation::statement, bench.now + ms(5000)),
                      bench.now);
    const auto used = bench.sends.back().connection;
    one.end(bench, used);
    CHECK(bench.open.contains(used) == one.reused);
  }
}

// Guards against a transaction id that another instance or incarnation reads as its own, and
// against a transaction that is used with another workspace or key.
TEST_CASE("a transaction belongs to its instance, incarnation, workspace and key")
{
  transactions::options options;
  options.instance = instance_id("zone.a-entry");
  options.incarnation = incarnation_id(0xabcdef);
  transactions table(options, [] { return 0xffff'0000'ffff'0000U; });
  auto request = home_bench::request("b", operation::begin, at_ms(1));
  const auto id = table.open(request, first, term(3), at_ms(0)).id;
  const auto name = transaction_name::parse(id);
  REQUIRE(name);
  CHECK(name.value().instance == options.instance);
  CHECK(name.value().incarnation == options.incarnation);
  CHECK(name.value().random == 0xffff'0000'ffff'0000U);

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
    auto made = home_bench::request("s", operation::statement, at_ms(1));
    made.transaction = id;
    one.change(made);
    const auto found = table.find(made);
    CHECK((found ? result_code::ok : found.error().code) == one.expected);
  }
}

// Guards against a second statement that overtakes the first of its transaction, and against an
// idle transaction that keeps its slot.
TEST_CASE("a transaction runs one statement at a time and ends when idle for too long")
{
  home_bench bench(1);
  bench.home.tick(bench.now);
  bench.connect();
  const auto expires = bench.now + ms(60'000);
  bench.home.submit(home_bench::request("begin", operation::begin, expires), bench.now);
  bench.answer("begin");
  auto statement = home_bench::request("s1", operation::statement, expires);
  statement.transaction = bench.answers.back().transaction;
  bench.home.submit(statement, bench.now);
  statement.id = request_id("s2");
  bench.home.submit(statement, bench.now);
  CHECK(bench.times_sent("s2") == 0);
  bench.answer("s1");
  CHECK(bench.times_sent("s2") == 1);
  const auto used = bench.sends.back().connection;
  bench.answer("s2");
  bench.home.submit(home_bench::request("other", operation::statement, expires), bench.now);
  bench.run(bench.now + ms(9'900));
  CHECK(bench.times_sent("other") == 0);
  bench.run(bench.now + ms(300));
  CHECK(bench.times_sent("other") == 1);
  const auto rollback = std::find_if(bench.sends.begin(), bench.sends.end(), [](const auto& item) {
    return item.request.kind == operation::rollback;
  });
  REQUIRE(rollback != bench.sends.end());
  CHECK(rollback->connection == used);
  statement.id = request_id("s3");
  bench.home.submit(statement, bench.now);
  CHECK(bench.answers.back().code == result_code::transaction_lost);
}

// Guards against a member that is called free of work, or down, while reads could go elsewhere.
TEST_CASE("reads that another member can answer are not held at a member that cannot")
{
  struct row
  {
    result_code expected;
    std::function<void(home_bench&)> prepare;
  };
  const std::vector<row> rows = {
    { result_code::no_fresh_member, [](auto& bench) { bench.reader = reader_state::never; } },
    { result_code::backend_leaving, [](auto& bench) { bench.home.set_leaving(true); } },
    { result_code::backend_connect_failed,
      [](auto& bench) {
        for (const auto number : std::exchange(bench.opening, {})) {
          bench.home.connected(number, false, bench.now);
        }
      } },
    { result_code::draining, [](auto& bench) { bench.home.drain(bench.now); } },
  };
  for (const auto& one : rows) {
    for (const bool queued_before : { false, true }) {
      if (queued_before && one.expected == result_code::draining) {
        continue;
      }
      home_bench bench(1);
      bench.reader = reader_state::wait;
      bench.home.tick(bench.now);
      auto read = home_bench::request("r", operation::statement, bench.now + ms(5000));
      read.write = false;
      if (queued_before) {
        bench.home.submit(read, bench.now);
      }
      one.prepare(bench);
      if (queued_before) {
        bench.home.tick(bench.now);
      } else {
        bench.home.submit(read, bench.now);
      }
      REQUIRE(bench.answers.size() == 1);
      CHECK(name_of(bench.answers[0].code) == name_of(one.expected));
      CHECK(bench.sends.empty());
    }
  }
}
