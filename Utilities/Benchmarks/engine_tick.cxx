// Measures the processor time of a whole idle instance with 930 databases, by the size of the
// fleet.

#include "Adapters/peer_frame.h"
#include "Benchmarks/memory_table.h"
#include "Benchmarks/memory_use.h"
#include "Benchmarks/synthetic_configuration.h"
#include "Benchmarks/synthetic_fleet.h"
#include "Control/document_row.h"
#include "Engine/engine.h"
#include "Engine/wire_convert.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <random>

namespace {

using namespace persimmonshelf;

// Engine that receives heartbeats from a simulated fleet. Members of databases never answer.
struct engine_bench
{
  explicit engine_bench(std::size_t size)
    : fleet{ size }
  {
    document_row row;
    row.version = { config_version(1), "operator", "edit" };
    row.content = synthetic_configuration(930, 8);
    table.set("config", row.format(), 1);
    const auto self = synthetic_fleet::identity(0);
    engine_settings settings;
    settings.instance = self.instance;
    settings.incarnation = self.incarnation;
    settings.zone = self.zone;
    settings.peer_address = self.address;
    settings.session_secret = "secret";
    settings.start_sequence = self.start_sequence;
    engine_hooks hooks;
    hooks.run_backend_command = [](const auto&) { return true; };
    hooks.send_peer = [this](const auto&, const wire::envelope& message, auto) {
      sent_bytes += encode_frame(message).size();
      if (message.has_beat()) {
        sent_clock = from_wire(message.beat().clock_us());
      }
      return true;
    };
    hooks.table = table.hooks();
    hooks.list_instances = [this](auto done) {
      ++lists;
      done(fleet.list());
    };
    hooks.random_bits = [this] { return random(); };
    hooks.log = [](const auto&) {};
    hooks.request_ended = [](const auto&) {};
    hooks.failed_over = [](const auto&, const auto&) {};
    hooks.utc = [this] { return 1'790'000'000 + now.time_since_epoch().count() / 1'000'000; };
    const auto before = heap_bytes();
    instance = std::make_unique<engine>(std::move(settings), std::move(hooks), now);
    for (int i = 0; i < 400; ++i) {
      step();
    }
    bytes = heap_bytes() - before;
  }

  // Advances the time by 5 ms and runs a tick, preceded once a second by a heartbeat of the fleet.
  void step()
  {
    now += std::chrono::milliseconds(5);
    if (now >= next_heartbeat_at) {
      next_heartbeat_at = now + std::chrono::seconds(1);
      receive_heartbeat();
    }
    instance->tick(now);
    table.deliver();
  }

  void receive_heartbeat()
  {
    const auto sender = synthetic_fleet::name(8);
    const auto beat = fleet.make_heartbeat(8, ++sequence, sent_clock, true);
    instance->control().on_heartbeat(sender.get(), to_wire(beat), now);
  }

  synthetic_fleet fleet;
  memory_table table;
  std::mt19937_64 random{ 1 };
  instant now{ std::chrono::seconds(1000) };
  instant next_heartbeat_at;
  // Clock of the last heartbeat that the engine sent; the simulated fleet echoes it.
  instant sent_clock;
  std::uint64_t sequence = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t lists = 0;
  std::int64_t bytes = 0;
  std::unique_ptr<engine> instance;
};

void
engine_idle_tick(benchmark::State& state)
{
  engine_bench bench(static_cast<std::size_t>(state.range(0)));
  const auto reads = bench.table.reads + bench.lists;
  const auto writes = bench.table.writes;
  const auto sent = bench.sent_bytes;
  for (auto _ : state) {
    bench.step();
  }
  const auto seconds = static_cast<double>(state.iterations()) * 0.005;
  state.counters["reads_s"] =
    static_cast<double>(bench.table.reads + bench.lists - reads) / seconds;
  state.counters["writes_s"] = static_cast<double>(bench.table.writes - writes) / seconds;
  state.counters["sent_bytes_s"] = static_cast<double>(bench.sent_bytes - sent) / seconds;
  state.counters["watched"] = static_cast<double>(bench.instance->groups().size());
  state.counters["members"] = static_cast<double>(bench.instance->homes().stats().size());
  state.counters["bytes"] = static_cast<double>(bench.bytes);
}

// 2000 ticks of 5 ms cover whole seconds, so that work done once a second is included.
BENCHMARK(engine_idle_tick)
  ->Arg(21)
  ->Arg(66)
  ->Arg(132)
  ->Arg(265)
  ->Arg(530)
  ->Iterations(2000)
  ->Unit(benchmark::kMicrosecond);

}

BENCHMARK_MAIN();
