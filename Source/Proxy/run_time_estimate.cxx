#include "Proxy/run_time_estimate.h"

#include <cmath>

namespace persimmonshelf {

namespace {

constexpr duration default_run_time = std::chrono::milliseconds(20);
// Weights of the newest operation, and number of deviations above the mean: those of TCP's
// retransmission timer.
constexpr double mean_weight = 0.125;
constexpr double deviation_weight = 0.25;
constexpr double deviations_above_mean = 4;

}

void
run_time_estimate::record(std::uint32_t priority, duration elapsed)
{
  const auto measured = static_cast<double>(elapsed.count());
  const auto [found, is_first] = measured_.try_emplace(priority, measured_time{ measured, 0 });
  if (is_first) {
    return;
  }
  auto& [mean, deviation] = found->second;
  deviation += deviation_weight * (std::abs(measured - mean) - deviation);
  mean += mean_weight * (measured - mean);
}

duration
run_time_estimate::likely_run_time(std::uint32_t priority) const
{
  const auto found = measured_.find(priority);
  if (found == measured_.end()) {
    return default_run_time;
  }
  const auto& [mean, deviation] = found->second;
  return duration(static_cast<std::int64_t>(mean + deviations_above_mean * deviation));
}

}
