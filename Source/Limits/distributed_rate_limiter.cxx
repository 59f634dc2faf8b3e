#include "Limits/distributed_rate_limiter.h"

#include <algorithm>
#include <set>
#include <utility>

namespace persimmonshelf {

namespace {

void
add(distributed_rate_limiter::counters& sum, const distributed_rate_limiter::counters& part)
{
  sum.admitted += part.admitted;
  sum.borrowed += part.borrowed;
  sum.lent += part.lent;
  sum.refused_over_rate += part.refused_over_rate;
  sum.refused_no_share += part.refused_no_share;
  sum.row_writes += part.row_writes;
  sum.row_conflicts += part.row_conflicts;
}

}

distributed_rate_limiter::distributed_rate_limiter(share_owner owner,
                                                   share_settings settings,
                                                   hooks callbacks)
  : context_{ std::move(owner),
              settings,
              std::move(callbacks.table),
              std::move(callbacks.now),
              std::move(callbacks.candidates) }
  , send_borrow_answer_(std::move(callbacks.send_borrow_answer))
  // Refreshes the buckets before a table answer is handled: they must be lowered at the time when a
  // lease expired, and a late confirmation of a renewal overwrites that time.
  , lease_(context_.owner.instance,
           context_.owner.incarnation,
           settings,
           context_.table,
           [this] {
             const auto now = context_.now();
             refresh_all(now);
             return now;
           })
  , monitor_(settings, context_.table, context_.now)
  , borrower_(settings, context_.owner.incarnation.get(), std::move(callbacks.send_borrow_request))
  , random_(context_.owner.incarnation.get())
{
}

void
distributed_rate_limiter::configure(const std::map<workspace_id, workspace_limit>& limits,
                                    instant now)
{
  for (auto& [id, state] : workspaces_) {
    state->removed = !limits.contains(id);
    state->share.set_leaving(draining_ || state->removed, now);
  }
  for (const auto& [id, limit] : limits) {
    auto& state = workspaces_[id];
    if (!state) {
      state.reset(new workspace_state{
        workspace_share(id, context_, lease_, monitor_, random_, now), {}, false });
      state->share.set_leaving(draining_, now);
    }
    state->share.set_limit(limit, now);
  }
}

void
distributed_rate_limiter::refresh_all(instant now)
{
  for (auto& [id, state] : workspaces_) {
    state->share.refresh(now);
  }
}

distributed_rate_limiter::workspace_state*
distributed_rate_limiter::find(const workspace_id& workspace)
{
  const auto found = workspaces_.find(workspace);
  return found == workspaces_.end() || found->second->removed ? nullptr : found->second.get();
}

void
distributed_rate_limiter::tick(instant now)
{
  lease_.tick(now);
  monitor_.tick(now);
  borrower_.tick(now);
  const auto interval = read_interval();
  for (auto& [id, state] : workspaces_) {
    state->share.tick(now, interval);
  }
  std::erase_if(workspaces_, [](const auto& item) {
    const auto& share = item.second->share;
    return item.second->removed &&
           share.updater().current_step() == share_row_updater::step::idle &&
           share.updater().has_row() && !share.has_entry();
  });
  if (now >= next_monitor_update_) {
    next_monitor_update_ = now + context_.settings.rebalance_interval;
    monitor_holders(now);
  }
}

duration
distributed_rate_limiter::read_interval() const
{
  std::int64_t bytes = 0;
  for (const auto& [id, state] : workspaces_) {
    bytes += static_cast<std::int64_t>(state->share.updater().row_bytes());
  }
  const auto paced = duration(bytes * 1'000'000 / context_.settings.row_read_bytes_per_second);
  return std::max(context_.settings.rebalance_interval, paced);
}

void
distributed_rate_limiter::monitor_holders(instant now)
{
  std::set<instance_id> holders;
  for (const auto& [id, state] : workspaces_) {
    for (const auto& [instance, entry] : state->share.updater().row().holders()) {
      holders.insert(instance);
    }
  }
  monitor_.select_instances(context_.owner.instance, holders, now);
}

void
distributed_rate_limiter::admit(const workspace_id& workspace, instant now, callback done)
{
  auto* state = find(workspace);
  if (state == nullptr) {
    done(admission_decision::refused_no_share);
    return;
  }
  state->share.refresh(now);
  state->share.demand().record_request();
  if (state->share.bucket().take(token_milli, now)) {
    ++state->counts.admitted;
    done(admission_decision::admitted);
    return;
  }
  state->share.demand().record_shortage();
  borrower_.borrow(
    workspace,
    state->share.lenders(),
    now,
    [this, workspace, done = std::move(done)](token_borrower::outcome outcome, instant at) {
      auto* found = find(workspace);
      if (found == nullptr) {
        done(admission_decision::refused_no_share);
        return;
      }
      if (outcome != token_borrower::outcome::borrowed) {
        admit_or_refuse(*found, outcome == token_borrower::outcome::refused, at, done);
        return;
      }
      ++found->counts.admitted;
      ++found->counts.borrowed;
      done(admission_decision::admitted);
    });
}

void
distributed_rate_limiter::admit_or_refuse(workspace_state& state,
                                          bool answered,
                                          instant now,
                                          const callback& done)
{
  state.share.refresh(now);
  // The instance's own bucket may have gained a token while peers were asked.
  if (state.share.bucket().take(token_milli, now)) {
    ++state.counts.admitted;
    done(admission_decision::admitted);
    return;
  }
  if (answered || state.share.bucket().capacity() >= token_milli) {
    ++state.counts.refused_over_rate;
    done(admission_decision::refused_over_rate);
    return;
  }
  ++state.counts.refused_no_share;
  done(admission_decision::refused_no_share);
}

void
distributed_rate_limiter::on_borrow_request(const instance_id& peer,
                                            std::uint64_t id,
                                            const workspace_id& workspace,
                                            std::int64_t milli,
                                            instant now)
{
  auto* state = find(workspace);
  std::int64_t lent = 0;
  if (state != nullptr && milli > 0) {
    state->share.refresh(now);
    const auto& settings = context_.settings;
    const auto until = now + settings.with_margin(settings.borrow_ttl);
    lent = state->share.bucket().lend(milli, now, until) ? milli : 0;
    if (lent > 0) {
      ++state->counts.lent;
    }
    // A peer without a share cannot record its demand in the share row, so its requests count
    // toward the lender's demand.
    if (state->share.updater().row().find(peer) == nullptr) {
      state->share.demand().record_request();
    }
  }
  send_borrow_answer_(peer, id, workspace, lent);
}

void
distributed_rate_limiter::on_borrow_answer(const instance_id& peer,
                                           std::uint64_t id,
                                           std::int64_t milli,
                                           instant now)
{
  borrower_.answer(peer, id, milli, now);
}

void
distributed_rate_limiter::on_surplus_report(const instance_id& peer,
                                            const workspace_id& workspace,
                                            std::int64_t milli,
                                            instant now)
{
  borrower_.on_surplus_report(peer, workspace, milli, now);
}

std::int64_t
distributed_rate_limiter::surplus(const workspace_id& workspace, instant now)
{
  auto* state = find(workspace);
  if (state == nullptr) {
    return 0;
  }
  state->share.refresh(now);
  return state->share.bucket().level(now);
}

void
distributed_rate_limiter::drain(instant now)
{
  draining_ = true;
  for (auto& [id, state] : workspaces_) {
    state->share.set_leaving(true, now);
  }
}

bool
distributed_rate_limiter::drained() const
{
  return draining_ && std::all_of(workspaces_.begin(), workspaces_.end(), [](const auto& item) {
           const auto& share = item.second->share;
           return share.updater().current_step() == share_row_updater::step::idle &&
                  share.updater().has_row() && !share.has_entry();
         });
}

distributed_rate_limiter::counters
distributed_rate_limiter::counters_of(const workspace_id& workspace) const
{
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end()) {
    return {};
  }
  auto counts = found->second->counts;
  counts.row_writes = found->second->share.updater().writes();
  counts.row_conflicts = found->second->share.updater().conflicts();
  return counts;
}

distributed_rate_limiter::counters
distributed_rate_limiter::totals() const
{
  counters sum;
  for (const auto& [id, state] : workspaces_) {
    add(sum, counters_of(id));
  }
  return sum;
}

std::int64_t
distributed_rate_limiter::share_ppm(const workspace_id& workspace, instant now) const
{
  const auto found = workspaces_.find(workspace);
  return found == workspaces_.end() ? 0 : found->second->share.updater().usable_ppm(now);
}

workspace_limit
distributed_rate_limiter::share(const workspace_id& workspace, instant now) const
{
  const auto found = workspaces_.find(workspace);
  if (found == workspaces_.end()) {
    return {};
  }
  const auto ppm = share_ppm(workspace, now);
  const auto& limit = found->second->share.limit();
  return { part_of(limit.rate_milli, ppm), part_of(limit.burst_milli, ppm) };
}

}
