#include "Limits/lease_monitor.h"

#include "Base/stable_hash.h"

#include "Limits/instance_lease.h"

#include <functional>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

constexpr int observed_successors = 3;

}

lease_watch::lease_watch(const share_settings& settings,
                         table_hooks table,
                         std::function<instant()> now)
  : settings_(settings)
  , table_(std::move(table))
  , now_(std::move(now))
  , alive_(std::make_shared<lease_watch*>(this))
{
}

void
lease_watch::choose(const instance_id& self, const std::set<instance_id>& holders, instant now)
{
  std::map<std::pair<std::uint64_t, instance_id>, instance_id> order;
  for (const auto& holder : holders) {
    if (holder != self) {
      order.emplace(std::pair(stable_hash(holder.get()), holder), holder);
    }
  }
  std::map<instance_id, observed> chosen;
  auto next = order.upper_bound(std::pair(stable_hash(self.get()), self));
  int live = 0;
  for (std::size_t i = 0; i < order.size() && live < observed_successors; ++i, ++next) {
    if (next == order.end()) {
      next = order.begin();
    }
    const auto& instance = next->second;
    const bool expired = seems_expired(instance);
    const auto known = watched_.find(instance);
    if (known != watched_.end()) {
      chosen.emplace(instance, std::move(known->second));
    } else {
      chosen[instance].due = now;
    }
    live += expired ? 0 : 1;
  }
  watched_ = std::move(chosen);
}

void
lease_watch::tick(instant now)
{
  for (auto& [instance, entry] : watched_) {
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
lease_watch::read(const instance_id& instance, observed& entry, instant now)
{
  entry.in_flight = true;
  entry.sent = now;
  entry.due = now + settings_.watch_interval;
  entry.call = ++calls_;
  table_.get(own_lease::key(instance),
             [this, instance, sent = now, call = calls_, alive = std::weak_ptr(alive_)](
               const result<table_row>& answer) {
               if (alive.expired()) {
                 return;
               }
               const auto found = watched_.find(instance);
               if (found == watched_.end() || found->second.call != call) {
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
lease_watch::observe(const instance_id& instance, const table_row& row, instant now)
{
  const auto found = watched_.find(instance);
  if (found == watched_.end()) {
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
lease_watch::unchanged(const instance_id& instance, instant read_sent) const
{
  const auto found = watched_.find(instance);
  if (found == watched_.end() || !found->second.seen || read_sent < found->second.first_seen) {
    return duration::zero();
  }
  return read_sent - found->second.first_seen;
}

bool
lease_watch::seems_expired(const instance_id& instance) const
{
  const auto found = watched_.find(instance);
  return found != watched_.end() && unchanged(instance, found->second.last_read) >=
                                      settings_.with_margin(settings_.extra_lease);
}

}
