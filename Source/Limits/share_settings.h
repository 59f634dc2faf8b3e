#pragma once

#include "Base/instant.h"

#include <chrono>
#include <cstdint>

namespace persimmonshelf {

// The whole rate or burst of a workspace; shares are parts per million of it.
constexpr std::int64_t ppm_total = 1'000'000;

// One token in milli-tokens. Each request costs one token.
constexpr std::int64_t token_milli = 1'000;

// Timing and thresholds for dividing the rate and burst of workspaces among instances. A share has
// two parts: the base part is valid under the long base lease and survives an outage of the table,
// the extra part is valid under the short extra lease and is reclaimed soon after a crash. All
// instances of a fleet must use the same leases, drift margin and `borrow_ttl`.
struct share_settings
{
  duration extra_lease = std::chrono::seconds(30);
  duration base_lease = std::chrono::hours(24);
  // Part by which other instances extend a lease before they treat it as expired; covers
  // differences in clock rate.
  std::int64_t drift_margin_ppm = 10'000;
  // Buckets fill more slowly by this part, so that a fast clock does not exceed the rate. Common
  // time daemons correct a clock by at most 500 ppm.
  std::int64_t rate_reserve_ppm = 500;

  // Time between two renewals of this instance's lease.
  duration renew_interval = std::chrono::seconds(5);
  // Delay before a failed lease call is repeated.
  duration retry_interval = std::chrono::seconds(2);
  // Shortest time between two routine writes of a share row by one instance, and the period over
  // which demand is measured.
  duration rebalance_interval = std::chrono::seconds(5);
  // Time between two reads of a monitored lease row.
  duration lease_read_interval = std::chrono::seconds(10);
  // A table call without an answer after this time counts as failed.
  duration call_timeout = std::chrono::seconds(4);
  // An instance that is no longer chosen as a holder keeps its share for this time, because
  // membership views can change back and forth.
  duration leave_delay = std::chrono::seconds(30);
  // Limits the routine reads of share rows: the read interval grows with the total row size.
  std::int64_t row_read_bytes_per_second = 1'000;

  // Time in which a borrowed token may be used, counted from just before the borrow request was
  // sent.
  duration borrow_ttl = std::chrono::milliseconds(60);
  // The next peer is asked if there is no answer after this time.
  duration borrow_attempt_timeout = std::chrono::milliseconds(30);

  // Largest total of the base parts of all holders; the rest is assigned as extra parts.
  std::int64_t base_limit_ppm = 950'000;
  // A workspace has at most one holder for each this many tokens of its burst, but see
  // choose_holders() for small bursts.
  std::int64_t tokens_per_holder = 4;

  // Time after which another instance may treat a lease or a lent token as expired.
  duration with_margin(duration lease) const
  {
    return lease + lease * drift_margin_ppm / ppm_total + std::chrono::microseconds(1);
  }
};

}
