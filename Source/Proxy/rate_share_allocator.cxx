#include "Proxy/rate_share_allocator.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// Fraction of each workspace's rate that is split equally, so that a caller finds some tokens at
// every instance.
constexpr double equal_fraction = 0.2;
// An instance without a report for this long gets no new shares.
constexpr duration liveness_timeout = std::chrono::milliseconds(1500);
// Instances use their shares once they have been out of contact for pool_token_lifetime. The
// coordinator assumes that they do so earlier.
constexpr duration contact_timeout = std::chrono::milliseconds(450);
// Interval between two sums of all instances' demand, a fifth of that between reports.
constexpr duration demand_update_period = std::chrono::milliseconds(50);
// Smaller demand counts as none.
constexpr double negligible_demand = 0.01;

}

rate_share_allocator::rate_share_allocator(bool no_earlier_shares, instant now)
  : started_at_(now)
  , no_earlier_shares_(no_earlier_shares)
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
    if (!newest_runs_.contains(instance)) {
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
  const auto max_unknown =
    static_cast<std::uint64_t>(max_rate_share) * unreported_instances_.size();
  return static_cast<rate_share_ppm>(std::min<std::uint64_t>(full_rate_share, max_unknown));
}

void
rate_share_allocator::record_report(const instance_report& report,
                                    fencing_token own_token,
                                    instant now)
{
  // Stays true unless grant_shares() follows.
  lease_ended_ = shares_granted_;
  unreported_instances_.erase(report.instance);
  const run_id run(report.instance, report.incarnation);
  newest_runs_[report.instance] = report.incarnation;
  const auto [entry, is_new] = holders_.try_emplace(run);
  auto& holder = entry->second;
  if (is_new) {
    holder.established = !has_other_runs(run);
  } else if (report.clock < holder.last_clock) {
    return;
  }
  for (auto other = first_run(report.instance);
       other != holders_.end() && other->first.first == report.instance;
       ++other) {
    if (other->first != run) {
      other->second.proving_view.reset();
    }
  }
  holder.last_report_at = now;
  holder.last_clock = report.clock;
  holder.leaving = report.leaving;
  const bool applied_own_view = report.view && report.view->token == own_token;
  holder.view_age = applied_own_view ? report.view_age : duration::max();
  for (auto& [workspace, holding] : holder.holdings) {
    holding.demand = 0;
  }
  for (const auto& [workspace, demand] : report.demands) {
    holder.holdings[workspace].demand = demand;
  }
  if (report.shares_view.token != own_token) {
    // Shares of an earlier coordinator, which the instance may use until they expire.
    for (const auto& [workspace, share] : report.shares) {
      auto& holding = holder.holdings[workspace];
      holding.held = std::max(holding.held, share);
    }
    if (holder.last_grant_at == instant{}) {
      holder.last_grant_at = now;
    }
    return;
  }
  if (holder.proving_view && report.shares_view.number >= *holder.proving_view) {
    // Only one process runs under a name at a time, so the runs that reported before this view was
    // made hold nothing any more.
    end_other_runs(run);
    holder.established = true;
  }
  if (report.shares_view.number < holder.last_view) {
    return;
  }
  // The newest grant was applied, so the instance may use only that.
  for (auto& [workspace, holding] : holder.holdings) {
    holding.held = holding.granted;
  }
}

void
rate_share_allocator::remove_instance(const instance_id& instance)
{
  unreported_instances_.erase(instance);
  newest_runs_.erase(instance);
  end_other_runs({ instance, incarnation_id(0) });
  holders_.erase({ instance, incarnation_id(0) });
}

void
rate_share_allocator::remove_run(const instance_id& instance, incarnation_id run)
{
  unreported_instances_.erase(instance);
  holders_.erase({ instance, run });
  const auto newest = newest_runs_.find(instance);
  if (newest != newest_runs_.end() && newest->second == run) {
    newest_runs_.erase(newest);
  }
}

std::map<rate_share_allocator::run_id, rate_share_allocator::instance_shares>::iterator
rate_share_allocator::first_run(const instance_id& instance)
{
  return holders_.lower_bound({ instance, incarnation_id(0) });
}

bool
rate_share_allocator::has_other_runs(const run_id& run)
{
  const auto first = first_run(run.first);
  const auto is_of_instance = [&](auto entry) {
    return entry != holders_.end() && entry->first.first == run.first;
  };
  return is_of_instance(first) && (first->first != run || is_of_instance(std::next(first)));
}

void
rate_share_allocator::end_other_runs(const run_id& run)
{
  for (auto entry = first_run(run.first);
       entry != holders_.end() && entry->first.first == run.first;) {
    entry = entry->first == run ? std::next(entry) : holders_.erase(entry);
  }
}

bool
rate_share_allocator::is_in_contact(const instance_shares& holder, instant now)
{
  return now - holder.last_report_at < contact_timeout && holder.view_age < contact_timeout;
}

double
rate_share_allocator::pool_fraction(const workspace_id& workspace, instant now) const
{
  double connected = 0;
  double disconnected = 0;
  std::uint64_t instances_in_contact = 0;
  bool all_in_contact = unreported_instances_.empty();
  for (const auto& [run, holder] : holders_) {
    const bool in_contact = is_in_contact(holder, now);
    instances_in_contact += in_contact && holder.established ? 1 : 0;
    all_in_contact = all_in_contact && in_contact;
    const auto found = holder.holdings.find(workspace);
    if (found == holder.holdings.end()) {
      continue;
    }
    (in_contact ? connected : disconnected) += std::max(found->second.held, found->second.granted);
  }
  double rest = full_rate_share - disconnected - unknown_shares(now);
  if (lease_ended_ && !all_in_contact) {
    rest = std::min(rest, static_cast<double>(max_rate_share * instances_in_contact));
  }
  // Connected instances use the pool instead of their shares.
  return std::clamp(std::max(connected, rest) / full_rate_share, 0.0, 1.0);
}

void
rate_share_allocator::expire(instant now)
{
  for (auto entry = holders_.begin(); entry != holders_.end();) {
    const auto& holder = entry->second;
    const auto last_activity = std::max(holder.last_report_at, holder.last_grant_at);
    if (now - last_activity <= share_lifetime) {
      ++entry;
      continue;
    }
    const auto newest = newest_runs_.find(entry->first.first);
    if (newest != newest_runs_.end() && newest->second == entry->first.second) {
      newest_runs_.erase(newest);
    }
    entry = holders_.erase(entry);
  }
}

// Sums up the demand of all instances. Summing for each report would cost time that grows with the
// square of the fleet.
void
rate_share_allocator::update_demand(instant now)
{
  if (demand_updated_at_ && now - *demand_updated_at_ < demand_update_period) {
    return;
  }
  demand_updated_at_ = now;
  live_instances_ = 0;
  total_demand_.clear();
  for (const auto& [instance, holder] : holders_) {
    if (now - holder.last_report_at > liveness_timeout || holder.leaving || !holder.established) {
      continue;
    }
    ++live_instances_;
    for (const auto& [workspace, holding] : holder.holdings) {
      total_demand_[workspace] += holding.demand;
    }
  }
}

double
rate_share_allocator::target_fraction(const workspace_id& workspace,
                                      const instance_shares& owner,
                                      instant now) const
{
  if (live_instances_ == 0 || owner.leaving || now - owner.last_report_at > liveness_timeout) {
    return 0;
  }
  const double equal_share = 1.0 / static_cast<double>(live_instances_);
  const auto total = total_demand_.find(workspace);
  if (total == total_demand_.end() || total->second < negligible_demand) {
    return equal_share;
  }
  const auto found = owner.holdings.find(workspace);
  const double demand = found == owner.holdings.end() ? 0 : found->second.demand;
  const double own_fraction = std::min(1.0, demand / total->second);
  return equal_fraction * equal_share + (1 - equal_fraction) * own_fraction;
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
  shares_granted_ = true;
  lease_ended_ = false;
  expire(now);
  update_demand(now);
  rate_share_table shares;
  const auto run = newest_runs_.find(instance);
  const auto found =
    run == newest_runs_.end() ? holders_.end() : holders_.find({ instance, run->second });
  if (found == holders_.end()) {
    return shares;
  }
  auto& holder = found->second;
  holder.last_view = view;
  holder.last_grant_at = now;
  if (has_other_runs(found->first)) {
    if (!holder.proving_view) {
      holder.proving_view = view;
    }
  } else {
    // The others expired.
    holder.established = true;
  }
  if (!holder.established) {
    return shares;
  }
  for (const auto& workspace : workspaces_) {
    auto& holding = holder.holdings[workspace];
    const auto target = std::min(
      max_rate_share,
      static_cast<rate_share_ppm>(target_fraction(workspace, holder, now) * full_rate_share));
    const auto current = std::max(holding.held, holding.granted);
    if (target <= current) {
      holding.granted = target;
    } else {
      holding.granted = current + std::min(target - current, unallocated_share(workspace, now));
      holding.held = std::max(holding.held, holding.granted);
    }
    if (holding.granted > 0) {
      shares[workspace] = holding.granted;
    }
  }
  return shares;
}

rate_share_table
rate_share_allocator::granted_shares(const instance_id& instance) const
{
  rate_share_table shares;
  const auto run = newest_runs_.find(instance);
  const auto found =
    run == newest_runs_.end() ? holders_.end() : holders_.find({ instance, run->second });
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
