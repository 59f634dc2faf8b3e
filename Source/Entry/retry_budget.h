#pragma once

#include "Base/instant.h"

#include <array>
#include <cstdint>

namespace persimmonshelf {

// Limits retries to a share of the recent first attempts, so that retries cannot grow an overload.
// One per instance.
class retry_budget
{
public:
  // Counts a first attempt.
  void record_request(instant now);

  // Takes one retry from the budget; false if it is used up.
  bool try_take(instant now);

private:
  struct bucket
  {
    std::int64_t second = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  bucket& current_bucket(instant now);

  // One bucket a second of the window.
  std::array<bucket, 10> buckets_{};
};

}
