#pragma once

#include "Base/ids.h"
#include "Base/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// These structs correspond to the messages of the same names in Source/Wire/peer.proto. Ages are
// upper bounds at the time when the message was created.

// Last known state of one instance, received from it directly or through another instance.
struct instance_entry
{
  instance_id instance{};
  incarnation_id incarnation{};
  zone_id zone{};
  std::string address{};
  duration age{ 0 };
  bool leaving = false;
  persimmonshelf::config_version config_version{};
  // Version of the key set that the instance asserts to hold while it has no information about a
  // newer one; 0 if it asserts none.
  persimmonshelf::config_version key_version{};
  // Age of the most recent table read, its own or a relayed one, that found no version above
  // `key_version`. On the wire, 0 means none, and a real age is at least 1 us.
  std::optional<duration> table_read_age{};
  // Increases with each update of the entry and from one incarnation to the next.
  std::uint64_t sequence = 0;
};

// State of one zone, computed by one of its instances.
struct zone_summary
{
  zone_id zone{};
  // Instances of the zone that did not announce that they are leaving, whether or not a recent
  // entry was received from them.
  std::uint32_t instances = 0;
  // Instances that asserted `key_version` within the last `age`. If more than two thirds of the
  // instances qualify, only the most recent two thirds are counted, because no more are needed.
  std::uint32_t confirming = 0;
  // Highest version asserted by an instance of the zone.
  config_version key_version{};
  duration age{ 0 };
  // Age of the most recent table read known in the zone. No such read found a version above
  // `table_key_version`.
  std::optional<duration> table_read_age{};
  config_version table_key_version{};
};

// Gossip message with the states of instances and zones that the sender has.
struct heartbeat
{
  // The sender's monotonic clock.
  instant clock{};
  // The first entry is the sender's own.
  std::vector<instance_entry> entries{};
  std::vector<zone_summary> zones{};
  // The receiver's clock value from the last heartbeat that the sender received from it, and the
  // time since then. None if there was no such heartbeat. On the wire, clock 0 means none.
  std::optional<instant> echo_clock{};
  duration echo_age{ 0 };
};

}
