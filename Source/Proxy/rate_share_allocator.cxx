#include "Proxy/rate_share_allocator.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// Part of each workspace that is split equally, so that a caller who turns up at an instance finds
// some tokens there.
constexpr double equal_part = 0.2;
// An instance that was silent this long gets nothing new.
constexpr duration silence_limit = std::chrono::milliseconds(1500);
// Instances use their shares once they were out of touch for pool_life; the coordinator counts on
// that earlier.
constexpr duration touch_limit = std::chrono::milliseconds(600);
// Demand below this is taken for none.
constexpr double least_demand = 0.01;

}

rate_share_allocator::rate_share_allocator(bool all_known, instant now)
  : started_at_(now)
  , no_earlier_shares_(all_known)
{
}

void
rate_share_allocator::set_registered_instances(
  const std::map<instance_id, incarnation_id>& instances)
{
  if (register_received_) {
    return;
  }
  register_received_ = true;
  for (const auto& [instance, incarnation] : instances) {
    if (!holders_.contains(instance)) {
      unreported_instances_.emplace(instance, incarnation);
    }
  }
}

void
rate_share_allocator::set_workspaces(const std::vector<proxy_workspace>& workspaces)
{
  workspaces_.clear();
  for (const auto& workspace : workspaces) {
    workspaces_.push_back(workspace.name);
  }
}

rate_share_ppm
rate_share_allocator::unknown_shares(instant now) const
{
  if (no_earlier_shares_ || now - started_at_ > share_lifetime) {
    return 0;
  }
  if (!register_received_) {
    return full_rate_share;
  }
  const auto most = static_cast<std::uint64_t>(max_rate_share) * unreported_instances_.size();
  return static_cast<rate_share_ppm>(std::min<std::uint64_t>(full_rate_share, most));
}

void
rate_share_allocator::record_report(const instance_report& report,
                                    fencing_token own_token,
                                    instant now)
{
  unreported_instances_.erase(report.instance);
  auto& holder = holders_[report.instance];
  if (holder.incarnation != report.incarnation) {
    // One process runs at a time under one name, so the former run holds nothing any more.
    holder = {};
    holder.incarnation = report.incarnation;
  } else if (report.clock < holder.last_clock) {
    return;
  }
  holder.last_report_at = now;
  holder.last_clock = report.clock;
  holder.leaving = report.leaving;
  holder.view_age = report.token == own_token ? report.view_age : duration::max();
  for (auto& [workspace, holding] : holder.holdings) {
    holding.demand = 0;
  }
  for (const auto& [workspace, demand] : report.demands) {
    holder.holdings[workspace].demand = demand;
  }
  if (report.token != own_token) {
    // Shares of an earlier coordinator, which the instance may use until they end.
    for (const auto& [workspace, parts] : report.shares) {
      auto& holding = holder.holdings[workspace];
      holding.held = std::max(holding.held, parts);
    }
    if (holder.last_grant_at == instant{}) {
      holder.last_grant_at = now;
    }
    return;
  }
  if (report.view_number < holder.last_view) {
    return;
  }
  // The newest view was applied: what it said is all that the instance may use.
  for (auto& [workspace, holding] : holder.holdings) {
    holding.held = holding.granted;
  }
}

void
rate_share_allocator::remove_instance(const instance_id& instance)
{
  unreported_instances_.erase(instance);
  holders_.erase(instance);
}

bool
rate_share_allocator::is_in_contact(const instance_shares& holder, instant now)
{
  return now - holder.last_report_at < touch_limit && holder.view_age < touch_limit;
}

double
rate_share_allocator::pool_fraction(const workspace_id& workspace, instant now) const
{
  double near = 0;
  double far = 0;
  for (const auto& [instance, holder] : holders_) {
    const auto found = holder.holdings.find(workspace);
    if (found == holder.holdings.end()) {
      continue;
    }
    (is_in_contact(holder, now) ? near : far) +=
      std::max(found->second.held, found->second.granted);
  }
  // Instances in touch have given up their shares in favour of the pool.
  const double parts = std::max(near, full_rate_share - far - unknown_shares(now));
  return std::clamp(parts / full_rate_share, 0.0, 1.0);
}

void
rate_share_allocator::expire(instant now)
{
  for (auto entry = holders_.begin(); entry != holders_.end();) {
    const auto& holder = entry->second;
    const auto last = std::max(holder.last_report_at, holder.last_grant_at);
    entry = now - last > share_lifetime ? holders_.erase(entry) : std::next(entry);
  }
}

double
rate_share_allocator::target_fraction(const workspace_id& workspace,
                                      const instance_shares& of,
                                      instant now) const
{
  double total = 0;
  std::size_t alive = 0;
  for (const auto& [instance, holder] : holders_) {
    if (now - holder.last_report_at > silence_limit || holder.leaving) {
      continue;
    }
    ++alive;
    if (const auto found = holder.holdings.find(workspace); found != holder.holdings.end()) {
      total += found->second.demand;
    }
  }
  if (alive == 0 || of.leaving || now - of.last_report_at > silence_limit) {
    return 0;
  }
  const double even = 1.0 / static_cast<double>(alive);
  if (total < least_demand) {
    return even;
  }
  const auto found = of.holdings.find(workspace);
  const double own = found == of.holdings.end() ? 0 : found->second.demand / total;
  return equal_part * even + (1 - equal_part) * own;
}

rate_share_ppm
rate_share_allocator::unallocated_share(const workspace_id& workspace, instant now) const
{
  std::uint64_t held = unknown_shares(now);
  for (const auto& [instance, holder] : holders_) {
    if (const auto found = holder.holdings.find(workspace); found != holder.holdings.end()) {
      held += std::max(found->second.held, found->second.granted);
    }
  }
  return held >= full_rate_share ? 0 : full_rate_share - static_cast<rate_share_ppm>(held);
}

rate_share_table
rate_share_allocator::grant_shares(const instance_id& instance, std::uint64_t view, instant now)
{
  expire(now);
  rate_share_table shares;
  const auto found = holders_.find(instance);
  if (found == holders_.end()) {
    return shares;
  }
  auto& holder = found->second;
  for (const auto& workspace : workspaces_) {
    auto& holding = holder.holdings[workspace];
    const auto aim = std::min(
      max_rate_share,
      static_cast<rate_share_ppm>(target_fraction(workspace, holder, now) * full_rate_share));
    const auto current = std::max(holding.held, holding.granted);
    if (aim <= current) {
      holding.granted = aim;
    } else {
      holding.granted = current + std::min(aim - current, unallocated_share(workspace, now));
      holding.held = std::max(holding.held, holding.granted);
    }
    if (holding.granted > 0) {
      shares[workspace] = holding.granted;
    }
  }
  holder.last_view = view;
  holder.last_grant_at = now;
  return shares;
}

rate_share_table
rate_share_allocator::granted_shares(const instance_id& instance) const
{
  rate_share_table shares;
  const auto found = holders_.find(instance);
  if (found == holders_.end()) {
    return shares;
  }
  for (const auto& [workspace, holding] : found->second.holdings) {
    if (holding.granted > 0) {
      shares[workspace] = holding.granted;
    }
  }
  return shares;
}

}
