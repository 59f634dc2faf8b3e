#pragma once

#include "Control/membership.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace persimmonshelf {

// Names, addresses and heartbeats of a simulated fleet in 8 zones. Instances are assigned to the
// zones in turn: instances 0 and 8 are in the same zone.
struct synthetic_fleet
{
  static constexpr std::size_t zone_count = 8;
  std::size_t size = 0;

  static zone_id zone(std::size_t number)
  {
    return zone_id("region-" + std::to_string(number % zone_count / 4) + "-zone-" +
                   std::to_string(number % zone_count));
  }

  static instance_id name(std::size_t number)
  {
    return instance_id("entry-" + std::to_string(number));
  }

  static std::string address(std::size_t number)
  {
    return "10.1." + std::to_string(number / 200) + "." + std::to_string(number % 200 + 1) +
           ":17300";
  }

  static membership::identity identity(std::size_t number)
  {
    membership::identity self;
    self.instance = name(number);
    self.incarnation = incarnation_id(0x9e3779b97f4a7c15U * (number + 1));
    self.zone = zone(number);
    self.address = address(number);
    self.start_sequence = 1'790'000'000'000U;
    return self;
  }

  static instance_entry entry(std::size_t number, std::uint64_t sequence)
  {
    const auto self = identity(number);
    instance_entry created;
    created.instance = self.instance;
    created.incarnation = self.incarnation;
    created.zone = self.zone;
    created.address = self.address;
    created.age = std::chrono::milliseconds(1200);
    created.config_version = config_version(23'000);
    created.key_version = config_version(1'200);
    created.table_read_age = std::chrono::milliseconds(900);
    created.sequence = self.start_sequence + sequence;
    return created;
  }

  std::vector<listed_instance> list() const
  {
    std::vector<listed_instance> all;
    for (std::size_t i = 0; i < size; ++i) {
      all.push_back({ name(i), zone(i), address(i), false });
    }
    return all;
  }

  // Heartbeat of `sender` with a summary of each zone and, if `whole_zone` is set, the entries of
  // its zone. In a fleet of at most `full_view_limit` instances it has the entries of all zones.
  // `echo` is a clock value that the receiver sent.
  heartbeat make_heartbeat(std::size_t sender,
                           std::uint64_t sequence,
                           instant echo,
                           bool whole_zone) const
  {
    heartbeat beat;
    beat.clock = instant(std::chrono::seconds(5000));
    beat.echo_clock = echo;
    beat.echo_age = std::chrono::milliseconds(1);
    beat.entries.push_back(entry(sender, sequence));
    const bool all = size <= membership::full_view_limit;
    for (std::size_t i = 0; i < size; ++i) {
      const bool included = all || (whole_zone && i % zone_count == sender % zone_count);
      if (i != sender && included) {
        beat.entries.push_back(entry(i, sequence));
      }
    }
    for (std::size_t i = 0; i < zone_count; ++i) {
      zone_summary summary;
      summary.zone = zone(i);
      summary.instances = static_cast<std::uint32_t>((size + zone_count - 1 - i) / zone_count);
      summary.confirming = summary.instances;
      summary.key_version = config_version(1'200);
      summary.age = std::chrono::milliseconds(1500);
      summary.table_read_age = std::chrono::milliseconds(900);
      summary.table_key_version = config_version(1'200);
      beat.zones.push_back(summary);
    }
    return beat;
  }

  // Adds the whole fleet to the view of instance `self` at `now`.
  void populate(membership& view, std::size_t self, instant now) const
  {
    view.apply_platform_list(list(), now);
    const auto neighbour = self + zone_count < size ? self + zone_count : (self + 1) % size;
    const auto echo = view.make_heartbeat(name(neighbour), now).clock;
    view.receive(name(neighbour),
                 make_heartbeat(neighbour, 1, echo, true),
                 now + std::chrono::milliseconds(2));
  }
};

}
