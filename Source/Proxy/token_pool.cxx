#include "Proxy/token_pool.h"

#include <algorithm>
#include <utility>

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
// Requests that were not met count for this long: an instance repeats them within 100 ms, and the
// message may take a few round trips.
constexpr duration unmet_lifetime = std::chrono::milliseconds(150);

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
  granted.grant = { next_number, report.clock, allocate(report, weights, now), {} };
  granted.grant.waiting_elsewhere = waiting_elsewhere(report);
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
    pool.unmet.erase(report.instance);
    std::erase_if(pool.unmet,
                  [now](const auto& entry) { return now - entry.second.since >= unmet_lifetime; });
    // Tokens in advance of demand, and for requests without a priority.
    const auto weight = weights.find(workspace);
    double tokens = weight == weights.end()
                      ? 0.0
                      : pool.tokens * prefetch_fraction * weight->second / full_rate_share;
    const auto waiting = report.waiting.find(workspace);
    if (waiting != report.waiting.end()) {
      tokens = std::max(tokens, waiting->second + extra_tokens);
    }
    tokens = std::min(tokens, usable_tokens(pool, std::nullopt));
    if (const auto urgent = report.waiting_by_priority.find(workspace);
        urgent != report.waiting_by_priority.end()) {
      tokens = std::max(tokens, grant_waiting(pool, report.instance, urgent->second, now));
    }
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
token_pool::usable_tokens(const workspace_pool& from, std::optional<std::uint32_t> priority)
{
  double usable = from.tokens;
  for (const auto& [instance, requests] : from.unmet) {
    for (const auto& [unmet_priority, count] : requests.by_priority) {
      if (!priority || unmet_priority < *priority) {
        usable -= count;
      }
    }
  }
  return std::max(0.0, usable);
}

waiting_table
token_pool::waiting_elsewhere(const instance_report& report) const
{
  waiting_table elsewhere;
  for (const auto& [workspace, waiting] : report.waiting_by_priority) {
    const auto found = pools_.find(workspace);
    if (found == pools_.end()) {
      continue;
    }
    auto& counts = elsewhere[workspace];
    for (const auto& [instance, requests] : found->second.unmet) {
      if (instance == report.instance) {
        continue;
      }
      for (const auto& [priority, count] : requests.by_priority) {
        counts[priority] += count;
      }
    }
  }
  return elsewhere;
}

double
token_pool::grant_waiting(workspace_pool& from,
                          const instance_id& instance,
                          const std::map<std::uint32_t, double>& waiting,
                          instant now)
{
  double granted = 0;
  unmet_requests unmet{ now, {} };
  for (const auto& [priority, count] : waiting) {
    const double usable = std::max(0.0, usable_tokens(from, priority) - granted);
    const double met = std::min(count, usable);
    granted += met;
    if (met < count) {
      unmet.by_priority[priority] = count - met;
    }
  }
  if (!unmet.by_priority.empty()) {
    from.unmet.emplace(instance, std::move(unmet));
  }
  return granted;
}

double
token_pool::available(const workspace_id& workspace) const
{
  const auto found = pools_.find(workspace);
  return found == pools_.end() ? 0.0 : found->second.tokens;
}

}
