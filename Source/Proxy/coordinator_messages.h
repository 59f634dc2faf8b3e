#pragma once

#include "Proxy/carriers.h"
#include "Proxy/fleet_state.h"
#include "Proxy/position_history.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonshelf {

// Share of a workspace's rate and burst, in parts per million.
using rate_share_ppm = std::uint32_t;
inline constexpr rate_share_ppm full_rate_share = 1'000'000;
using rate_share_table = std::map<workspace_id, rate_share_ppm>;

// Identifies one holder of the coordinator lease; increases with each new holder. The upper part is
// the era of the store in which the holder was recorded, the lower 40 bits are a count that never
// exceeds the store's revision at that time. So a token that the store loses is not given out
// again. Tokens up to era 2^13 are exact in a double-precision number.
using fencing_token = strong<struct fencing_token_tag, std::uint64_t>;
// Token of the first coordinator that a fleet ever had, with a store that states no era.
inline const fencing_token first_fencing_token(1);

// A token above those of all holders that were recorded up to this version of the store.
fencing_token
token_above(const store_version& version);
// Era in which the holder was recorded.
store_era
era_of(fencing_token token);

// An observed position with its age instead of its time, for a receiver with another clock.
struct aged_position
{
  log_point position;
  duration age{};
  position_source source;
};

// How long every attempt to reach a member has failed; zero if the member answers.
struct member_reachability
{
  member_id member;
  duration failing_for{};
};

// Newest complete view that an instance applied. The instance's report was made no earlier than the
// sum of its times on the clock of the coordinator that made the view.
struct applied_view
{
  fencing_token token;
  std::uint64_t number = 0;
  // The coordinator's clock in the view.
  instant clock{};
  // Time between the arrival of the view and the report.
  duration held_for{};

  friend bool operator==(const applied_view&, const applied_view&) = default;
};

// Newest view with shares that an instance applied. A complete view without shares leaves those of
// an earlier one in use, so it may be older than the newest complete view.
struct applied_shares
{
  // Zero if there is none.
  fencing_token token;
  std::uint64_t number = 0;

  friend bool operator==(const applied_shares&, const applied_shares&) = default;
};

// Number of requests that wait for tokens, by workspace and route priority.
using waiting_table = std::map<workspace_id, std::map<std::uint32_t, double>>;

// Sum over all priorities, by workspace.
std::map<workspace_id, double>
total_waiting(const waiting_table& waiting);

// Report of an instance to the coordinator, sent several times per second.
struct instance_report
{
  instance_id instance;
  zone_id zone;
  incarnation_id incarnation;
  // Address at which the sender receives views.
  std::string address;
  // Address at which it accepts relayed sessions, and its capacity in processor cores.
  std::string relay_address;
  double capacity = 0;
  // Version of the carrier plan that the sender applied.
  std::uint64_t plan_version = 0;
  // True if the sender runs no sessions and needs only the plan.
  bool plan_only = false;
  // Time of the report on the sender's clock.
  instant clock{};
  // Empty if the sender has applied no complete view.
  std::optional<applied_view> view;
  config_version configuration_version;
  std::uint64_t members_digest = 0;
  // Version of the group records that the sender applied, and the records that it knows from an
  // earlier era of the store and that are later than those in the store.
  store_version groups_version;
  std::vector<group_record> records_ahead;
  // What the sender knows of members that were removed from the list; times are on its clock. Only
  // stated if some group acknowledges commits that replicas received.
  removal_history removals;
  rate_share_table shares;
  // The view that granted the shares.
  applied_shares shares_view;
  std::map<workspace_id, double> demands;
  // Number of the newest token grant that the sender applied, the coordinator that numbered it, the
  // tokens used of it, and the number of requests that wait for more, by workspace.
  std::uint64_t grant_number = 0;
  fencing_token grant_token;
  std::map<workspace_id, double> used;
  std::map<workspace_id, double> waiting;
  // The requests that wait, by priority. Empty in reports of earlier builds.
  waiting_table waiting_by_priority;
  // Time since the sender made the report that its newest applied view answered.
  duration view_age{};
  // Times are on the sender's clock.
  std::map<std::string, timed_position> positions;
  std::vector<member_reachability> reachability;
  bool leaving = false;
  // True if the report only requests tokens and omits everything else.
  bool tokens_only = false;
  // True if the sender does not receive views from the coordinator: an instance that does relays
  // the report.
  bool needs_relay = false;
};

// Tokens for one instance until its next report.
struct token_grant
{
  // Increases with each grant of one coordinator; zero if there is none.
  std::uint64_t number = 0;
  // Clock of the report for which the tokens were allocated. A grant is repeated until a report
  // confirms it, so this may be an earlier report than the one that a view answers.
  instant requested_at{};
  std::map<workspace_id, double> tokens;
  // Requests of other instances that the pool could not serve, for each workspace whose requests
  // the report stated by priority. Empty in views of earlier builds.
  waiting_table waiting_elsewhere{};
};

// View of the fleet that the coordinator sends to one instance. Ages are counted from the reads of
// the store to the time when the view was made. The group records are current while the
// coordinator's lease is valid, because only the coordinator writes them.
struct fleet_view
{
  instance_id holder;
  // Address at which the coordinator receives reports and serves the configuration.
  std::string address;
  fencing_token token;
  std::uint64_t view_number = 0;
  incarnation_id incarnation;
  // Newest version of the coordinator row that the sender wrote. If it does not change any more,
  // the receiver can determine when the lease ends.
  store_version lease_version;
  // Time of the view on the sender's clock.
  instant clock{};
  // The receiver's clock in its newest report.
  instant echo_clock{};
  config_version configuration_version;
  std::optional<duration> configuration_age;
  // Evacuated zones, the version of the store at which they were read, and the age of that read.
  // Without a version the sender does not know them.
  std::set<zone_id> evacuated_zones;
  store_version evacuations_version;
  duration evacuations_age{};
  store_version groups_version;
  std::optional<duration> groups_age;
  std::vector<group_record> groups;
  std::uint64_t members_digest = 0;
  std::optional<duration> members_age;
  std::optional<std::vector<listed_member>> members;
  // Empty if the sender's lease has expired. The receiver may use the shares only for their
  // lifetime.
  std::optional<rate_share_table> shares;
  // True if the view answers a report that only requested tokens.
  bool tokens_only = false;
  token_grant grant;
  // Positions by group.
  std::map<std::string, aged_position> positions;
  std::uint32_t instances = 0;
  bool registered = false;
  bool released = false;
  // Omitted if the receiver already has it.
  std::optional<carrier_plan> plan;
  // True if the view answers a report that needs only the plan.
  bool plan_only = false;
};

// Digest of a members' list; the list is sent only when its digest changed.
std::uint64_t
digest_of(const std::vector<listed_member>& members);

}
