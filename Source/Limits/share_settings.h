#pragma once

#include "Base/instant.h"

#include <chrono>
#include <cstdint>

namespace persimmonshelf {

// A whole share: parts per million.
constexpr std::int64_t ppm_total = 1'000'000;

// One request costs one token.
constexpr std::int64_t token_milli = 1'000;

// Times and thresholds of the shares of rate and burst. All instances of a fleet must use the same
// leases, margin and time to live.
struct share_settings
{
  duration extra_lease = std::chrono::seconds(30);
  duration base_lease = std::chrono::hours(24);
  // Added to a lease by those who judge it from outside; covers different clock rates.
  std::int64_t drift_margin_ppm = 10'000;
  // Buckets fill slower by this part, so that a clock that runs fast does not exceed the rate.
  // 500 ppm is the largest correction that the usual time daemons apply.
  std::int64_t rate_reserve_ppm = 500;

  duration renew_interval = std::chrono::seconds(5);
  duration retry_interval = std::chrono::seconds(2);
  duration rebalance_interval = std::chrono::seconds(5);
  duration lease_read_interval = std::chrono::seconds(10);
  // A call to the table without an answer after this time counts as failed.
  duration call_timeout = std::chrono::seconds(4);
  // A holder that is no longer chosen keeps its share this long, since views of the membership
  // flap.
  duration leave_delay = std::chrono::seconds(30);
  // Bytes per second that routine reads of share rows may use; the interval grows with the rows.
  std::int64_t row_read_bytes_per_second = 1'000;

  // A lent token may be used for this long, counted from before the request for it was sent.
  duration borrow_ttl = std::chrono::milliseconds(60);
  // Without an answer after this time the next peer is asked.
  duration borrow_attempt_timeout = std::chrono::milliseconds(30);

  // Part of all shares that is base. The rest is extra and returns soon from a crashed instance.
  std::int64_t base_limit_ppm = 950'000;
  std::int64_t tokens_per_holder = 4;

  // A lease as judged from outside, with the margin.
  duration with_margin(duration lease) const
  {
    return lease + lease * drift_margin_ppm / ppm_total + std::chrono::microseconds(1);
  }
};

}
