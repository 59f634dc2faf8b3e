#include "Proxy/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace persimmonshelf {

namespace {

// Demand is averaged over about this time.
constexpr double demand_window_s = 1.5;
// Part of the tolerance that instances may use. The rest covers what is counted late.
constexpr double usable_tolerance = 0.5;
// An instance whose share of the tolerance is at least this many operations may save up one whole
// operation.
constexpr double min_tolerance_share = 0.4;
// Reports whose usage is remembered until an answer arrives.
constexpr std::size_t max_unanswered_reports = 32;
// Smaller demand is not reported.
constexpr double min_reported_demand = 0.005;

double
seconds_between(instant from, instant to)
{
  return std::max(0.0, std::chrono::duration<double>(to - from).count());
}

}

void
rate_limiter::set_workspaces(const std::vector<proxy_workspace>& workspaces, instant now)
{
  std::map<workspace_id, workspace_bucket> next;
  for (const auto& workspace : workspaces) {
    auto& kept = next[workspace.name];
    if (const auto found = buckets_.find(workspace.name); found != buckets_.end()) {
      kept = found->second;
      fill(workspace.name, kept, now);
    } else {
      kept.filled_at = now;
      kept.demand_updated_at = now;
      kept.tolerance_filled_at = now;
    }
    kept.rate = workspace.rate_per_s;
    kept.burst = workspace.burst;
  }
  buckets_ = std::move(next);
}

void
rate_limiter::set_shares(const rate_share_table& shares, instant until, instant now)
{
  for (auto& [workspace, bucket] : buckets_) {
    fill(workspace, bucket, now);
  }
  shares_ = shares;
  shares_valid_until_ = until;
}

void
rate_limiter::apply_grant(const token_grant& grant, instant answered_report, instant now)
{
  const bool used_shares = !uses_pool(now);
  if (used_shares) {
    carried_until_ = now + coordinator_settling_time;
    for (auto& [workspace, bucket] : buckets_) {
      fill(workspace, bucket, now);
      bucket.carried = std::max(0.0, bucket.tokens);
    }
  }
  pool_tokens_until_ = std::max(pool_tokens_until_, answered_report + pool_token_lifetime);
  if (grant.number == grant_) {
    return;
  }
  grant_ = grant.number;
  const auto answered =
    std::find_if(reported_usage_.begin(), reported_usage_.end(), [&](const auto& entry) {
      return entry.first == grant.requested_at;
    });
  const auto reported =
    answered == reported_usage_.end() ? std::map<workspace_id, double>() : answered->second;
  reported_usage_.clear();
  for (auto& [workspace, bucket] : buckets_) {
    const auto found = grant.tokens.find(workspace);
    // The tokens left of the previous grant when the report was made returned to the pool, so the
    // tokens used since then are subtracted from the new grant.
    const auto used_before = reported.find(workspace);
    const double used_since_report =
      bucket.used - (used_before == reported.end() ? 0.0 : used_before->second);
    bucket.tokens = (found == grant.tokens.end() ? 0.0 : found->second) - used_since_report;
    if (found != grant.tokens.end()) {
      bucket.supplied_at = now;
    }
    const auto elsewhere = grant.waiting_elsewhere.find(workspace);
    bucket.waiting_elsewhere =
      elsewhere == grant.waiting_elsewhere.end() ? std::nullopt : std::optional(elsewhere->second);
    bucket.used = used_since_report;
    bucket.filled_at = now;
    bucket.exhausted = bucket.waiting > 0 && bucket.tokens < bucket.waiting;
    bucket.waiting = 0;
  }
}

double
rate_limiter::share_of(const workspace_id& workspace) const
{
  const auto found = shares_.find(workspace);
  return found == shares_.end() ? 0.0 : static_cast<double>(found->second) / full_rate_share;
}

void
rate_limiter::fill(const workspace_id& workspace, workspace_bucket& filled, instant now) const
{
  if (now < pool_tokens_until_) {
    filled.filled_at = now;
    return;
  }
  const double fraction = share_of(workspace);
  const auto begin = std::max(filled.filled_at, pool_tokens_until_);
  const auto end = std::max(begin, std::min(now, shares_valid_until_));
  filled.tokens += filled.rate * fraction * seconds_between(begin, end);
  // The bucket must hold at least one token, or a small share could never be used.
  filled.tokens = std::min(filled.tokens, std::max(1.0, filled.burst * fraction));
  filled.filled_at = now;
}

void
rate_limiter::decay(workspace_bucket& measured, instant now)
{
  const double remaining =
    std::exp(-seconds_between(measured.demand_updated_at, now) / demand_window_s);
  measured.demand *= remaining;
  measured.admitted *= remaining;
  measured.demand_updated_at = now;
}

void
rate_limiter::count_admitted(workspace_bucket& measured, instant now)
{
  decay(measured, now);
  measured.admitted += 1.0 / demand_window_s;
}

void
rate_limiter::count_operation(const workspace_id& workspace, instant now)
{
  if (const auto found = buckets_.find(workspace); found != buckets_.end()) {
    decay(found->second, now);
    found->second.demand += 1.0 / demand_window_s;
  }
}

rate_limiter::verdict
rate_limiter::take(const workspace_id& workspace, bool counted, instant now)
{
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    return verdict::refused;
  }
  auto& bucket = found->second;
  if (counted) {
    count_operation(workspace, now);
  }
  fill(workspace, bucket, now);
  if (bucket.carried >= 1.0 && now < carried_until_) {
    bucket.carried -= 1.0;
    count_admitted(bucket, now);
    return verdict::granted;
  }
  if (bucket.tokens >= 1.0 && now < std::max(shares_valid_until_, pool_tokens_until_)) {
    bucket.tokens -= 1.0;
    bucket.used += 1.0;
    count_admitted(bucket, now);
    return verdict::granted;
  }
  if (contact_is_uncertain(now) && take_tolerance(workspace, bucket, now)) {
    return verdict::granted;
  }
  return uses_pool(now) && !bucket.exhausted ? verdict::wait_for_grant : verdict::refused;
}

void
rate_limiter::coordinator_changed(instant now)
{
  coordinator_changed_at_ = now;
  // Another coordinator numbers its grants anew.
  grant_ = 0;
}

bool
rate_limiter::take_unanswered(const workspace_id& workspace, instant now)
{
  const auto found = buckets_.find(workspace);
  return found != buckets_.end() && take_tolerance(workspace, found->second, now);
}

bool
rate_limiter::contact_is_uncertain(instant now) const
{
  const auto newest_answer = pool_tokens_until_ - pool_token_lifetime;
  return now - newest_answer > answer_expected_within ||
         (coordinator_changed_at_ && now - *coordinator_changed_at_ < coordinator_settling_time);
}

// Half of the instance's part can be saved up, and half refills in each window, so no window sees
// more than the part.
bool
rate_limiter::take_tolerance(const workspace_id& workspace,
                             workspace_bucket& from,
                             instant now) const
{
  const double window_s = std::chrono::duration<double>(tolerance_.window).count();
  const double total =
    usable_tolerance *
    (tolerance_.operations + tolerance_.fraction * (from.rate * window_s + from.burst));
  const double half_share = share_of(workspace) * total / 2;
  const double capacity = half_share < min_tolerance_share ? 0 : std::max(1.0, half_share);
  from.tolerance += half_share * seconds_between(from.tolerance_filled_at, now) / window_s;
  from.tolerance = std::min(from.tolerance, capacity);
  from.tolerance_filled_at = now;
  if (from.tolerance < 1.0) {
    return false;
  }
  from.tolerance -= 1.0;
  return true;
}

rate_limiter::token_supply
rate_limiter::supply(const workspace_id& workspace, instant now)
{
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    return {};
  }
  auto& bucket = found->second;
  fill(workspace, bucket, now);
  const double own_part = bucket.rate * share_of(workspace);
  if (!uses_pool(now)) {
    const bool usable = now < shares_valid_until_;
    return usable ? token_supply{ bucket.tokens, own_part, bucket.rate } : token_supply{};
  }
  decay(bucket, now);
  const double per_s = std::min(bucket.rate, std::max(own_part, bucket.admitted));
  // The pool grants only whole tokens, so a part of the next one does not show in any grant.
  const double accrued = std::min(1.0, per_s * seconds_between(bucket.supplied_at, now));
  return { bucket.tokens + accrued, per_s, bucket.rate, bucket.waiting_elsewhere };
}

std::map<workspace_id, double>
rate_limiter::demands(instant now)
{
  std::map<workspace_id, double> demands;
  for (auto& [workspace, bucket] : buckets_) {
    decay(bucket, now);
    if (bucket.demand > min_reported_demand) {
      demands[workspace] = bucket.demand;
    }
  }
  return demands;
}

std::map<workspace_id, double>
rate_limiter::usage_for_report(const std::map<workspace_id, double>& waiting, instant now)
{
  std::map<workspace_id, double> used;
  for (auto& [workspace, bucket] : buckets_) {
    const auto found = waiting.find(workspace);
    bucket.waiting = found == waiting.end() ? 0.0 : found->second;
    if (bucket.used > 0) {
      used[workspace] = bucket.used;
    }
  }
  reported_usage_.emplace_back(now, used);
  if (reported_usage_.size() > max_unanswered_reports) {
    reported_usage_.pop_front();
  }
  return used;
}

}
