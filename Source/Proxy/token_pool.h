#pragma once

#include "Proxy/coordinator_messages.h"

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
  void set_fraction(const workspace_id& workspace, double part, instant now);

  // Tokens for the instance until its next report. `weights` says which part of the pool each
  // workspace's callers at this instance are likely to need.
  void return_unused(const instance_report& report, fencing_token own_token);
  std::map<workspace_id, double> allocate(const instance_report& report,
                                          const rate_share_table& weights,
                                          std::uint64_t grant,
                                          instant now);

  double available(const workspace_id& workspace) const;

private:
  struct workspace_pool
  {
    double rate = 0;
    double burst = 0;
    double fraction = 0;
    double tokens = 0;
    instant filled_at{};
  };
  struct granted_tokens
  {
    incarnation_id incarnation;
    std::uint64_t grant = 0;
    std::map<workspace_id, double> tokens;
  };
  static void fill(workspace_pool& filled, instant now);

  std::map<workspace_id, workspace_pool> pools_;
  std::map<instance_id, granted_tokens> grants_;
};

}
