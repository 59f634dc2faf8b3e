#include <doctest/doctest.h>

#include "fleet.h"

#include <cstdio>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

constexpr int instance_count = 21;
constexpr auto warm_up = std::chrono::seconds(60);

// A single bucket that receives the requests of all instances, as the reference.
class central_bucket
{
public:
  explicit central_bucket(workspace_limit limit)
    : bucket_(limit.rate_milli, limit.burst_milli, limit.burst_milli, instant{})
  {
  }
  bool admit(instant now) { return bucket_.take(token_milli, now); }

private:
  token_bucket bucket_;
};

std::vector<double>
zone_heavy(int zone)
{
  // The given zone has 70% of the demand, the two others 15% each.
  std::vector<double> weights;
  for (int i = 0; i < instance_count; ++i) {
    weights.push_back(i % 3 == zone ? 70.0 : 15.0);
  }
  return weights;
}

struct scenario
{
  const char* name;
  duration length;
  std::vector<double> weights;
  std::function<void(fleet&)> faults;
};

struct measurement_result
{
  std::uint64_t requests = 0;
  std::uint64_t wrongly_refused = 0;
  std::uint64_t refused_by_both = 0;
  distributed_rate_limiter::counters counts;
};

// The instance stops after 5 s, with `drain` after returning its shares, and starts again 5 s
// later.
void
restart_later(fleet& sut, std::size_t index, bool drain)
{
  auto& instance = *sut.instances[index];
  if (drain) {
    instance.limiter->drain(sut.local_time(instance));
  }
  sut.loop.after(5s, [&sut, &instance] { sut.kill(instance); });
  sut.loop.after(10s, [&sut, &instance] { sut.start(instance); });
}

std::vector<scenario>
scenarios()
{
  const std::vector<double> even(instance_count, 1.0);
  return {
    { "steady even demand", 300s, even, {} },
    { "uneven demand, one zone has 70%", 300s, zone_heavy(0), {} },
    { "moving demand, heavy zone changes each minute",
      300s,
      {},
      [](fleet& sut) {
        for (int i = 0; i < 5; ++i) {
          sut.loop.after(i * 60s, [&sut, i] {
            sut.generate_load(sut.demand, zone_heavy(i % 3), sut.loop.now() + 60s);
          });
        }
      } },
    { "one holder killed for good", 300s, even, [](fleet& sut) { sut.kill(*sut.instances[4]); } },
    { "rolling restart, one instance each 14 s, shares kept",
      300s,
      even,
      [](fleet& sut) {
        for (std::size_t i = 0; i < instance_count; ++i) {
          sut.loop.after(static_cast<int>(i) * 14s, [&sut, i] { restart_later(sut, i, false); });
        }
      } },
    { "rolling restart, one instance each 14 s, shares returned",
      300s,
      even,
      [](fleet& sut) {
        for (std::size_t i = 0; i < instance_count; ++i) {
          sut.loop.after(static_cast<int>(i) * 14s, [&sut, i] { restart_later(sut, i, true); });
        }
      } },
    { "platform out for 10 minutes, even demand",
      600s,
      even,
      [](fleet& sut) {
        sut.outage = true;
        sut.loop.after(600s, [&sut] { sut.outage = false; });
      } },
    { "platform out for 10 minutes, one zone has 70%",
      600s,
      zone_heavy(0),
      [](fleet& sut) {
        sut.outage = true;
        sut.loop.after(600s, [&sut] { sut.outage = false; });
      } },
    { "one zone cut off, platform reachable",
      300s,
      even,
      [](fleet& sut) { sut.partitioned_zones.insert("z1"); } },
    { "one zone cut off from all",
      300s,
      even,
      [](fleet& sut) {
        sut.partitioned_zones.insert("z1");
        sut.platform_partitioned = true;
      } },
  };
}

measurement_result
measure(const scenario& chosen, workspace_limit limit)
{
  fleet sut(instance_count, 3, share_settings(), limit, 99);
  measurement_result found;
  central_bucket central(limit);
  bool counting = false;
  sut.on_arrival = [&](fleet::simulated_instance& instance) {
    if (!instance.run->running) {
      // The load balancer sends the request to another instance.
      sut.on_arrival(*sut.instances[sut.random() % sut.instances.size()]);
      return;
    }
    const bool counted = counting;
    const bool central_admits = central.admit(sut.loop.now());
    found.requests += counted;
    sut.request(instance, [&, counted, central_admits](admission_decision outcome) {
      const bool refused = outcome != admission_decision::admitted;
      found.wrongly_refused += counted && refused && central_admits;
      found.refused_by_both += counted && refused && !central_admits;
    });
  };
  // The demand is 80% of the rate.
  sut.demand = static_cast<double>(limit.rate_milli) / 1'000 * 0.8;
  const auto even = std::vector<double>(instance_count, 1.0);
  sut.generate_load(sut.demand, chosen.weights.empty() ? even : chosen.weights, instant(warm_up));
  sut.run(warm_up);
  counting = true;
  const auto before = sut.fleet_counts();
  if (!chosen.weights.empty()) {
    sut.generate_load(sut.demand, chosen.weights, sut.loop.now() + chosen.length);
  }
  if (chosen.faults) {
    chosen.faults(sut);
  }
  sut.run(chosen.length);
  counting = false;
  found.counts = sut.fleet_counts();
  found.counts.borrowed -= std::min(found.counts.borrowed, before.borrowed);
  sut.run(1s);
  CHECK(sut.violation == "");
  return found;
}

}

// Guards against a violation of the bound in the scenarios of docs/limits.md. Also prints their
// figures, which are not checked because they depend on the load.
TEST_CASE("measurement: refusals that a single central bucket would not have made")
{
  for (const auto& limit :
       { workspace_limit{ 500'000, 500'000 }, workspace_limit{ 200'000, 84'000 } }) {
    std::printf("rate %lld/s, burst %lld, demand 80%% of the rate, %d holders\n",
                static_cast<long long>(limit.rate_milli / 1000),
                static_cast<long long>(limit.burst_milli / 1000),
                instance_count);
    std::printf("| scenario | requests | wrongly refused | share | borrowed |\n");
    std::printf("| --- | --- | --- | --- | --- |\n");
    for (const auto& chosen : scenarios()) {
      CAPTURE(chosen.name);
      const auto found = measure(chosen, limit);
      CHECK(found.requests > 0);
      std::printf(
        "| %s | %llu | %llu | %.4f%% | %.1f%% |\n",
        chosen.name,
        static_cast<unsigned long long>(found.requests),
        static_cast<unsigned long long>(found.wrongly_refused),
        100.0 * static_cast<double>(found.wrongly_refused) / static_cast<double>(found.requests),
        100.0 * static_cast<double>(found.counts.borrowed) / static_cast<double>(found.requests));
    }
  }
}
