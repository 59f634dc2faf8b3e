// Measures open requests, traces and session tokens.

#include "Benchmarks/memory_use.h"
#include "Engine/trace_store.h"
#include "Entry/request_table.h"
#include "Session/session_token.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <memory>
#include <string>

namespace {

using namespace persimmonshelf;

struct table_harness
{
  explicit table_harness(std::int64_t open)
    : routes(zone_id("z0"))
    , table(routes,
            budget,
            { [this](const auto&, const attempt& sent) { attempts.push_back(sent.id); },
              [this](const auto&, auto, auto, const auto&, const auto*) { ++finished; } })
  {
    routes.configure(
      { { database_id("orders"),
          { { member_id("m0"), zone_id("z0") }, { member_id("m1"), zone_id("z1") } } } });
    for (std::int64_t i = 0; i < open; ++i) {
      start();
    }
  }

  void start()
  {
    request_spec spec;
    spec.database = database_id("orders");
    spec.deadline = now + std::chrono::hours(10);
    table.start(
      request_id("entry-17-0123456789abcdef-" + std::to_string(1'000'000 + next++)), spec, now);
  }

  void answer()
  {
    attempt_answer made;
    made.id = attempts.front();
    attempts.pop_front();
    made.code = result_code::ok;
    made.outcome = run_outcome::done;
    table.attempt_answered(made, now);
  }

  instant now{ std::chrono::seconds(1000) };
  std::int64_t next = 0;
  std::uint64_t finished = 0;
  std::deque<request_id> attempts;
  router routes;
  retry_budget budget;
  request_table table;
};

// Time to start one request and answer the oldest, at a given number of open requests.
void
request_start_answer(benchmark::State& state)
{
  table_harness harness(state.range(0));
  for (auto _ : state) {
    harness.start();
    harness.answer();
  }
}

// Time of a tick in which nothing is due, and the memory of the open requests.
void
request_tick(benchmark::State& state)
{
  const auto before = heap_bytes();
  table_harness harness(state.range(0));
  state.counters["bytes"] = static_cast<double>(heap_bytes() - before);
  for (auto _ : state) {
    harness.now += std::chrono::milliseconds(5);
    harness.table.tick(harness.now);
  }
}

request_trace
make_trace(std::int64_t number)
{
  request_trace trace;
  trace.trace_id = "0af7651916cd43dd8448eb211c" + std::to_string(100'000 + number % 900'000);
  for (const auto* operation : { "check", "admit", "forward", "queue", "backend", "replication" }) {
    trace.spans.push_back({ operation,
                            "entry-17",
                            instant(std::chrono::seconds(1)),
                            std::chrono::microseconds(300),
                            { { "member", "database-17-0" }, { "code", "0" } } });
  }
  return trace;
}

void
trace_add(benchmark::State& state)
{
  const auto capacity = state.range(0);
  const auto before = heap_bytes();
  trace_store store(static_cast<std::size_t>(capacity));
  std::int64_t next = 0;
  const auto add = [&] {
    const auto number = next++;
    store.add(request_id("entry-17-0123456789abcdef-" + std::to_string(number)),
              make_trace(number));
  };
  while (next < capacity) {
    add();
  }
  state.counters["bytes"] = static_cast<double>(heap_bytes() - before);
  for (auto _ : state) {
    add();
  }
}

session_state
make_session(std::int64_t databases)
{
  session_state session;
  for (std::int64_t i = 0; i < databases; ++i) {
    session.record_read(database_id("database-" + std::to_string(i)),
                        { term(730), log_position(9'000'000'000 + static_cast<std::uint64_t>(i)) });
  }
  return session;
}

void
token_encode(benchmark::State& state)
{
  const auto session = make_session(state.range(0));
  for (auto _ : state) {
    benchmark::DoNotOptimize(session_token::encode(session, "the fleet's secret"));
  }
  const auto token = session_token::encode(session, "the fleet's secret");
  state.counters["characters"] = static_cast<double>(token.value().size());
}

void
token_parse(benchmark::State& state)
{
  const auto token = session_token::encode(make_session(state.range(0)), "the fleet's secret");
  for (auto _ : state) {
    benchmark::DoNotOptimize(session_token::parse(token.value(), "the fleet's secret"));
  }
}

BENCHMARK(request_start_answer)->Arg(100)->Arg(1000)->Arg(2500)->Arg(8000);
BENCHMARK(request_tick)->Arg(100)->Arg(1000)->Arg(2500)->Arg(8000)->Unit(benchmark::kMicrosecond);
BENCHMARK(trace_add)->Arg(200)->Arg(2000)->Arg(20000);
BENCHMARK(token_encode)->Arg(1)->Arg(3)->Arg(30);
BENCHMARK(token_parse)->Arg(1)->Arg(3)->Arg(30);

}

BENCHMARK_MAIN();
