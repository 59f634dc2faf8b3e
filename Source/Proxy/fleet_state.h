#pragma once

#include "Places/evacuated_zones.h"
#include "Proxy/connection_pool.h"
#include "Proxy/fleet_configuration.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonshelf {

// What the store records about the primary of one group.
struct group_record
{
  std::string group;
  member_id primary;
  // True from the decision to replace the primary until the new one is primary. No instance may
  // write to the group during that time.
  bool changing = false;
  // True if the old primary confirmed that it stepped down before the replacement. Its answers are
  // then valid until the next record.
  bool stepped_down = false;
  // Term in which the primary leads, or zero if it is unknown.
  term primary_term;
  // Era of the store in which a coordinator wrote the record. A record of an earlier era than the
  // store's was restored with an older copy and may have been replaced meanwhile.
  store_era recorded_in{};

  friend bool operator==(const group_record&, const group_record&) = default;
};

// True if `next` describes a later state of the group than `record`, whatever the store says.
// Within a term a record changes only from the primary to its replacement, and then to its
// step-down.
bool
is_later(const group_record& next, const group_record& record);

// A member that was removed from the members' list, but may still run: one that loses contact with
// the store is removed.
struct removed_member
{
  member_id id;
  std::string group;
  std::string address;
  instant removed_at{};

  friend bool operator==(const removed_member&, const removed_member&) = default;
};

// The members that were removed lately, as one instance knows them.
struct removal_history
{
  std::vector<removed_member> members;
  // Since when the instance has followed the list, so that it knows of all removals since then.
  // Empty if it has not read the list.
  std::optional<instant> complete_since;

  friend bool operator==(const removal_history&, const removal_history&) = default;
};

// Age limits of evidence, that is, of data read from the store.
struct evidence_age_limits
{
  // An API key may be used while the configuration was confirmed at most this long ago.
  duration keys{};
  // A primary may be used while the group records were confirmed at most this long ago.
  duration primary_use{};
  // A commit is reported as done if its answer arrived at most this long after that confirmation. A
  // replacement of the primary waits longer than this, unless all instances confirmed it.
  duration commit_answer{};
};

// Age limits of the group records for using a primary and for passing on its commits. A replacement
// waits longer than the second limit if an instance does not confirm, so both are short. Views
// renew the evidence four times per second.
inline constexpr duration primary_use_limit = std::chrono::milliseconds(1500);
inline constexpr duration commit_answer_limit = std::chrono::milliseconds(2000);

// The configuration, members and primaries that one instance has received, and when the store
// confirmed them. All times are on a clock that counts time in suspension, and are never later than
// the time for which the store's answer was valid.
class fleet_state
{
public:
  // `evacuation_limit` is the time from the acknowledgement of a zone's evacuation until nothing
  // may be sent to its members. `records_primaries` is false where the fleet does not replace
  // primaries and so records none.
  explicit fleet_state(evidence_age_limits limits,
                       duration evacuation_limit = default_evacuation_limit,
                       bool records_primaries = true);

  // Applies a configuration that was current at `confirmed_at`. Returns false for a version older
  // than the current one, which is ignored.
  bool update_configuration(fleet_configuration configuration, instant confirmed_at);
  // Confirms that the current version was still the newest at `confirmed_at`.
  void confirm_configuration(config_version version, instant confirmed_at);
  // Applies the members' list that was current at `confirmed_at`. Returns false for a list older
  // than the current one, which is ignored.
  bool update_members(std::vector<listed_member> members, instant confirmed_at);
  // Confirms that the present members' list was still current at `confirmed_at`.
  void confirm_members(instant confirmed_at);
  // Takes the first list that is read as complete: at the first start of the whole fleet no commit
  // was acknowledged before it.
  void assume_no_removals() { no_earlier_removals_ = true; }
  // Adds what another instance, which follows the list at present, knows of removals.
  void merge_removals(const removal_history& removals);
  removal_history removals() const;
  // True if this instance knows of all members that were removed so lately that they may still run.
  bool knows_all_removals(instant now) const;

  // Applies group records up to a version of the store. Returns false if a newer version was
  // applied already. Without a confirmation time they are known, but no evidence for using a
  // primary: a replacement does not wait for an instance that is not registered.
  //
  // In a new era of the store, a record of an earlier era replaces no later one. Its primary may be
  // used only for as long as the evidence from before allows, until the coordinator confirms it by
  // a record of the new era.
  bool update_groups(const std::vector<group_record>& records,
                     const store_version& version,
                     std::optional<instant> confirmed_at);

  // Applies records that other instances know from an earlier era of the store, if they are later
  // than the known ones. Returns the groups whose records changed.
  std::vector<std::string> adopt_records(const std::vector<group_record>& records);
  // The known records that are later than those in the store, which lost them.
  std::vector<group_record> records_ahead() const;
  // True if the coordinator has confirmed in the store's present era who leads the group. A store
  // without eras loses nothing, so a group without a record counts as confirmed there.
  bool is_confirmed(const std::string& group) const;

  // Applies a set of evacuated zones unless a newer one is known. Returns true if the set changed.
  bool update_evacuations(const evacuation_evidence& evidence)
  {
    return evacuations_.update(evidence);
  }

  const evacuated_zones& evacuations() const { return evacuations_; }
  const configuration_index& configuration() const { return configuration_; }
  bool has_configuration() const { return configuration_confirmed_at_.has_value(); }
  const std::vector<listed_member>& members() const { return members_; }
  // Members of the group that may hold commits, with their addresses: those in the list, and those
  // that were removed from it recently, because a member that loses contact with the store is
  // removed while it still runs. A member that left hands its log to the next one at its address.
  std::map<member_id, std::string> possible_commit_holders(const std::string& group,
                                                           instant now) const;
  const std::map<std::string, group_record>& groups() const { return groups_; }
  // The group's record; one that names `primary` in an unknown term if there is none.
  group_record record_of(const std::string& group, const member_id& primary) const;
  // The member that most recently listed itself as the group's primary, also if it no longer does.
  // Empty if this instance has not read a list with one.
  std::optional<member_id> last_listed_primary(const std::string& group) const;
  const store_version& groups_version() const { return groups_version_; }
  // Newest version whose records were applied without exception. While records are known that are
  // later than the store's, this instance does not act on the store's newest version.
  const store_version& applied_groups_version() const { return applied_groups_version_; }
  std::optional<instant> configuration_confirmed_at() const { return configuration_confirmed_at_; }
  std::optional<instant> groups_confirmed_at() const { return groups_confirmed_at_; }
  std::optional<instant> members_confirmed_at() const { return members_confirmed_at_; }

  // Empty if API keys may be used at `now`; otherwise the reason why not.
  std::optional<std::string> key_evidence_missing(instant now) const;

  // The primary of the group. Until the fleet recorded one, it is the member that claims to be
  // primary.
  std::optional<group_primary> primary_of(const std::string& group, instant now) const;

  // True if a commit that `member` acknowledged at `now` was made while it was primary.
  bool commit_is_valid(const std::string& group, const member_id& member, instant now) const;

private:
  std::optional<member_id> recorded_or_listed_primary(const std::string& group) const;
  void begin_era();
  void apply_record(const group_record& record);
  void keep_record(const std::string& group);
  std::optional<instant> primary_confirmed_at(const std::string& group) const;

  evidence_age_limits limits_;
  evacuated_zones evacuations_;
  bool records_primaries_;
  configuration_index configuration_;
  std::vector<listed_member> members_;
  std::map<member_id, removed_member> removed_members_;
  std::optional<instant> removals_known_since_;
  instant members_followed_at_{};
  bool no_earlier_removals_ = false;
  std::map<std::string, member_id> last_listed_primaries_;
  std::map<std::string, group_record> groups_;
  // Groups whose known record is later than the one in the store.
  std::set<std::string> ahead_of_store_;
  // When the primaries that are not confirmed in the present era were last confirmed before it.
  std::map<std::string, instant> earlier_confirmations_;
  store_version groups_version_;
  store_version applied_groups_version_;
  std::optional<instant> configuration_confirmed_at_;
  std::optional<instant> members_confirmed_at_;
  std::optional<instant> groups_confirmed_at_;
};

}
