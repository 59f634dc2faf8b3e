#include "Limits/workspace_share.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration shortest_retry = std::chrono::milliseconds(200);
constexpr std::uint64_t retry_spread_us = 1'000'000;
// Instances without a share read the row this many times less often; they only need to know whom to
// ask for tokens.
constexpr int bystander_factor = 6;

}

workspace_share::workspace_share(workspace_id id,
                                 const context& environment,
                                 const own_lease& lease,
                                 lease_watch& watch,
                                 random_sequence& random,
                                 instant now)
  : id_(std::move(id))
  , environment_(environment)
  , lease_(lease)
  , random_(random)
  , editor_(id_, environment.owner, environment.settings, lease, watch, editing())
  , refreshed_(now)
  , next_cycle_(now + environment.settings.with_margin(environment.settings.borrow_ttl) +
                duration(random.below(retry_spread_us)))
{
}

share_editor::hooks
workspace_share::editing()
{
  share_editor::hooks hooks;
  hooks.table = environment_.table;
  hooks.now = environment_.now;
  hooks.plan = [this](const share_row& row, instant at) { return plan(row, at); };
  hooks.changed = [this](instant at) { refresh(at); };
  hooks.settled = [this](instant at) { return bucket_.settled(at); };
  return hooks;
}

void
workspace_share::set_limit(const workspace_limit& limit, instant now)
{
  refresh(now);
  limit_ = limit;
  refresh(now);
  // Requests that come before the first cycle can already borrow.
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
workspace_share::present() const
{
  return editor_.known() && editor_.row().find(environment_.owner.instance) != nullptr;
}

void
workspace_share::refresh(instant now)
{
  const auto apply = [&](instant at) {
    const auto ppm = editor_.usable_ppm(at);
    const auto rate = part_of(limit_.rate_milli, ppm);
    const auto slower = part_of(rate, ppm_total - environment_.settings.rate_reserve_ppm);
    bucket_.configure(slower, part_of(limit_.burst_milli, ppm), at);
  };
  // After a pause the bucket must not have filled with a share that expired meanwhile.
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
  editor_.tick(now);
  demand_.tick(now, environment_.settings.move_interval, limit_.rate_milli);
  const bool idle = editor_.current() == share_editor::step::idle;
  if (idle && busy_) {
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
  if (leaving_ && editor_.known() && !present()) {
    next_cycle_ = now + environment_.settings.move_interval;
    return;
  }
  busy_ = true;
  editor_.start(now, leaving_);
}

void
workspace_share::after_cycle(instant now, duration read_interval)
{
  busy_ = false;
  list_lenders();
  const auto soon = now + shortest_retry + duration(random_.below(retry_spread_us));
  const bool wrote = editor_.writes() != writes_seen_;
  if (leaving_ || (editor_.retry_soon() && !wrote)) {
    next_cycle_ = soon;
  } else if (wrote) {
    next_cycle_ = now + environment_.settings.move_interval;
  } else {
    next_cycle_ = now + read_interval * (present() || chosen_ ? 1 : bystander_factor);
  }
  writes_seen_ = editor_.writes();
}

void
workspace_share::update_role(instant now)
{
  const auto candidates = environment_.eligible(id_);
  holders_ = choose_holders(candidates, limit_.burst_milli, environment_.settings);
  const auto& self = environment_.owner.instance;
  chosen_ = std::find(holders_.begin(), holders_.end(), self) != holders_.end();
  if (chosen_) {
    unchosen_since_.reset();
  } else if (!unchosen_since_) {
    unchosen_since_ = now;
  }
  if (!editor_.known()) {
    list_lenders();
  }
}

share_row
workspace_share::plan(const share_row& row, instant now) const
{
  share_wish wish;
  wish.owner = environment_.owner;
  wish.limit = limit_;
  wish.holder_count = std::max<std::int64_t>(1, static_cast<std::int64_t>(holders_.size()));
  wish.demand_ppm = demand_.demand_ppm();
  wish.pressed = demand_.pressed();
  const bool waits = unchosen_since_ &&
                     now - *unchosen_since_ < environment_.settings.leave_delay &&
                     row.find(wish.owner.instance) != nullptr;
  wish.holder = !leaving_ && (chosen_ || waits);
  return plan_share(row, wish, environment_.settings);
}

void
workspace_share::list_lenders()
{
  lenders_.clear();
  const auto add = [&](const instance_id& instance, std::int64_t ppm) {
    const bool whole_token = part_of(limit_.burst_milli, ppm) >= token_milli;
    if (instance == environment_.owner.instance || !whole_token) {
      return;
    }
    const auto rate = std::max<std::int64_t>(1, part_of(limit_.rate_milli, ppm));
    lenders_.push_back({ instance, duration(token_milli * 1'000'000 / rate) });
  };
  for (const auto& [instance, entry] : editor_.row().holders()) {
    add(instance, entry.total());
  }
  if (editor_.known()) {
    return;
  }
  // Before the first read, such as after a start during an outage, the chosen holders are asked.
  for (const auto& instance : holders_) {
    add(instance, ppm_total / static_cast<std::int64_t>(holders_.size()));
  }
}

}
