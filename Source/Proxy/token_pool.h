#pragma once

#include "Proxy/fleet_exchange.h"

#include <map>
#include <string>

namespace persimmonshelf {

// The coordinator's part of the rate limits: one token bucket a workspace, from which each report
// of an instance draws tokens for the time until the next one. What an instance did not use comes
// back with its next report, so the tokens in the pool and with the instances never exceed the
// burst, and callers may turn up at any instance.
class token_pool
{
public:
  void set_workspaces(const std::vector<proxy_workspace>& workspaces, instant now);

  // Part of the workspace's rate and burst that is not in use elsewhere, 0 to 1.
  void set_part(const workspace_id& workspace, double part, instant now);

  // Tokens for the instance until its next report. `weights` says which part of the pool each
  // workspace's callers at this instance are likely to need.
  void settle(const instance_report& report, fencing_token own_token);
  std::map<workspace_id, double> draw(const instance_report& report,
                                      const share_table_parts& weights,
                                      std::uint64_t grant,
                                      instant now);

  double level(const workspace_id& workspace) const;

private:
  struct workspace_pool
  {
    double rate = 0;
    double burst = 0;
    double part = 0;
    double level = 0;
    instant filled{};
  };
  struct drawn_tokens
  {
    incarnation_id incarnation;
    std::uint64_t grant = 0;
    std::map<workspace_id, double> tokens;
  };
  static void fill(workspace_pool& filled, instant now);

  std::map<workspace_id, workspace_pool> pools_;
  std::map<instance_id, drawn_tokens> drawn_;
};

}
