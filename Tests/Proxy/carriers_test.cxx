#include <doctest/doctest.h>

#include "Proxy/carriers.h"

#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace persimmonshelf;

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

std::uint32_t
sum_of_limits(const carrier_plan& plan, const std::vector<carrier>& live, std::uint32_t connections)
{
  std::uint32_t sum = 0;
  for (const auto& instance : live) {
    if (plan.carries(instance.instance)) {
      sum += connection_limit(
        plan, instance.instance, connections, static_cast<std::uint32_t>(live.size()));
    }
  }
  return sum;
}

}

// Guards against relayed sessions in a fleet with enough connections for each instance.
TEST_CASE("with two connections to a member for each instance everyone is a carrier")
{
  std::vector<carrier> live;
  for (int number = 0; number < 21; ++number) {
    live.push_back(make_instance("a", number, 0.17));
  }
  const auto plan = choose_carriers({}, live, { 54, 8 });
  CHECK(plan.decided());
  CHECK(plan.everyone);
  CHECK(connection_limit(plan, live.front().instance, 54, 21) == 2);

  for (int number = 21; number < 27; ++number) {
    live.push_back(make_instance("a", number, 0.17));
  }
  CHECK(choose_carriers(plan, live, { 54, 8 }) == plan);
}

// 130 instances, 83 workspaces, 91 connections per member. Guards against connections spread so
// thinly that each statement opens a new one, which takes a slot at the member.
TEST_CASE("with fewer connections than instances the strongest of each zone are carriers")
{
  const auto live = mixed_fleet(42);
  const auto plan = choose_carriers({}, live, { 91, 83 });
  REQUIRE_FALSE(plan.everyone);
  CHECK(plan.carriers.size() == 6);
  for (const auto& entry : plan.carriers) {
    CHECK(entry.capacity == large);
    CHECK(connection_limit(plan, entry.instance, 91, 132) == 14);
  }
}

// Some machines are lost. Guards against sessions that move more often than needed, and against a
// zone without a carrier.
TEST_CASE("lost carriers are replaced and the others stay")
{
  const auto live = mixed_fleet(42);
  const auto plan = choose_carriers({}, live, { 91, 83 });
  CHECK(choose_carriers(plan, live, { 91, 83 }) == plan);

  const auto rest = without(live, { "a-0", "a-1", "b-0" });
  const auto next = choose_carriers(plan, rest, { 91, 83 });
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
  const auto plan = choose_carriers({}, live, { 91, 83 });
  const auto set_unavailable = [&](bool unavailable_now) {
    for (auto& instance : live) {
      instance.unavailable =
        unavailable_now && instance.capacity == large && instance.instance != instance_id("b-1");
    }
  };
  set_unavailable(true);
  const auto next = choose_carriers(plan, live, { 91, 83, false });
  double present = 0;
  std::uint32_t connections = 0;
  for (const auto& entry : next.carriers) {
    CHECK(entry.substitute == (entry.capacity == small));
    present += entry.unavailable ? 0 : entry.capacity;
    connections += connection_limit(next, entry.instance, 91, 132);
  }
  CHECK(present > 0.19 * (0.5 + 126 * small));
  CHECK(connections <= 91 + 5);
  for (const auto& entry : plan.carriers) {
    CHECK(next.carries(entry.instance));
  }

  set_unavailable(false);
  const auto returned = choose_carriers(next, live, { 91, 83, false });
  CHECK(returned.carriers.size() == next.carriers.size());
  const auto settled = choose_carriers(returned, live, { 91, 83, true });
  CHECK(settled.carriers == plan.carriers);
}

// 118 instances, 79 workspaces, 259 connections per member. Guards against a plan in which everyone
// is a carrier because each instance has two connections, although 79 workspaces share them.
TEST_CASE("many workspaces need carriers even where each instance has two connections")
{
  const auto live = mixed_fleet(37);
  const auto plan = choose_carriers({}, live, { 259, 79 });
  CHECK_FALSE(plan.everyone);
  CHECK(plan.carriers.size() == 6);
  CHECK(connection_limit(plan, plan.carriers.front().instance, 259, 117) == 42);
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
    const auto plan = choose_carriers({}, live, { connections, 83 });
    RC_ASSERT(plan.decided());
    // A carrier much weaker than the others still gets one connection.
    RC_ASSERT(
      sum_of_limits(plan, live, connections) <=
      std::max<std::uint32_t>(connections, static_cast<std::uint32_t>(plan.carriers.size())));
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

// Guards against the loss of one carrier moving sessions of the others' workspaces, and against a
// stronger carrier that gets no more sessions.
TEST_CASE("routing keys follow capacities and move only with their carrier")
{
  const auto live = mixed_fleet(42);
  const auto plan = choose_carriers({}, live, { 91, 83 });
  auto smaller = plan;
  smaller.carriers.erase(smaller.carriers.begin());
  const auto gone = plan.carriers.front().instance;
  std::map<instance_id, int> homes;
  for (int number = 0; number < 600; ++number) {
    const auto key = "w" + std::to_string(number) + "/g" + std::to_string(number % 8);
    const auto before = rank_carriers(plan, key);
    const auto after = rank_carriers(smaller, key);
    REQUIRE(before.size() == 6);
    ++homes[before.front()->instance];
    if (before.front()->instance != gone) {
      CHECK(after.front()->instance == before.front()->instance);
    } else {
      CHECK(after.front()->instance == before[1]->instance);
    }
  }
  for (const auto& [instance, count] : homes) {
    CHECK(count > 60);
    CHECK(count < 140);
  }

  carrier_plan uneven{ 1, false, { make_instance("a", 0, large), make_instance("a", 1, small) } };
  int at_large = 0;
  for (int number = 0; number < 600; ++number) {
    at_large +=
      rank_carriers(uneven, "k" + std::to_string(number)).front()->capacity == large ? 1 : 0;
  }
  CHECK(at_large > 460);
}
