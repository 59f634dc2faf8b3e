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
  // Where it hears other instances that pass sessions on.
  std::string address;
  // Part of a processor core that the instance has.
  double capacity = 0;
  // True while it stops or is silent: no sessions begin there.
  bool unavailable = false;
  // True if it carries only until those that are away are back.
  bool substitute = false;

  friend bool operator==(const carrier&, const carrier&) = default;
};

// Which instances run sessions. The others pass on the sessions of their callers.
struct carrier_plan
{
  // Only rises; zero if the fleet has not decided yet.
  std::uint64_t version = 0;
  // True if every instance runs the sessions of its own callers; `carriers` is then empty.
  bool everyone = false;
  std::vector<carrier> carriers;

  bool decided() const { return version > 0; }
  bool carries(const instance_id& instance) const;

  friend bool operator==(const carrier_plan&, const carrier_plan&) = default;
};

// Connections of a member that stay free for replacements: those of a killed instance count until
// the member drops them.
inline constexpr std::uint32_t reserved_connections = 2;

// What the number of carriers depends on beside the instances.
struct carrier_constraints
{
  // Smallest limit of a member.
  std::uint32_t connections = 0;
  std::size_t workspaces = 0;
  // True if no carrier was away for a while.
  bool stable = true;
};

// Chooses the carriers among the live instances. Carriers of the former plan stay as long as they
// live, so sessions move only when they must; a fleet in which everyone carries stays so while each
// instance has a connection to each member. While too many carriers are away, others substitute for
// them; these go once enough are back and the fleet is settled. The version is that of the former
// plan if nothing changes, otherwise one more.
carrier_plan
choose_carriers(const carrier_plan& former,
                std::vector<carrier> live,
                const carrier_constraints& demand);

// Connections to one member that a carrier may hold. `instances` counts all live instances.
std::uint32_t
connection_limit(const carrier_plan& plan,
                 const instance_id& own,
                 std::uint32_t connections,
                 std::uint32_t instances);

// The carriers in the order in which they should run the sessions of a home key. Instances that
// know the same carriers agree; a carrier that leaves moves only its own keys. Shares of the keys
// follow the capacities.
std::vector<const carrier*>
rank_carriers(const carrier_plan& plan, std::string_view home_key);

}
