#pragma once

#include "Base/instant.h"

#include <cstdint>
#include <deque>

namespace persimmonshelf {

// Token bucket in milli-tokens with exact integer arithmetic. Lent tokens count toward the capacity
// until their time to live ends, so that at most capacity + rate * w tokens are used in any window
// w, including tokens that a borrower has not used yet.
class token_bucket
{
public:
  // Largest rate and capacity. Keeps the level, counted in 1e-6 milli-tokens, within 64 bits.
  static constexpr std::int64_t max_milli = 1'000'000'000'000;

  // A bucket with rate and capacity zero.
  token_bucket() = default;

  // `rate` is in milli-tokens per second, `capacity` and the initial level `start` are in
  // milli-tokens. Values outside 0..max_milli are clamped.
  token_bucket(std::int64_t rate, std::int64_t capacity, std::int64_t start, instant now);

  // Removes `amount` milli-tokens. Returns false and removes nothing if there are fewer.
  bool take(std::int64_t amount, instant now);

  // Removes `amount` for a borrower, and counts it toward the capacity until `until`. Returns false
  // and removes nothing if there are fewer.
  bool lend(std::int64_t amount, instant now, instant until);

  // Takes effect at once. A level above the new capacity is lowered to it.
  void configure(std::int64_t rate, std::int64_t capacity, instant now);

  // Milli-tokens that are available.
  std::int64_t level(instant now);
  // Milli-tokens that are lent and not expired.
  std::int64_t outstanding(instant now);

  // True if the outstanding tokens fit the capacity, so that a lowered capacity is fully in effect.
  bool loans_fit(instant now);

  std::int64_t rate() const { return rate_; }
  std::int64_t capacity() const { return capacity_; }

private:
  struct loan
  {
    instant until;
    std::int64_t amount = 0;
  };

  // Fills the bucket up to `now` and ends the loans that expire before, in order.
  void advance(instant now);
  void fill(instant until);

  std::int64_t rate_ = 0;
  std::int64_t capacity_ = 0;
  // In 1e-6 milli-tokens: a rate of one milli-token per second adds one unit per microsecond.
  std::int64_t level_units_ = 0;
  std::int64_t outstanding_ = 0;
  // Ordered by the end of the loan.
  std::deque<loan> loans_;
  instant updated_{};
};

}
