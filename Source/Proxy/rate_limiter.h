#pragma once

#include "Proxy/coordinator_messages.h"

#include <map>
#include <optional>

namespace persimmonshelf {

// How long after its newest answered report an instance uses tokens of the coordinator's pool only.
// Afterwards its share of the rate is its own. The coordinator stops counting on it earlier.
inline constexpr duration pool_token_lifetime = std::chrono::milliseconds(1000);

// Limits each workspace at one instance: to the tokens that the coordinator's pool gave, and while
// no coordinator answers to the instance's share of rate and burst. Measures what was asked for.
class rate_limiter
{
public:
  enum class verdict : std::uint8_t
  {
    granted,
    // More tokens may be in the pool.
    wait_for_grant,
    refused,
  };

  void set_workspaces(const std::vector<proxy_workspace>& workspaces, instant now);

  // Shares for the time without a coordinator, until `until`.
  void set_shares(const rate_share_table& shares, instant until, instant now);

  // Tokens of a grant, in place of what is left of the one before. `asked` is when the report that
  // it answers was made.
  void apply_grant(const std::map<workspace_id, double>& tokens,
                   std::uint64_t grant,
                   instant asked,
                   instant now);

  // Takes one operation if it can. `counted` is false for a request that asked before.
  verdict take(const workspace_id& workspace, bool counted, instant now);

  // When another attempt may succeed.
  duration retry_after(const workspace_id& workspace, instant now) const;

  // True while tokens come from the pool.
  bool uses_pool(instant now) const { return now < pool_tokens_until_; }

  // Operations per second asked for lately, by workspace.
  std::map<workspace_id, double> demands(instant now);
  // Tokens used of the newest grant, for a report that is about to be sent with these numbers of
  // waiting requests. What is used from then on is taken from the next grant.
  std::map<workspace_id, double> usage_for_report(const std::map<workspace_id, double>& waiting);
  std::uint64_t grant_number() const { return grant_; }
  const rate_share_table& shares() const { return shares_; }

private:
  struct workspace_bucket
  {
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    double used = 0;
    // Of the tokens used, those that the newest report told, and the requests that waited then.
    double reported_used = 0;
    double waiting = 0;
    // From when the share fills the bucket.
    instant filled_at{};
    double demand = 0;
    instant demand_updated_at{};
    // True if the newest grant was too small for the requests that waited.
    bool exhausted = false;
  };
  void fill(const workspace_id& workspace, workspace_bucket& filled, instant now) const;
  static void decay(workspace_bucket& measured, instant now);
  double share_of(const workspace_id& workspace) const;

  std::map<workspace_id, workspace_bucket> buckets_;
  rate_share_table shares_;
  instant shares_valid_until_{};
  instant pool_tokens_until_{};
  std::uint64_t grant_ = 0;
};

}
