#include "Proxy/fleet_state.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace persimmonshelf {

namespace {

// Time from the record of a replacement to the new primary's first statement. Only used to refuse
// at once the requests that would not be served in time.
constexpr duration expected_replacement_time = std::chrono::milliseconds(900);

// How long a member that was removed from the list counts as possibly partitioned but running;
// longer than the partitions of the known deployments.
constexpr duration removed_member_retention = std::chrono::seconds(30);

// A longer time between two reads of the list may hide a member that was added and removed again. A
// member is removed after three intervals of its reports, and serves for some time before.
constexpr duration max_list_gap = std::chrono::seconds(5);

std::string
age_text(const std::optional<instant>& confirmed_at, instant now)
{
  if (!confirmed_at) {
    return "an unknown time";
  }
  return std::to_string(
           std::chrono::duration_cast<std::chrono::milliseconds>(now - *confirmed_at).count()) +
         " ms";
}

}

bool
is_later(const group_record& next, const group_record& record)
{
  return std::tie(next.primary_term, next.changing, next.stepped_down) >
         std::tie(record.primary_term, record.changing, record.stepped_down);
}

fleet_state::fleet_state(evidence_age_limits limits,
                         duration evacuation_limit,
                         bool records_primaries)
  : limits_(limits)
  , evacuations_(evacuation_limit)
  , records_primaries_(records_primaries)
{
}

bool
fleet_state::update_configuration(fleet_configuration configuration, instant confirmed_at)
{
  const auto current_version = configuration_.configuration().version;
  if (configuration_confirmed_at_ && configuration.version < current_version) {
    return false;
  }
  if (!configuration_confirmed_at_ || configuration.version > current_version) {
    configuration_ = configuration_index(std::move(configuration));
    configuration_confirmed_at_ = confirmed_at;
    return true;
  }
  configuration_confirmed_at_ = std::max(*configuration_confirmed_at_, confirmed_at);
  return true;
}

void
fleet_state::confirm_configuration(config_version version, instant confirmed_at)
{
  if (configuration_confirmed_at_ && version == configuration_.configuration().version) {
    configuration_confirmed_at_ = std::max(*configuration_confirmed_at_, confirmed_at);
  }
}

bool
fleet_state::update_members(std::vector<listed_member> members, instant confirmed_at)
{
  if (members_confirmed_at_ && confirmed_at < *members_confirmed_at_) {
    return false;
  }
  confirm_members(confirmed_at);
  for (const auto& member : members_) {
    removed_members_[member.id] = { member.id, member.group, member.address, confirmed_at };
  }
  for (const auto& member : members) {
    removed_members_.erase(member.id);
    if (member.claims_primary) {
      last_listed_primaries_[member.group] = member.id;
    }
  }
  std::erase_if(removed_members_, [&](const auto& entry) {
    return confirmed_at - entry.second.removed_at > removed_member_retention;
  });
  members_ = std::move(members);
  members_confirmed_at_ = confirmed_at;
  return true;
}

void
fleet_state::confirm_members(instant confirmed_at)
{
  if (!removals_known_since_) {
    removals_known_since_ =
      no_earlier_removals_ ? confirmed_at - removed_member_retention : confirmed_at;
  } else if (confirmed_at - members_followed_at_ > max_list_gap) {
    removals_known_since_ = confirmed_at;
  }
  members_followed_at_ = std::max(members_followed_at_, confirmed_at);
}

void
fleet_state::merge_removals(const removal_history& removals)
{
  for (const auto& removed : removals.members) {
    const bool listed = std::any_of(members_.begin(), members_.end(), [&](const auto& member) {
      return member.id == removed.id;
    });
    if (!listed) {
      auto& known = removed_members_.try_emplace(removed.id, removed).first->second;
      known.removed_at = std::max(known.removed_at, removed.removed_at);
    }
  }
  if (removals_known_since_ && removals.complete_since) {
    removals_known_since_ = std::min(*removals_known_since_, *removals.complete_since);
  }
}

removal_history
fleet_state::removals() const
{
  removal_history history;
  for (const auto& [id, removed] : removed_members_) {
    history.members.push_back(removed);
  }
  history.complete_since = removals_known_since_;
  return history;
}

bool
fleet_state::knows_all_removals(instant now) const
{
  return removals_known_since_ && now - *removals_known_since_ >= removed_member_retention;
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
  for (const auto& [id, removed] : removed_members_) {
    if (removed.group == group && now - removed.removed_at <= removed_member_retention) {
      holders.emplace(id, removed.address);
    }
  }
  return holders;
}

bool
fleet_state::update_groups(const std::vector<group_record>& records,
                           const store_version& version,
                           std::optional<instant> confirmed_at)
{
  if (version < groups_version_) {
    return false;
  }
  if (version.era() > groups_version_.era()) {
    begin_era();
  }
  groups_version_ = version;
  for (const auto& record : records) {
    apply_record(record);
  }
  if (ahead_of_store_.empty()) {
    applied_groups_version_ = version;
  }
  if (confirmed_at) {
    groups_confirmed_at_ = std::max(groups_confirmed_at_.value_or(*confirmed_at), *confirmed_at);
  }
  return true;
}

// Keeps the time at which each primary was last confirmed, because the present one is from then on
// that of records which were written in the new era.
void
fleet_state::begin_era()
{
  for (const auto& [group, record] : groups_) {
    if (groups_confirmed_at_ && is_confirmed(group)) {
      earlier_confirmations_[group] = *groups_confirmed_at_;
    }
  }
}

// Notes that the known record is later than the one in the store.
void
fleet_state::keep_record(const std::string& group)
{
  if (groups_confirmed_at_ && is_confirmed(group)) {
    earlier_confirmations_[group] = *groups_confirmed_at_;
  }
  ahead_of_store_.insert(group);
}

void
fleet_state::apply_record(const group_record& record)
{
  const auto [found, is_new] = groups_.try_emplace(record.group, record);
  auto& known = found->second;
  if (!is_new && record.recorded_in < known.recorded_in) {
    // A write of an earlier era that took effect late.
    keep_record(record.group);
    return;
  }
  // Within an era, the order of the records is that of the store.
  if (!is_new && known.recorded_in != groups_version_.era()) {
    if (is_later(known, record)) {
      keep_record(record.group);
      return;
    }
    if (is_later(record, known)) {
      // This instance had missed the change, so what it knew is no evidence.
      earlier_confirmations_.erase(record.group);
    }
  }
  known = record;
  ahead_of_store_.erase(record.group);
  if (is_confirmed(record.group)) {
    earlier_confirmations_.erase(record.group);
  }
}

std::vector<std::string>
fleet_state::adopt_records(const std::vector<group_record>& records)
{
  std::vector<std::string> changed;
  for (const auto& record : records) {
    const auto [found, is_new] = groups_.try_emplace(record.group, record);
    if (!is_new && !is_later(record, found->second)) {
      continue;
    }
    found->second = record;
    earlier_confirmations_.erase(record.group);
    ahead_of_store_.insert(record.group);
    changed.push_back(record.group);
  }
  return changed;
}

std::vector<group_record>
fleet_state::records_ahead() const
{
  std::vector<group_record> records;
  for (const auto& group : ahead_of_store_) {
    records.push_back(groups_.at(group));
  }
  return records;
}

bool
fleet_state::is_confirmed(const std::string& group) const
{
  const auto found = groups_.find(group);
  if (found == groups_.end()) {
    return !records_primaries_ || groups_version_.era() == store_era();
  }
  return found->second.recorded_in == groups_version_.era() && !ahead_of_store_.contains(group);
}

// When the store last confirmed the group's primary, directly or through the coordinator.
std::optional<instant>
fleet_state::primary_confirmed_at(const std::string& group) const
{
  if (is_confirmed(group)) {
    return groups_confirmed_at_;
  }
  const auto found = earlier_confirmations_.find(group);
  return found == earlier_confirmations_.end() ? std::nullopt
                                               : std::optional<instant>(found->second);
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

std::optional<member_id>
fleet_state::last_listed_primary(const std::string& group) const
{
  const auto found = last_listed_primaries_.find(group);
  return found == last_listed_primaries_.end() ? std::nullopt
                                               : std::optional<member_id>(found->second);
}

group_record
fleet_state::record_of(const std::string& group, const member_id& primary) const
{
  const auto found = groups_.find(group);
  if (found != groups_.end()) {
    return found->second;
  }
  group_record unrecorded;
  unrecorded.group = group;
  unrecorded.primary = primary;
  return unrecorded;
}

std::optional<group_primary>
fleet_state::primary_of(const std::string& group, instant now) const
{
  const auto primary = recorded_or_listed_primary(group);
  if (!primary) {
    return std::nullopt;
  }
  group_primary current;
  current.member = *primary;
  const auto record = groups_.find(group);
  const bool changing = record != groups_.end() && record->second.changing;
  const auto confirmed_at = primary_confirmed_at(group);
  current.usable = !changing && confirmed_at && now - *confirmed_at <= limits_.primary_use;
  if (changing) {
    current.replacement_expected_at = now + expected_replacement_time / 3;
  }
  return current;
}

bool
fleet_state::commit_is_valid(const std::string& group, const member_id& member, instant now) const
{
  const auto confirmed_at = primary_confirmed_at(group);
  if (!confirmed_at || now - *confirmed_at > limits_.commit_answer) {
    return false;
  }
  const auto record = groups_.find(group);
  if (record == groups_.end()) {
    return true;
  }
  const bool in_charge = !record->second.changing || record->second.stepped_down;
  return in_charge && record->second.primary == member;
}

}
