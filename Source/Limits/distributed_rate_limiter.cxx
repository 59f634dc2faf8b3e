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
                                                   hooks environment)
  : environment_{ std::move(owner),
                  settings,
                  std::move(environment.table),
                  std::move(environment.now),
                  std::move(environment.candidates) }
  , answer_borrow_(std::move(environment.send_borrow_answer))
  // A lapse of the lease must lower the buckets as of the moment it happened, before a late
  // confirmation hides that moment.
  , lease_(environment_.owner.instance,
           environment_.owner.incarnation,
           settings,
           environment_.table,
           [this] {
             const auto now = environment_.now();
             refresh_all(now);
             return now;
           })
  , watch_(settings, environment_.table, environment_.now)
  , borrower_(settings,
              environment_.owner.incarnation.get(),
              std::move(environment.send_borrow_request))
  , random_(environment_.owner.incarnation.get())
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
        workspace_share(id, environment_, lease_, watch_, random_, now), {}, false });
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
  watch_.tick(now);
  borrower_.tick(now);
  const auto interval = read_interval();
  for (auto& [id, state] : workspaces_) {
    state->share.tick(now, interval);
  }
  std::erase_if(workspaces_, [](const auto& item) {
    const auto& share = item.second->share;
    return item.second->removed && share.editor().current() == share_editor::step::idle &&
           share.editor().known() && !share.present();
  });
  if (now >= next_watch_) {
    next_watch_ = now + environment_.settings.move_interval;
    watch_holders(now);
  }
}

duration
distributed_rate_limiter::read_interval() const
{
  std::int64_t bytes = 0;
  for (const auto& [id, state] : workspaces_) {
    bytes += static_cast<std::int64_t>(state->share.editor().row_bytes());
  }
  const auto paced = duration(bytes * 1'000'000 / environment_.settings.read_budget);
  return std::max(environment_.settings.move_interval, paced);
}

void
distributed_rate_limiter::watch_holders(instant now)
{
  std::set<instance_id> holders;
  for (const auto& [id, state] : workspaces_) {
    for (const auto& [instance, entry] : state->share.editor().row().holders()) {
      holders.insert(instance);
    }
  }
  watch_.choose(environment_.owner.instance, holders, now);
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
  state->share.demand().request();
  if (state->share.bucket().take(token_milli, now)) {
    ++state->counts.admitted;
    done(admission_decision::admitted);
    return;
  }
  state->share.demand().shortage();
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
        refuse(*found, outcome == token_borrower::outcome::refused, at, done);
        return;
      }
      ++found->counts.admitted;
      ++found->counts.borrowed;
      done(admission_decision::admitted);
    });
}

void
distributed_rate_limiter::refuse(workspace_state& state,
                                 bool answered,
                                 instant now,
                                 const callback& done)
{
  state.share.refresh(now);
  // The own bucket may have filled while peers were asked.
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
    const auto& settings = environment_.settings;
    const auto until = now + settings.with_margin(settings.borrow_ttl);
    lent = state->share.bucket().lend(milli, now, until) ? milli : 0;
    if (lent > 0) {
      ++state->counts.lent;
    }
    // Peers without a share of their own can't state their demand in the row.
    if (state->share.editor().row().find(peer) == nullptr) {
      state->share.demand().request();
    }
  }
  answer_borrow_(peer, id, workspace, lent);
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
distributed_rate_limiter::heard_surplus(const instance_id& peer,
                                        const workspace_id& workspace,
                                        std::int64_t milli,
                                        instant now)
{
  borrower_.heard(peer, workspace, milli, now);
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
           return share.editor().current() == share_editor::step::idle && share.editor().known() &&
                  !share.present();
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
  counts.row_writes = found->second->share.editor().writes();
  counts.row_conflicts = found->second->share.editor().conflicts();
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
  return found == workspaces_.end() ? 0 : found->second->share.editor().usable_ppm(now);
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
