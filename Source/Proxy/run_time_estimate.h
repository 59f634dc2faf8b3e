#pragma once

#include "Base/instant.h"

#include <cstdint>
#include <map>

namespace persimmonshelf {

// How long operations run once they are admitted, by the priority of their route: a smoothed mean
// and mean deviation, as TCP estimates round trips.
class run_time_estimate
{
public:
  // Records the time of one operation: of its statement, or of all statements of its transaction,
  // without the pauses between them.
  void record(std::uint32_t priority, duration elapsed);

  // Time within which most operations of this priority end. Without measurements it is a few round
  // trips between zones and a statement at a member without load.
  duration likely_run_time(std::uint32_t priority) const;

private:
  struct measured_time
  {
    double mean_us = 0;
    double deviation_us = 0;
  };
  std::map<std::uint32_t, measured_time> measured_;
};

}
