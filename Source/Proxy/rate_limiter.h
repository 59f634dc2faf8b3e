#pragma once

#include "Proxy/coordinator_messages.h"

#include <map>
#include <optional>

namespace persimmonshelf {

// How long after its newest answered report an instance uses only tokens of the coordinator's pool.
// After that it uses its own share of the rate. The coordinator stops counting on the instance's
// pool use earlier.
inline constexpr duration pool_token_lifetime = std::chrono::milliseconds(1000);

// Limits the rate of each workspace at one instance: to the tokens granted from the coordinator's
// pool, or, while no coordinator answers, to the instance's share of rate and burst. Also measures
// demand.
class rate_limiter
{
public:
  enum class verdict : std::uint8_t
  {
    granted,
    // No token is left here; the pool may have more.
    wait_for_grant,
    refused,
  };

  void set_workspaces(const std::vector<proxy_workspace>& workspaces, instant now);

  // Sets the shares that apply while no coordinator answers, valid until `until`.
  void set_shares(const rate_share_table& shares, instant until, instant now);

  // Replaces the tokens left of the previous grant by those of a new one. `requested_at` is the
  // time of the report that the grant answers.
  void apply_grant(const std::map<workspace_id, double>& tokens,
                   std::uint64_t grant,
                   instant requested_at,
                   instant now);

  // Takes a token for one operation if there is one. `counted` is true if the operation adds to the
  // demand; false for a retry.
  verdict take(const workspace_id& workspace, bool counted, instant now);

  // Time after which a retry may succeed.
  duration retry_after(const workspace_id& workspace, instant now) const;

  // True while tokens come from the pool.
  bool uses_pool(instant now) const { return now < pool_tokens_until_; }

  // Recent demand in operations per second, by workspace.
  std::map<workspace_id, double> demands(instant now);
  // Tokens used of the newest grant, for a report that is about to be sent with these numbers of
  // waiting requests. Tokens used after this call are subtracted from the next grant.
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
    // Tokens used when the newest report was made, and requests that waited at that time.
    double reported_used = 0;
    double waiting = 0;
    // Time up to which the bucket was refilled from the share.
    instant filled_at{};
    double demand = 0;
    instant demand_updated_at{};
    // True if the newest grant was too small for the waiting requests.
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
