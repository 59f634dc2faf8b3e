#include <doctest/doctest.h>

#include "Home/fair_queue.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace persimmonshelf;

namespace {

constexpr std::size_t workspaces = 8;
constexpr duration simulated = std::chrono::seconds(600);
constexpr duration deadline = std::chrono::seconds(10);

struct arrival
{
  instant at;
  std::size_t workspace = 0;
  duration cost{ 0 };
};

// Order in which a member's slots are handed out, as the simulation uses it.
struct discipline
{
  std::function<bool(std::size_t id, const arrival&)> push;
  // Id of the next arrival to run.
  std::function<std::optional<std::size_t>(instant)> pop;
  std::function<void(std::size_t workspace, duration used, instant)> finished;
};

struct figures
{
  double p99_wait_ms = 0;
  double per_second = 0;
  std::size_t at_most_held = 0;
};

workspace_id
name(std::size_t workspace)
{
  return workspace_id(std::to_string(workspace));
}

// First come first served with the bounds of the fair queue, for comparison.
discipline
arrival_order(std::vector<arrival>& load)
{
  auto queue = std::make_shared<std::deque<std::size_t>>();
  auto sizes = std::make_shared<std::vector<std::size_t>>(workspaces);
  return { [=](std::size_t id, const arrival& one) {
            if ((*sizes)[one.workspace] >= fair_queue::limits{}.per_workspace) {
              return false;
            }
            ++(*sizes)[one.workspace];
            queue->push_back(id);
            return true;
          },
           [=, &load](instant now) -> std::optional<std::size_t> {
             while (!queue->empty()) {
               const auto id = queue->front();
               queue->pop_front();
               --(*sizes)[load[id].workspace];
               if (now < load[id].at + deadline) {
                 return id;
               }
             }
             return std::nullopt;
           },
           [](auto, auto, auto) {} };
}

// One statement of each workspace in turn, for comparison.
discipline
turns(std::vector<arrival>& load)
{
  auto queues = std::make_shared<std::vector<std::deque<std::size_t>>>(workspaces);
  auto next = std::make_shared<std::size_t>(0);
  return { [=](std::size_t id, const arrival& one) {
            auto& own = (*queues)[one.workspace];
            if (own.size() >= fair_queue::limits{}.per_workspace) {
              return false;
            }
            own.push_back(id);
            return true;
          },
           [=, &load](instant now) -> std::optional<std::size_t> {
             for (std::size_t tried = 0; tried < workspaces; ++tried) {
               auto& own = (*queues)[(*next)++ % workspaces];
               while (!own.empty()) {
                 const auto id = own.front();
                 own.pop_front();
                 if (now < load[id].at + deadline) {
                   return id;
                 }
               }
             }
             return std::nullopt;
           },
           [](auto, auto, auto) {} };
}

discipline
slot_time_order(std::size_t slots)
{
  auto queue = std::make_shared<fair_queue>(fair_queue::limits{}, slots);
  return { [=](std::size_t id, const arrival& one) {
            return static_cast<bool>(queue->push(
              { request_id(std::to_string(id)), name(one.workspace), one.at + deadline, one.at }));
          },
           [=](instant now) -> std::optional<std::size_t> {
             queue->expire(now);
             const auto entry = queue->pop(now);
             return entry ? std::optional(std::stoul(entry->id.get())) : std::nullopt;
           },
           [=](std::size_t workspace, duration used, instant now) {
             queue->finished(name(workspace), used, now);
           } };
}

std::vector<figures>
simulate(std::vector<arrival>& load, std::size_t slots, const discipline& order)
{
  std::vector<std::vector<double>> waits(workspaces);
  std::vector<figures> result(workspaces);
  std::vector<std::size_t> held(workspaces);
  std::multimap<instant, std::size_t> running;
  std::map<std::size_t, instant> started;
  std::size_t next = 0;
  while (next < load.size() || !running.empty()) {
    instant now;
    if (!running.empty() && (next == load.size() || running.begin()->first <= load[next].at)) {
      now = running.begin()->first;
      const auto id = running.begin()->second;
      const auto workspace = load[id].workspace;
      running.erase(running.begin());
      order.finished(workspace, now - started.at(id), now);
      started.erase(id);
      --held[workspace];
      result[workspace].per_second += 1;
    } else {
      now = load[next].at;
      order.push(next, load[next]);
      ++next;
    }
    while (running.size() < slots) {
      const auto id = order.pop(now);
      if (!id) {
        break;
      }
      const auto& one = load[*id];
      waits[one.workspace].push_back(static_cast<double>((now - one.at).count()) / 1000);
      started[*id] = now;
      running.emplace(now + one.cost, *id);
      result[one.workspace].at_most_held =
        std::max(result[one.workspace].at_most_held, ++held[one.workspace]);
    }
  }
  for (std::size_t i = 0; i < workspaces; ++i) {
    auto& own = waits[i];
    std::sort(own.begin(), own.end());
    result[i].p99_wait_ms = own.empty() ? 0 : own[own.size() * 99 / 100];
    result[i].per_second /= std::chrono::duration<double>(simulated).count();
  }
  return result;
}

// Workspace 0 is large and asks for five times its eighth of the slots with statements of 250 ms on
// average; the others ask for 80% of their eighth with statements of 12 ms. `only` restricts the
// load to one workspace.
std::vector<arrival>
make_load(std::size_t slots, std::optional<std::size_t> only = {})
{
  std::vector<arrival> load;
  for (std::size_t workspace = 0; workspace < workspaces; ++workspace) {
    std::mt19937_64 random(20261204 + workspace);
    if (only && *only != workspace) {
      continue;
    }
    const double cost = workspace == 0 ? 250'000 : 12'000;
    const double share = (workspace == 0 ? 5.0 : 0.8) / workspaces;
    std::exponential_distribution<double> gap(share * static_cast<double>(slots) / cost);
    std::exponential_distribution<double> length(1 / cost);
    double at = gap(random);
    while (at < static_cast<double>(simulated.count())) {
      load.push_back({ instant(duration(static_cast<std::int64_t>(at))),
                       workspace,
                       duration(1 + static_cast<std::int64_t>(length(random))) });
      at += gap(random);
    }
  }
  std::sort(load.begin(), load.end(), [](const auto& left, const auto& right) {
    return left.at < right.at;
  });
  return load;
}

void
print(const char* label, const std::vector<figures>& all, const std::vector<figures>& alone)
{
  std::size_t worst = 1;
  for (std::size_t i = 2; i < workspaces; ++i) {
    worst = all[i].p99_wait_ms > all[worst].p99_wait_ms ? i : worst;
  }
  std::printf("  %-26s small, worst: p99 wait %7.0f ms (alone %3.0f), %5.2f/s (alone %5.2f);"
              " large: p99 wait %6.0f ms, %5.2f/s (alone %5.2f)\n",
              label,
              all[worst].p99_wait_ms,
              alone[worst].p99_wait_ms,
              all[worst].per_second,
              alone[worst].per_second,
              all[0].p99_wait_ms,
              all[0].per_second,
              alone[0].per_second);
}

}

// Guards against a queue that no longer separates workspaces: all requests are accounted for and
// the slot rule holds. The figures are printed for docs/fairness.md, not asserted.
TEST_CASE("fairness of slot time, arrival order and turns")
{
  for (const std::size_t slots : { std::size_t{ 2 }, std::size_t{ 3 } }) {
    std::vector<figures> alone(workspaces);
    for (std::size_t i = 0; i < workspaces; ++i) {
      auto load = make_load(slots, i);
      alone[i] = simulate(load, slots, slot_time_order(slots))[i];
    }
    auto load = make_load(slots);
    std::printf("%zu slots, %zu statements in 600 s of simulated time\n", slots, load.size());
    print("first come first served", simulate(load, slots, arrival_order(load)), alone);
    print("one statement each in turn", simulate(load, slots, turns(load)), alone);
    const auto fair = simulate(load, slots, slot_time_order(slots));
    print("slot time", fair, alone);
    for (const auto& one : fair) {
      CHECK(one.per_second > 0);
      CHECK(one.at_most_held <= slots);
    }
  }
}
