#pragma once

#include "Proxy/connection_pool.h"
#include "Proxy/fleet_configuration.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// What the fleet has recorded about the leadership of one group. Kept in the platform's store.
struct group_record
{
  std::string group;
  member_id primary;
  // True from the decision to replace the primary until the new one leads. No instance may write
  // to the group then.
  bool changing = false;
  // True if the old primary confirmed that it gave up the lead before the replacement: answers of
  // it are then valid whenever they arrive.
  bool stepped_down = false;
  // Newest term that is known.
  term newest_term;

  friend bool operator==(const group_record&, const group_record&) = default;
};

// Time limits of what an instance may conclude from reads of the store.
struct evidence_age_limits
{
  // A key may be used while the configuration was read at most this long ago.
  duration keys{};
  // A primary may be used while the group records were confirmed at most this long ago.
  duration primary_use{};
  // A commit is reported as done if its answer came at most this long after that read. Whoever
  // replaces a primary waits longer than this, unless all instances confirmed.
  duration commit_answer{};
};

// Longest age of evidence for using a primary, and for passing on its commits. A replacement waits
// longer than the second where an instance does not confirm, so both are short; views renew the
// evidence four times a second.
inline constexpr duration primary_use_limit = std::chrono::milliseconds(1500);
inline constexpr duration commit_answer_limit = std::chrono::milliseconds(2000);

// What one instance knows of configuration, members and leadership, and as of when. All instants
// are of the clock that counts suspension, and never later than the moment the store answered for.
class fleet_state
{
public:
  explicit fleet_state(evidence_age_limits limits);

  // A configuration that was current at `as_of`. Older versions than the held one are ignored;
  // false if so.
  bool update_configuration(fleet_configuration configuration, instant as_of);
  // The held version was still the newest at `as_of`.
  void confirm_configuration(config_version version, instant as_of);
  // The members' list as it was at `as_of`; an older one than the held one is ignored.
  bool update_members(std::vector<listed_member> members, instant as_of);
  // Group records up to a revision of the store. False if a newer revision is held.
  bool update_groups(const std::vector<group_record>& records,
                     std::uint64_t revision,
                     instant as_of);

  const configuration_index& configuration() const { return configuration_; }
  bool has_configuration() const { return configuration_confirmed_at_.has_value(); }
  const std::vector<listed_member>& members() const { return members_; }
  // Members of the group that may hold commits, with their addresses: the listed ones, and those
  // that vanished from the list lately, since a member that is cut from the store is taken off the
  // list while it goes on. A member that left hands its log to the next one at its address.
  std::map<member_id, std::string> possible_commit_holders(const std::string& group,
                                                           instant now) const;
  const std::map<std::string, group_record>& groups() const { return groups_; }
  std::uint64_t groups_revision() const { return groups_revision_; }
  std::optional<instant> configuration_confirmed_at() const { return configuration_confirmed_at_; }
  std::optional<instant> groups_confirmed_at() const { return groups_confirmed_at_; }
  std::optional<instant> members_confirmed_at() const { return members_confirmed_at_; }

  // Empty if keys may be used at `now`.
  std::optional<std::string> key_evidence_missing(instant now) const;

  // Which member leads the group. Until the fleet recorded one, the member that calls itself
  // primary does.
  std::optional<group_primary> primary_of(const std::string& group, instant now) const;

  // True if a commit that `member` answered at `now` was made while it led.
  bool commit_is_valid(const std::string& group, const member_id& member, instant now) const;

private:
  std::optional<member_id> recorded_or_listed_primary(const std::string& group) const;

  evidence_age_limits limits_;
  configuration_index configuration_;
  std::vector<listed_member> members_;
  struct removed_member
  {
    std::string group;
    std::string address;
    instant removed_at{};
  };
  std::map<member_id, removed_member> removed_members_;
  std::map<std::string, group_record> groups_;
  std::uint64_t groups_revision_ = 0;
  std::optional<instant> configuration_confirmed_at_;
  std::optional<instant> members_confirmed_at_;
  std::optional<instant> groups_confirmed_at_;
};

}
