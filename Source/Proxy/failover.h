#pragma once

#include "Base/state_chart.h"
#include "Proxy/fleet_state.h"
#include "Proxy/member_command.h"
#include "Proxy/member_status.h"
#include "Proxy/primary_failure_detector.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace persimmonshelf {

enum class promote_outcome : std::uint8_t
{
  accepted,
  // The platform reported that the member is not running.
  refused,
  // No answer; the promotion may still happen.
  unanswered,
};

// Members of a group in evacuated zones.
struct member_evacuation
{
  // All of them. They lead only if nobody else can.
  std::set<member_id> leaving;
  // Those that nothing may be sent to any more, as far as that is possible.
  std::set<member_id> left;
};

// Members of a group that may hold acknowledged commits, with their addresses.
struct commit_holders
{
  std::map<member_id, std::string> members;
  // False if there may be others: the coordinator has not followed the members' list for as long as
  // a member that was removed from it may run.
  bool complete = false;
};

// Replaces the primary of one group, on behalf of the coordinator. failover.chart.json defines the
// order of the steps: wait until the old primary stepped down or no instance passes on its commits,
// compare the positions that the other members received, wait until no instance reads at the old
// primary as the primary, promote the most advanced member, and record it once it is primary.
class failover
{
public:
  struct hooks
  {
    // Writes the group's record, on condition that this instance is still the coordinator.
    std::function<void(const group_record&,
                       std::function<void(bool written, const store_version& version)>)>
      write_record;
    // Sends a command to a member on a separate connection; the status is empty if no answer came.
    std::function<
      void(const member_id&, member_command, std::function<void(std::optional<member_status>)>)>
      send_command;
    std::function<
      void(const std::string& group, const member_id&, std::function<void(promote_outcome)>)>
      promote;
    // True if the lease lasts long enough for one promotion call.
    std::function<bool()> may_promote;
    std::function<bool(const store_version& version, instant recorded)> fence_complete;
    std::function<instant()> now;
    std::function<
      void(const std::string& group, const std::string& event, const std::string& detail)>
      log;
  };

  static result<std::unique_ptr<failover>> create(std::string group, hooks callbacks);
  failover(const failover&) = delete;
  failover& operator=(const failover&) = delete;

  // Members of the group in the members' list, its setting for synchronous replicas, and all
  // members that may hold commits.
  void set_members(std::vector<listed_member> members,
                   std::uint32_t sync_replicas,
                   commit_holders holders);

  void set_evacuation(member_evacuation evacuation) { evacuation_ = std::move(evacuation); }

  // Starts the replacement of the recorded primary, unless one is in progress.
  void start(const group_record& recorded, replacement_reason reason);
  // Continues a replacement that an earlier coordinator recorded at this version or before.
  void resume(const group_record& record, const store_version& version);
  void duty_lost();
  void tick();

  bool in_progress() const { return chart_->state() != "watching"; }
  const std::string& state() const { return chart_->state(); }

private:
  // Commands sent to several members at once.
  struct query_round
  {
    std::size_t pending = 0;
    std::map<member_id, member_status> answers;
  };

  failover(std::string group, hooks callbacks);
  std::map<std::string, std::function<void()>> actions();
  void handle_event(const std::string& event);
  void record_change();
  void begin_replacement(const group_record& record);
  void demote_primary();
  void step_down_failed();
  // Repeats the step of the present state after a pause.
  void retry_later();
  void retry_choice();
  void end_replacement();
  void start_fence();
  bool fence_complete() const;
  void await_fence();
  void check_choice();
  void query_candidates();
  void compare_members(const std::map<member_id, member_status>& answers);
  std::optional<member_id> find_successor(const std::map<member_id, member_status>& answers) const;
  void freeze_members(const std::map<member_id, member_status>& answers);
  void select_candidate(const std::map<member_id, member_status>& answers);
  std::optional<log_point> required_position(
    const std::map<member_id, member_status>& answers) const;
  bool catch_up_ended() const;
  const listed_member* best_candidate(const std::map<member_id, member_status>& answers,
                                      bool include_evacuated) const;
  std::set<member_id> queried_members() const;
  bool may_lead_elsewhere() const;
  bool choice_is_outdated() const;
  bool excluded_by_zone(const member_id& id, bool include_evacuated) const;
  bool may_lead(const listed_member& member) const;
  int reluctance(const listed_member& member) const;
  void promote();
  void confirm();
  void publish();
  void query_members(const std::map<member_id, member_command>& commands,
                     const std::function<void(const std::map<member_id, member_status>&)>& done);
  void update_newest_term(const member_status& status);
  const listed_member* find_member(const member_id& id) const;

  std::string group_;
  hooks hooks_;
  std::optional<state_chart> chart_;
  std::vector<listed_member> members_;
  std::uint32_t sync_replicas_ = 0;
  commit_holders holders_;
  member_evacuation evacuation_;
  // The record of the primary that is replaced. Its term is the one in which that primary leads, or
  // zero if it is unknown.
  group_record record_;
  // Newest term that any member reported or promised.
  term newest_term_;
  // Position of the old primary when it stepped down.
  std::optional<log_point> final_position_;
  store_version recorded_version_;
  instant recorded_at_{};
  instant stepped_down_at_{};
  std::set<member_id> excluded_members_;
  std::optional<member_id> chosen_;
  // True if the chosen member is in an evacuated zone because no other one could be chosen.
  bool chosen_as_last_resort_ = false;
  // Position of the chosen member when it was chosen.
  log_point chosen_position_;
  // Term in which the chosen member leads, once it does.
  term chosen_term_;
  instant retry_at_{};
  bool retry_pending_ = false;
  instant earliest_start_{};
  // A planned replacement of a member that is leaving, but was promoted, starts no earlier.
  instant earliest_planned_start_{};
  // True while the old primary is being asked to step down.
  bool step_down_pending_ = false;
  // Why no member could be chosen, as last logged.
  std::string wait_reason_;
  instant confirm_until_{};
  // Increases when a replacement starts or ends; answers from an earlier generation are dropped.
  std::uint64_t generation_ = 0;
};

}
