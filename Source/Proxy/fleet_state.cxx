#include "Proxy/fleet_state.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// How long a replacement takes from its record to the new primary's first statement; only used to
// refuse at once what would not be served in time.
constexpr duration replacement_time = std::chrono::milliseconds(900);

// How long a member that vanished from the list counts as one that may be cut off but alive; longer
// than the cuts that the deployments know.
constexpr duration holder_memory = std::chrono::seconds(30);

std::string
age_text(const std::optional<instant>& as_of, instant now)
{
  if (!as_of) {
    return "none";
  }
  return std::to_string(
           std::chrono::duration_cast<std::chrono::milliseconds>(now - *as_of).count()) +
         " ms";
}

}

fleet_state::fleet_state(evidence_age_limits limits)
  : limits_(limits)
{
}

bool
fleet_state::update_configuration(fleet_configuration configuration, instant as_of)
{
  const auto held = configuration_.configuration().version;
  if (configuration_confirmed_at_ && configuration.version < held) {
    return false;
  }
  if (!configuration_confirmed_at_ || configuration.version > held) {
    configuration_ = configuration_index(std::move(configuration));
    configuration_confirmed_at_ = as_of;
    return true;
  }
  configuration_confirmed_at_ = std::max(*configuration_confirmed_at_, as_of);
  return true;
}

void
fleet_state::confirm_configuration(config_version version, instant as_of)
{
  if (configuration_confirmed_at_ && version == configuration_.configuration().version) {
    configuration_confirmed_at_ = std::max(*configuration_confirmed_at_, as_of);
  }
}

bool
fleet_state::update_members(std::vector<listed_member> members, instant as_of)
{
  if (members_confirmed_at_ && as_of < *members_confirmed_at_) {
    return false;
  }
  for (const auto& member : members_) {
    removed_members_[member.id] = { member.group, member.address, as_of };
  }
  for (const auto& member : members) {
    removed_members_.erase(member.id);
  }
  std::erase_if(removed_members_,
                [&](const auto& entry) { return as_of - entry.second.removed_at > holder_memory; });
  members_ = std::move(members);
  members_confirmed_at_ = as_of;
  return true;
}

std::map<member_id, std::string>
fleet_state::possible_commit_holders(const std::string& group, instant now) const
{
  std::map<member_id, std::string> holders;
  for (const auto& member : members_) {
    if (member.group == group) {
      holders.emplace(member.id, member.address);
    }
  }
  for (const auto& [id, vanished] : removed_members_) {
    if (vanished.group == group && now - vanished.removed_at <= holder_memory) {
      holders.emplace(id, vanished.address);
    }
  }
  return holders;
}

bool
fleet_state::update_groups(const std::vector<group_record>& records,
                           std::uint64_t revision,
                           instant as_of)
{
  if (revision < groups_revision_) {
    return false;
  }
  groups_revision_ = revision;
  for (const auto& record : records) {
    groups_[record.group] = record;
  }
  groups_confirmed_at_ = groups_confirmed_at_ ? std::max(*groups_confirmed_at_, as_of) : as_of;
  return true;
}

std::optional<std::string>
fleet_state::key_evidence_missing(instant now) const
{
  if (configuration_confirmed_at_ && now - *configuration_confirmed_at_ <= limits_.keys) {
    return std::nullopt;
  }
  return "the configuration was last confirmed " + age_text(configuration_confirmed_at_, now) +
         " ago";
}

std::optional<member_id>
fleet_state::recorded_or_listed_primary(const std::string& group) const
{
  const auto record = groups_.find(group);
  if (record != groups_.end()) {
    return record->second.primary;
  }
  for (const auto& member : members_) {
    if (member.group == group && member.claims_primary) {
      return member.id;
    }
  }
  return std::nullopt;
}

std::optional<group_primary>
fleet_state::primary_of(const std::string& group, instant now) const
{
  const auto primary = recorded_or_listed_primary(group);
  if (!primary) {
    return std::nullopt;
  }
  group_primary leader;
  leader.member = *primary;
  const auto record = groups_.find(group);
  const bool changing = record != groups_.end() && record->second.changing;
  leader.usable =
    !changing && groups_confirmed_at_ && now - *groups_confirmed_at_ <= limits_.primary_use;
  if (changing) {
    leader.replacement_expected_at = now + replacement_time / 3;
  }
  return leader;
}

bool
fleet_state::commit_is_valid(const std::string& group, const member_id& member, instant now) const
{
  if (!groups_confirmed_at_ || now - *groups_confirmed_at_ > limits_.commit_answer) {
    return false;
  }
  const auto record = groups_.find(group);
  if (record == groups_.end()) {
    return true;
  }
  if (record->second.stepped_down) {
    return true;
  }
  return !record->second.changing && record->second.primary == member;
}

}
