#pragma once

#include "Base/ids.h"
#include "Base/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// The structs mirror the messages of the same names in Source/Wire/peer.proto. Ages are upper
// bounds when the message was made.

// State of one instance as last heard, directly or through another instance.
struct instance_entry
{
  instance_id instance{};
  incarnation_id incarnation{};
  zone_id zone{};
  std::string address{};
  duration age{ 0 };
  bool leaving = false;
  persimmonshelf::config_version config_version{};
  // Version of the key set that the instance states to hold while it knows of no newer one; 0 if it
  // makes no such statement.
  persimmonshelf::config_version key_version{};
  // Age of the youngest read of the table, its own or relayed, that found no version above
  // `key_version`. On the wire, 0 stands for none and a real age is at least 1 us.
  std::optional<duration> table_read_age{};
  // Rises with each statement of an incarnation and from one incarnation to the next.
  std::uint64_t sequence = 0;
};

// State of one zone, computed by one of its instances.
struct zone_summary
{
  zone_id zone{};
  // Instances of the zone that did not announce their departure, heard of lately or not.
  std::uint32_t instances = 0;
  // Instances whose statement of `key_version` is at most `age` old. The youngest two thirds are
  // counted if there are as many, because no more are needed.
  std::uint32_t confirming = 0;
  // Highest version that an instance of the zone stated.
  config_version key_version{};
  duration age{ 0 };
  // Youngest read of the table known in the zone: none found a version above `table_key_version`.
  std::optional<duration> table_read_age{};
  config_version table_key_version{};
};

struct heartbeat
{
  // The sender's monotonic clock.
  instant clock{};
  // Starts with the sender's own entry.
  std::vector<instance_entry> entries{};
  std::vector<zone_summary> zones{};
  // The receiver's clock from the last heartbeat that the sender got from it and how long ago that
  // came; none if there was none. On the wire, clock 0 stands for none.
  std::optional<instant> echo_clock{};
  duration echo_age{ 0 };
};

}
