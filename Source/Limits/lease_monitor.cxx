#include "Limits/lease_monitor.h"

#include "Base/stable_hash.h"

#include "Limits/instance_lease.h"

#include <functional>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

constexpr int monitored_successors = 3;

}

lease_monitor::lease_monitor(const share_settings& settings,
                             table_hooks table,
                             std::function<instant()> now)
  : settings_(settings)
  , table_(std::move(table))
  , now_(std::move(now))
  , lifetime_(std::make_shared<lease_monitor*>(this))
{
}

void
lease_monitor::select_instances(const instance_id& self,
                                const std::set<instance_id>& holders,
                                instant now)
{
  std::map<std::pair<std::uint64_t, instance_id>, instance_id> order;
  for (const auto& holder : holders) {
    if (holder != self) {
      order.emplace(std::pair(stable_hash(holder.get()), holder), holder);
    }
  }
  std::map<instance_id, lease_observation> chosen;
  auto next = order.upper_bound(std::pair(stable_hash(self.get()), self));
  int unexpired = 0;
  for (std::size_t i = 0; i < order.size() && unexpired < monitored_successors; ++i, ++next) {
    if (next == order.end()) {
      next = order.begin();
    }
    const auto& instance = next->second;
    const bool expired = seems_expired(instance);
    const auto known = monitored_.find(instance);
    if (known != monitored_.end()) {
      chosen.emplace(instance, std::move(known->second));
    } else {
      chosen[instance].due = now;
    }
    unexpired += expired ? 0 : 1;
  }
  monitored_ = std::move(chosen);
}

void
lease_monitor::tick(instant now)
{
  for (auto& [instance, entry] : monitored_) {
    if (entry.in_flight && now - entry.sent >= settings_.call_timeout) {
      entry.in_flight = false;
      entry.due = now + settings_.retry_interval;
    }
    if (!entry.in_flight && now >= entry.due) {
      read(instance, entry, now);
    }
  }
}

void
lease_monitor::read(const instance_id& instance, lease_observation& entry, instant now)
{
  entry.in_flight = true;
  entry.sent = now;
  entry.due = now + settings_.lease_read_interval;
  entry.call = ++latest_call_;
  table_.get(instance_lease::key(instance),
             [this, instance, sent = now, call = latest_call_, lifetime = std::weak_ptr(lifetime_)](
               const result<table_row>& answer) {
               if (lifetime.expired()) {
                 return;
               }
               const auto found = monitored_.find(instance);
               if (found == monitored_.end() || found->second.call != call) {
                 return;
               }
               found->second.in_flight = false;
               if (answer) {
                 observe(instance, answer.value(), now_());
                 found->second.last_read = sent;
               }
             });
}

void
lease_monitor::observe(const instance_id& instance, const table_row& row, instant now)
{
  const auto found = monitored_.find(instance);
  if (found == monitored_.end()) {
    return;
  }
  auto& entry = found->second;
  if (entry.seen && entry.revision == row.revision && entry.value == row.value) {
    return;
  }
  entry.seen = true;
  entry.revision = row.revision;
  entry.value = row.value;
  entry.first_seen = now;
}

duration
lease_monitor::unchanged_for(const instance_id& instance, instant read_sent) const
{
  const auto found = monitored_.find(instance);
  if (found == monitored_.end() || !found->second.seen || read_sent < found->second.first_seen) {
    return duration::zero();
  }
  return read_sent - found->second.first_seen;
}

bool
lease_monitor::seems_expired(const instance_id& instance) const
{
  const auto found = monitored_.find(instance);
  return found != monitored_.end() && unchanged_for(instance, found->second.last_read) >=
                                        settings_.with_margin(settings_.extra_lease);
}

}
