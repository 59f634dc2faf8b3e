#pragma once

#include "Control/membership.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Decides whether keys may be accepted now: only while it is proven that no revocation was accepted
// without this instance's knowledge in the last 5 s. The proof is a read of the table, by this or
// another instance, or fresh statements of a quorum: two thirds of the instances in each zone of a
// majority of the configured zones.
//
// A restarted instance may have forgotten a version that it acknowledged. It states no version
// until the table was read after its start, or until a quorum of others confirmed its version 10 s
// after the start: by then its former acknowledgements and all statements older than them have
// expired.
class key_evidence
{
public:
  enum class source
  {
    none,
    table_read,
    quorum,
  };

  // What the evidence rests on, for status, logs and metrics.
  struct state
  {
    source from = source::none;
    // Keys are accepted before this time, unless a newer version becomes known.
    instant valid_until;
    // Why keys are not accepted; empty if they are.
    std::string reason;
  };

  // Progress of a version towards being in force.
  struct acknowledgement
  {
    // True if a quorum holds the version: a revocation in it is accepted.
    bool accepted = false;
    // Configured zones of which fewer than two thirds are known to hold it.
    std::vector<zone_id> missing;
  };

  static constexpr duration limit = std::chrono::seconds(5);

  // `members` outlives the object.
  key_evidence(const membership& members, instant started);

  // Zones of the configuration; a majority of them makes a quorum.
  void set_zones(std::vector<zone_id> zones);

  // The key set in force here. To be followed by membership::set_own_state before the version
  // counts as acknowledged by this instance.
  void set_held_version(config_version version);

  // An own read of row `keys`: its version, and the time when the read was sent.
  void record_table_read(config_version version, instant sent_at);

  // Cheap while evidence lasts, so that each request can ask.
  bool may_accept(instant now);
  state evaluate(instant now) const;

  // True from 1.5 s before the evidence ends until 2 s after. Gossip alone brings the youngest
  // statements too late to some instances of a large fleet; these then ask their peers. An instance
  // that is cut off stops asking soon.
  bool needs_refresh(instant now);

  // For the own entry. The version that this instance states, 0 if it may not state one, and the
  // youngest table read known here, none without a stated version. Calling them in each round also
  // ends the silence after a restart.
  config_version asserted_version(instant now);
  std::optional<instant> table_read_at(instant now);

  acknowledgement acknowledged(config_version version, instant now) const;

private:
  config_version newest_known() const;
  std::optional<instant> latest_read() const;
  // Time until which the statements of a quorum last; none without a quorum.
  std::optional<instant> quorum_until(instant now) const;
  std::size_t majority() const { return zones_.size() / 2 + 1; }

  const membership* members_;
  instant started_;
  std::vector<zone_id> zones_;
  config_version held_;
  // Highest version that an own read found, and the youngest own read that found none above it.
  config_version table_version_;
  std::optional<instant> own_read_at_;
  std::optional<instant> valid_until_;
  bool may_assert_version_ = false;
  // Latest end of evidence seen so far.
  instant evidence_end_;
};

}
