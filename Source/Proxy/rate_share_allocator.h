#pragma once

#include "Proxy/coordinator_messages.h"

#include <map>
#include <optional>
#include <string>

namespace persimmonshelf {

// How long an instance may use shares after the report that the granting view answered. Longer
// than keys live without evidence, so that an outage of the store does not refuse more than they
// do.
inline constexpr duration share_lifetime = std::chrono::milliseconds(5000);

// Largest share of one instance. Bounds what an instance of an earlier coordinator may hold that
// the present one has not heard.
inline constexpr rate_share_ppm max_rate_share = full_rate_share / 3;

// Splits each workspace's rate over the instances by demand. Held by the coordinator. The sum of
// what the instances may use never exceeds the whole: a share that was lowered counts with its old
// value until the holder reports the new one or its lifetime is over, and a new coordinator gives
// out only what no earlier coordinator's instance can still hold.
class rate_share_allocator
{
public:
  // `all_known` is true if no earlier coordinator can have given out shares.
  rate_share_allocator(bool all_known, instant now);

  // Instances that may hold shares of an earlier coordinator. Once each of them reported, or the
  // lifetime is over, everything is known.
  void set_registered_instances(const std::map<instance_id, incarnation_id>& instances);

  void set_workspaces(const std::vector<proxy_workspace>& workspaces);

  // A report of an instance. Reports of one run arrive in any order; older ones are ignored.
  void record_report(const instance_report& report, fencing_token own_token, instant now);

  // The instance runs no sessions and has dropped its shares.
  void remove_instance(const instance_id& instance);

  // Shares to send with view number `view`; counted as held until confirmed lower.
  rate_share_table grant_shares(const instance_id& instance, std::uint64_t view, instant now);

  // Shares in the newest grant.
  rate_share_table granted_shares(const instance_id& instance) const;

  // Part of the workspace's rate that no instance may use on its own at `now`: all but the shares
  // of instances that are out of touch, or that are not known.
  double pool_fraction(const workspace_id& workspace, instant now) const;

private:
  struct workspace_share
  {
    // Largest share that the instance may still use.
    rate_share_ppm held = 0;
    // Share in the newest view.
    rate_share_ppm granted = 0;
    double demand = 0;
  };
  struct instance_shares
  {
    incarnation_id incarnation;
    instant last_report_at{};
    instant last_clock{};
    std::uint64_t last_view = 0;
    instant last_grant_at{};
    bool leaving = false;
    duration view_age = duration::max();
    std::map<workspace_id, workspace_share> holdings;
  };

  static bool is_in_contact(const instance_shares& holder, instant now);
  void expire(instant now);
  // Most that instances may hold of which nothing is known.
  rate_share_ppm unknown_shares(instant now) const;
  double target_fraction(const workspace_id& workspace,
                         const instance_shares& of,
                         instant now) const;
  rate_share_ppm unallocated_share(const workspace_id& workspace, instant now) const;

  instant started_at_;
  bool no_earlier_shares_;
  std::map<instance_id, incarnation_id> unreported_instances_;
  bool register_received_ = false;
  std::vector<workspace_id> workspaces_;
  std::map<instance_id, instance_shares> holders_;
};

}
