// Measures membership, home selection, configuration and keys by the size of the fleet.

#include "Adapters/peer_frame.h"
#include "Benchmarks/memory_use.h"
#include "Benchmarks/synthetic_configuration.h"
#include "Benchmarks/synthetic_fleet.h"
#include "Control/configuration.h"
#include "Control/home_chooser.h"
#include "Control/key_set.h"
#include "Engine/wire_convert.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <random>

namespace {

using namespace persimmonshelf;

constexpr instant start{ std::chrono::seconds(1000) };

std::unique_ptr<membership>
make_view(const synthetic_fleet& fleet, std::size_t self)
{
  auto random = std::make_shared<std::mt19937_64>(self + 1);
  auto view = std::make_unique<membership>(synthetic_fleet::identity(self),
                                           [random](auto bound) { return (*random)() % bound; });
  fleet.populate(*view, self, start);
  return view;
}

std::string
wire_text(const heartbeat& beat)
{
  wire::envelope message;
  message.set_sender(synthetic_fleet::name(0).get());
  message.set_sender_incarnation(1);
  message.set_clock_us(1);
  *message.mutable_beat() = to_wire(beat);
  return encode_frame(message);
}

// Time to create and encode one heartbeat to an instance of the same zone, and the sizes of
// heartbeats within a zone and between zones.
void
heartbeat_make(benchmark::State& state)
{
  const synthetic_fleet fleet{ static_cast<std::size_t>(state.range(0)) };
  const auto view = make_view(fleet, 0);
  const auto now = start + std::chrono::milliseconds(10);
  for (auto _ : state) {
    benchmark::DoNotOptimize(wire_text(view->make_heartbeat(synthetic_fleet::name(8), now)));
  }
  const auto own_zone_size = wire_text(view->make_heartbeat(synthetic_fleet::name(8), now)).size();
  const auto other_zone_size =
    wire_text(view->make_heartbeat(synthetic_fleet::name(1), now)).size();
  state.counters["own_zone_bytes"] = static_cast<double>(own_zone_size);
  state.counters["other_zone_bytes"] = static_cast<double>(other_zone_size);
  state.counters["bytes_s"] = static_cast<double>(3 * own_zone_size + other_zone_size);
}

// Time to decode and merge one heartbeat in which every entry is newer than the stored one.
void
heartbeat_receive(benchmark::State& state)
{
  const synthetic_fleet fleet{ static_cast<std::size_t>(state.range(0)) };
  const auto view = make_view(fleet, 0);
  const auto echo = view->make_heartbeat(synthetic_fleet::name(8), start).clock;
  auto beat = fleet.make_heartbeat(8, 2, echo, true);
  beat.entries.resize(std::min(beat.entries.size(),
                               fleet.size <= membership::full_view_limit
                                 ? fleet.size
                                 : membership::entries_per_heartbeat + 1));
  auto message = to_wire(beat);
  for (auto _ : state) {
    for (auto& entry : *message.mutable_entries()) {
      entry.set_sequence(entry.sequence() + 1);
    }
    const auto text = message.SerializeAsString();
    wire::heartbeat parsed;
    parsed.ParseFromString(text);
    view->receive(
      synthetic_fleet::name(8), from_wire(parsed), start + std::chrono::milliseconds(3));
  }
}

void
view_memory(benchmark::State& state)
{
  const synthetic_fleet fleet{ static_cast<std::size_t>(state.range(0)) };
  std::int64_t bytes = 0;
  for (auto _ : state) {
    const auto before = heap_bytes();
    const auto view = make_view(fleet, 0);
    bytes = heap_bytes() - before;
    benchmark::DoNotOptimize(view.get());
  }
  state.counters["bytes"] = static_cast<double>(bytes);
}

void
home_choice(benchmark::State& state)
{
  const synthetic_fleet fleet{ static_cast<std::size_t>(state.range(0)) };
  const auto view = make_view(fleet, 0);
  const database_id database("database-17");
  for (auto _ : state) {
    benchmark::DoNotOptimize(
      view->home_of(database, synthetic_fleet::zone(3), start + std::chrono::milliseconds(5)));
  }
}

// Time to assign the members of 930 databases with 3 members each to homes, as the engine does
// after a change of the live instances.
void
reassignment_pass(benchmark::State& state)
{
  const synthetic_fleet fleet{ static_cast<std::size_t>(state.range(0)) };
  const auto view = make_view(fleet, 0);
  const auto config = configuration::parse(synthetic_configuration(930, 8));
  if (!config) {
    state.SkipWithError("the configuration is invalid");
    return;
  }
  const auto now = start + std::chrono::milliseconds(5);
  std::size_t own = 0;
  for (auto _ : state) {
    own = 0;
    const home_chooser homes(*view, now);
    for (const auto& database : config.value().databases()) {
      for (const auto& member : database.members) {
        own += homes.home_of(database.id, member.zone) == view->self().instance ? 1 : 0;
      }
    }
  }
  state.counters["members_here"] = static_cast<double>(own);
}

void
live_list(benchmark::State& state)
{
  const synthetic_fleet fleet{ static_cast<std::size_t>(state.range(0)) };
  const auto view = make_view(fleet, 0);
  for (auto _ : state) {
    benchmark::DoNotOptimize(view->live(view->self().zone, start + std::chrono::milliseconds(5)));
  }
}

void
configuration_parse(benchmark::State& state)
{
  const auto text = synthetic_configuration(static_cast<std::size_t>(state.range(0)), 8);
  std::int64_t bytes = 0;
  for (auto _ : state) {
    const auto before = heap_bytes();
    const auto parsed = configuration::parse(text);
    if (!parsed) {
      state.SkipWithError("the configuration is invalid");
      return;
    }
    bytes = heap_bytes() - before;
  }
  state.counters["text_bytes"] = static_cast<double>(text.size());
  state.counters["memory_bytes"] = static_cast<double>(bytes);
}

void
key_find(benchmark::State& state)
{
  key_set keys;
  const auto count = state.range(0);
  const auto before = heap_bytes();
  for (std::int64_t i = 0; i < count; ++i) {
    const auto added =
      keys.add(sha256("key " + std::to_string(i)), workspace_id("w" + std::to_string(i % 8)), "");
    if (!added) {
      state.SkipWithError("a key could not be added");
      return;
    }
  }
  state.counters["memory_bytes"] = static_cast<double>(heap_bytes() - before);
  state.counters["text_bytes"] = static_cast<double>(keys.text(config_version(1)).size());
  std::int64_t next = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(keys.find("key " + std::to_string(next++ % count)));
  }
}

void
fleet_sizes(benchmark::internal::Benchmark* target)
{
  target->Arg(21)->Arg(66)->Arg(132)->Arg(265)->Arg(530);
}

BENCHMARK(heartbeat_make)->Apply(fleet_sizes);
BENCHMARK(heartbeat_receive)->Apply(fleet_sizes);
BENCHMARK(view_memory)->Apply(fleet_sizes);
BENCHMARK(home_choice)->Apply(fleet_sizes);
BENCHMARK(reassignment_pass)->Apply(fleet_sizes)->Unit(benchmark::kMillisecond);
BENCHMARK(live_list)->Apply(fleet_sizes);
BENCHMARK(configuration_parse)->Arg(3)->Arg(93)->Arg(930)->Unit(benchmark::kMicrosecond);
BENCHMARK(key_find)->Arg(8)->Arg(1000)->Arg(10000);

}

BENCHMARK_MAIN();
