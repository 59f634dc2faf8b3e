#pragma once

#include "Base/instant.h"
#include "Limits/share_settings.h"

#include <algorithm>
#include <cstdint>

namespace persimmonshelf {

// Measures the demand of one workspace on one instance from the number of its requests.
class demand_meter
{
public:
  // A request for one token, whether or not the instance's own bucket admits it.
  void record_request() { ++requests_; }
  // A request that the instance's own bucket could not admit; it is also recorded as a request.
  void record_shortage() { ++shortages_; }

  // Ends the measurement period if `period` has passed since it began. `rate_milli` is the
  // workspace's rate over the whole fleet in milli-tokens per second.
  void tick(instant now, duration period, std::int64_t rate_milli)
  {
    if (now - period_start_ < period) {
      return;
    }
    const auto elapsed = (now - period_start_).count();
    const auto measured = static_cast<std::int64_t>(requests_) * token_milli * 1'000'000 / elapsed;
    // Moving average with weight 1/2, so that a single unusual period has little effect.
    demand_milli_ = (demand_milli_ + measured + 1) / 2;
    const auto capped = std::min(demand_milli_, max_demand_milli);
    demand_ppm_ = rate_milli > 0 ? capped * ppm_total / rate_milli : 0;
    short_of_tokens_ = shortages_ * requests_per_shortage > requests_;
    requests_ = 0;
    shortages_ = 0;
    period_start_ = now;
  }

  // Demand as a part of the workspace's whole rate, averaged over the last periods. May exceed one
  // million; 0 if the rate is 0.
  std::int64_t demand_ppm() const { return demand_ppm_; }
  // True if the own bucket could not admit more than one in twenty requests of the last period.
  bool short_of_tokens() const { return short_of_tokens_; }

private:
  static constexpr std::uint64_t requests_per_shortage = 20;
  // Keeps the product with ppm_total within 64 bits.
  static constexpr std::int64_t max_demand_milli = 1'000'000'000'000;

  instant period_start_{};
  std::uint64_t requests_ = 0;
  std::uint64_t shortages_ = 0;
  // Averaged demand in milli-tokens per second.
  std::int64_t demand_milli_ = 0;
  std::int64_t demand_ppm_ = 0;
  bool short_of_tokens_ = false;
};

}
