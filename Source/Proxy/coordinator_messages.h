#pragma once

#include "Proxy/carriers.h"
#include "Proxy/fleet_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Part of a workspace's rate and burst, in parts per million.
using rate_share_ppm = std::uint32_t;
inline constexpr rate_share_ppm full_rate_share = 1'000'000;
using rate_share_table = std::map<workspace_id, rate_share_ppm>;

// Number of a coordinator's period; rises with each holder of the duty.
using fencing_token = strong<struct fencing_token_tag, std::uint64_t>;

// A group's primary had this position at `seen`.
struct timed_position
{
  log_point position;
  instant observed_at{};
};

// What an instance sees of a member: how long every attempt has failed, or zero if it answers.
struct member_reachability
{
  member_id member;
  duration failing_for{};
};

// What an instance tells the coordinator several times a second.
struct instance_report
{
  instance_id instance;
  zone_id zone;
  incarnation_id incarnation;
  // Where the sender receives views.
  std::string address;
  // Where it would run sessions for others, and its part of a processor core.
  std::string relay_address;
  double capacity = 0;
  // Version of the carrier plan that the sender obeys.
  std::uint64_t plan_version = 0;
  // True if the sender runs no sessions: it needs the plan and nothing else.
  bool plan_only = false;
  // The sender's clock.
  instant clock{};
  // Whose shares the sender holds; zero if none.
  fencing_token token;
  // Newest view that the sender applied.
  std::uint64_t view_number = 0;
  config_version configuration_version;
  std::uint64_t members_digest = 0;
  // Revision of the group records that the sender obeys.
  std::uint64_t groups_revision = 0;
  rate_share_table shares;
  std::map<workspace_id, double> demands;
  // Number of the newest grant of tokens that the sender applied, what it used of it, and how many
  // requests wait for more.
  std::uint64_t grant_number = 0;
  std::map<workspace_id, double> used;
  std::map<workspace_id, double> waiting;
  // Time since the report that the newest applied view answers.
  duration view_age{};
  // The coordinator's clock in the newest applied view, and how long ago that view arrived: the
  // report was made no earlier than their sum. Empty if no view of this coordinator came.
  std::optional<instant> view_clock;
  duration view_held_for{};
  // On the sender's clock.
  std::map<std::string, timed_position> positions;
  std::vector<member_reachability> reachability;
  bool leaving = false;
  // True if the report only asks for tokens and leaves out all else.
  bool tokens_only = false;
  // True if the sender does not hear the coordinator: whoever does passes the report on.
  bool needs_relay = false;
};

// What the coordinator tells one instance. Ages are counted from the reads of the store to the
// moment the view was made; the group records are the coordinator's own while its lease lasts.
struct fleet_view
{
  instance_id holder;
  // Where the coordinator hears reports and serves the configuration.
  std::string address;
  fencing_token token;
  std::uint64_t view_number = 0;
  incarnation_id incarnation;
  // Newest revision of the sender's row that it wrote; an unchanged one tells the lease's end.
  std::uint64_t lease_revision = 0;
  // The sender's clock.
  instant clock{};
  // The receiver's clock in its newest report.
  instant echo_clock{};
  config_version configuration_version;
  std::optional<duration> configuration_age;
  std::uint64_t groups_revision = 0;
  std::optional<duration> groups_age;
  std::vector<group_record> groups;
  std::uint64_t members_digest = 0;
  std::optional<duration> members_age;
  std::optional<std::vector<listed_member>> members;
  // Empty if the sender's lease has run out: the receiver's shares live no longer than they do.
  std::optional<rate_share_table> shares;
  // True if the view answers a report that only asked for tokens.
  bool tokens_only = false;
  // Tokens until the next report; zero if the view grants none.
  std::uint64_t grant_number = 0;
  std::map<workspace_id, double> tokens;
  // Ages instead of instants: `seen` counts from zero.
  std::map<std::string, std::pair<log_point, duration>> positions;
  std::uint32_t instances = 0;
  bool registered = false;
  bool released = false;
  // Left out if the receiver has it.
  std::optional<carrier_plan> plan;
  // True if the view answers a report that only needs the plan.
  bool plan_only = false;
};

// Digest of a members' list, so that it is sent only when it changed.
std::uint64_t
digest_of(const std::vector<listed_member>& members);

}
