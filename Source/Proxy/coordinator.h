#pragma once

#include "Proxy/coordinator_messages.h"
#include "Proxy/failover.h"
#include "Proxy/fence.h"
#include "Proxy/position_history.h"
#include "Proxy/primary_failure_detector.h"
#include "Proxy/rate_share_allocator.h"
#include "Proxy/record_confirmation.h"
#include "Proxy/token_pool.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace persimmonshelf {

// The coordinator role, which one instance has at a time. It answers the reports of all instances
// with views of what it reads from the store, splits the workspaces' rates, and replaces failed
// primaries. The object exists only while the instance holds the lease.
class coordinator
{
public:
  struct hooks
  {
    std::function<void(const std::string& address, const fleet_view&)> send;
    // Hooks of the failovers, without fence_complete.
    failover::hooks failover_hooks;
    std::function<instant()> now;
    // True while the lease is valid; rate shares are granted only then.
    std::function<bool()> holds_lease;
    std::function<store_version()> lease_version;
    // Reports what became of a position in a report of `reporter`.
    std::function<void(const instance_id& reporter,
                       const std::string& group,
                       const timed_position&,
                       observation_outcome)>
      position_reported;
    // Reports records that `reporter` knows and that are later than those in the store.
    std::function<void(const instance_id& reporter, const std::vector<group_record>&)>
      records_reported;
    // Reports what another instance knows of removed members, on this instance's clock.
    std::function<void(const removal_history&)> removals_reported;
    // The carrier plan in the store, and the request to replace it.
    std::function<const carrier_plan&()> plan;
    std::function<void(const carrier_plan&)> record_plan;
  };

  // `replaces_primaries` is false where the platform does not ask for it.
  coordinator(instance_id own,
              std::string address,
              fencing_token token,
              bool replaces_primaries,
              const fleet_state& fleet,
              const position_history& positions,
              hooks callbacks);
  ~coordinator();

  void set_registered_instances(const std::map<instance_id, incarnation_id>& instances);

  // Answers a report with a view. The coordinator's own report is handled here as well.
  void handle_report(const instance_report& report);

  // Sends a view to every carrier at once, for changes that are worth the traffic.
  void send_views();
  // Sends a view to all instances, after a change of the carrier plan.
  void send_plan();

  // `list_is_reliable` is true if the store answers and has done so for a while.
  void tick(bool list_is_reliable);

  void duty_lost();
  void announce_release();

  std::uint32_t live_instances() const;
  // Registered instances whose last report is older than the registration timeout, and instances
  // that no longer run sessions.
  std::vector<instance_id> expired_instances() const;

private:
  struct peer_state
  {
    std::string address;
    incarnation_id incarnation;
    instant last_report_at{};
    instant last_report_clock{};
    std::uint64_t members_digest = 0;
    bool leaving = false;
    zone_id zone;
    std::string relay_address;
    double capacity = 0;
    std::uint64_t plan_version = 0;
    bool plan_only = false;
  };

  fleet_view make_view(const instance_id& instance, const peer_state& to);
  fleet_view make_plan_view(const peer_state& to);
  std::uint64_t members_digest();
  void update_plan();
  void update_positions(const instance_report& report, instant now);
  void update_removals(const instance_report& report, instant now);
  void answer_token_request(const instance_report& report, const peer_state& from);
  void allocate_tokens(const instance_report& report, fleet_view& view);
  void grant_tokens(const instance_report& report, fleet_view& view);
  member_evacuation evacuation_of(const std::vector<listed_member>& members, instant now) const;
  void check_groups(bool list_is_reliable);
  // The former primary of a group that has members but for long neither a record nor a member that
  // lists itself as primary. Empty while that is not established.
  std::optional<member_id> lost_unrecorded_primary(const std::string& group,
                                                   bool has_members,
                                                   bool list_is_reliable);
  // Lets the group's primary be confirmed, or its replacement start if nobody can be confirmed.
  void confirm_primary(const std::string& group,
                       const std::vector<listed_member>& members,
                       failover& group_failover);
  observation_outcome record_position(const std::string& group, const timed_position& position);

  instance_id own_;
  std::string address_;
  fencing_token token_;
  bool replaces_primaries_;
  const fleet_state& fleet_state_;
  const position_history& own_positions_;
  hooks hooks_;
  rate_share_allocator shares_;
  token_pool pool_;
  fence fence_;
  primary_failure_detector failure_detector_;
  instant started_at_;
  std::map<instance_id, peer_state> peers_;
  std::map<instance_id, incarnation_id> registered_;
  std::map<std::string, std::unique_ptr<failover>> failovers_;
  // Groups whose primary is not confirmed in the present era of the store.
  std::map<std::string, std::unique_ptr<record_confirmation>> confirmations_;
  // Time when a group was last in the middle of a replacement, or its recorded primary was last
  // listed as primary.
  std::map<std::string, instant> last_consistent_at_;
  // Since when no primary of a group is recorded or listed.
  std::map<std::string, instant> primary_unknown_since_;
  std::map<std::string, timed_position> positions_;
  // Digest of the members' list that was confirmed at `digested_at_`.
  std::uint64_t members_digest_ = 0;
  std::optional<instant> digested_at_;
  instant pool_updated_at_{};
  // True if the parts of the pool were last updated after the lease had ended.
  bool pool_without_lease_ = false;
  std::uint64_t last_view_ = 0;
  std::uint64_t last_grant_ = 0;
  // Newest version of the carrier plan that an instance has applied.
  std::uint64_t newest_plan_version_ = 0;
  // Time when an instance last reported for the first time, and time when the plan was last
  // checked.
  instant newest_peer_at_;
  instant plan_checked_at_{};
  // Time when a carrier was last unavailable.
  instant carrier_unavailable_at_{};
};

}
