#pragma once

#include "Base/ids.h"
#include "Base/instant.h"
#include "Base/store_version.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace persimmonshelf {

// Time from the acknowledgement of an evacuation by the store until nothing may be sent to the
// members of the zone, where the settings name none. Default of the platform.
inline constexpr duration default_evacuation_limit = std::chrono::milliseconds(5000);

// Times at which the use of an evacuated zone ends, on the clock of the evidence.
struct evacuation_deadlines
{
  // From here on, open transactions are rolled back.
  instant transactions_end{};
  // From here on, nothing is sent to members of the zone.
  instant use_ends{};

  friend bool operator==(const evacuation_deadlines&, const evacuation_deadlines&) = default;
};

// The zones that the operator took out of use, as one read of the store showed them.
struct evacuation_evidence
{
  std::set<zone_id> zones;
  // Version of the whole store at the time of the read.
  store_version version;
  // Everything that the store acknowledged before this time is included.
  instant confirmed_at{};

  friend bool operator==(const evacuation_evidence&, const evacuation_evidence&) = default;
};

// The newest known set of evacuated zones and the times at which their use ends. The deadlines are
// counted from the newest evidence that a zone was still in use, which is never later than the
// acknowledgement of its evacuation, so delays of the store and of views shorten them.
class evacuated_zones
{
public:
  // `limit` is the time from the acknowledgement until nothing may be sent to the zone.
  explicit evacuated_zones(duration limit = default_evacuation_limit);

  // Applies a set unless a newer one is known. Returns true if the zones changed.
  bool update(const evacuation_evidence& evidence);

  // False until the first set was applied.
  bool known() const { return evidence_.version.exists(); }
  // The newest set, confirmed by the newest read or view that contained it.
  const evacuation_evidence& evidence() const { return evidence_; }
  const std::set<zone_id>& zones() const { return evidence_.zones; }
  bool contains(const zone_id& zone) const { return evidence_.zones.contains(zone); }
  // Empty if the zone is in use.
  std::optional<evacuation_deadlines> deadlines(const zone_id& zone) const;
  // True if nothing may be sent to the zone any more.
  bool use_ended(const zone_id& zone, instant now) const;

private:
  duration limit_;
  evacuation_evidence evidence_;
  std::map<zone_id, evacuation_deadlines> deadlines_;
};

}
