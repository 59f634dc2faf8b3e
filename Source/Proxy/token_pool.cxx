#include "Proxy/token_pool.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// Fraction of the pool that is granted in advance of demand; the rest serves instances that run out
// of tokens.
constexpr double prefetch_fraction = 0.5;
// Tokens granted beyond the waiting requests, so that an instance does not request each one
// separately.
constexpr double extra_tokens = 1.0;
// A grant that was not confirmed for longer is not repeated, since the pool is full again by then.
constexpr duration repeat_lifetime = std::chrono::milliseconds(1000);

}

void
token_pool::set_workspaces(const std::vector<proxy_workspace>& workspaces, instant now)
{
  std::map<workspace_id, workspace_pool> next;
  for (const auto& workspace : workspaces) {
    auto& kept = next[workspace.name];
    if (const auto found = pools_.find(workspace.name); found != pools_.end()) {
      kept = found->second;
      fill(kept, now);
    } else {
      // Starts empty, because the tokens that callers used before are unknown.
      kept.filled_at = now;
    }
    kept.rate = workspace.rate_per_s;
    kept.burst = workspace.burst;
  }
  pools_ = std::move(next);
}

void
token_pool::fill(workspace_pool& filled, instant now)
{
  const double elapsed =
    std::max(0.0, std::chrono::duration<double>(now - filled.filled_at).count());
  filled.filled_at = now;
  filled.tokens = std::min(filled.burst * filled.fraction,
                           filled.tokens + filled.rate * filled.fraction * elapsed);
}

void
token_pool::set_fraction(const workspace_id& workspace, double fraction, instant now)
{
  const auto found = pools_.find(workspace);
  if (found == pools_.end()) {
    return;
  }
  fill(found->second, now);
  found->second.fraction = fraction;
}

void
token_pool::take_back_unused(const instance_report& report, const granted_tokens& granted)
{
  for (const auto& [workspace, tokens] : granted.grant.tokens) {
    const auto used = report.used.find(workspace);
    const double left = tokens - (used == report.used.end() ? 0.0 : used->second);
    if (const auto found = pools_.find(workspace); found != pools_.end() && left > 0) {
      auto& pool = found->second;
      pool.tokens = std::min(pool.burst * pool.fraction, pool.tokens + left);
    }
  }
}

token_grant
token_pool::answer(const instance_report& report,
                   fencing_token own_token,
                   const rate_share_table& weights,
                   std::uint64_t next_number,
                   instant now)
{
  auto& granted = grants_[report.instance];
  if (granted.incarnation == report.incarnation) {
    if (report.grant_token == own_token && report.grant_number == granted.grant.number) {
      take_back_unused(report, granted);
    } else if (report.grant_token == granted.confirmed_token &&
               report.grant_number == granted.confirmed_number &&
               now - granted.granted_at < repeat_lifetime) {
      return granted.grant;
    }
  }
  // The tokens of any other grant count as used.
  granted.incarnation = report.incarnation;
  granted.grant = { next_number, report.clock, allocate(report, weights, now) };
  granted.granted_at = now;
  granted.confirmed_token = report.grant_token;
  granted.confirmed_number = report.grant_number;
  return granted.grant;
}

std::map<workspace_id, double>
token_pool::allocate(const instance_report& report, const rate_share_table& weights, instant now)
{
  std::map<workspace_id, double> allocated;
  for (auto& [workspace, pool] : pools_) {
    fill(pool, now);
    const auto weight = weights.find(workspace);
    double tokens = weight == weights.end()
                      ? 0.0
                      : pool.tokens * prefetch_fraction * weight->second / full_rate_share;
    if (const auto waiting = report.waiting.find(workspace); waiting != report.waiting.end()) {
      tokens = std::max(tokens, waiting->second + extra_tokens);
    }
    tokens = std::min(tokens, pool.tokens);
    // An instance cannot use less than one token, and would withhold it until its next report.
    if (tokens < 1.0) {
      continue;
    }
    pool.tokens -= tokens;
    allocated[workspace] = tokens;
  }
  return allocated;
}

double
token_pool::available(const workspace_id& workspace) const
{
  const auto found = pools_.find(workspace);
  return found == pools_.end() ? 0.0 : found->second.tokens;
}

}
