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

// Requests and granted retries of one second, counted by the test.
struct observed_second
{
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
};

struct traffic_pattern
{
  const char* name;
  // First attempts and requested retries for each second; the last value repeats.
  std::vector<std::uint64_t> requests;
  std::vector<std::uint64_t> wanted_retries;
};

const std::vector<traffic_pattern> traffic_patterns = {
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
member_names(const std::vector<route_member>& order)
{
  std::string text;
  for (const auto& member : order) {
    text += member.member.get();
  }
  return text;
}

router
make_router(const char* own)
{
  router made{ zone_id(own) };
  made.configure({ { database_id("d"),
                     { { member_id("a"), zone_id("z1") },
                       { member_id("b"), zone_id("z2") },
                       { member_id("c"), zone_id("z3") } } } });
  return made;
}

}

// Guards against retries that amplify an overload. Beyond 10% of the first attempts in the
// window of 10 s, only 3 retries per second are granted, and no more than 30 in the window.
TEST_CASE("retry budget limits the retries in every window")
{
  for (const auto& load : traffic_patterns) {
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
      const auto wanted_retries = at(load.wanted_retries, second);
      const auto steps = std::max<std::uint64_t>({ first, wanted_retries, 1 });
      for (std::uint64_t step = 0; step < steps; ++step) {
        const instant now(1s * second + 900ms * step / steps);
        if (step < first) {
          budget.record_request(now);
          ++window.back().requests;
        }
        if (step >= wanted_retries) {
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
        const bool within_percentage = sum.retries * 10 <= sum.requests;
        const bool within_minimum = window.back().retries <= 3 && sum.retries <= 30;
        REQUIRE((within_percentage || within_minimum));
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

// Guards against a wrong order of candidate members, which causes extra hops and reads at the
// primary.
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
    { "staleness expires", "", 0, "", 300ms, "abc", "bca" },
    { "own member becomes primary", "b", 4, "", 0ms, "bac", "acb" },
    { "member that is not configured", "x", 5, "", 0ms, "abc", "bac" },
  };
  auto routes = make_router("z2");
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
    CHECK(member_names(routes.write_order(d)) == one.writes);
    CHECK(member_names(routes.read_order(d, at_time)) == one.reads);
  }
}

// Guards against losing hints for a database when the configuration of another one changes.
TEST_CASE("router keeps the primary across a configuration change")
{
  const database_id d("d");
  auto routes = make_router("z1");
  routes.record_primary(d, member_id("c"), term(7));
  routes.configure(
    { { d, { { member_id("c"), zone_id("z3") }, { member_id("a"), zone_id("z1") } } },
      { database_id("e"), {} } });
  CHECK(routes.primary(d) == member_id("c"));
  CHECK(routes.primary_term(d) == term(7));
  CHECK(member_names(routes.write_order(d)) == "ca");
  CHECK(routes.write_order(database_id("e")).empty());
  CHECK(routes.write_order(database_id("gone")).empty());
  CHECK_FALSE(routes.find(d, member_id("b")));
  routes.record_primary(database_id("gone"), member_id("a"), term(1));
  CHECK_FALSE(routes.primary(database_id("gone")));
}
