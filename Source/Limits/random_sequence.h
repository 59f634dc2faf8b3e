#pragma once

#include <cstdint>

namespace persimmonshelf {

// Reproducible pseudo-random numbers (SplitMix64) for retry jitter and the choice of peers. Not
// suitable where the numbers must be unpredictable.
class random_sequence
{
public:
  explicit random_sequence(std::uint64_t seed)
    : state_(seed)
  {
  }

  std::uint64_t next()
  {
    state_ += 0x9e3779b97f4a7c15U;
    auto bits = state_;
    bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9U;
    bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebU;
    return bits ^ (bits >> 31U);
  }

  // A number from 0 to `bound` - 1; `bound` must not be 0.
  std::uint64_t below(std::uint64_t bound) { return next() % bound; }

private:
  std::uint64_t state_;
};

}
