// Measures the distributed rate limiter by the number of workspaces.

#include "Benchmarks/memory_table.h"
#include "Benchmarks/memory_use.h"
#include "Limits/distributed_rate_limiter.h"

#include <benchmark/benchmark.h>

#include <memory>

namespace {

using namespace persimmonshelf;

constexpr std::int64_t holders = 21;

// One of 21 instances with equal shares of each workspace's rate and burst.
struct holder_bench
{
  explicit holder_bench(std::int64_t count)
  {
    const instance_id self("entry-0");
    share_row others;
    for (std::int64_t i = 1; i < holders; ++i) {
      const share_owner owner{ instance_id("entry-" + std::to_string(i)),
                               incarnation_id(static_cast<std::uint64_t>(i)) };
      others = others.join(owner, ppm_total / holders, ppm_total);
    }
    distributed_rate_limiter::hooks calls;
    calls.table = table.hooks();
    calls.now = [this] { return now; };
    calls.candidates = [](const workspace_id&) {
      std::vector<share_candidate> all;
      for (std::int64_t i = 0; i < holders; ++i) {
        all.push_back(
          { instance_id("entry-" + std::to_string(i)), zone_id("z" + std::to_string(i % 3)) });
      }
      return all;
    };
    calls.send_borrow_request = [](const auto&, auto, const auto&, auto) {};
    calls.send_borrow_answer = [](const auto&, auto, const auto&, auto) {};
    const auto before = heap_bytes();
    shares = std::make_unique<distributed_rate_limiter>(
      share_owner{ self, incarnation_id(77) }, share_settings(), std::move(calls));
    std::map<workspace_id, workspace_limit> limits;
    for (std::int64_t i = 0; i < count; ++i) {
      const workspace_id name("workspace-" + std::to_string(i));
      table.set(share_row::key(name), others.to_json(), 1);
      limits[name] = { 1'000'000'000'000, 1'000'000'000'000 };
    }
    shares->configure(limits, now);
    for (int i = 0; i < 4000; ++i) {
      step();
    }
    bytes = heap_bytes() - before;
  }

  void step()
  {
    now += std::chrono::milliseconds(5);
    shares->tick(now);
    table.deliver();
  }

  instant now{ std::chrono::seconds(1000) };
  memory_table table;
  std::unique_ptr<distributed_rate_limiter> shares;
  std::int64_t bytes = 0;
};

void
share_admit(benchmark::State& state)
{
  holder_bench bench(state.range(0));
  const workspace_id name("workspace-3");
  std::uint64_t admitted = 0;
  for (auto _ : state) {
    bench.now += std::chrono::microseconds(5);
    bench.shares->admit(name, bench.now, [&](admission_decision decision) {
      admitted += decision == admission_decision::admitted ? 1 : 0;
    });
  }
  state.counters["admitted"] =
    static_cast<double>(admitted) / static_cast<double>(state.iterations());
  // Includes the rows and the call queue of the in-memory table.
  state.counters["bytes"] = static_cast<double>(bench.bytes);
}

// Time of a tick every 5 ms, including the table's answers to periodic calls.
void
share_tick(benchmark::State& state)
{
  holder_bench bench(state.range(0));
  const auto reads = bench.table.reads;
  const auto writes = bench.table.writes;
  for (auto _ : state) {
    bench.step();
  }
  const auto seconds = static_cast<double>(state.iterations()) * 0.005;
  state.counters["reads_s"] = static_cast<double>(bench.table.reads - reads) / seconds;
  state.counters["writes_s"] = static_cast<double>(bench.table.writes - writes) / seconds;
}

BENCHMARK(share_admit)->Arg(8)->Arg(64)->Arg(512);
BENCHMARK(share_tick)->Arg(8)->Arg(64)->Arg(512)->Unit(benchmark::kMicrosecond);

}

BENCHMARK_MAIN();
