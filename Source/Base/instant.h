#pragma once

#include <chrono>

namespace persimmonshelf {

using duration = std::chrono::microseconds;

// Monotonic clock of one process, in microseconds. It has no now(): the logic modules receive the
// current time as an argument, and tests run them on simulated time.
struct step_clock
{
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<step_clock>;
  static constexpr bool is_steady = true;
};

using instant = step_clock::time_point;

}
