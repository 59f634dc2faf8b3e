#include <doctest/doctest.h>

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "fleet.h"

#include <iostream>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

constexpr int instance_count = 5;

// Short leases, so that every lease expires many times within a run of one minute.
share_settings
quick_settings()
{
  share_settings settings;
  settings.extra_lease = 3s;
  settings.base_lease = 12s;
  settings.renew_interval = 500ms;
  settings.retry_interval = 200ms;
  settings.rebalance_interval = 500ms;
  settings.lease_read_interval = 500ms;
  settings.call_timeout = 700ms;
  settings.leave_delay = 2s;
  settings.row_read_bytes_per_second = 1'000'000;
  settings.base_limit_ppm = 600'000;
  return settings;
}

enum class action
{
  generate_load,
  idle,
  pause,
  kill,
  restart,
  partition_zone,
  partition_zone_and_platform,
  heal,
  outage,
  fail_calls,
  lose_messages,
  configure,
  drain,
  count,
};

constexpr const char* action_names[] = { "generate_load",
                                         "idle",
                                         "pause",
                                         "kill",
                                         "restart",
                                         "partition_zone",
                                         "partition_zone_and_platform",
                                         "heal",
                                         "outage",
                                         "fail_calls",
                                         "lose_messages",
                                         "configure",
                                         "drain" };

void
perform(fleet& sut, action what, fleet::simulated_instance& instance, int amount)
{
  const auto length = duration(std::chrono::milliseconds(amount * 100));
  const auto restart = [&sut](fleet::simulated_instance& target) {
    sut.kill(target);
    sut.start(target);
  };
  switch (what) {
    case action::generate_load: {
      // Demand above the rate, most of it at one instance that `amount` selects.
      std::vector<double> weights(instance_count, 1.0);
      weights[static_cast<std::size_t>(amount % instance_count)] = 6.0;
      sut.generate_load(120.0 + amount * 4, weights, sut.loop.now() + length);
      break;
    }
    case action::pause:
      sut.pause(instance, length);
      break;
    case action::kill:
      sut.kill(instance);
      break;
    case action::restart:
      restart(instance);
      break;
    case action::partition_zone:
    case action::partition_zone_and_platform:
      sut.partitioned_zones.insert(instance.identity.zone.get());
      sut.platform_partitioned = what == action::partition_zone_and_platform;
      break;
    case action::heal:
      sut.partitioned_zones.clear();
      sut.failed_call_percent = 0;
      sut.lost_message_percent = 0;
      for (auto& each : sut.instances) {
        if (!each->run->running) {
          restart(*each);
        }
      }
      break;
    case action::outage:
      sut.outage = true;
      sut.loop.after(length, [&sut] { sut.outage = false; });
      break;
    case action::fail_calls:
      sut.failed_call_percent = amount % 60;
      break;
    case action::lose_messages:
      sut.lost_message_percent = amount % 60;
      break;
    case action::configure:
      sut.configure({ 20'000 + amount % 5 * 20'000, 10'000 + amount % 4 * 15'000 });
      break;
    case action::drain:
      instance.run->deliver([&] { instance.limiter->drain(sut.local_time(instance)); });
      break;
    case action::idle:
    case action::count:
      break;
  }
}

struct model
{};

struct command : rc::state::Command<model, fleet>
{
  int what = *rc::gen::inRange(0, static_cast<int>(action::count));
  int instance = *rc::gen::inRange(0, instance_count);
  int amount = *rc::gen::inRange(0, 60);
  int run_ms = *rc::gen::inRange(0, 4000);

  void run(const model&, fleet& sut) const override
  {
    perform(
      sut, static_cast<action>(what), *sut.instances[static_cast<std::size_t>(instance)], amount);
    sut.run(std::chrono::milliseconds(run_ms));
    if (!sut.violation.empty()) {
      RC_FAIL(sut.violation);
    }
  }
  void show(std::ostream& out) const override
  {
    out << action_names[what] << "(instance " << instance << ", amount " << amount << ") for "
        << run_ms << " ms";
  }
};

}

// Guards against more than burst + rate * window admissions in any window, under any combination of
// partitions, pauses, crashes, restarts, failed calls, lost messages, outages, drains, moving
// demand and configuration changes.
TEST_CASE("admissions in any window stay within burst and rate under faults")
{
  std::uint64_t admitted = 0;
  std::uint64_t runs = 0;
  const auto settings = quick_settings();
  // Runs are longer than the default, so that base leases expire within a run.
  auto params = rc::detail::configuration().testParams;
#ifdef __SANITIZE_ADDRESS__
  // The sanitizers make a run about a hundred times slower.
  params.maxSuccess = 40;
#else
  params.maxSuccess = 600;
#endif
  params.maxSize = 200;
  const auto result = rc::detail::checkTestable(
    [&] {
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      fleet sut(instance_count, 3, settings, { 60'000, 40'000 }, seed);
      sut.run(2s);
      rc::state::check(model{}, sut, rc::state::gen::execOneOfWithArgs<command>());
      admitted += sut.admitted;
      ++runs;
    },
    rc::detail::TestMetadata{ "windows", "windows" },
    params);
  rc::detail::printResultMessage(result, std::cout);
  CHECK(result.is<rc::detail::SuccessResult>());
  MESSAGE("fuzz: ", runs, " runs, ", admitted, " admissions checked");
  CHECK(admitted * 600 > 100'000 * static_cast<std::uint64_t>(params.maxSuccess));
}
