#include "Proxy/fleet_knowledge.h"

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

fleet_knowledge::fleet_knowledge(evidence_limits limits)
  : limits_(limits)
{
}

bool
fleet_knowledge::learn_configuration(fleet_configuration configuration, instant as_of)
{
  const auto held = configuration_.configuration().version;
  if (configuration_as_of_ && configuration.version < held) {
    return false;
  }
  if (!configuration_as_of_ || configuration.version > held) {
    configuration_ = configuration_index(std::move(configuration));
    configuration_as_of_ = as_of;
    return true;
  }
  configuration_as_of_ = std::max(*configuration_as_of_, as_of);
  return true;
}

void
fleet_knowledge::confirm_configuration(config_version version, instant as_of)
{
  if (configuration_as_of_ && version == configuration_.configuration().version) {
    configuration_as_of_ = std::max(*configuration_as_of_, as_of);
  }
}

bool
fleet_knowledge::learn_members(std::vector<listed_member> members, instant as_of)
{
  if (members_as_of_ && as_of < *members_as_of_) {
    return false;
  }
  for (const auto& member : members_) {
    vanished_[member.id] = { member.group, member.address, as_of };
  }
  for (const auto& member : members) {
    vanished_.erase(member.id);
  }
  std::erase_if(vanished_,
                [&](const auto& entry) { return as_of - entry.second.at > holder_memory; });
  members_ = std::move(members);
  members_as_of_ = as_of;
  return true;
}

std::map<member_id, std::string>
fleet_knowledge::possible_holders(const std::string& group, instant now) const
{
  std::map<member_id, std::string> holders;
  for (const auto& member : members_) {
    if (member.group == group) {
      holders.emplace(member.id, member.address);
    }
  }
  for (const auto& [id, vanished] : vanished_) {
    if (vanished.group == group && now - vanished.at <= holder_memory) {
      holders.emplace(id, vanished.address);
    }
  }
  return holders;
}

bool
fleet_knowledge::learn_groups(const std::vector<group_record>& records,
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
  groups_as_of_ = groups_as_of_ ? std::max(*groups_as_of_, as_of) : as_of;
  return true;
}

std::optional<std::string>
fleet_knowledge::key_evidence_missing(instant now) const
{
  if (configuration_as_of_ && now - *configuration_as_of_ <= limits_.keys) {
    return std::nullopt;
  }
  return "the configuration was last confirmed " + age_text(configuration_as_of_, now) + " ago";
}

std::optional<member_id>
fleet_knowledge::recorded_or_listed_primary(const std::string& group) const
{
  const auto record = groups_.find(group);
  if (record != groups_.end()) {
    return record->second.primary;
  }
  for (const auto& member : members_) {
    if (member.group == group && member.says_primary) {
      return member.id;
    }
  }
  return std::nullopt;
}

std::optional<group_leader>
fleet_knowledge::leader(const std::string& group, instant now) const
{
  const auto primary = recorded_or_listed_primary(group);
  if (!primary) {
    return std::nullopt;
  }
  group_leader leader;
  leader.member = *primary;
  const auto record = groups_.find(group);
  const bool changing = record != groups_.end() && record->second.changing;
  leader.usable = !changing && groups_as_of_ && now - *groups_as_of_ <= limits_.lead_send;
  if (changing) {
    leader.expected_back = now + replacement_time / 3;
  }
  return leader;
}

bool
fleet_knowledge::commit_is_valid(const std::string& group,
                                 const member_id& member,
                                 instant now) const
{
  if (!groups_as_of_ || now - *groups_as_of_ > limits_.lead_answer) {
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
