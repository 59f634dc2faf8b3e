#include "Proxy/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace persimmonshelf {

namespace {

// Demand is averaged over about this time.
constexpr double demand_window_s = 1.5;
// Retry hint to a caller when the time of the next token is unknown.
constexpr duration default_retry_delay = std::chrono::milliseconds(500);
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
rate_limiter::apply_grant(const std::map<workspace_id, double>& tokens,
                          std::uint64_t grant,
                          instant requested_at,
                          instant now)
{
  grant_ = grant;
  pool_tokens_until_ = std::max(pool_tokens_until_, requested_at + pool_token_lifetime);
  for (auto& [workspace, bucket] : buckets_) {
    const auto found = tokens.find(workspace);
    // The tokens left of the previous grant when the report was made returned to the pool, so the
    // tokens used since then are subtracted from the new grant.
    const double used_since_report = bucket.used - bucket.reported_used;
    bucket.tokens = (found == tokens.end() ? 0.0 : found->second) - used_since_report;
    bucket.used = used_since_report;
    bucket.reported_used = 0;
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
  measured.demand *= std::exp(-seconds_between(measured.demand_updated_at, now) / demand_window_s);
  measured.demand_updated_at = now;
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
    decay(bucket, now);
    bucket.demand += 1.0 / demand_window_s;
  }
  fill(workspace, bucket, now);
  if (bucket.tokens >= 1.0 && now < std::max(shares_valid_until_, pool_tokens_until_)) {
    bucket.tokens -= 1.0;
    bucket.used += 1.0;
    return verdict::granted;
  }
  return uses_pool(now) && !bucket.exhausted ? verdict::wait_for_grant : verdict::refused;
}

duration
rate_limiter::retry_after(const workspace_id& workspace, instant now) const
{
  const auto found = buckets_.find(workspace);
  const double rate = found == buckets_.end()
                        ? 0.0
                        : found->second.rate * (uses_pool(now) ? 1.0 : share_of(workspace));
  if (rate <= 0) {
    return default_retry_delay;
  }
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>(std::max(0.0, 1.0 - found->second.tokens) / rate));
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
rate_limiter::usage_for_report(const std::map<workspace_id, double>& waiting)
{
  std::map<workspace_id, double> used;
  for (auto& [workspace, bucket] : buckets_) {
    bucket.reported_used = bucket.used;
    const auto found = waiting.find(workspace);
    bucket.waiting = found == waiting.end() ? 0.0 : found->second;
    if (bucket.used > 0) {
      used[workspace] = bucket.used;
    }
  }
  return used;
}

}
