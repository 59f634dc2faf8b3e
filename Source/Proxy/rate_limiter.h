#pragma once

#include "Proxy/fleet_exchange.h"

#include <map>
#include <optional>

namespace persimmonshelf {

// Limits each workspace at one instance to the instance's share of rate and burst, and measures what
// was asked for. Buckets start empty and a larger share fills up at its rate, so that shares that
// move between instances carry no tokens with them.
class rate_limiter
{
public:
  void set_workspaces(const std::vector<proxy_workspace>& workspaces, instant now);

  // Shares that may be used until `until`.
  void set_shares(const share_table_parts& shares, instant until, instant now);

  // Takes one operation. Otherwise reports when the next one may be there.
  std::optional<duration> refuse(const workspace_id& workspace, instant now);

  // Operations per second asked for lately, by workspace.
  std::map<workspace_id, double> demands(instant now);

  const share_table_parts& shares() const { return shares_; }
  std::uint64_t refused() const { return refused_; }

private:
  struct workspace_bucket
  {
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    instant filled{};
    double demand = 0;
    instant measured{};
  };
  void fill(const workspace_id& workspace, workspace_bucket& filled, instant now) const;
  static void decay(workspace_bucket& measured, instant now);

  std::map<workspace_id, workspace_bucket> buckets_;
  share_table_parts shares_;
  instant until_{};
  std::uint64_t refused_ = 0;
};

}
