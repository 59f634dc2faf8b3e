#pragma once

#include <chrono>

namespace persimmonshelf {

using duration = std::chrono::microseconds;

// Clock that the logic is stepped with: monotonic, in microseconds, local to one process. It has no
// now(); adapters pass the time in.
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
