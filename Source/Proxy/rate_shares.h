#pragma once

#include "Proxy/fleet_exchange.h"

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
inline constexpr share_parts largest_share = whole_share / 3;

// Splits each workspace's rate over the instances by demand. Held by the coordinator. The sum of
// what the instances may use never exceeds the whole: a share that was lowered counts with its old
// value until the holder reports the new one or its lifetime is over, and a new coordinator gives
// out only what no earlier coordinator's instance can still hold.
class rate_shares
{
public:
  // `all_known` is true if no earlier coordinator can have given out shares.
  rate_shares(bool all_known, instant now);

  // Instances that may hold shares of an earlier coordinator. Once each of them reported, or the
  // lifetime is over, everything is known.
  void set_registered(const std::map<instance_id, incarnation_id>& instances);

  void set_workspaces(const std::vector<proxy_workspace>& workspaces);

  // A report of an instance. Reports of one run arrive in any order; older ones are ignored.
  void report(const instance_report& report, fencing_token own_token, instant now);

  // The instance runs no sessions and has dropped its shares.
  void without_sessions(const instance_id& instance);

  // Shares to send with view number `view`; counted as held until confirmed lower.
  share_table_parts grant(const instance_id& instance, std::uint64_t view, instant now);

  // Shares in the newest grant.
  share_table_parts granted(const instance_id& instance) const;

  // Part of the workspace's rate that no instance may use on its own at `now`: all but the shares
  // of instances that are out of touch, or that are not known.
  double central_part(const workspace_id& workspace, instant now) const;

private:
  struct workspace_holding
  {
    // Largest share that the instance may still use.
    share_parts held = 0;
    // Share in the newest view.
    share_parts granted = 0;
    double demand = 0;
  };
  struct share_holder
  {
    incarnation_id incarnation;
    instant heard{};
    instant last_clock{};
    std::uint64_t last_view = 0;
    instant last_grant{};
    bool leaving = false;
    duration view_age = duration::max();
    std::map<workspace_id, workspace_holding> holdings;
  };

  static bool in_touch(const share_holder& holder, instant now);
  void expire(instant now);
  // Most that instances may hold of which nothing is known.
  share_parts unknown_parts(instant now) const;
  double wanted(const workspace_id& workspace, const share_holder& of, instant now) const;
  share_parts unheld(const workspace_id& workspace, instant now) const;

  instant began_;
  bool all_known_;
  std::map<instance_id, incarnation_id> unheard_;
  bool registered_known_ = false;
  std::vector<workspace_id> workspaces_;
  std::map<instance_id, share_holder> holders_;
};

}
