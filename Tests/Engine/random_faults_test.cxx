#include "sim_session.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <iostream>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

// Starts random faults. Later steps may end the faults of earlier ones.
class random_faults
{
public:
  explicit random_faults(sim_fleet& fleet)
    : fleet_(fleet)
  {
  }

  void step()
  {
    switch (pick(12)) {
      case 0:
        return with_instance([&](const std::string& name) { fleet_.kill(name); });
      case 1:
        return with_instance([&](const std::string& name) { fleet_.pause(name); });
      case 2:
      case 3:
        return restore_instances();
      case 4:
        return fleet_.kill_member(member());
      case 5:
        return fleet_.group.start(member());
      case 6:
        return fleet_.isolate_zone(zone());
      case 7:
        return fleet_.net.cut(zone(), "platform");
      case 8:
        return fleet_.heal();
      case 9:
        fleet_.group.at(member()).lag = std::chrono::milliseconds(1 + pick(400));
        return;
      case 10:
        return fleet_.net.cut(member(), zone());
      default:
        return with_instance([&](const std::string& name) {
          auto& instance = fleet_.at(name);
          instance.core->drain(fleet_.loop.now() + instance.offset);
        });
    }
  }

  void restore()
  {
    fleet_.heal();
    fleet_.loss = 0;
    restore_instances();
    for (auto& [id, target] : fleet_.group.members()) {
      fleet_.group.start(id);
      target->lag = 2ms;
    }
  }

private:
  std::uint64_t pick(std::uint64_t bound) { return fleet_.random() % bound; }
  std::string member() { return "main-" + std::to_string(1 + pick(3)); }
  std::string zone() { return "z" + std::to_string(1 + pick(3)); }

  template<typename action>
  void with_instance(action act)
  {
    const auto names = fleet_.routable_instances();
    if (names.size() > 2) {
      act(names[pick(names.size())]);
    }
  }

  void restore_instances()
  {
    for (auto& [name, instance] : fleet_.instances()) {
      if (instance->run->running && instance->core->draining()) {
        fleet_.kill(name);
      }
      if (!instance->run->running) {
        fleet_.start(name);
      } else if (instance->run->paused) {
        fleet_.resume(name);
      }
    }
  }

  sim_fleet& fleet_;
};

void
run_random_faults(std::uint64_t seed, std::map<std::string, std::size_t>& ends)
{
  CAPTURE(seed);
  sim_fleet fleet({ .seed = seed, .slots = 2 });
  fleet.loss = 0.002;
  fleet.run(6s);
  sim_session_group plain(fleet, 6, { .name = "p", .deadline = 2s, .transactions = 15 });
  sim_session_group repeated(fleet, 4, { .name = "r", .deadline = 2s, .idempotent = true });
  random_faults faults(fleet);
  for (int i = 0; i < 15; ++i) {
    fleet.run(std::chrono::milliseconds(200 + fleet.random() % 2500));
    faults.step();
  }
  faults.restore();
  fleet.run(14s);
  const auto settled = fleet.loop.now();
  fleet.run(3s);
  plain.stop();
  repeated.stop();
  fleet.run(3s);
  fleet.verify();
  CHECK_MESSAGE(repeated.longest_gap(settled, settled + 3s) < 1s,
                "writes stopped for 1 s or more after the faults ended");
  for (const auto& [name, count] : fleet.end_codes()) {
    ends[name] += count;
  }
}

}

// Guards against errors that occur only with combinations of faults. PERSIMMONSHELF_ENGINE_SEEDS=N
// runs N random seeds, PERSIMMONSHELF_ENGINE_SEED=S repeats one seed.
TEST_CASE("random combinations of faults")
{
  std::map<std::string, std::size_t> ends;
  if (const char* chosen = std::getenv("PERSIMMONSHELF_ENGINE_SEED")) {
    run_random_faults(std::strtoull(chosen, nullptr, 10), ends);
  } else if (const char* count = std::getenv("PERSIMMONSHELF_ENGINE_SEEDS")) {
    std::random_device source;
    for (auto left = std::strtoull(count, nullptr, 10); left > 0; --left) {
      run_random_faults(source(), ends);
    }
  } else {
    for (std::uint64_t seed = 1001; seed <= 1030; ++seed) {
      run_random_faults(seed, ends);
    }
  }
  std::cout << "random faults: " << describe(ends) << "\n";
}
