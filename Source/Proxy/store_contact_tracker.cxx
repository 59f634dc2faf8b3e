#include "Proxy/store_contact_tracker.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// A longer time without contact is a cut; coordinators change within it.
constexpr duration max_contact_gap = std::chrono::milliseconds(1500);
// After a cut healed, a connection attempt that began before ends within this time.
constexpr duration reconnect_time = std::chrono::milliseconds(700);

}

void
store_contact_tracker::record_contact(instant now)
{
  if (now - last_contact_ > max_contact_gap) {
    in_contact_since_ = now;
  }
  last_contact_ = now;
}

duration
store_contact_tracker::attributable_failure(duration failing, instant now) const
{
  const auto contact_time = now - in_contact_since_ - reconnect_time;
  return std::clamp<duration>(std::min<duration>(failing, contact_time),
                              duration::zero(),
                              std::max(failing, duration::zero()));
}

}
