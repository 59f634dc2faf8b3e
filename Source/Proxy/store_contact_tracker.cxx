#include "Proxy/store_contact_tracker.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// A longer time without contact is a cut; coordinators change within it.
constexpr duration contact_gap = std::chrono::milliseconds(1500);
// After a cut healed, a connection attempt that began before ends within this time.
constexpr duration reconnect_time = std::chrono::milliseconds(700);

}

void
store_contact_tracker::record_contact(instant now)
{
  if (now - last_ > contact_gap) {
    since_ = now;
  }
  last_ = now;
}

duration
store_contact_tracker::attributable_failure(duration failing, instant now) const
{
  const auto in_contact = now - since_ - reconnect_time;
  return std::clamp<duration>(
    std::min<duration>(failing, in_contact), duration::zero(), std::max(failing, duration::zero()));
}

}
