#include "Proxy/rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace persimmonshelf {

namespace {

// Demand is an average over about this time.
constexpr double demand_window_s = 1.5;
// Hint to a caller when nothing is known about the next token.
constexpr duration unknown_wait = std::chrono::milliseconds(500);

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
      kept.filled = now;
      kept.measured = now;
    }
    kept.rate = workspace.rate_per_s;
    kept.burst = workspace.burst;
  }
  buckets_ = std::move(next);
}

void
rate_limiter::set_shares(const share_table_parts& shares, instant until, instant now)
{
  for (auto& [workspace, bucket] : buckets_) {
    fill(workspace, bucket, now);
  }
  shares_ = shares;
  until_ = until;
  // A smaller share holds fewer tokens.
  for (auto& [workspace, bucket] : buckets_) {
    fill(workspace, bucket, now);
  }
}

void
rate_limiter::fill(const workspace_id& workspace, workspace_bucket& filled, instant now) const
{
  const auto found = shares_.find(workspace);
  const double part =
    found == shares_.end() ? 0.0 : static_cast<double>(found->second) / whole_share;
  const auto end = std::min(now, std::max(filled.filled, until_));
  filled.tokens += filled.rate * part * seconds_between(filled.filled, end);
  // At least one operation must fit, or a small share could never be used.
  filled.tokens = std::min(filled.tokens, std::max(1.0, filled.burst * part));
  filled.filled = now;
}

void
rate_limiter::decay(workspace_bucket& measured, instant now)
{
  measured.demand *= std::exp(-seconds_between(measured.measured, now) / demand_window_s);
  measured.measured = now;
}

std::optional<duration>
rate_limiter::refuse(const workspace_id& workspace, instant now)
{
  const auto found = buckets_.find(workspace);
  if (found == buckets_.end()) {
    ++refused_;
    return unknown_wait;
  }
  auto& bucket = found->second;
  decay(bucket, now);
  bucket.demand += 1.0 / demand_window_s;
  fill(workspace, bucket, now);
  if (now < until_ && bucket.tokens >= 1.0) {
    bucket.tokens -= 1.0;
    return std::nullopt;
  }
  ++refused_;
  const auto share = shares_.find(workspace);
  if (now >= until_ || share == shares_.end() || bucket.rate <= 0) {
    return unknown_wait;
  }
  const double rate = bucket.rate * share->second / whole_share;
  return std::chrono::duration_cast<duration>(
    std::chrono::duration<double>((1.0 - bucket.tokens) / rate));
}

std::map<workspace_id, double>
rate_limiter::demands(instant now)
{
  std::map<workspace_id, double> demands;
  for (auto& [workspace, bucket] : buckets_) {
    decay(bucket, now);
    if (bucket.demand > 0.005) {
      demands[workspace] = bucket.demand;
    }
  }
  return demands;
}

}
