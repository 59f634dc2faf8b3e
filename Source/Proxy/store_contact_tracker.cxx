#include "Proxy/store_contact_tracker.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// A longer time without contact counts as a partition; a change of coordinator takes less.
constexpr duration max_contact_gap = std::chrono::milliseconds(1500);
// A connection attempt that began before a partition healed ends within this time.
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
