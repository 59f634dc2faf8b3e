#include <doctest/doctest.h>

#include "Proxy/connection_pool.h"
#include "proxy_support.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

// A pool with the primary m1 and the replica m2. Connections open at once unless the test says
// otherwise.
struct waiting_bench
{
  struct outcome
  {
    int granted = 0;
    int refused = 0;
    bool cancelled = false;
    bool answered_after_cancel = false;
    bool granted_late = false;
    std::string reason;
  };

  explicit waiting_bench(std::size_t limit)
    : pool({ [this](const pooled_connection& connection, const listed_member&) {
              opening.push_back(connection.number);
            },
             [](connection_number) {},
             [this](const std::string&) { return primary; } },
           zone_id("z1"))
  {
    pool.set_members({ make_member("m1", "z1", true), make_member("m2", "z2", false) }, now);
    pool.set_connection_limit("g", limit);
  }

  std::size_t acquire(std::uint32_t route_priority,
                      const std::string& workspace,
                      duration patience,
                      bool needs_primary = true)
  {
    const auto index = outcomes.size();
    outcomes.emplace_back();
    numbers.emplace_back();
    connection_request request;
    request.group = "g";
    request.workspace = workspace_id(workspace);
    request.needs_primary = needs_primary;
    request.priority = { route_priority, 0 };
    request.target = now + patience;
    request.expiry = now + patience;
    const auto number = pool.acquire(
      request,
      [this, index, expiry = request.expiry](const std::shared_ptr<pooled_connection>& connection) {
        ++outcomes[index].granted;
        outcomes[index].granted_late = now >= expiry;
        outcomes[index].answered_after_cancel |= outcomes[index].cancelled;
        held.push_back(connection);
        grant_order.push_back(index);
      },
      [this, index](statement_error, const std::string& reason) {
        ++outcomes[index].refused;
        outcomes[index].answered_after_cancel |= outcomes[index].cancelled;
        outcomes[index].reason = reason;
      },
      now);
    numbers[index] = number;
    return index;
  }

  void open_next()
  {
    if (!opening.empty()) {
      const auto number = opening.front();
      opening.pop_front();
      pool.on_connection_opened(number, now);
    }
  }
  void open_all()
  {
    while (!opening.empty()) {
      open_next();
    }
  }
  void release_next()
  {
    if (!held.empty()) {
      const auto connection = held.front();
      held.pop_front();
      pool.release(connection->number, ms(10), now);
    }
  }
  void lose_next()
  {
    if (!held.empty()) {
      const auto connection = held.front();
      held.pop_front();
      pool.on_connection_closed(connection->number, false, now);
    }
  }
  // Ends each statement 10 ms after its grant.
  void run_for(duration time)
  {
    for (const auto end = now + time; now < end;) {
      now += ms(1);
      while (!held.empty() && now - held.front()->state_changed_at >= ms(10)) {
        release_next();
      }
      open_all();
      pool.tick(now);
    }
  }
  // Enough measurements for estimates.
  void measure()
  {
    for (int i = 0; i < 20; ++i) {
      acquire(1, "w", ms(1000));
      acquire(1, "w", ms(1000));
      open_all();
      run_for(ms(20));
    }
    outcomes.clear();
    numbers.clear();
    grant_order.clear();
  }
  std::size_t count_refused(const std::string& beginning) const
  {
    return static_cast<std::size_t>(
      std::count_if(outcomes.begin(), outcomes.end(), [&](const outcome& one) {
        return one.refused > 0 && one.reason.starts_with(beginning);
      }));
  }

  instant now = at(1000);
  std::optional<group_primary> primary = group_primary{ member_id("m1"), true, std::nullopt };
  std::deque<connection_number> opening;
  std::deque<std::shared_ptr<pooled_connection>> held;
  std::vector<outcome> outcomes;
  std::vector<request_number> numbers;
  std::vector<std::size_t> grant_order;
  connection_pool pool;
};

constexpr auto too_long = "the queue for a connection to a member is too long, retry after ";

}

// Guards against requests that wait until they expire although the queue is too long, and against
// refusals of requests that can be served. Load: 120 writes with 200 ms to wait arrive at once at
// a primary with 2 connections held for 10 ms, so 40 can be served; then 10 urgent ones.
TEST_CASE("a burst beyond the capacity is refused at once and the rest is served")
{
  waiting_bench bench(2);
  bench.measure();
  for (int i = 0; i < 120; ++i) {
    bench.acquire(1, "w", ms(200));
  }
  const auto refused_at_once = bench.count_refused(too_long);
  CHECK(refused_at_once >= 30);
  CHECK(bench.pool.waiting_count() >= 40);
  for (int i = 0; i < 10; ++i) {
    bench.acquire(0, "w", ms(200));
  }
  CHECK(bench.count_refused(too_long) == refused_at_once + 10);
  bench.run_for(ms(300));
  CHECK(bench.pool.waiting_count() == 0);
  CHECK(bench.grant_order.size() >= 40);
  for (std::size_t i = 120; i < 130; ++i) {
    CHECK(bench.outcomes[i].granted == 1);
  }
  CHECK(bench.pool.refusals().at(refusal_cause::queue_too_long) == bench.count_refused(too_long));
}

// Guards against early refusals because of a short loss. Load: 24 writes with 400 ms to wait, which
// 2 connections serve in 120 ms; both connections are lost after 50 ms, and the primary
// refuses connections for 100 ms.
TEST_CASE("requests outlive the loss of a member in the middle")
{
  waiting_bench bench(2);
  bench.measure();
  for (int i = 0; i < 24; ++i) {
    bench.acquire(1, "w", ms(400));
  }
  bench.run_for(ms(50));
  bench.lose_next();
  bench.lose_next();
  for (int i = 0; i < 100; ++i) {
    bench.now += ms(1);
    while (!bench.opening.empty()) {
      const auto number = bench.opening.front();
      bench.opening.pop_front();
      bench.pool.on_connection_closed(number, false, bench.now);
    }
    bench.pool.tick(bench.now);
  }
  bench.run_for(ms(300));
  CHECK(bench.grant_order.size() == 24);
  CHECK(bench.pool.refusals().empty());
}

// Guards against lost, repeated and late answers. Load: every sequence of six steps that begins
// with a request, at a pool with one connection to each member; afterwards connections open and
// statements end until all is answered.
TEST_CASE("every request is answered exactly once in every short sequence")
{
  constexpr std::size_t actions = 8;
  constexpr std::size_t length = 6;
  std::size_t sequences = 1;
  for (std::size_t i = 0; i < length; ++i) {
    sequences *= actions;
  }
  std::size_t violations = 0;
  for (std::size_t sequence = 0; sequence < sequences; ++sequence) {
    if (sequence % actions > 2) {
      continue;
    }
    waiting_bench bench(1);
    auto left = sequence;
    for (std::size_t i = 0; i < length; ++i, left /= actions) {
      switch (left % actions) {
        case 0:
          bench.acquire(0, "a", ms(100));
          break;
        case 1:
          bench.acquire(1, "b", ms(60));
          break;
        case 2:
          bench.acquire(1, "a", ms(60), false);
          break;
        case 3:
          bench.open_next();
          break;
        case 4:
          bench.release_next();
          break;
        case 5:
          bench.now += ms(50);
          bench.pool.tick(bench.now);
          break;
        case 6:
          if (!bench.numbers.empty()) {
            bench.outcomes.front().cancelled = true;
            bench.pool.cancel(bench.numbers.front());
          }
          break;
        default:
          bench.lose_next();
          break;
      }
    }
    bench.run_for(ms(110));
    bench.open_all();
    bool correct = bench.pool.waiting_count() == 0;
    for (const auto& one : bench.outcomes) {
      const int answers = one.granted + one.refused;
      correct = correct && answers <= 1 && (answers == 1 || one.cancelled) &&
                !one.answered_after_cancel && !one.granted_late;
    }
    violations += correct ? 0 : 1;
  }
  CHECK(violations == 0);
}

// Guards against a bound that the pool breaks although the queue keeps it. Load: 30 urgent writes
// and 3 background ones always wait at a primary with 2 connections, without measured time limits.
TEST_CASE("the pool keeps the bound of the lowest class")
{
  waiting_bench bench(2);
  std::size_t passed_over = 0;
  std::size_t background_grants = 0;
  std::size_t counted = 0;
  std::map<std::size_t, std::uint32_t> classes;
  for (int i = 0; i < 1000; ++i) {
    std::map<std::uint32_t, int> waiting;
    for (const auto& [priority, count] : bench.pool.waiting_by_class()) {
      waiting[priority.route_priority] = static_cast<int>(count);
    }
    for (const auto& [priority, wanted] : { std::pair(0U, 30), std::pair(1U, 3) }) {
      for (int missing = wanted - waiting[priority]; missing > 0; --missing) {
        classes[bench.acquire(priority, "w", std::chrono::seconds(60))] = priority;
      }
    }
    bench.run_for(ms(1));
    for (; counted < bench.grant_order.size(); ++counted) {
      const bool background = classes[bench.grant_order[counted]] == 1;
      passed_over = background ? 0 : passed_over + 1;
      background_grants += background ? 1 : 0;
      CHECK(passed_over <= lower_class_interval);
    }
  }
  CHECK(background_grants >= 20);
}

// Guards against waiting requests that no member may serve, and connections that return to the pool
// of an evacuated zone. Load: the primary's zone and then both zones are evacuated while two
// requests hold the only connections and two wait.
TEST_CASE("requests that only evacuated members could serve are refused at once")
{
  waiting_bench bench(1);
  bench.acquire(1, "w", ms(1000), true);
  bench.acquire(1, "w", ms(1000), false);
  bench.open_all();
  REQUIRE(bench.held.size() == 2);
  const auto write = bench.acquire(1, "w", ms(1000), true);
  const auto read = bench.acquire(1, "w", ms(1000), false);
  bench.pool.set_evacuated_zones({ zone_id("z1") }, bench.now);
  CHECK(bench.outcomes[write].reason == "the zone z1 of the primary is evacuated");
  CHECK(bench.outcomes[read].refused == 0);
  bench.pool.set_evacuated_zones({ zone_id("z1"), zone_id("z2") }, bench.now);
  CHECK(bench.outcomes[read].reason == "all members of g that may serve are in evacuated zones");
  CHECK(bench.pool.refusals().at(refusal_cause::zone_evacuated) == 2);
  bench.release_next();
  bench.release_next();
  CHECK(bench.pool.connection_count() == 0);
  CHECK(bench.opening.empty());
}
