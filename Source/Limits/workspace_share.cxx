#include "Limits/workspace_share.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration min_retry_delay = std::chrono::milliseconds(200);
// Random part of the delay before the first cycle and before a retry.
constexpr std::uint64_t retry_jitter_us = 1'000'000;
// Instances without a share read the row this many times less often; they need it only to find
// peers to borrow from.
constexpr int non_holder_read_factor = 6;

}

workspace_share::workspace_share(workspace_id id,
                                 const context& shared,
                                 const instance_lease& lease,
                                 lease_monitor& monitor,
                                 random_sequence& random,
                                 instant now)
  : id_(std::move(id))
  , context_(shared)
  , lease_(lease)
  , random_(random)
  , updater_(id_, shared.owner, shared.settings, lease, monitor, updater_hooks())
  , refreshed_(now)
  , next_cycle_(now + shared.settings.with_margin(shared.settings.borrow_ttl) +
                duration(random.below(retry_jitter_us)))
{
}

share_row_updater::hooks
workspace_share::updater_hooks()
{
  share_row_updater::hooks hooks;
  hooks.table = context_.table;
  hooks.now = context_.now;
  hooks.plan = [this](const share_row& row, instant at) { return plan(row, at); };
  hooks.share_changed = [this](instant at) { refresh(at); };
  hooks.loans_fit = [this](instant at) { return bucket_.loans_fit(at); };
  return hooks;
}

void
workspace_share::set_limit(const workspace_limit& limit, instant now)
{
  refresh(now);
  limit_ = limit;
  refresh(now);
  // Updates the lenders, so that requests can borrow tokens before the first cycle.
  update_role(now);
}

void
workspace_share::set_leaving(bool leaving, instant now)
{
  if (leaving && !leaving_) {
    next_cycle_ = std::min(next_cycle_, now);
  }
  leaving_ = leaving;
}

bool
workspace_share::has_entry() const
{
  return updater_.has_row() && updater_.row().find(context_.owner.instance) != nullptr;
}

void
workspace_share::refresh(instant now)
{
  const auto apply = [&](instant at) {
    const auto ppm = updater_.usable_ppm(at);
    const auto rate = part_of(limit_.rate_milli, ppm);
    const auto slower = part_of(rate, ppm_total - context_.settings.rate_reserve_ppm);
    bucket_.configure(slower, part_of(limit_.burst_milli, ppm), at);
  };
  // If the process was paused, the bucket must not be filled at the rate of a share that expired in
  // the meantime.
  for (const auto end : { lease_.extra_until(), lease_.base_until() }) {
    if (refreshed_ < end && end < now) {
      apply(end);
    }
  }
  apply(now);
  refreshed_ = now;
}

void
workspace_share::tick(instant now, duration read_interval)
{
  refresh(now);
  updater_.tick(now);
  demand_.tick(now, context_.settings.rebalance_interval, limit_.rate_milli);
  const bool idle = updater_.current_step() == share_row_updater::step::idle;
  if (idle && cycle_running_) {
    after_cycle(now, read_interval);
  }
  if (idle && now >= next_cycle_) {
    start_cycle(now);
  }
}

void
workspace_share::start_cycle(instant now)
{
  update_role(now);
  if (leaving_ && updater_.has_row() && !has_entry()) {
    next_cycle_ = now + context_.settings.rebalance_interval;
    return;
  }
  cycle_running_ = true;
  updater_.start(now, leaving_);
}

void
workspace_share::after_cycle(instant now, duration read_interval)
{
  cycle_running_ = false;
  update_lenders();
  const auto soon = now + min_retry_delay + duration(random_.below(retry_jitter_us));
  const bool wrote = updater_.writes() != writes_at_cycle_end_;
  if (leaving_ || (updater_.retry_soon() && !wrote)) {
    next_cycle_ = soon;
  } else if (wrote) {
    next_cycle_ = now + context_.settings.rebalance_interval;
  } else {
    next_cycle_ = now + read_interval * (has_entry() || chosen_ ? 1 : non_holder_read_factor);
  }
  writes_at_cycle_end_ = updater_.writes();
}

void
workspace_share::update_role(instant now)
{
  const auto candidates = context_.candidates(id_);
  holders_ = choose_holders(candidates, limit_.burst_milli, context_.settings);
  const auto& self = context_.owner.instance;
  chosen_ = std::find(holders_.begin(), holders_.end(), self) != holders_.end();
  if (chosen_) {
    not_chosen_since_.reset();
  } else if (!not_chosen_since_) {
    not_chosen_since_ = now;
  }
  if (!updater_.has_row()) {
    update_lenders();
  }
}

share_row
workspace_share::plan(const share_row& row, instant now) const
{
  share_plan_input input;
  input.owner = context_.owner;
  input.limit = limit_;
  input.holder_count = std::max<std::int64_t>(1, static_cast<std::int64_t>(holders_.size()));
  input.demand_ppm = demand_.demand_ppm();
  input.short_of_tokens = demand_.short_of_tokens();
  const bool in_leave_delay = not_chosen_since_ &&
                              now - *not_chosen_since_ < context_.settings.leave_delay &&
                              row.find(input.owner.instance) != nullptr;
  input.should_hold = !leaving_ && (chosen_ || in_leave_delay);
  return plan_share(row, input, context_.settings);
}

void
workspace_share::update_lenders()
{
  lenders_.clear();
  const auto add = [&](const instance_id& instance, std::int64_t ppm) {
    const bool whole_token = part_of(limit_.burst_milli, ppm) >= token_milli;
    if (instance == context_.owner.instance || !whole_token) {
      return;
    }
    const auto rate = std::max<std::int64_t>(1, part_of(limit_.rate_milli, ppm));
    lenders_.push_back({ instance, duration(token_milli * 1'000'000 / rate) });
  };
  for (const auto& [instance, entry] : updater_.row().holders()) {
    add(instance, entry.total());
  }
  if (updater_.has_row()) {
    return;
  }
  // Before the first read, such as after a start during an outage of the table, the chosen holders
  // are taken as lenders with even shares.
  for (const auto& instance : holders_) {
    add(instance, ppm_total / static_cast<std::int64_t>(holders_.size()));
  }
}

}
