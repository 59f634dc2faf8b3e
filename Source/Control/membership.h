#pragma once

#include "Control/heartbeat.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

namespace persimmonshelf {

// One entry of the platform's list of entry instances.
struct listed_instance
{
  instance_id instance;
  zone_id zone;
  std::string address;
  bool leaving = false;
};

// Local record of one instance. Times are on this instance's clock.
struct instance_record
{
  instance_entry entry;
  // The entry was valid at this time or later; none if the instance is known only from the
  // platform's list.
  std::optional<instant> updated_at;
  // The table's newest key version was at most `entry.key_version` at this time or later.
  std::optional<instant> table_read_at;
  // Time of the last platform list that contained the instance.
  std::optional<instant> listed_at;
  // Rendezvous hash of the name, stored because every forwarded statement needs it.
  std::uint64_t name_hash = 0;
  // Number of heartbeats that have relayed the current entry.
  std::uint32_t times_sent = 0;
  // Times of the first and last refusal of a message to the instance since its last direct message.
  std::optional<instant> first_refusal;
  std::optional<instant> last_refusal;
  // True after a message came directly from the instance, which shows that its connection has
  // worked.
  bool had_direct_contact = false;
};

// A peer that has a newer version of a document.
struct version_holder
{
  config_version version;
  instance_id instance;
};

// View of the fleet from heartbeats and the platform's list. For routing, the view is only a hint.
// The ages of asserted key versions are strict upper bounds, because key_evidence relies on them.
//
// The age of a received entry includes the transit time of the message. Its upper bound is the
// round trip time derived from the echoed clock. A heartbeat without a valid echo may have been
// delayed in a connection for any length of time, so none of its entries is used. Instead, it gets
// an immediate response, which carries an echo.
//
// Up to `full_view_limit` known instances, a heartbeat carries the entries of all instances. Above
// that, it carries the sender's entry, the most recent entries of the sender's zone up to
// `entries_per_heartbeat`, and a summary of each zone. Instances of other zones are then taken from
// the platform's list and count as live while the summary of their zone is fresh. Requesting
// another zone's entries on demand (a view request to an instance of that zone) is not implemented.
class membership
{
public:
  struct identity
  {
    instance_id instance;
    incarnation_id incarnation;
    zone_id zone;
    std::string address;
    // Must be above the sequence of any earlier incarnation of the instance: its wall clock in
    // milliseconds at the start. If that clock went back, the instance raises its sequence when it
    // receives an entry of its earlier incarnation.
    std::uint64_t start_sequence = 0;
  };

  // State of this instance that its entry carries.
  struct own_state
  {
    bool leaving = false;
    persimmonshelf::config_version config_version;
    // From key_evidence::asserted_version and key_evidence::table_read_at.
    persimmonshelf::config_version key_version;
    std::optional<instant> table_read_at;
    // From key_evidence::needs_refresh. If set, heartbeat rounds run four times a second, and their
    // heartbeats request a response by omitting the echo.
    bool needs_refresh = false;
  };

  struct peer
  {
    instance_id instance;
    std::string address;
  };

  // Returns a uniformly distributed number below `bound`.
  using random_hook = std::function<std::uint64_t(std::uint64_t bound)>;

  // Maximum age of the entry of a live instance.
  static constexpr duration live_limit = std::chrono::seconds(5);
  static constexpr duration heartbeat_interval = std::chrono::seconds(1);
  static constexpr std::size_t full_view_limit = 64;
  static constexpr std::size_t entries_per_heartbeat = 36;

  membership(identity self, random_hook random);

  void set_own_state(const own_state& state, instant now);

  // True once a second, and 50 ms after the last round if this instance's config or key version
  // rose or its leaving state changed. A change then spreads by one hop every 50 ms instead of
  // every second.
  bool heartbeat_due(instant now) const;

  // Starts a round. Returns up to 3 peers of this instance's zone and 1 peer of another zone; the
  // other zones take turns. Peers are chosen at random from all known instances, including silent
  // ones, so that both sides of a healed partition find each other again.
  std::vector<peer> heartbeat_targets(instant now);

  heartbeat make_heartbeat(const instance_id& target, instant now);

  // Merges a heartbeat. Returns true if the sender should immediately get a response from
  // make_heartbeat.
  bool receive(const instance_id& sender, const heartbeat& message, instant now);

  // Adds unknown instances, and removes those that were silent for 30 s and are not listed. The
  // list lags behind, so a listed entry does not replace a received one, and an instance that sent
  // a recent entry is never removed.
  void apply_platform_list(const std::vector<listed_instance>& list, instant now);

  // Records a message received directly from the instance.
  void record_contact(const instance_id& instance);

  // Records that the transport refused a message to the instance because its connection is closed.
  void record_refusal(const instance_id& instance, instant now);

  // True if messages are repeatedly refused by an instance that had direct contact before. Its
  // process has ended or it cannot be reached from this instance. Waiting for its entry to expire
  // would take 5 s.
  bool is_suspected(const instance_id& instance, instant now) const;

  // True if the instance's entry is at most 5 s old and the instance is neither suspected nor
  // leaving. This instance is live unless it is leaving.
  bool is_live(const instance_id& instance, instant now) const;
  // Live instances sorted by name, of one zone or of all zones.
  std::vector<instance_id> live(const zone_id& zone, instant now) const;
  std::vector<instance_id> live(instant now) const;

  // Hash of the live instances and their zones. It changes when an instance becomes live, stops
  // being live or moves to another zone. While it is unchanged, the results of home_of are
  // unchanged.
  std::uint64_t live_set_hash(instant now) const;

  // Returns the home instance, which holds the queue of the database's members in a zone. Live
  // instances of the zone come first, then other live instances; this instance if none is live.
  instance_id home_of(const database_id& database, const zone_id& zone, instant now) const;

  // Returns null for an unknown instance. This instance has a record too.
  const instance_record* find(const instance_id& instance) const;
  // All known instances sorted by name, for status and metrics.
  const std::map<instance_id, instance_record>& records() const { return records_; }
  const identity& self() const { return self_; }

  // Returns a live peer with a configuration or key set newer than `own_version`, from which to
  // fetch it.
  std::optional<version_holder> newer_config(config_version own_version, instant now) const;
  std::optional<version_holder> newer_keys(config_version own_version, instant now) const;

  // Current state of a zone. `age` and `table_read_age` are strict upper bounds.
  zone_summary zone_view(const zone_id& zone, instant now) const;
  // Zones of all known instances.
  std::vector<zone_id> zones() const;
  // Highest key version stated by any heartbeat, including heartbeats without an echo.
  config_version newest_key_version() const { return newest_key_version_; }
  // Time of the most recent read, by any instance, that found no key version above `held`; none if
  // unknown.
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
  // Clock values of recently sent heartbeats. An echoed clock that is not among them is from an
  // earlier incarnation or too old to bound the transit time.
  std::deque<instant> sent_clocks_;
  std::optional<instant> last_round_;
  bool has_unsent_change_ = false;
  bool needs_refresh_ = false;
  std::size_t next_zone_ = 0;
  config_version newest_key_version_;
};

}
