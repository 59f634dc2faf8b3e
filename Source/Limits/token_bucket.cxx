#include "Limits/token_bucket.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

constexpr std::int64_t units_per_milli = 1'000'000;

std::int64_t
clamped(std::int64_t amount)
{
  return std::clamp<std::int64_t>(amount, 0, token_bucket::max_milli);
}

}

token_bucket::token_bucket(std::int64_t rate,
                           std::int64_t capacity,
                           std::int64_t start,
                           instant now)
  : rate_(clamped(rate))
  , capacity_(clamped(capacity))
  , level_units_(std::min(clamped(start), clamped(capacity)) * units_per_milli)
  , updated_(now)
{
}

void
token_bucket::fill(instant until)
{
  const auto usable = std::max<std::int64_t>(0, capacity_ - outstanding_) * units_per_milli;
  if (until > updated_) {
    const auto elapsed = (until - updated_).count();
    updated_ = until;
    const auto room = usable - level_units_;
    // Compares by division because elapsed * rate may not fit in 64 bits after a long idle time.
    if (rate_ > 0 && room > 0) {
      level_units_ = elapsed > room / rate_ ? usable : level_units_ + elapsed * rate_;
    }
  }
  level_units_ = std::min(level_units_, usable);
}

void
token_bucket::advance(instant now)
{
  while (!loans_.empty() && loans_.front().until <= now) {
    fill(loans_.front().until);
    outstanding_ -= loans_.front().amount;
    loans_.pop_front();
  }
  fill(now);
}

bool
token_bucket::take(std::int64_t amount, instant now)
{
  advance(now);
  if (amount < 0 || amount > level_units_ / units_per_milli) {
    return false;
  }
  level_units_ -= amount * units_per_milli;
  return true;
}

bool
token_bucket::lend(std::int64_t amount, instant now, instant until)
{
  if (!take(amount, now)) {
    return false;
  }
  if (amount == 0 || until <= now) {
    return true;
  }
  const auto later = std::upper_bound(
    loans_.begin(), loans_.end(), until, [](instant at, const loan& l) { return at < l.until; });
  loans_.insert(later, loan{ until, amount });
  outstanding_ += amount;
  return true;
}

void
token_bucket::configure(std::int64_t rate, std::int64_t capacity, instant now)
{
  advance(now);
  rate_ = clamped(rate);
  capacity_ = clamped(capacity);
  fill(now);
}

std::int64_t
token_bucket::level(instant now)
{
  advance(now);
  return level_units_ / units_per_milli;
}

std::int64_t
token_bucket::outstanding(instant now)
{
  advance(now);
  return outstanding_;
}

bool
token_bucket::loans_fit(instant now)
{
  advance(now);
  return outstanding_ <= capacity_;
}

}
