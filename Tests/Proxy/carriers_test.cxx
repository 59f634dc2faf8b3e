#include <doctest/doctest.h>

#include "Proxy/carriers.h"
#include "Proxy/connection_pool.h"
#include "Proxy/session_routing.h"
#include "proxy_support.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

constexpr double large = 0.5;
constexpr double small = 0.084;

carrier
make_instance(const std::string& zone, int number, double capacity)
{
  const auto name = zone + "-" + std::to_string(number);
  return { instance_id(name), zone_id(zone), "10.0.0.1:" + std::to_string(number + 1),
           capacity,          false,         false };
}

// Three zones with two large instances each, and many small ones.
std::vector<carrier>
mixed_fleet(int small_in_zone)
{
  std::vector<carrier> live;
  for (const std::string zone : { "a", "b", "c" }) {
    for (int number = 0; number < small_in_zone + 2; ++number) {
      live.push_back(make_instance(zone, number, number < 2 ? large : small));
    }
  }
  return live;
}

std::vector<carrier>
without(std::vector<carrier> live, const std::set<std::string>& names)
{
  std::erase_if(live,
                [&](const carrier& instance) { return names.contains(instance.instance.get()); });
  return live;
}

std::vector<proxy_workspace>
make_workspaces(std::size_t count)
{
  std::vector<proxy_workspace> workspaces;
  for (std::size_t number = 0; number < count; ++number) {
    proxy_workspace workspace;
    workspace.name = workspace_id("w" + std::to_string(number));
    // A few large workspaces and many small ones.
    workspace.rate_per_s = 100.0 / static_cast<double>(number + 1);
    workspaces.push_back(std::move(workspace));
  }
  return workspaces;
}

std::uint32_t
sum_of_limits(const std::map<instance_id, std::uint32_t>& limits)
{
  std::uint32_t sum = 0;
  for (const auto& [instance, limit] : limits) {
    sum += limit;
  }
  return sum;
}

// Connections that the carriers may hold together to a member with this limit.
std::uint32_t
sum_of_limits(const carrier_plan& plan, std::uint32_t connections, std::size_t workspaces)
{
  return sum_of_limits(
    connection_limits(plan, { "g", connections, 0 }, make_workspaces(workspaces)));
}

}

// 21 equal instances, 8 workspaces. Guards against an instance that relays all its callers although
// it is as strong as the others, and against connections that nobody may use: equal parts of 52
// connections left ten unused.
TEST_CASE("in a small fleet of equal instances all are carriers")
{
  std::vector<carrier> live;
  for (int number = 0; number < 21; ++number) {
    live.push_back(
      make_instance(std::string(1, static_cast<char>('a' + number % 3)), number, 0.17));
  }
  const auto plan = choose_carriers({}, live, { 54, 8, 3 });
  CHECK(plan.decided());
  CHECK(plan.carriers.size() == live.size());
  CHECK(plan.carriers_per_group == 0);
  CHECK(sum_of_limits(plan, 54, 8) == 52);

  for (int number = 21; number < 27; ++number) {
    live.push_back(
      make_instance(std::string(1, static_cast<char>('a' + number % 3)), number, 0.17));
  }
  const auto next = choose_carriers(plan, live, { 54, 8, 3 });
  CHECK(next.version == plan.version + 1);
  CHECK(next.carriers.size() == live.size());
  CHECK(sum_of_limits(next, 54, 8) == 52);
}

// Many equal instances. Guards against a coordinator that has to answer so many carriers that its
// core is full, after which none of them gets tokens in time, and against a zone without two
// carriers.
TEST_CASE("in a large fleet of equal instances there are as many carriers as a coordinator answers")
{
  for (const int count : { 30, 99, 300 }) {
    CAPTURE(count);
    std::vector<carrier> live;
    for (int number = 0; number < count; ++number) {
      live.push_back(
        make_instance(std::string(1, static_cast<char>('a' + number % 3)), number, 0.17));
    }
    const auto workspaces = static_cast<std::size_t>(count) * 8 / 10;
    const auto groups = static_cast<std::size_t>(count) / 3;
    const auto plan = choose_carriers({}, live, { 54, workspaces, groups });
    CHECK(plan.carriers.size() >= 6);
    // A quarter of the coordinator's core: about 4,000 listed entries a second, unless two carriers
    // in each zone need more.
    const auto entries = 4 * plan.carriers.size() * (workspaces + groups);
    CHECK((plan.carriers.size() == 6 || entries <= 4250));
    for (const std::string zone : { "a", "b", "c" }) {
      CHECK(std::count_if(plan.carriers.begin(), plan.carriers.end(), [&](const carrier& entry) {
              return entry.zone == zone_id(zone);
            }) >= 2);
    }
    CHECK(sum_of_limits(plan, 54, workspaces) == 52);
  }
}

// 130 instances, 83 workspaces, 91 connections per member. Guards against connections spread so
// thinly that each statement opens a new one, which takes a slot at the member.
TEST_CASE("with fewer connections than instances the strongest of each zone are carriers")
{
  const auto live = mixed_fleet(42);
  const auto plan = choose_carriers({}, live, { 91, 83, 3 });
  CHECK(plan.carriers.size() == 6);
  const auto limits = connection_limits(plan, { "g", 91, 0 }, make_workspaces(83));
  CHECK(sum_of_limits(limits) == 89);
  for (const auto& entry : plan.carriers) {
    CHECK(entry.capacity == large);
    CHECK(limits.at(entry.instance) >= 5);
  }
}

// 118 instances, 79 workspaces, 259 connections per member. Guards against a plan in which weak
// instances are carriers because each could have two connections, although 79 workspaces share
// them.
TEST_CASE("many workspaces need strong carriers even where each instance has two connections")
{
  const auto live = mixed_fleet(37);
  const auto plan = choose_carriers({}, live, { 259, 79, 3 });
  CHECK(plan.carriers.size() == 6);
  const auto limits = connection_limits(plan, { "g", 259, 0 }, make_workspaces(79));
  CHECK(sum_of_limits(limits) == 257);
  for (const auto& entry : plan.carriers) {
    CHECK(limits.at(entry.instance) >= 10);
  }
}

// Some machines are lost. Guards against sessions that move more often than needed, and against a
// zone without a carrier.
TEST_CASE("lost carriers are replaced and the others stay")
{
  const auto live = mixed_fleet(42);
  const auto plan = choose_carriers({}, live, { 91, 83, 3 });
  CHECK(choose_carriers(plan, live, { 91, 83, 3 }) == plan);

  const auto rest = without(live, { "a-0", "a-1", "b-0" });
  const auto next = choose_carriers(plan, rest, { 91, 83, 3 });
  CHECK(next.version == plan.version + 1);
  for (const std::string name : { "b-1", "c-0", "c-1" }) {
    CHECK(next.carries(instance_id(name)));
  }
  CHECK_FALSE(next.carries(instance_id("a-0")));
  CHECK(std::count_if(next.carriers.begin(), next.carriers.end(), [](const carrier& entry) {
          return entry.zone == zone_id("a");
        }) >= 2);
}

// Five of six large instances restart within a second. Guards against the whole load on the
// remaining one, and against weak substitutes that keep connections after the strong carriers have
// returned.
TEST_CASE("substitutes are carriers while the strong carriers are unavailable")
{
  auto live = mixed_fleet(42);
  const auto plan = choose_carriers({}, live, { 91, 83, 3 });
  const auto set_unavailable = [&](bool unavailable_now) {
    for (auto& instance : live) {
      instance.unavailable =
        unavailable_now && instance.capacity == large && instance.instance != instance_id("b-1");
    }
  };
  set_unavailable(true);
  const auto next = choose_carriers(plan, live, { 91, 83, 3, false });
  double present = 0;
  for (const auto& entry : next.carriers) {
    CHECK(entry.substitute == (entry.capacity == small));
    present += entry.unavailable ? 0 : entry.capacity;
  }
  CHECK(present > 0.19 * (0.5 + 126 * small));
  CHECK(sum_of_limits(next, 91, 83) <= 91);
  for (const auto& entry : plan.carriers) {
    CHECK(next.carries(entry.instance));
  }

  set_unavailable(false);
  const auto returned = choose_carriers(next, live, { 91, 83, 3, false });
  CHECK(returned.carriers.size() == next.carriers.size());
  const auto settled = choose_carriers(returned, live, { 91, 83, 3, true });
  CHECK(settled.carriers == plan.carriers);
}

// Guards against carriers that together open more connections than a member accepts.
TEST_CASE("connection limits of all carriers never exceed the limit of a member")
{
  CHECK(rc::check("limits fit", [] {
    const auto zones = *rc::gen::inRange(1, 5);
    const auto count = *rc::gen::inRange(1, 160);
    const auto connections = static_cast<std::uint32_t>(*rc::gen::inRange(4, 300));
    std::vector<carrier> live;
    for (int number = 0; number < count; ++number) {
      const auto capacity = *rc::gen::element(0.084, 0.12, 0.17, 0.5, 1.0);
      live.push_back(make_instance("z" + std::to_string(number % zones), number, capacity));
    }
    const auto workspace_count = static_cast<std::size_t>(*rc::gen::inRange(0, 100));
    for (auto& instance : live) {
      instance.unavailable = *rc::gen::inRange(0, 10) == 0;
    }
    const auto plan = choose_carriers({}, live, { connections, workspace_count, 8 });
    RC_ASSERT(plan.decided());
    const auto workspaces = make_workspaces(workspace_count);
    const auto limits = connection_limits(plan, { "g", connections, 0 }, workspaces);
    // Each carrier of the group gets one connection, even if there are fewer.
    RC_ASSERT(sum_of_limits(limits) <=
              std::max<std::uint32_t>(connections, static_cast<std::uint32_t>(limits.size())));
    for (const auto& workspace : workspaces) {
      for (const auto& instance : live) {
        const auto ranked = rank_carriers(plan, { "g", workspace.name }, instance.zone);
        RC_ASSERT(ranked.size() == plan.carriers.size());
        const auto first = std::find_if(
          ranked.begin(), ranked.end(), [](const carrier* entry) { return !entry->unavailable; });
        if (first != ranked.end()) {
          RC_ASSERT(limits.contains((*first)->instance));
          RC_ASSERT(limits.at((*first)->instance) >= 1);
        }
      }
    }
    for (const auto& instance : live) {
      const auto in_zone = std::count_if(
        live.begin(), live.end(), [&](const auto& other) { return other.zone == instance.zone; });
      const auto carriers_there = std::count_if(live.begin(), live.end(), [&](const auto& other) {
        return other.zone == instance.zone && plan.carries(other.instance);
      });
      if (connections >= 4U * 2U * static_cast<std::uint32_t>(zones) + 2U) {
        RC_ASSERT(carriers_there >= std::min<std::ptrdiff_t>(2, in_zone));
      }
    }
  }));
}

// Guards against the loss of one carrier moving sessions of the others' workspaces, against a
// stronger carrier that gets no more sessions, and against sessions that cross zones although their
// zone has carriers.
TEST_CASE("workspaces follow capacities within their zone and move only with their carrier")
{
  std::vector<carrier> live;
  for (const std::string zone : { "a", "b", "c" }) {
    for (int number = 0; number < 6; ++number) {
      live.push_back(make_instance(zone, number, number < 2 ? 0.4 : 0.2));
    }
  }
  const auto plan = choose_carriers({}, live, { 200, 8, 3 });
  REQUIRE(plan.carriers.size() == 18);
  auto smaller = plan;
  const auto gone = instance_id("a-0");
  std::erase_if(smaller.carriers, [&](const carrier& entry) { return entry.instance == gone; });
  std::map<instance_id, int> homes;
  const zone_id zone("a");
  for (int number = 0; number < 800; ++number) {
    const routing_key key{ "g" + std::to_string(number % 8),
                           workspace_id("w" + std::to_string(number)) };
    const auto before = rank_carriers(plan, key, zone);
    const auto after = rank_carriers(smaller, key, zone);
    REQUIRE(before.size() == 18);
    for (std::size_t place = 0; place < 6; ++place) {
      CHECK(before[place]->zone == zone);
    }
    ++homes[before.front()->instance];
    const auto* expected = before.front()->instance == gone ? before[1] : before.front();
    CHECK(after.front()->instance == expected->instance);
    // An instance of another zone that must fall back to this one chooses the same carrier.
    const auto fallback = rank_carriers(plan, key, zone_id("none"));
    const auto zone_of_fallback = fallback.front()->zone;
    CHECK(fallback.front() == rank_carriers(plan, key, zone_of_fallback).front());
    // All groups of a workspace have the same carrier.
    CHECK(before.front() == rank_carriers(plan, { "other", key.workspace }, zone).front());
  }
  // 0.4 of 1.6 cores each for two, 0.2 for the others.
  for (const auto& [instance, count] : homes) {
    const bool strong = instance == instance_id("a-0") || instance == instance_id("a-1");
    CHECK(count > (strong ? 150 : 70));
    CHECK(count < (strong ? 250 : 130));
  }
}

// Guards against keys that another instance reads as another key.
TEST_CASE("routing keys are unchanged after encoding and decoding")
{
  const routing_key key{ "group", workspace_id("work space") };
  CHECK(decode_routing_key(encode_routing_key(key)) == key);
  CHECK(decode_routing_key(encode_routing_key({})) == routing_key());
  CHECK(decode_routing_key("START db key") == routing_key{ {}, workspace_id("START db key") });
  CHECK(encode_routing_key(key).find_first_of("\r\n") == std::string::npos);
  // Names with a tab became other names, and names with a line end other messages.
  const routing_key left{ "a\tb", workspace_id("c") };
  const routing_key right{ "a", workspace_id("b\tc") };
  CHECK(encode_routing_key(left) != encode_routing_key(right));
  CHECK(rc::check("any names", [](const std::string& group, const std::string& workspace) {
    const routing_key any{ group, workspace_id(workspace) };
    const auto text = encode_routing_key(any);
    RC_ASSERT(decode_routing_key(text) == any);
    RC_ASSERT(text.find_first_of("\r\n ") == std::string::npos);
  }));
  CHECK(rc::check("any text",
                  [](const std::string& text) { static_cast<void>(decode_routing_key(text)); }));
}

// A calm day of a fleet of 13 instances in three zones before 3 groups of 3 members with 35
// connections each, and 8 workspaces of which a few are large. Guards against connections that
// change hands all the time: with sessions on the instance that the caller happened to reach, one
// of three statements opened a new connection, which takes a slot of the member as long as a
// statement.
TEST_CASE("a calm day opens fewer than two connections in a hundred statements")
{
  std::vector<carrier> live;
  for (int number = 0; number < 13; ++number) {
    live.push_back(
      make_instance(std::string(1, static_cast<char>('a' + number % 3)), number, 0.17));
  }
  const auto workspaces = make_workspaces(8);
  const auto plan = choose_carriers({}, live, { 35, workspaces.size(), 3 });
  std::vector<listed_member> members;
  std::vector<double> weights;
  for (const std::string group : { "g0", "g1", "g2" }) {
    for (const std::string zone : { "a", "b", "c" }) {
      listed_member member;
      member.id = member_id(group + zone);
      member.group = group;
      member.zone = zone_id(zone);
      members.push_back(std::move(member));
    }
  }
  for (const auto& workspace : workspaces) {
    weights.push_back(workspace.rate_per_s);
  }

  instant now = at(0);
  std::size_t opened = 0;
  struct event
  {
    instance_id instance;
    connection_number connection;
    bool opens = false;
  };
  std::multimap<instant, event> events;
  std::map<instance_id, std::unique_ptr<connection_pool>> pools;
  for (const auto& entry : plan.carriers) {
    connection_pool::hooks hooks;
    hooks.open = [&, instance = entry.instance](const pooled_connection& connection,
                                                const listed_member&) {
      ++opened;
      events.emplace(now + ms(16), event{ instance, connection.number, true });
    };
    hooks.close = [](connection_number) {};
    hooks.primary_of = [](const std::string& group) {
      return std::optional<group_primary>({ member_id(group + "a"), true, {} });
    };
    auto pool = std::make_unique<connection_pool>(std::move(hooks), entry.zone);
    for (const std::string group : { "g0", "g1", "g2" }) {
      pool->set_connection_limit(
        group, connection_limits(plan, { group, 35, 0 }, workspaces).at(entry.instance));
    }
    pool->set_members(members, now);
    pools[entry.instance] = std::move(pool);
  }
  std::mt19937 random(1);
  std::discrete_distribution<std::size_t> workspace(weights.begin(), weights.end());
  // The first second opens one connection for each workspace and member that it uses.
  constexpr std::int64_t counted_from_us = 5'000'000;
  std::size_t statements = 0;
  std::size_t granted = 0;
  // 360 statements per second, a third of them at the primary.
  for (std::int64_t time = 0; time < 40'000'000; time += 2'778) {
    const auto arrival = instant(duration(time));
    while (!events.empty() && events.begin()->first <= arrival) {
      const auto next = events.begin()->second;
      now = events.begin()->first;
      events.erase(events.begin());
      if (next.opens) {
        pools[next.instance]->on_connection_opened(next.connection, now);
      } else {
        pools[next.instance]->release(next.connection, ms(15), now);
      }
    }
    now = arrival;
    if (time < counted_from_us) {
      opened = 0;
      granted = 0;
      statements = 0;
    }
    ++statements;
    connection_request request;
    request.group = "g" + std::to_string(random() % 3);
    request.workspace = workspaces[workspace(random)].name;
    request.needs_primary = random() % 3 == 0;
    request.target = now + ms(200);
    request.expiry = now + ms(200);
    const zone_id zone(std::string(1, static_cast<char>('a' + random() % 3)));
    const auto home =
      rank_carriers(plan, { request.group, request.workspace }, zone).front()->instance;
    pools[home]->acquire(
      request,
      [&, home](const std::shared_ptr<pooled_connection>& connection) {
        ++granted;
        events.emplace(now + ms(15), event{ home, connection->number, false });
      },
      [](statement_error, const std::string&) {},
      now);
  }
  CHECK(opened * 100 < statements * 2);
  CHECK(granted * 1000 > statements * 999);
}
