#include <doctest/doctest.h>

#include "member_home_fixture.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <random>

using namespace persimmonshelf;

namespace {

constexpr std::size_t workspaces = 8;
constexpr std::int64_t simulated_us = 600'000'000;
constexpr duration deadline = std::chrono::seconds(10);

struct arrival
{
  instant at;
  std::size_t workspace = 0;
  duration cost{ 0 };
};

enum class order
{
  arrival,
  round_robin,
  slot_time,
};

constexpr std::array order_names = { "first come first served",
                                     "one statement each in turn",
                                     "slot time" };

struct workspace_result
{
  std::vector<double> waits_ms;
  std::size_t ended = 0;

  double p99() const { return waits_ms.empty() ? 0 : waits_ms[waits_ms.size() * 99 / 100]; }
  double per_second() const { return static_cast<double>(ended) * 1e6 / simulated_us; }
};

// The queue of one member with one of the three orders; limits and expiry are the same for all.
class simulated_queue
{
public:
  simulated_queue(order kind, const std::vector<arrival>& load, std::size_t slots)
    : kind_(kind)
    , load_(load)
    , fair_({}, slots)
  {
  }

  void push(std::size_t id)
  {
    const auto& one = load_[id];
    if (kind_ == order::slot_time) {
      (void)fair_.push({ request_id(std::to_string(id)), name(id), one.at + deadline, one.at });
    } else if (fifo_queues_[one.workspace].size() < fair_queue::limits{}.per_workspace) {
      fifo_queues_[one.workspace].push_back(id);
    }
  }

  std::optional<std::size_t> pop(instant now)
  {
    if (kind_ == order::slot_time) {
      fair_.remove_expired(now);
      const auto entry = fair_.pop(now);
      return entry ? std::optional(std::stoul(entry->id.get())) : std::nullopt;
    }
    std::deque<std::size_t>* chosen = nullptr;
    for (std::size_t i = 0; i < workspaces; ++i) {
      auto& candidate = fifo_queues_[(next_workspace_ + i) % workspaces];
      while (!candidate.empty() && load_[candidate.front()].at + deadline <= now) {
        candidate.pop_front();
      }
      const bool better = chosen == nullptr || (kind_ == order::arrival && !candidate.empty() &&
                                                candidate.front() < chosen->front());
      chosen = !candidate.empty() && better ? &candidate : chosen;
    }
    if (chosen == nullptr) {
      return std::nullopt;
    }
    const auto id = chosen->front();
    chosen->pop_front();
    next_workspace_ = load_[id].workspace + 1;
    return id;
  }

  void finished(std::size_t id, duration used, instant now)
  {
    fair_.release_slot(name(id), used, now);
  }

private:
  workspace_id name(std::size_t id) const
  {
    return workspace_id(std::to_string(load_[id].workspace));
  }

  order kind_;
  const std::vector<arrival>& load_;
  fair_queue fair_;
  std::array<std::deque<std::size_t>, workspaces> fifo_queues_;
  std::size_t next_workspace_ = 0;
};

std::vector<workspace_result>
simulate(const std::vector<arrival>& load, std::size_t slots, order kind)
{
  simulated_queue queue(kind, load, slots);
  std::vector<workspace_result> result(workspaces);
  std::multimap<instant, std::size_t> running;
  for (std::size_t next = 0; next < load.size() || !running.empty();) {
    const bool ends =
      next == load.size() || (!running.empty() && running.begin()->first <= load[next].at);
    const instant now = ends ? running.begin()->first : load[next].at;
    if (ends) {
      const auto id = running.begin()->second;
      running.erase(running.begin());
      queue.finished(id, load[id].cost, now);
      ++result[load[id].workspace].ended;
    } else {
      queue.push(next++);
    }
    while (running.size() < slots) {
      const auto id = queue.pop(now);
      if (!id) {
        break;
      }
      running.emplace(now + load[*id].cost, *id);
      result[load[*id].workspace].waits_ms.push_back(
        static_cast<double>((now - load[*id].at).count()) / 1000);
    }
  }
  for (auto& one : result) {
    std::sort(one.waits_ms.begin(), one.waits_ms.end());
  }
  return result;
}

// Workspace 0 is large: it requests five times its share of one eighth of the slots, with
// statements of 250 ms on average. Each other workspace requests 80% of its share with statements
// of 12 ms on average. `only` restricts the load to one workspace.
std::vector<arrival>
make_load(std::size_t slots, std::optional<std::size_t> only = {})
{
  std::vector<arrival> load;
  for (std::size_t workspace = 0; workspace < workspaces; ++workspace) {
    const double cost = workspace == 0 ? 250'000 : 12'000;
    const double share = (workspace == 0 ? 5.0 : 0.8) / workspaces;
    std::mt19937_64 random(20261204 + workspace);
    std::exponential_distribution<double> gap(share * static_cast<double>(slots) / cost);
    std::exponential_distribution<double> length(1 / cost);
    for (double at = gap(random); at < simulated_us && only.value_or(workspace) == workspace;
         at += gap(random)) {
      const auto micros = [](double value) { return duration(static_cast<std::int64_t>(value)); };
      load.push_back({ instant(micros(at)), workspace, micros(1 + length(random)) });
    }
  }
  std::sort(load.begin(), load.end(), [](const auto& left, const auto& right) {
    return left.at < right.at;
  });
  return load;
}

}

// Guards against a queue that lets one workspace starve the others or loses requests. The figures
// are printed for docs/fairness.md and not asserted.
TEST_CASE("fairness of slot time, arrival order and turns")
{
  for (const std::size_t slots : { 2U, 3U }) {
    std::vector<workspace_result> alone;
    for (std::size_t i = 0; i < workspaces; ++i) {
      alone.push_back(simulate(make_load(slots, i), slots, order::slot_time)[i]);
    }
    const auto load = make_load(slots);
    std::printf("%zu slots, %zu statements in 600 s of simulated time\n", slots, load.size());
    for (const auto kind : { order::arrival, order::round_robin, order::slot_time }) {
      const auto all = simulate(load, slots, kind);
      const auto worst = std::max_element(all.begin() + 1, all.end(), [](auto& left, auto& right) {
        return left.p99() < right.p99();
      });
      const auto& alone_result = alone[static_cast<std::size_t>(worst - all.begin())];
      std::printf("  %-26s worst small: p99 wait %5.0f ms (alone %2.0f), %5.2f/s (alone %5.2f);"
                  " large: p99 wait %5.0f ms, %4.2f/s (alone %4.2f)\n",
                  order_names[static_cast<std::size_t>(kind)],
                  worst->p99(),
                  alone_result.p99(),
                  worst->per_second(),
                  alone_result.per_second(),
                  all[0].p99(),
                  all[0].per_second(),
                  alone[0].per_second());
      for (const auto& one : all) {
        CHECK(one.ended > 0);
        CHECK(one.ended == one.waits_ms.size());
      }
    }
  }
}
