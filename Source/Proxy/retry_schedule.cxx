#include "Proxy/retry_schedule.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// Longest delay that is told. Not all refused callers return, so a reservation far ahead would
// claim room that nobody uses. The same five seconds as the window of the rate limits.
constexpr duration max_retry_delay = std::chrono::seconds(5);

}

duration
retry_schedule::next(std::uint32_t priority, duration room_in, duration token_interval, instant now)
{
  auto retry_at = now + std::min(room_in, max_retry_delay);
  for (const auto& [urgency, latest] : latest_) {
    if (urgency > priority) {
      break;
    }
    retry_at = std::max(retry_at, latest + std::min(token_interval, max_retry_delay));
  }
  retry_at = std::min(retry_at, now + max_retry_delay);
  std::erase_if(latest_, [now](const auto& entry) { return entry.second < now; });
  auto& latest = latest_[priority];
  latest = std::max(latest, retry_at);
  return retry_at - now;
}

}
