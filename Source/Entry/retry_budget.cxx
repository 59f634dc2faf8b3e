#include "Entry/retry_budget.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

constexpr std::uint32_t retries_percent = 10;
// Without a minimum, an instance with little traffic could not retry at all.
constexpr std::uint32_t minimum_retries_per_second = 3;

std::int64_t
second_of(instant now)
{
  return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

}

retry_budget::bucket&
retry_budget::current_bucket(instant now)
{
  const auto second = second_of(now);
  auto& slot = buckets_[static_cast<std::size_t>(second) % buckets_.size()];
  if (slot.second != second) {
    slot = { second, 0, 0 };
  }
  return slot;
}

void
retry_budget::record_request(instant now)
{
  ++current_bucket(now).requests;
}

bool
retry_budget::try_take(instant now)
{
  const auto oldest = second_of(now) - static_cast<std::int64_t>(buckets_.size());
  std::uint64_t requests = 0;
  std::uint64_t retries = 0;
  for (const auto& slot : buckets_) {
    if (slot.second > oldest) {
      requests += slot.requests;
      retries += slot.retries;
    }
  }
  auto& slot = current_bucket(now);
  const auto allowed = requests * retries_percent / 100;
  // Retries under the percentage also count toward the minimum. If the minimum were added to the
  // percentage, an instance with much traffic would exceed the percentage.
  const bool minimum_left = slot.retries < minimum_retries_per_second &&
                            retries < minimum_retries_per_second * buckets_.size();
  if (retries >= allowed && !minimum_left) {
    return false;
  }
  ++slot.retries;
  return true;
}

}
