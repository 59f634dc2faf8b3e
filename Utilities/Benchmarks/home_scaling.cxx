// Measures the queue, the home of a member and the view of a group.

#include "Group/group_view.h"
#include "Home/member_home.h"

#include <benchmark/benchmark.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace persimmonshelf;

workspace_id
workspace(std::int64_t number)
{
  return workspace_id("workspace-" + std::to_string(number));
}

// Time of one push and one pop, with one further request queued for each workspace.
void
queue_push_pop(benchmark::State& state)
{
  const auto count = state.range(0);
  fair_queue queue(fair_queue::limits(), 3);
  instant now{ std::chrono::seconds(1000) };
  std::int64_t next = 0;
  const auto push = [&] {
    const auto id = next++;
    const auto pushed = queue.push({ request_id("entry-1-0123456789abcdef-" + std::to_string(id)),
                                     workspace(id % count),
                                     now + std::chrono::seconds(30),
                                     {} });
    benchmark::DoNotOptimize(pushed.has_value());
  };
  for (std::int64_t i = 0; i < count; ++i) {
    push();
  }
  for (auto _ : state) {
    now += std::chrono::microseconds(100);
    push();
    const auto taken = queue.pop(now);
    queue.release_slot(taken->workspace, std::chrono::microseconds(90), now);
  }
}

// Home of a member with connections that open and answer on demand.
struct home_harness
{
  home_harness()
    : home(options(), hooks())
  {
  }

  static member_home_options options()
  {
    member_home_options created;
    created.member = member_id("m1");
    created.pool.max_connections = 12;
    created.transaction.instance = instance_id("entry-1");
    created.transaction.incarnation = incarnation_id(7);
    return created;
  }

  member_home_hooks hooks()
  {
    member_home_hooks calls;
    calls.open_connection = [this](auto number) { opening.push_back(number); };
    calls.send = [this](auto number, auto request) { sent.emplace_back(number, request.id); };
    calls.close_connection = [](auto) {};
    calls.answer = [this](const auto&) { ++answers; };
    calls.current_term = [] { return term(1); };
    calls.majority_holds = [](log_point) { return true; };
    calls.member_ready = [](const auto&, auto, auto) { return read_readiness::ready; };
    calls.random_bits = [] { return 42U; };
    return calls;
  }

  void submit(std::int64_t from)
  {
    home_request request;
    request.id = request_id("entry-1-0123456789abcdef-" + std::to_string(next++) + "#1");
    request.workspace = workspace(from);
    request.text = "GET a key of usual length";
    request.expires = now + std::chrono::seconds(30);
    home.submit(std::move(request), now);
  }

  // Opens the connections that the home requested.
  void connect()
  {
    const auto numbers = std::move(opening);
    opening.clear();
    for (const auto number : numbers) {
      home.connected(number, true, now);
    }
  }

  // Answers the oldest statement that was sent.
  void answer_one()
  {
    const auto [number, id] = sent.front();
    sent.pop_front();
    home.backend_answered(number, { id, result_code::ok, "[]", {} }, now);
  }

  instant now{ std::chrono::seconds(1000) };
  std::vector<connection_number> opening;
  std::deque<std::pair<connection_number, request_id>> sent;
  std::int64_t next = 0;
  std::int64_t answers = 0;
  member_home home;
};

// Time to submit one request and answer one, with one request queued for each workspace.
void
home_submit_to_answer(benchmark::State& state)
{
  const auto count = state.range(0);
  home_harness harness;
  harness.home.tick(harness.now);
  harness.connect();
  for (std::int64_t i = 0; i < count + 3; ++i) {
    harness.submit(i % count);
  }
  const auto before = harness.answers;
  std::int64_t round = 0;
  for (auto _ : state) {
    harness.now += std::chrono::microseconds(100);
    harness.submit(round++ % count);
    harness.answer_one();
    if (round % 50 == 0) {
      harness.home.tick(harness.now);
      harness.connect();
    }
  }
  state.counters["answered"] =
    static_cast<double>(harness.answers - before) / static_cast<double>(state.iterations());
}

// Time of a tick of an idle home.
void
home_idle_tick(benchmark::State& state)
{
  home_harness harness;
  harness.home.tick(harness.now);
  harness.connect();
  for (auto _ : state) {
    harness.home.tick(harness.now);
  }
}

struct view_harness
{
  explicit view_harness(std::int64_t count)
  {
    std::vector<member_id> ids;
    for (std::int64_t i = 0; i < count; ++i) {
      ids.emplace_back("database-17-" + std::to_string(i));
    }
    view = std::make_unique<group_view>(group_view::create(ids).value());
    for (int i = 0; i < 1000; ++i) {
      report();
    }
  }

  // Applies a report with a longer log from the next member.
  void report()
  {
    now += std::chrono::milliseconds(20);
    const auto count = view->members().size();
    member_report created;
    created.member = view->members()[next % count];
    created.promised = term(3);
    created.last = { term(3), log_position(1000 + next) };
    created.primary = next % count == 0;
    created.history = { { term(1), log_position(1) },
                        { term(2), log_position(400) },
                        { term(3), log_position(900) } };
    created.sent = now - std::chrono::milliseconds(2);
    created.received = now;
    ++next;
    benchmark::DoNotOptimize(view->apply(created).has_value());
  }

  instant now{ std::chrono::seconds(1000) };
  std::unique_ptr<group_view> view;
  std::uint64_t next = 0;
};

void
view_apply(benchmark::State& state)
{
  view_harness harness(state.range(0));
  for (auto _ : state) {
    harness.report();
  }
}

void
view_choose_reader(benchmark::State& state)
{
  view_harness harness(state.range(0));
  read_criteria criteria;
  criteria.at_least = log_point{ term(3), log_position(1000 + harness.next / 2) };
  criteria.max_age = std::chrono::seconds(5);
  std::int64_t cost = 0;
  for (const auto& member : harness.view->members()) {
    criteria.cost[member] = cost++;
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(harness.view->choose_read_member(criteria, harness.now));
  }
}

BENCHMARK(queue_push_pop)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(home_submit_to_answer)->Arg(1)->Arg(10)->Arg(100);
BENCHMARK(home_idle_tick);
BENCHMARK(view_apply)->Arg(3)->Arg(5)->Arg(9);
BENCHMARK(view_choose_reader)->Arg(3)->Arg(5)->Arg(9);

}

BENCHMARK_MAIN();
