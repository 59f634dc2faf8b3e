#include "Base/fair_share.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// Weight of a new sample in the moving average; about the last eight uses determine it.
constexpr double average_weight = 0.125;

double
to_microseconds(duration value)
{
  return static_cast<double>(value.count());
}

}

fair_share::fair_share(double virtual_time_us, duration initial_estimate)
  : start_tag_us_(virtual_time_us)
  , average_us_(to_microseconds(initial_estimate))
{
}

void
fair_share::raise_to(double virtual_time_us)
{
  start_tag_us_ = std::max(start_tag_us_, virtual_time_us);
}

void
fair_share::begin_use(instant now)
{
  start_tag_us_ += average_us_;
  uses_.push_back({ now, average_us_ });
}

void
fair_share::charge_overrun(instant now)
{
  for (auto& current : uses_) {
    const double elapsed_us = to_microseconds(now - current.since);
    if (elapsed_us > current.charged_us) {
      start_tag_us_ += elapsed_us - current.charged_us;
      current.charged_us = elapsed_us;
    }
  }
}

void
fair_share::end_use(duration used, instant now, bool measured)
{
  if (uses_.empty()) {
    return;
  }
  const instant since = now - used;
  auto ended =
    std::find_if(uses_.begin(), uses_.end(), [&](const use& one) { return one.since == since; });
  if (ended == uses_.end()) {
    ended = uses_.begin();
  }
  const double used_us = to_microseconds(used);
  consumed_ += used;
  start_tag_us_ += used_us - ended->charged_us;
  if (measured) {
    average_us_ += average_weight * (used_us - average_us_);
  }
  uses_.erase(ended);
}

}
