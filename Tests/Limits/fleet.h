#pragma once

#include "../Support/fake_table.h"

#include "Limits/distributed_rate_limiter.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <set>

namespace persimmonshelf::testing {

inline const workspace_id workspace{ "w" };

// Checks the bound in all windows at once: no window has more than burst + rate * window admissions
// exactly if a bucket that starts full and fills at the rate never drops below zero.
class window_oracle
{
public:
  void limit(instant now, workspace_limit value)
  {
    advance(now);
    limit_ = value;
    level_ = fresh_ ? full() : std::min(level_, full());
    fresh_ = false;
  }
  bool admit(instant now)
  {
    advance(now);
    level_ -= token_milli * units;
    return level_ >= 0;
  }

private:
  static constexpr std::int64_t units = 1'000'000;
  std::int64_t full() const { return limit_.burst_milli * units; }
  void advance(instant now)
  {
    level_ = std::min(full(), level_ + (now - updated_).count() * limit_.rate_milli);
    updated_ = now;
  }
  workspace_limit limit_;
  std::int64_t level_ = 0;
  instant updated_{};
  bool fresh_ = true;
};

// Several rate limiters that share one table, with fault injection. Each instance has its own
// clock; the oracle uses the time of the event loop.
class fleet
{
public:
  struct simulated_instance
  {
    share_candidate identity;
    std::int64_t drift_ppm = 0;
    std::shared_ptr<process> run = std::make_shared<process>();
    std::unique_ptr<distributed_rate_limiter> limiter;
    workspace_limit limit;
    std::uint64_t run_count = 0;
  };

  fleet(int count, int zones, share_settings settings, workspace_limit limit, std::uint64_t seed)
    : table(loop)
    , random(seed)
    , settings_(settings)
  {
    for (int i = 0; i < count; ++i) {
      auto made = std::make_unique<simulated_instance>();
      made->identity = { instance_id("i" + std::to_string(i)),
                         zone_id("z" + std::to_string(i % zones)) };
      // Each clock deviates by at most the part by which the buckets fill more slowly.
      made->drift_ppm = (i % 3 - 1) * settings.rate_reserve_ppm;
      instances.push_back(std::move(made));
    }
    configured_ = limit;
    for (auto& each : instances) {
      start(*each);
    }
    tick();
  }

  event_loop loop;
  fake_table table;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<simulated_instance>> instances;
  // Faults. Instances of `partitioned_zones` reach only instances of their own zone; with
  // `platform_partitioned` they do not reach the table either.
  bool outage = false;
  bool platform_partitioned = false;
  std::set<std::string> partitioned_zones;
  int failed_call_percent = 0;
  int lost_message_percent = 0;
  // Overrides the outcome of a table call, for single faults.
  std::function<std::optional<
    call_outcome>(simulated_instance&, call_kind, const std::string&, const std::string&)>
    inject;
  // Requests per second, for faults that change the distribution of the demand.
  double demand = 0;
  // Results.
  std::uint64_t admitted = 0;
  // The first violation of the bound; empty if there is none.
  std::string violation;

  instant local_time(const simulated_instance& instance) const
  {
    const auto count = loop.now().time_since_epoch().count();
    return instant(duration(count + count * instance.drift_ppm / 1'000'000 + 1'000'000));
  }

  bool can_reach(const simulated_instance& from, const simulated_instance& to) const
  {
    const auto& left = from.identity.zone.get();
    const auto& right = to.identity.zone.get();
    return left == right ||
           (!partitioned_zones.contains(left) && !partitioned_zones.contains(right));
  }

  void start(simulated_instance& instance)
  {
    instance.run = std::make_shared<process>();
    ++instance.run_count;
    distributed_rate_limiter::hooks hooks;
    hooks.table = table.hooks(
      instance.run, [this, &instance](call_kind kind, const auto& key, const auto& value) {
        const auto special = inject ? inject(instance, kind, key, value) : std::nullopt;
        return special ? *special : decide_outcome(instance);
      });
    hooks.now = [this, &instance] { return local_time(instance); };
    hooks.candidates = [this, &instance](const workspace_id&) {
      return reachable_members(instance);
    };
    hooks.send_borrow_request =
      [this, &instance](const instance_id& peer, auto id, const auto& name, auto milli) {
        send_message(instance, peer, [=, this, &instance](simulated_instance& other) {
          other.limiter->on_borrow_request(
            instance.identity.instance, id, name, milli, local_time(other));
        });
      };
    hooks.send_borrow_answer =
      [this, &instance](const instance_id& peer, auto id, const auto&, auto milli) {
        send_message(instance, peer, [=, this, &instance](simulated_instance& other) {
          other.limiter->on_borrow_answer(instance.identity.instance, id, milli, local_time(other));
        });
      };
    const auto hash = std::hash<std::string>{}(instance.identity.instance.get());
    instance.limiter = std::make_unique<distributed_rate_limiter>(
      share_owner{ instance.identity.instance, incarnation_id(hash ^ (instance.run_count << 32U)) },
      settings_,
      std::move(hooks));
    apply_limit(instance);
  }

  void kill(simulated_instance& instance) { instance.run->running = false; }
  void pause(simulated_instance& instance, duration length)
  {
    if (!instance.run->running || instance.run->paused) {
      return;
    }
    instance.run->paused = true;
    loop.after(length, [run = instance.run] { run->resume(); });
  }

  // Delivers the configuration to each instance, to a paused one when it resumes.
  void configure(workspace_limit limit)
  {
    configured_ = limit;
    for (auto& each : instances) {
      each->run->deliver([this, instance = each.get()] { apply_limit(*instance); });
    }
  }

  void request(simulated_instance& instance, std::function<void(admission_decision)> done = {})
  {
    instance.run->deliver([=, this, &instance] {
      instance.limiter->admit(
        workspace, local_time(instance), [=, this](admission_decision outcome) {
          if (outcome == admission_decision::admitted) {
            ++admitted;
            if (!oracle_.admit(loop.now()) && violation.empty()) {
              violation = "a window has more than burst + rate * window admissions at " + time();
            }
          }
          if (done) {
            done(outcome);
          }
        });
    });
  }

  // Sends requests at random times until `end`, distributed over the instances by `weights`.
  void generate_load(double per_second, std::vector<double> weights, instant end)
  {
    const auto gap = std::exponential_distribution<double>(per_second)(random);
    loop.after(duration(static_cast<std::int64_t>(gap * 1e6)), [=, this, this_end = end]() mutable {
      if (loop.now() >= this_end) {
        return;
      }
      std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
      on_arrival(*instances[pick(random)]);
      generate_load(per_second, weights, this_end);
    });
  }
  std::function<void(simulated_instance&)> on_arrival = [this](simulated_instance& instance) {
    request(instance);
  };

  void run(duration length) { loop.run_until(loop.now() + length); }

  std::int64_t usable_ppm() const
  {
    std::int64_t sum = 0;
    for (const auto& each : instances) {
      sum += each->run->running ? each->limiter->share_ppm(workspace, local_time(*each)) : 0;
    }
    return sum;
  }

  // Sums over the current runs of all instances.
  distributed_rate_limiter::counters fleet_counts() const
  {
    distributed_rate_limiter::counters sum;
    for (const auto& each : instances) {
      const auto part = each->limiter->totals();
      sum.borrowed += part.borrowed;
      sum.row_writes += part.row_writes;
    }
    return sum;
  }

  std::string time() const
  {
    return std::to_string(loop.now().time_since_epoch().count() / 1000) + " ms";
  }

private:
  void apply_limit(simulated_instance& instance)
  {
    instance.limit = configured_;
    instance.limiter->configure({ { workspace, configured_ } }, local_time(instance));
    // A token that was lent under a larger burst may still be used until its time to live ends.
    update_oracle(false);
    loop.after(2 * settings_.borrow_ttl, [this] { update_oracle(true); });
  }

  // Sets the oracle to the largest limits that an instance has. Without `may_lower` the limits in
  // force are not lowered.
  void update_oracle(bool may_lower)
  {
    workspace_limit largest;
    for (const auto& each : instances) {
      if (each->run->running && each->limiter) {
        largest.rate_milli = std::max(largest.rate_milli, each->limit.rate_milli);
        largest.burst_milli = std::max(largest.burst_milli, each->limit.burst_milli);
      }
    }
    if (!may_lower) {
      largest.rate_milli = std::max(largest.rate_milli, in_force_.rate_milli);
      largest.burst_milli = std::max(largest.burst_milli, in_force_.burst_milli);
    }
    in_force_ = largest;
    oracle_.limit(loop.now(), largest);
  }

  void tick()
  {
    for (auto& each : instances) {
      if (each->run->running && !each->run->paused) {
        each->limiter->tick(local_time(*each));
      }
    }
    if (usable_ppm() > ppm_total && violation.empty()) {
      violation = "usable shares exceed one million at " + time();
    }
    loop.after(10ms, [this] { tick(); });
  }

  call_outcome decide_outcome(const simulated_instance& instance)
  {
    call_outcome made;
    const auto delay = [&] { return duration(1000 + random() % 4000); };
    made.request_delay = delay();
    made.response_delay = delay();
    if (outage ||
        (platform_partitioned && partitioned_zones.contains(instance.identity.zone.get()))) {
      // A call may be lost before it takes effect, or take effect without an answer.
      made.takes_effect = outage && random() % 8 == 0;
      made.responded = random() % 2 == 0;
      made.fails = true;
      return made;
    }
    if (static_cast<int>(random() % 100) < failed_call_percent) {
      made.takes_effect = random() % 4 != 0;
      made.responded = random() % 2 == 0;
      made.fails = true;
      made.request_delay = duration(random() % 2'000'000);
    }
    return made;
  }

  std::vector<share_candidate> reachable_members(const simulated_instance& instance) const
  {
    std::vector<share_candidate> found;
    for (const auto& each : instances) {
      if (each->run->running && can_reach(instance, *each)) {
        found.push_back(each->identity);
      }
    }
    return found;
  }

  void send_message(const simulated_instance& from,
                    const instance_id& peer,
                    std::function<void(simulated_instance&)> handle)
  {
    const auto found = std::find_if(instances.begin(), instances.end(), [&](const auto& each) {
      return each->identity.instance == peer;
    });
    if (found == instances.end() || !can_reach(from, **found) ||
        static_cast<int>(random() % 100) < lost_message_percent) {
      return;
    }
    auto& other = **found;
    const auto latency = from.identity.zone == other.identity.zone ? 300us : 1500us;
    loop.after(latency + duration(random() % 200),
               [handle = std::move(handle), &other, run = other.run] {
                 run->deliver([=, &other] { handle(other); });
               });
  }

  share_settings settings_;
  workspace_limit configured_;
  workspace_limit in_force_;
  window_oracle oracle_;
};

}
