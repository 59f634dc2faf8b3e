#include <doctest/doctest.h>

#include "Proxy/connection_pool.h"
#include "proxy_support.h"

#include <deque>
#include <map>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

struct pool_bench
{
  pool_bench()
    : pool({ [this](const pooled_connection& connection, const listed_member& member) {
              opened[connection.number] = member.id;
              opening.push_back(connection.number);
            },
             [this](connection_number number) { closed.push_back(number); },
             [this](const std::string&) { return current_primary; } },
           zone_id("z1"))
  {
    current_primary = group_primary{ member_id("m1"), true, std::nullopt };
    members = { make_member("m1", "z1", true),
                make_member("m2", "z2", false),
                make_member("m3", "z3", false) };
    pool.set_members(members, now);
  }

  connection_request request(const std::string& workspace,
                             bool primary,
                             std::int64_t target = 200) const
  {
    connection_request created;
    created.group = "g";
    created.workspace = workspace_id(workspace);
    created.needs_primary = primary;
    created.target = now + ms(target);
    created.expiry = now + ms(target);
    return created;
  }

  void acquire(const std::string& workspace, bool primary, std::int64_t target = 200)
  {
    pool.acquire(
      request(workspace, primary, target),
      [this, workspace](const std::shared_ptr<pooled_connection>& connection) {
        granted.emplace_back(workspace, connection);
      },
      [this, workspace](statement_error, const std::string& reason) {
        refused.emplace_back(workspace, reason);
      },
      now);
  }

  void open_all()
  {
    while (!opening.empty()) {
      const auto number = opening.front();
      opening.pop_front();
      pool.on_connection_opened(number, now);
    }
  }

  // The N of "retry after N ms", or -1 if the text has none.
  static int retry_ms(const std::string& text)
  {
    const std::string_view before = "retry after ";
    const auto found = text.find(before);
    return found == std::string::npos ? -1 : std::stoi(text.substr(found + before.size()));
  }

  instant now = at(1000);
  std::optional<group_primary> current_primary;
  std::vector<listed_member> members;
  std::map<connection_number, member_id> opened;
  std::deque<connection_number> opening;
  std::vector<connection_number> closed;
  std::vector<std::pair<std::string, std::shared_ptr<pooled_connection>>> granted;
  std::vector<std::pair<std::string, std::string>> refused;
  connection_pool pool;
};

}

// Many workspaces share few connections, and opening a connection costs a member as much as a
// statement. Guards against a new connection for each statement, which opened ten thousand
// connections in one day.
TEST_CASE("an idle connection of the workspace is used before one is opened or replaced")
{
  pool_bench bench;
  bench.acquire("a", false);
  bench.open_all();
  REQUIRE(bench.granted.size() == 1);
  bench.pool.release(bench.granted[0].second->number, ms(10), bench.now);
  for (int i = 0; i < 20; ++i) {
    bench.acquire("a", false);
    bench.pool.release(bench.granted.back().second->number, ms(10), bench.now);
  }
  CHECK(bench.opened.size() == 1);
}

// Guards against statements of one workspace on a connection of another.
TEST_CASE("a connection serves its own workspace only")
{
  pool_bench bench;
  bench.pool.set_connection_limit("g", 1);
  bench.acquire("a", true);
  bench.open_all();
  bench.pool.release(bench.granted[0].second->number, ms(10), bench.now);
  bench.acquire("b", true);
  CHECK(bench.closed.size() == 1);
  bench.open_all();
  REQUIRE(bench.granted.size() == 2);
  CHECK(bench.granted[1].second->workspace == workspace_id("b"));
}

// The primary is saturated: the most urgent operation goes first, and an operation that misses its
// target is refused then, not at its time limit.
TEST_CASE("the queue is ordered by target time and refuses requests past it")
{
  pool_bench bench;
  bench.pool.set_connection_limit("g", 1);
  bench.acquire("a", true);
  bench.open_all();
  bench.acquire("a", true, 500);
  bench.acquire("a", true, 100);
  CHECK(bench.pool.waiting_count() == 2);
  bench.now += ms(50);
  bench.pool.release(bench.granted[0].second->number, ms(50), bench.now);
  CHECK(bench.granted.size() == 2);
  CHECK(bench.pool.waiting_count() == 1);
  bench.now += ms(600);
  bench.pool.tick(bench.now);
  CHECK(bench.refused.size() == 1);
}

// The primary is unavailable for longer than a caller waits. Guards against requests that wait
// although they cannot be served.
TEST_CASE("a write is refused at once while the replacement takes longer than it can wait")
{
  pool_bench bench;
  bench.current_primary = group_primary{ member_id("m1"), false, bench.now + ms(900) };
  bench.acquire("a", true);
  REQUIRE(bench.refused.size() == 1);
  // The retry time is 900 ms, spread by up to half.
  CHECK(bench.refused[0].second.starts_with("the primary is being replaced, retry after "));
  CHECK(pool_bench::retry_ms(bench.refused[0].second) >= 900);
  CHECK(pool_bench::retry_ms(bench.refused[0].second) <= 1350);
  // A request waits for a short replacement.
  bench.current_primary = group_primary{ member_id("m1"), false, bench.now + ms(100) };
  bench.acquire("a", true);
  CHECK(bench.pool.waiting_count() == 1);
}

// Guards against new work for members that leave, except for a primary until it is replaced.
TEST_CASE("a leaving replica gets no work and a leaving primary only writes")
{
  pool_bench bench;
  for (auto& member : bench.members) {
    member.draining = true;
  }
  bench.pool.set_members(bench.members, bench.now);
  bench.acquire("a", false);
  CHECK(bench.opened.empty());
  bench.acquire("a", true);
  CHECK(bench.opened.size() == 1);
}

// Guards against a member that is still reported as failing after it answers again.
TEST_CASE("a member is failing from the first failed connection until one opens")
{
  pool_bench bench;
  bench.acquire("a", true, 2000);
  bench.pool.on_connection_closed(bench.opening.front(), false, bench.now);
  bench.opening.clear();
  CHECK(bench.pool.failing_since(member_id("m1")) == bench.now);
  bench.now += ms(300);
  bench.pool.tick(bench.now);
  bench.open_all();
  CHECK_FALSE(bench.pool.failing_since(member_id("m1")));
}

// Replicas lag far behind: one in seven statements was sent to a replica that could not run it.
// Guards against retries at a lagging replica again and again.
TEST_CASE("reads avoid a lagging replica for a while")
{
  pool_bench bench;
  const member_id lagging("m2");
  bench.pool.record_lag(lagging, bench.now);
  bench.pool.record_lag(member_id("m3"), bench.now);
  bench.acquire("a", false);
  REQUIRE(bench.opened.size() == 1);
  CHECK(bench.opened.begin()->second == member_id("m1"));
  bench.open_all();
  bench.pool.release(bench.granted.back().second->number, ms(5), bench.now);
  const auto member_chosen_after = [&](std::int64_t after_ms) {
    pool_bench other;
    other.pool.record_lag(lagging, other.now);
    other.pool.record_lag(member_id("m3"), other.now);
    other.now += ms(after_ms);
    other.acquire("a", false);
    return other.opened.begin()->second;
  };
  CHECK(member_chosen_after(50) == member_id("m1"));
  CHECK(member_chosen_after(70) != member_id("m1"));
}

// Guards against requests that reach a primary which has announced that it leaves, later than it
// may be used, because nobody replaces it (review/10).
TEST_CASE("a draining primary that is not replaced gets no writes after the limit")
{
  pool_bench bench;
  bench.pool.set_drain_limit(ms(7000));
  bench.members[0].draining = true;
  bench.pool.set_members(bench.members, bench.now);
  bench.acquire("w", true);
  bench.open_all();
  REQUIRE(bench.granted.size() == 1);
  bench.pool.release(bench.granted[0].second->number, ms(10), bench.now);
  bench.now += ms(4900);
  bench.acquire("w", true);
  bench.open_all();
  REQUIRE(bench.granted.size() == 2);
  bench.pool.release(bench.granted[1].second->number, ms(10), bench.now);
  bench.now += ms(200);
  bench.acquire("w", true);
  bench.open_all();
  CHECK(bench.granted.size() == 2);
  // It cannot be served in time, so it does not wait for its expiry.
  bench.pool.tick(bench.now);
  CHECK(bench.refused.size() == 1);
  // The successor is used at once.
  bench.current_primary = group_primary{ member_id("m2"), true, std::nullopt };
  bench.acquire("w", true);
  bench.open_all();
  CHECK(bench.granted.size() == 3);
}
