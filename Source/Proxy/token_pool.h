#pragma once

#include "Proxy/coordinator_messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace persimmonshelf {

// The coordinator's part of the rate limits: one token bucket per workspace. With each report an
// instance gets tokens for the time until its next report, and its unused tokens return with that
// report. The tokens in the pool and at the instances together never exceed the burst, and callers
// may use any instance.
class token_pool
{
public:
  void set_workspaces(const std::vector<proxy_workspace>& workspaces, instant now);

  // Sets the part of the workspace's rate and burst that the pool may use, 0 to 1.
  void set_fraction(const workspace_id& workspace, double fraction, instant now);

  // Tokens go to the most urgent waiting requests first, also of other instances: what could not be
  // granted to an instance is kept for it for a short time, except from requests that are at least
  // as urgent.
  //
  // The answer to a report: takes back the unused tokens of the grant that the report confirms, and
  // allocates new ones until the next report, with the number `next_number`. `weights` are the
  // instance's rate shares; they determine how many tokens it gets in advance of demand. If the
  // report was sent before the newest grant arrived, that grant is repeated with its number, so
  // that reports and answers that cross or are lost cost no tokens.
  token_grant answer(const instance_report& report,
                     fencing_token own_token,
                     const rate_share_table& weights,
                     std::uint64_t next_number,
                     instant now);

  double available(const workspace_id& workspace) const;

private:
  struct unmet_requests
  {
    instant since{};
    std::map<std::uint32_t, double> by_priority;
  };
  struct workspace_pool
  {
    double rate = 0;
    double burst = 0;
    double fraction = 0;
    double tokens = 0;
    instant filled_at{};
    // Requests that the pool could not serve, by instance.
    std::map<instance_id, unmet_requests> unmet;
  };
  // The newest grant of an instance.
  struct granted_tokens
  {
    incarnation_id incarnation;
    token_grant grant;
    instant granted_at{};
    // Coordinator and number of the grant that the answered report confirmed.
    fencing_token confirmed_token;
    std::uint64_t confirmed_number = 0;
  };
  void take_back_unused(const instance_report& report, const granted_tokens& granted);
  std::map<workspace_id, double> allocate(const instance_report& report,
                                          const rate_share_table& weights,
                                          instant now);
  // Tokens for the instance's waiting requests; notes those that were not met.
  static double grant_waiting(workspace_pool& from,
                              const instance_id& instance,
                              const std::map<std::uint32_t, double>& waiting,
                              instant now);
  // Unmet requests of other instances, for the workspaces whose requests the report states.
  waiting_table waiting_elsewhere(const instance_report& report) const;
  // Tokens that requests of this priority may use; empty means tokens in advance of demand.
  static double usable_tokens(const workspace_pool& from, std::optional<std::uint32_t> priority);
  static void fill(workspace_pool& filled, instant now);

  std::map<workspace_id, workspace_pool> pools_;
  std::map<instance_id, granted_tokens> grants_;
};

}
