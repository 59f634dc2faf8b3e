#pragma once

#include "Base/ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// An instance that may run sessions of callers and hold connections to members.
struct carrier
{
  instance_id instance;
  zone_id zone;
  // Address at which it accepts sessions relayed by other instances.
  std::string address;
  // Processor cores available to the instance; may be a fraction.
  double capacity = 0;
  // True while the instance is stopping or sends no reports. No sessions start there.
  bool unavailable = false;
  // True if it is a carrier only until unavailable carriers return.
  bool substitute = false;

  friend bool operator==(const carrier&, const carrier&) = default;
};

// The instances that run sessions. The others relay their callers' sessions to these.
struct carrier_plan
{
  // Only increases; zero if the fleet has no plan yet.
  std::uint64_t version = 0;
  // True if every instance runs the sessions of its own callers; `carriers` is then empty.
  bool everyone = false;
  std::vector<carrier> carriers;

  bool decided() const { return version > 0; }
  bool carries(const instance_id& instance) const;

  friend bool operator==(const carrier_plan&, const carrier_plan&) = default;
};

// Connections of a member that are kept free for restarted instances, because the connections of a
// killed instance count until the member drops them.
inline constexpr std::uint32_t reserved_connections = 2;

// Inputs to the choice of carriers, apart from the instances.
struct carrier_constraints
{
  // Smallest connection limit of any member.
  std::uint32_t connections = 0;
  std::size_t workspaces = 0;
  // True if no carrier was unavailable recently.
  bool stable = true;
};

// Chooses the carriers among the live instances. Carriers of the previous plan stay while they are
// live, so sessions move only when they must. A fleet in which everyone is a carrier stays so while
// each instance can have a connection to each member. While too many carriers are unavailable,
// substitutes are added; they are removed once enough carriers have returned and the fleet is
// stable. The version is that of the previous plan if nothing changes, otherwise one more.
carrier_plan
choose_carriers(const carrier_plan& previous,
                std::vector<carrier> live,
                const carrier_constraints& constraints);

// Maximum number of connections that a carrier may hold to one member. `instances` counts all live
// instances.
std::uint32_t
connection_limit(const carrier_plan& plan,
                 const instance_id& own,
                 std::uint32_t connections,
                 std::uint32_t instances);

// The carriers in the order of preference for sessions with this routing key, by weighted
// rendezvous hashing. Instances with the same plan get the same order, and a carrier that leaves
// moves only its own keys. Each carrier gets a share of the keys in proportion to its capacity.
std::vector<const carrier*>
rank_carriers(const carrier_plan& plan, std::string_view routing_key);

}
