#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "Entry/retry_budget.h"
#include "Entry/router.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>

using namespace persimmonshelf;
using namespace std::chrono_literals;

namespace {

// Counts of one second, as an observer of the budget keeps them.
struct observed_second
{
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
};

struct traffic
{
  const char* name;
  // First attempts and wanted retries a second, by second; the last value repeats.
  std::vector<std::uint64_t> requests;
  std::vector<std::uint64_t> wanted;
};

const std::vector<traffic> traffics = {
  { "idle", { 0 }, { 50 } },
  { "little", { 5 }, { 50 } },
  { "steady", { 100 }, { 100 } },
  { "burst of retries", { 100 }, { 1000, 10 } },
  { "busy", { 2000 }, { 2000 } },
  { "collapse of the traffic", { 2000, 2000, 2000, 0 }, { 0, 0, 0, 500 } },
  { "rise of the traffic", { 1, 1, 1, 1, 3000 }, { 500 } },
};

std::uint64_t
at(const std::vector<std::uint64_t>& values, std::size_t second)
{
  return values[std::min(second, values.size() - 1)];
}

std::string
names(const std::vector<route_member>& order)
{
  std::string text;
  for (const auto& member : order) {
    text += member.member.get();
  }
  return text;
}

router
three_zones(const char* own)
{
  router made{ zone_id(own) };
  made.configure({ { database_id("d"),
                     { { member_id("a"), zone_id("z1") },
                       { member_id("b"), zone_id("z2") },
                       { member_id("c"), zone_id("z3") } } } });
  return made;
}

}

// Guards against retries that grow an overload: above 10% of the first attempts of the last 10 s
// only 3 a second are granted, and no more than 30 of the window.
TEST_CASE("retry budget bounds the retries of every window")
{
  for (const auto& load : traffics) {
    CAPTURE(load.name);
    retry_budget budget;
    std::deque<observed_second> window;
    std::uint64_t refused = 0;
    for (std::size_t second = 0; second < 60; ++second) {
      window.push_back({});
      if (window.size() > 10) {
        window.pop_front();
      }
      const auto first = at(load.requests, second);
      const auto wanted = at(load.wanted, second);
      const auto steps = std::max<std::uint64_t>({ first, wanted, 1 });
      for (std::uint64_t step = 0; step < steps; ++step) {
        const instant now(1s * second + 900ms * step / steps);
        if (step < first) {
          budget.record_request(now);
          ++window.back().requests;
        }
        if (step >= wanted) {
          continue;
        }
        if (!budget.try_take(now)) {
          ++refused;
          continue;
        }
        ++window.back().retries;
        observed_second sum;
        for (const auto& part : window) {
          sum.requests += part.requests;
          sum.retries += part.retries;
        }
        CAPTURE(second);
        CAPTURE(sum.requests);
        CAPTURE(sum.retries);
        const bool within_part = sum.retries * 10 <= sum.requests;
        const bool within_minimum = window.back().retries <= 3 && sum.retries <= 30;
        REQUIRE((within_part || within_minimum));
      }
    }
    CHECK(refused > 0);
  }
}

// Guards against an instance with little traffic that cannot retry at all.
TEST_CASE("retry budget grants three retries a second without traffic")
{
  retry_budget budget;
  for (int second = 0; second < 30; ++second) {
    for (int i = 0; i < 5; ++i) {
      CHECK(budget.try_take(instant(1s * second + 10ms * i)) == (i < 3));
    }
  }
}

// Guards against a wrong order of members, which costs hops and reads at the primary.
TEST_CASE("router orders members by role, freshness and zone")
{
  const database_id d("d");
  const instant now(10s);
  struct step
  {
    const char* name;
    const char* primary;
    std::uint64_t in_term;
    const char* stale;
    duration later;
    const char* writes;
    const char* reads;
  };
  const std::vector<step> steps = {
    { "nothing known", "", 0, "", 0ms, "abc", "bac" },
    { "primary in another zone", "a", 3, "", 0ms, "abc", "bca" },
    { "older term is ignored", "c", 2, "", 0ms, "abc", "bca" },
    { "own member is stale", "", 0, "b", 0ms, "abc", "cba" },
    { "staleness is forgotten", "", 0, "", 300ms, "abc", "bca" },
    { "own member becomes primary", "b", 4, "", 0ms, "bac", "acb" },
    { "member that is not configured", "x", 5, "", 0ms, "abc", "bac" },
  };
  auto routes = three_zones("z2");
  instant at_time = now;
  for (const auto& one : steps) {
    CAPTURE(one.name);
    at_time += one.later;
    if (*one.primary != 0) {
      routes.record_primary(d, member_id(one.primary), term(one.in_term));
    }
    if (*one.stale != 0) {
      routes.record_stale(d, member_id(one.stale), at_time);
    }
    CHECK(names(routes.write_order(d)) == one.writes);
    CHECK(names(routes.read_order(d, at_time)) == one.reads);
  }
}

// Guards against hints that are lost when an operator changes another database.
TEST_CASE("router keeps the primary over a change of the configuration")
{
  const database_id d("d");
  auto routes = three_zones("z1");
  routes.record_primary(d, member_id("c"), term(7));
  routes.configure(
    { { d, { { member_id("c"), zone_id("z3") }, { member_id("a"), zone_id("z1") } } },
      { database_id("e"), {} } });
  CHECK(routes.primary(d) == member_id("c"));
  CHECK(routes.primary_term(d) == term(7));
  CHECK(names(routes.write_order(d)) == "ca");
  CHECK(routes.write_order(database_id("e")).empty());
  CHECK(routes.write_order(database_id("gone")).empty());
  CHECK_FALSE(routes.find(d, member_id("b")));
  routes.record_primary(database_id("gone"), member_id("a"), term(1));
  CHECK_FALSE(routes.primary(database_id("gone")));
}
