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
  void request() { ++requests_; }
  // A request that the own bucket could not admit.
  void shortage() { ++shortages_; }

  // Closes the period if it is over; `rate_milli` is the rate of the whole fleet.
  void tick(instant now, duration period, std::int64_t rate_milli)
  {
    if (now - began_ < period) {
      return;
    }
    const auto elapsed = (now - began_).count();
    const auto measured = static_cast<std::int64_t>(requests_) * token_milli * 1'000'000 / elapsed;
    // Half of the former value is kept, so that one odd period moves little.
    demand_milli_ = (demand_milli_ + measured + 1) / 2;
    const auto capped = std::min<std::int64_t>(demand_milli_, 1'000'000'000'000);
    demand_ppm_ = rate_milli > 0 ? capped * ppm_total / rate_milli : 0;
    // One in twenty requests without an own token counts as pressure.
    pressed_ = shortages_ * 20 > requests_;
    requests_ = 0;
    shortages_ = 0;
    began_ = now;
  }

  std::int64_t demand_ppm() const { return demand_ppm_; }
  bool pressed() const { return pressed_; }

private:
  instant began_{};
  std::uint64_t requests_ = 0;
  std::uint64_t shortages_ = 0;
  std::int64_t demand_milli_ = 0;
  std::int64_t demand_ppm_ = 0;
  bool pressed_ = false;
};

}
