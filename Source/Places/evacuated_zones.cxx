#include "Places/evacuated_zones.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// Part of the limit during which open transactions may continue. The evidence that starts it is up
// to 1.3 s old when an instance learns of the evacuation (a poll of 1 s and a view), which leaves a
// transaction more than a second of the default limit. The other half is for a statement in flight.
constexpr int transaction_part = 2;
// Part of the limit that is kept for messages on their way to a member and for the interval of 20
// ms between two checks: 500 ms of the default limit.
constexpr int margin_part = 10;

}

evacuated_zones::evacuated_zones(duration limit)
  : limit_(limit)
{
}

bool
evacuated_zones::update(const evacuation_evidence& evidence)
{
  if (evidence.revision == 0 || evidence.revision < evidence_.revision) {
    return false;
  }
  // Without earlier evidence the evacuation may be of any age.
  const bool was_known = known();
  for (const auto& zone : evidence.zones) {
    if (was_known && !contains(zone)) {
      const auto used_at = std::min(evidence_.confirmed_at, evidence.confirmed_at);
      deadlines_[zone] = { used_at + limit_ / transaction_part,
                           used_at + limit_ - limit_ / margin_part };
    } else {
      // Keeps the deadlines of a zone that was evacuated before.
      deadlines_.try_emplace(zone);
    }
  }
  std::erase_if(deadlines_,
                [&](const auto& entry) { return !evidence.zones.contains(entry.first); });
  const bool changed = evidence.zones != evidence_.zones;
  const auto newest_confirmation =
    was_known ? std::max(evidence_.confirmed_at, evidence.confirmed_at) : evidence.confirmed_at;
  evidence_ = evidence;
  evidence_.confirmed_at = newest_confirmation;
  return changed;
}

std::optional<evacuation_deadlines>
evacuated_zones::deadlines(const zone_id& zone) const
{
  const auto found = deadlines_.find(zone);
  return found == deadlines_.end() ? std::nullopt
                                   : std::optional<evacuation_deadlines>(found->second);
}

bool
evacuated_zones::use_ended(const zone_id& zone, instant now) const
{
  const auto found = deadlines_.find(zone);
  return found != deadlines_.end() && now >= found->second.use_ends;
}

}
