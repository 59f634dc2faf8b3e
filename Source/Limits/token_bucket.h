#pragma once

#include "Base/instant.h"

#include <cstdint>
#include <deque>

namespace persimmonshelf {

// Token bucket in milli-tokens with exact integer arithmetic. Lent tokens stay part of the capacity
// until their time to live ends, so that any window w admits at most capacity + rate * w including
// tokens that a borrower has not used yet.
class token_bucket
{
public:
  // Largest rate and capacity; keeps the internal unit of 1e-6 milli-tokens within 64 bits.
  static constexpr std::int64_t max_milli = 1'000'000'000'000;

  // Empty bucket with rate and capacity zero.
  token_bucket() = default;

  // `rate` in milli-tokens per second, `capacity` and `start` in milli-tokens. Values outside
  // 0..limit_milli are clamped.
  token_bucket(std::int64_t rate, std::int64_t capacity, std::int64_t start, instant now);

  // Removes `amount` milli-tokens, or nothing if fewer are there.
  bool take(std::int64_t amount, instant now);

  // Takes `amount` for a borrower and keeps it inside the capacity until `until`.
  bool lend(std::int64_t amount, instant now, instant until);

  // Takes effect at once; the level is clipped to the new capacity.
  void configure(std::int64_t rate, std::int64_t capacity, instant now);

  std::int64_t level(instant now);
  std::int64_t outstanding(instant now);

  // True if the outstanding tokens fit the capacity, that is, a lowered capacity is fully in force.
  bool loans_fit(instant now);

  std::int64_t rate() const { return rate_; }
  std::int64_t capacity() const { return capacity_; }

private:
  struct loan
  {
    instant until;
    std::int64_t amount = 0;
  };

  void advance(instant now);
  void fill(instant until);

  std::int64_t rate_ = 0;
  std::int64_t capacity_ = 0;
  // In 1e-6 milli-tokens: a rate of one milli-token per second adds one unit per microsecond.
  std::int64_t level_units_ = 0;
  std::int64_t outstanding_ = 0;
  std::deque<loan> loans_;
  instant updated_{};
};

}
