#pragma once

#include "Base/instant.h"

#include <array>
#include <cstdint>

namespace persimmonshelf {

// Limits retries to a percentage of the recent first attempts, so that retries do not amplify an
// overload. Each instance has one budget.
class retry_budget
{
public:
  // Records a first attempt.
  void record_request(instant now);

  // Takes one retry from the budget; returns false if the budget is exhausted.
  bool try_take(instant now);

private:
  struct bucket
  {
    std::int64_t second = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  bucket& current_bucket(instant now);

  static constexpr std::size_t window_seconds = 10;

  // One bucket per second of the window.
  std::array<bucket, window_seconds> buckets_{};
};

}
