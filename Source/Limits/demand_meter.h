#pragma once

#include "Base/instant.h"
#include "Limits/share_settings.h"

#include <algorithm>
#include <cstdint>

namespace persimmonshelf {

// Counts the requests of one workspace on one instance and derives its demand from them.
class demand_meter
{
public:
  void record_request() { ++requests_; }
  // A request that the own bucket could not admit.
  void record_shortage() { ++shortages_; }

  // Closes the period if it is over; `rate_milli` is the rate of the whole fleet.
  void tick(instant now, duration period, std::int64_t rate_milli)
  {
    if (now - period_start_ < period) {
      return;
    }
    const auto elapsed = (now - period_start_).count();
    const auto measured = static_cast<std::int64_t>(requests_) * token_milli * 1'000'000 / elapsed;
    // Half of the former value is kept, so that one odd period moves little.
    demand_milli_ = (demand_milli_ + measured + 1) / 2;
    const auto capped = std::min<std::int64_t>(demand_milli_, 1'000'000'000'000);
    demand_ppm_ = rate_milli > 0 ? capped * ppm_total / rate_milli : 0;
    // One in twenty requests without an own token counts as pressure.
    short_of_tokens_ = shortages_ * 20 > requests_;
    requests_ = 0;
    shortages_ = 0;
    period_start_ = now;
  }

  std::int64_t demand_ppm() const { return demand_ppm_; }
  bool short_of_tokens() const { return short_of_tokens_; }

private:
  instant period_start_{};
  std::uint64_t requests_ = 0;
  std::uint64_t shortages_ = 0;
  std::int64_t demand_milli_ = 0;
  std::int64_t demand_ppm_ = 0;
  bool short_of_tokens_ = false;
};

}
