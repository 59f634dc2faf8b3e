#include <doctest/doctest.h>

#include "Proxy/connection_pool.h"
#include "proxy_support.h"

#include <deque>
#include <map>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

struct dispatcher_bench
{
  dispatcher_bench()
    : links({ [this](const pooled_connection& link, const listed_member& member) {
               opened[link.number] = member.id;
               opening.push_back(link.number);
             },
              [this](connection_number number) { closed.push_back(number); },
              [this](const std::string&) { return leader; } },
            zone_id("z1"))
  {
    leader = group_primary{ member_id("m1"), true, std::nullopt };
    members = { make_member("m1", "z1", true),
                make_member("m2", "z2", false),
                make_member("m3", "z3", false) };
    links.set_members(members, now);
  }

  connection_request request(const std::string& workspace,
                             bool primary,
                             std::int64_t target = 200) const
  {
    connection_request made;
    made.group = "g";
    made.workspace = workspace_id(workspace);
    made.needs_primary = primary;
    made.target = now + ms(target);
    made.expiry = now + ms(target);
    return made;
  }

  void ask(const std::string& workspace, bool primary, std::int64_t target = 200)
  {
    links.acquire(
      request(workspace, primary, target),
      [this, workspace](const std::shared_ptr<pooled_connection>& link) {
        granted.emplace_back(workspace, link);
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
      links.on_connection_opened(number, now);
    }
  }

  instant now = at(1000);
  std::optional<group_primary> leader;
  std::vector<listed_member> members;
  std::map<connection_number, member_id> opened;
  std::deque<connection_number> opening;
  std::vector<connection_number> closed;
  std::vector<std::pair<std::string, std::shared_ptr<pooled_connection>>> granted;
  std::vector<std::pair<std::string, std::string>> refused;
  connection_pool links;
};

}

// Answers the pattern of many workspaces on few connections: opening one costs a member as much as
// a statement. Guards against the ten thousand connections of the first calm day.
TEST_CASE("an idle connection of the workspace is used before one is opened or replaced")
{
  dispatcher_bench bench;
  bench.ask("a", false);
  bench.open_all();
  REQUIRE(bench.granted.size() == 1);
  bench.links.release(bench.granted[0].second->number, ms(10), bench.now);
  for (int i = 0; i < 20; ++i) {
    bench.ask("a", false);
    bench.links.release(bench.granted.back().second->number, ms(10), bench.now);
  }
  CHECK(bench.opened.size() == 1);
}

// Guards against statements of one workspace on a connection that names another.
TEST_CASE("a connection serves its own workspace only")
{
  dispatcher_bench bench;
  bench.links.set_connection_limit("g", 1);
  bench.ask("a", true);
  bench.open_all();
  bench.links.release(bench.granted[0].second->number, ms(10), bench.now);
  bench.ask("b", true);
  CHECK(bench.closed.size() == 1);
  bench.open_all();
  REQUIRE(bench.granted.size() == 2);
  CHECK(bench.granted[1].second->workspace == workspace_id("b"));
}

// Answers the pattern of a full primary: the most urgent operation goes first, and what cannot be
// served by its aim is refused then, not at its time limit.
TEST_CASE("the queue serves by aim and refuses what passed it")
{
  dispatcher_bench bench;
  bench.links.set_connection_limit("g", 1);
  bench.ask("a", true);
  bench.open_all();
  bench.ask("a", true, 500);
  bench.ask("a", true, 100);
  CHECK(bench.links.waiting_count() == 2);
  bench.now += ms(50);
  bench.links.release(bench.granted[0].second->number, ms(50), bench.now);
  CHECK(bench.granted.size() == 2);
  CHECK(bench.links.waiting_count() == 1);
  bench.now += ms(600);
  bench.links.tick(bench.now);
  CHECK(bench.refused.size() == 1);
}

// Answers the pattern of a primary that is gone for longer than a caller waits. Guards against
// requests that are held although they cannot be served.
TEST_CASE("a write is refused at once while the replacement takes longer than it can wait")
{
  dispatcher_bench bench;
  bench.leader = group_primary{ member_id("m1"), false, bench.now + ms(900) };
  bench.ask("a", true);
  REQUIRE(bench.refused.size() == 1);
  CHECK(bench.refused[0].second == "the primary is being replaced");
  // A short change is waited for.
  bench.leader = group_primary{ member_id("m1"), false, bench.now + ms(100) };
  bench.ask("a", true);
  CHECK(bench.links.waiting_count() == 1);
}

// Guards against new work for members that leave, except for a primary until it is replaced.
TEST_CASE("a leaving replica gets nothing and a leaving primary its writes")
{
  dispatcher_bench bench;
  for (auto& member : bench.members) {
    member.draining = true;
  }
  bench.links.set_members(bench.members, bench.now);
  bench.ask("a", false);
  CHECK(bench.opened.empty());
  bench.ask("a", true);
  CHECK(bench.opened.size() == 1);
}

// Guards against a sight of a member that stays bad although it answers again.
TEST_CASE("failing connections are dated until one opens")
{
  dispatcher_bench bench;
  bench.ask("a", true, 2000);
  bench.links.on_connection_closed(bench.opening.front(), false, bench.now);
  bench.opening.clear();
  CHECK(bench.links.failing_since(member_id("m1")) == bench.now);
  bench.now += ms(300);
  bench.links.tick(bench.now);
  bench.open_all();
  CHECK_FALSE(bench.links.failing_since(member_id("m1")));
}

// Answers the pattern of replicas that fall far behind: one in seven statements of a scale day went
// to a replica that could not run it. Guards against asking a lagging replica again and again.
TEST_CASE("a replica that lags is left alone for longer each time until a read succeeds")
{
  dispatcher_bench bench;
  const member_id lagging("m2");
  bench.links.record_lag(lagging, bench.now);
  bench.links.record_lag(member_id("m3"), bench.now);
  bench.ask("a", false);
  REQUIRE(bench.opened.size() == 1);
  CHECK(bench.opened.begin()->second == member_id("m1"));
  bench.open_all();
  bench.links.release(bench.granted.back().second->number, ms(5), bench.now);
  const auto asked_at = [&](std::int64_t after_ms) {
    dispatcher_bench other;
    other.links.record_lag(lagging, other.now);
    other.links.record_lag(member_id("m3"), other.now);
    other.now += ms(after_ms);
    other.ask("a", false);
    return other.opened.begin()->second;
  };
  CHECK(asked_at(50) == member_id("m1"));
  CHECK(asked_at(70) != member_id("m1"));
}
