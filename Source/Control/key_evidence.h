#pragma once

#include "Control/membership.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Decides whether API keys may be accepted now. Keys are accepted only while there is evidence that
// no revocation unknown to this instance was accepted in the last 5 s. The evidence is either a
// read of the table, by this or another instance, or recent assertions of a quorum. A quorum is two
// thirds of the instances in each zone of a majority of the configured zones.
//
// A restarted instance may have lost a version that it acknowledged before. It asserts no version
// until the table was read after its start, or until a quorum of other instances confirmed its
// version at least 10 s after its start. By then, its earlier acknowledgements and all older
// assertions have expired.
class key_evidence
{
public:
  enum class source
  {
    none,
    table_read,
    quorum,
  };

  // Source and validity of the evidence, for status, logs and metrics.
  struct state
  {
    source from = source::none;
    // Keys are accepted until this time, unless a newer version becomes known.
    instant valid_until;
    // Why keys are not accepted; empty if they are.
    std::string reason;
  };

  // Acknowledgement of a key set version by the fleet.
  struct acknowledgement
  {
    // True if a quorum holds the version. A revocation in it is then accepted.
    bool accepted = false;
    // Configured zones in which fewer than two thirds of the instances are known to hold the
    // version.
    std::vector<zone_id> missing;
  };

  // Maximum age of evidence.
  static constexpr duration limit = std::chrono::seconds(5);

  // `members` must outlive this object.
  key_evidence(const membership& members, instant started);

  // Sets the configured zones. A quorum needs a majority of them.
  void set_zones(std::vector<zone_id> zones);

  // Sets the version of the key set in force on this instance. Must be followed by
  // membership::set_own_state before the version counts as acknowledged by this instance.
  void set_held_version(config_version version);

  // Records a read of the row `keys` by this instance: the version found, and the time when the
  // read was sent.
  void record_table_read(config_version version, instant sent_at);

  // Inexpensive while evidence is valid, so it can be called for each request.
  bool may_accept(instant now);
  state evaluate(instant now) const;

  // True from 1.5 s before the evidence expires until 2 s after. In a large fleet, regular gossip
  // delivers the most recent assertions too late to some instances; these then request heartbeats
  // from their peers. The upper bound stops the requests of an isolated instance soon.
  bool needs_refresh(instant now);

  // Values for this instance's own entry: the version that it asserts, or 0 if it may not assert
  // one, and the time of the most recent table read known to it, or none without an asserted
  // version. Calling these functions in each round also ends the restriction after a restart.
  config_version asserted_version(instant now);
  std::optional<instant> table_read_at(instant now);

  acknowledgement acknowledged(config_version version, instant now) const;

private:
  config_version newest_known() const;
  std::optional<instant> latest_read() const;
  // Time until which the assertions of a quorum are valid; none without a quorum.
  std::optional<instant> quorum_until(instant now) const;
  std::size_t majority() const { return zones_.size() / 2 + 1; }

  const membership* members_;
  instant started_;
  std::vector<zone_id> zones_;
  config_version held_;
  // Highest version found by this instance's reads, and the time of its most recent read that found
  // no version above it.
  config_version table_version_;
  std::optional<instant> own_read_at_;
  std::optional<instant> valid_until_;
  bool may_assert_version_ = false;
  // Latest expiry time of any evidence so far.
  instant evidence_end_;
};

}
