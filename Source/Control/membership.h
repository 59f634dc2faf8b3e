#pragma once

#include "Control/heartbeat.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

namespace persimmonshelf {

// One line of the platform's list of entry instances.
struct listed_instance
{
  instance_id instance;
  zone_id zone;
  std::string address;
  bool leaving = false;
};

// What is known about one instance. Times are on the own clock.
struct instance_record
{
  instance_entry entry;
  // The entry was true at this time or later; none if the instance was only listed.
  std::optional<instant> updated_at;
  // The table's newest key version was at most `entry.key_version` at this time or later.
  std::optional<instant> table_read_at;
  // Last platform list that named the instance.
  std::optional<instant> listed_at;
  // Rendezvous hash of the name, kept because each forwarded statement needs it.
  std::uint64_t name_hash = 0;
  // Heartbeats that carried the current statement on.
  std::uint32_t times_sent = 0;
  // First and last refusal of a message to it since it was heard directly.
  std::optional<instant> first_refusal;
  std::optional<instant> last_refusal;
  // True once it was heard directly, so that its connection is known to have worked.
  bool had_direct_contact = false;
};

// A peer that holds a newer version of a document.
struct version_holder
{
  config_version version;
  instance_id instance;
};

// View of the fleet from heartbeats and the platform's list. It is only a hint for where to send
// work, but the ages of its key statements are strict upper bounds, because key_evidence relies on
// them.
//
// The age of a received statement includes the time that the message took, bounded by the round
// trip that the echoed clock shows. A heartbeat without a valid echo could have been delayed
// without limit in a connection, so none of its statements is used; it is answered at once instead,
// and the answer carries an echo.
//
// At up to `full_view_limit` known instances a heartbeat carries the entries of all instances.
// Above, it carries the sender's entry, the youngest entries of the sender's zone up to
// `entries_per_heartbeat`, and a summary of each zone. Instances of other zones then come from the
// platform's list and count as live while their zone's summary is fresh. Fetching another zone's
// entries on demand (a view request to an instance of that zone) is not built.
class membership
{
public:
  struct identity
  {
    instance_id instance;
    incarnation_id incarnation;
    zone_id zone;
    std::string address;
    // Above the sequence of any former incarnation of the instance: its wall clock in milliseconds
    // at the start. If that clock went back, the instance raises its sequence when it hears of its
    // former incarnation.
    std::uint64_t start_sequence = 0;
  };

  // State of the own instance that its entry carries.
  struct own_state
  {
    bool leaving = false;
    persimmonshelf::config_version config_version;
    // From key_evidence: asserted_version and table_read_at.
    persimmonshelf::config_version key_version;
    std::optional<instant> table_read_at;
    // From key_evidence: wants_news. Rounds then come four times a second, and their heartbeats ask
    // for an answer by carrying no echo.
    bool needs_refresh = false;
  };

  struct peer
  {
    instance_id instance;
    std::string address;
  };

  // Returns an evenly distributed number below `bound`.
  using random_hook = std::function<std::uint64_t(std::uint64_t bound)>;

  static constexpr duration live_limit = std::chrono::seconds(5);
  static constexpr duration heartbeat_interval = std::chrono::seconds(1);
  static constexpr std::size_t full_view_limit = 64;
  static constexpr std::size_t entries_per_heartbeat = 36;

  membership(identity self, random_hook random);

  void set_own_state(const own_state& state, instant now);

  // True once a second, and soon after the own config or key version rose, so that a change spreads
  // by one hop in each 50 ms instead of one in each second.
  bool heartbeat_due(instant now) const;

  // Starts a round: up to 3 peers of the own zone and 1 of another zone, where the zones take
  // turns. They are chosen at random among all known instances, including silent ones, so that the
  // sides of a healed partition meet again.
  std::vector<peer> heartbeat_targets(instant now);

  heartbeat make_heartbeat(const instance_id& target, instant now);

  // Merges a heartbeat. True if the sender should be answered with make_heartbeat at once.
  bool receive(const instance_id& sender, const heartbeat& message, instant now);

  // Seeds unknown instances and drops those that are silent for 30 s and not listed. The list lags,
  // so a listed instance replaces nothing that was heard, and one heard lately is never dropped.
  void apply_platform_list(const std::vector<listed_instance>& list, instant now);

  // A message came from the instance itself.
  void record_contact(const instance_id& instance);

  // The transport refused a message to the instance: its connection is closed.
  void record_refusal(const instance_id& instance, instant now);

  // True if messages to an instance that was heard directly are refused again and again. Its
  // process has ended, or it cannot be reached from here; waiting for its silence would take 5 s.
  bool is_suspected(const instance_id& instance, instant now) const;

  // Heard of within 5 s, not suspected and not leaving; the own instance is live unless it leaves.
  bool is_live(const instance_id& instance, instant now) const;
  // Live instances by name, of one zone or of all.
  std::vector<instance_id> live(const zone_id& zone, instant now) const;
  std::vector<instance_id> live(instant now) const;

  // Changes whenever an instance becomes live or ceases to be, or moves to another zone. While it
  // stays the same, so does every home_of.
  std::uint64_t live_set_hash(instant now) const;

  // The instance that holds the queue of the database's members in a zone; the own instance if none
  // is live.
  instance_id home_of(const database_id& database, const zone_id& zone, instant now) const;

  // Null for an unknown instance. The own instance has a record.
  const instance_record* find(const instance_id& instance) const;
  // All known instances by name, for status and metrics.
  const std::map<instance_id, instance_record>& records() const { return records_; }
  const identity& self() const { return self_; }

  // A live peer with a newer configuration or key set than `mine`, for fetching it.
  std::optional<version_holder> newer_config(config_version own_version, instant now) const;
  std::optional<version_holder> newer_keys(config_version own_version, instant now) const;

  // The zone's state now. `age` and `table_read_age` are strict upper bounds.
  zone_summary zone_view(const zone_id& zone, instant now) const;
  // Zones of all known instances.
  std::vector<zone_id> zones() const;
  // Highest key version that any heartbeat stated, even one without an echo.
  config_version newest_key_version() const { return newest_key_version_; }
  // Time at which a read by some instance found no key version above `held`; none if unknown.
  std::optional<instant> latest_table_read(config_version held) const;

private:
  struct echo
  {
    instant clock;
    instant received_at;
    std::optional<instant> responded_at;
  };
  struct stored_summary
  {
    zone_summary summary;
    instant updated_at;
    std::optional<instant> table_read_at;
  };

  std::optional<duration> transit_bound(const heartbeat& message, instant now) const;
  void merge_entry(const instance_entry& entry, duration transit, instant now);
  void merge_summary(const zone_summary& summary, duration transit, instant now);
  void update_newest_key_version(const heartbeat& message);
  void add_unverified_sender(const instance_id& sender, const heartbeat& message);
  static bool response_due(echo& last_received, instant now);
  instance_record& add_record(const instance_entry& entry);
  void renew_own_entry(instant now);
  instance_entry aged_entry(const instance_record& record, instant now) const;
  bool uses_full_view() const { return records_.size() <= full_view_limit; }
  bool is_live(const instance_record& record, instant now) const;
  static bool is_suspected(const instance_record& record, instant now);
  bool counts(const instance_record& record, instant now) const;
  zone_summary summarise(const zone_id& zone, instant now) const;
  std::vector<const instance_record*> choose_random(std::vector<const instance_record*> from,
                                                    std::size_t count);
  std::optional<version_holder> find_newer(config_version instance_entry::*field,
                                           config_version own_version,
                                           instant now) const;

  identity self_;
  random_hook random_;
  std::map<instance_id, instance_record> records_;
  std::map<zone_id, stored_summary> summaries_;
  std::unordered_map<instance_id, echo> echoes_;
  // Clocks of the last heartbeats sent. An echoed clock that is not among them comes from a former
  // incarnation or is too old to bound anything.
  std::deque<instant> sent_clocks_;
  std::optional<instant> last_round_;
  bool has_unsent_change_ = false;
  bool needs_refresh_ = false;
  std::size_t next_zone_ = 0;
  config_version newest_key_version_;
};

}
