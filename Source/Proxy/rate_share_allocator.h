#pragma once

#include "Proxy/coordinator_messages.h"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace persimmonshelf {

// How long after a report an instance may use the shares granted in the view that answered it.
// Longer than API keys stay valid without evidence, so an outage of the store causes no refusals
// before the keys expire.
inline constexpr duration share_lifetime = std::chrono::milliseconds(5000);

// Largest share of one instance. Limits how much an instance that has not yet reported to the
// current coordinator may hold from an earlier one.
inline constexpr rate_share_ppm max_rate_share = full_rate_share / 3;

// Splits each workspace's rate over the instances by demand, for the coordinator. The sum of the
// shares that instances may use never exceeds the whole: a lowered share counts with its old value
// until the holder reports the new one or the lifetime ends, and a new coordinator grants only what
// no instance can still hold from an earlier one.
class rate_share_allocator
{
public:
  // `no_earlier_shares` is true if no earlier coordinator can have granted shares.
  rate_share_allocator(bool no_earlier_shares, instant now);

  // Sets the instances that may hold shares of an earlier coordinator. Once each of them has
  // reported, or the share lifetime has passed, all shares are known.
  void set_registered_instances(const std::map<instance_id, incarnation_id>& instances);

  void set_workspaces(const std::vector<proxy_workspace>& workspaces);

  // Handles a report of an instance. Reports of one run may arrive in any order; older ones are
  // ignored. A run that reports while another run of the same instance may hold shares gets none
  // until it confirms a view that was made after the newest report of the other one: then it is the
  // later of the two, and the other one has ended. A delayed report of a former run never does.
  void record_report(const instance_report& report, fencing_token own_token, instant now);

  // Removes an instance that runs no sessions and has dropped its shares.
  void remove_instance(const instance_id& instance);

  // Removes one run that runs no sessions and has dropped its shares. Shares of other runs of the
  // instance stay counted, because the run may be a former one.
  void remove_run(const instance_id& instance, incarnation_id run);

  // Shares to send in view number `view`. They count as held until the instance confirms lower
  // ones. A caller that holds the lease calls this after each recorded report.
  rate_share_table grant_shares(const instance_id& instance, std::uint64_t view, instant now);

  // Shares in the newest view to the instance.
  rate_share_table granted_shares(const instance_id& instance) const;

  // True if the newest report got no shares although earlier ones did: the lease has ended.
  bool lease_ended() const { return lease_ended_; }

  // Part of the workspace's rate, 0 to 1, that no instance may use on its own at `now`: all except
  // the shares of disconnected instances and those that are unknown. Once the lease has ended and
  // an instance is out of contact, another coordinator may have started. The part is then at most
  // what that one withholds for the instances in contact here.
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
    // True if every other run of the instance is known to have ended. Only then the run gets
    // shares.
    bool established = false;
    // Number of the first view with shares that was made after the newest report of another run.
    std::optional<std::uint64_t> proving_view;
    instant last_report_at{};
    instant last_clock{};
    // Number of the newest view with shares.
    std::uint64_t last_view = 0;
    instant last_grant_at{};
    bool leaving = false;
    duration view_age = duration::max();
    std::map<workspace_id, workspace_share> holdings;
  };

  using run_id = std::pair<instance_id, incarnation_id>;

  static bool is_in_contact(const instance_shares& holder, instant now);
  std::map<run_id, instance_shares>::iterator first_run(const instance_id& instance);
  bool has_other_runs(const run_id& run);
  void end_other_runs(const run_id& run);
  void expire(instant now);
  // Upper bound of the shares held by instances that have not reported yet.
  rate_share_ppm unknown_shares(instant now) const;
  void update_demand(instant now);
  double target_fraction(const workspace_id& workspace,
                         const instance_shares& owner,
                         instant now) const;
  rate_share_ppm unallocated_share(const workspace_id& workspace, instant now) const;

  instant started_at_;
  bool no_earlier_shares_;
  std::map<instance_id, incarnation_id> unreported_instances_;
  bool register_received_ = false;
  bool shares_granted_ = false;
  bool lease_ended_ = false;
  std::vector<workspace_id> workspaces_;
  std::map<run_id, instance_shares> holders_;
  // The run of each instance that reported last. Views are addressed to it.
  std::map<instance_id, incarnation_id> newest_runs_;
  // Live instances and their demand together, as of `demand_updated_at_`.
  std::size_t live_instances_ = 0;
  std::map<workspace_id, double> total_demand_;
  std::optional<instant> demand_updated_at_;
};

}
