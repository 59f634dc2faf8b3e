#include "Proxy/rate_shares.h"

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

rate_shares::rate_shares(bool all_known, instant now)
  : began_(now)
  , all_known_(all_known)
{
}

void
rate_shares::set_registered(const std::map<instance_id, incarnation_id>& instances)
{
  if (registered_known_) {
    return;
  }
  registered_known_ = true;
  for (const auto& [instance, incarnation] : instances) {
    if (!holders_.contains(instance)) {
      unheard_.emplace(instance, incarnation);
    }
  }
}

void
rate_shares::set_workspaces(const std::vector<proxy_workspace>& workspaces)
{
  workspaces_.clear();
  for (const auto& workspace : workspaces) {
    workspaces_.push_back(workspace.name);
  }
}

share_parts
rate_shares::unknown_parts(instant now) const
{
  if (all_known_ || now - began_ > share_lifetime) {
    return 0;
  }
  if (!registered_known_) {
    return whole_share;
  }
  const auto most = static_cast<std::uint64_t>(largest_share) * unheard_.size();
  return static_cast<share_parts>(std::min<std::uint64_t>(whole_share, most));
}

void
rate_shares::report(const instance_report& report, fencing_token own_token, instant now)
{
  unheard_.erase(report.instance);
  auto& holder = holders_[report.instance];
  if (holder.incarnation != report.incarnation) {
    // One process runs at a time under one name, so the former run holds nothing any more.
    holder = {};
    holder.incarnation = report.incarnation;
  } else if (report.clock < holder.last_clock) {
    return;
  }
  holder.heard = now;
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
    if (holder.last_grant == instant{}) {
      holder.last_grant = now;
    }
    return;
  }
  if (report.view < holder.last_view) {
    return;
  }
  // The newest view was applied: what it said is all that the instance may use.
  for (auto& [workspace, holding] : holder.holdings) {
    holding.held = holding.granted;
  }
}

void
rate_shares::without_sessions(const instance_id& instance)
{
  unheard_.erase(instance);
  holders_.erase(instance);
}

bool
rate_shares::in_touch(const share_holder& holder, instant now)
{
  return now - holder.heard < touch_limit && holder.view_age < touch_limit;
}

double
rate_shares::central_part(const workspace_id& workspace, instant now) const
{
  double near = 0;
  double far = 0;
  for (const auto& [instance, holder] : holders_) {
    const auto found = holder.holdings.find(workspace);
    if (found == holder.holdings.end()) {
      continue;
    }
    (in_touch(holder, now) ? near : far) += std::max(found->second.held, found->second.granted);
  }
  // Instances in touch have given up their shares in favour of the pool.
  const double parts = std::max(near, whole_share - far - unknown_parts(now));
  return std::clamp(parts / whole_share, 0.0, 1.0);
}

void
rate_shares::expire(instant now)
{
  for (auto entry = holders_.begin(); entry != holders_.end();) {
    const auto& holder = entry->second;
    const auto last = std::max(holder.heard, holder.last_grant);
    entry = now - last > share_lifetime ? holders_.erase(entry) : std::next(entry);
  }
}

double
rate_shares::wanted(const workspace_id& workspace, const share_holder& of, instant now) const
{
  double total = 0;
  std::size_t alive = 0;
  for (const auto& [instance, holder] : holders_) {
    if (now - holder.heard > silence_limit || holder.leaving) {
      continue;
    }
    ++alive;
    if (const auto found = holder.holdings.find(workspace); found != holder.holdings.end()) {
      total += found->second.demand;
    }
  }
  if (alive == 0 || of.leaving || now - of.heard > silence_limit) {
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

share_parts
rate_shares::unheld(const workspace_id& workspace, instant now) const
{
  std::uint64_t held = unknown_parts(now);
  for (const auto& [instance, holder] : holders_) {
    if (const auto found = holder.holdings.find(workspace); found != holder.holdings.end()) {
      held += std::max(found->second.held, found->second.granted);
    }
  }
  return held >= whole_share ? 0 : whole_share - static_cast<share_parts>(held);
}

share_table_parts
rate_shares::grant(const instance_id& instance, std::uint64_t view, instant now)
{
  expire(now);
  share_table_parts shares;
  const auto found = holders_.find(instance);
  if (found == holders_.end()) {
    return shares;
  }
  auto& holder = found->second;
  for (const auto& workspace : workspaces_) {
    auto& holding = holder.holdings[workspace];
    const auto aim = std::min(
      largest_share, static_cast<share_parts>(wanted(workspace, holder, now) * whole_share));
    const auto current = std::max(holding.held, holding.granted);
    if (aim <= current) {
      holding.granted = aim;
    } else {
      holding.granted = current + std::min(aim - current, unheld(workspace, now));
      holding.held = std::max(holding.held, holding.granted);
    }
    if (holding.granted > 0) {
      shares[workspace] = holding.granted;
    }
  }
  holder.last_view = view;
  holder.last_grant = now;
  return shares;
}

share_table_parts
rate_shares::granted(const instance_id& instance) const
{
  share_table_parts shares;
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
