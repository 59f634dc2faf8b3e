#include "Places/evacuated_zones.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// Parts of the limit, in per cent. Open transactions may continue for the first one. The evidence
// that starts it is up to 2.3 s old when an instance learns of the evacuation (two polls of 1 s and
// a view), which leaves a transaction more than a second of the default limit.
constexpr int transaction_percent = 70;
// A statement in flight may take until the end of the second one, a second later by default. The
// rest, 500 ms, is for messages on their way to a member and for the 20 ms between two checks.
constexpr int use_percent = 90;

}

evacuated_zones::evacuated_zones(duration limit)
  : limit_(limit)
{
}

bool
evacuated_zones::update(const evacuation_evidence& evidence)
{
  if (!evidence.version.exists() || evidence.version < evidence_.version) {
    return false;
  }
  // Without earlier evidence the evacuation may be of any age.
  const bool was_known = known();
  for (const auto& zone : evidence.zones) {
    if (was_known && !contains(zone)) {
      const auto used_at = std::min(evidence_.confirmed_at, evidence.confirmed_at);
      deadlines_[zone] = { used_at + limit_ * transaction_percent / 100,
                           used_at + limit_ * use_percent / 100 };
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
