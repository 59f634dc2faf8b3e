#pragma once

#include "Base/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
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
  // Carriers in each zone that run the sessions of one group; zero stands for all of the zone.
  std::uint32_t carriers_per_group = 0;
  std::vector<carrier> carriers;

  bool decided() const { return version > 0; }
  bool carries(const instance_id& instance) const;

  friend bool operator==(const carrier_plan&, const carrier_plan&) = default;
};

// Inputs to the choice of carriers, apart from the instances.
struct carrier_constraints
{
  // Smallest connection limit of any member.
  std::uint32_t connections = 0;
  std::size_t workspaces = 0;
  std::size_t groups = 0;
  // True if no carrier was unavailable recently.
  bool stable = true;
};

// Chooses the carriers among the live instances: all that are about as strong as the strongest, so
// that in a small fleet of equal instances all are carriers, but not more than a coordinator can
// answer. Carriers of the previous plan stay while they are live, so sessions move only when they
// must. While too many carriers are unavailable, substitutes are added; they are removed once
// enough carriers have returned and the fleet is stable. The version is that of the previous plan
// if nothing changes, otherwise one more.
carrier_plan
choose_carriers(const carrier_plan& previous,
                std::vector<carrier> live,
                const carrier_constraints& constraints);

}
