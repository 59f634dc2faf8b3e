#pragma once

#include "Base/instant.h"

#include <cstddef>
#include <vector>

namespace persimmonshelf {

// Account of one workspace in start-time fair queueing. The unit of use is the time for which the
// workspace holds a slot or a connection. The owner keeps the virtual time of the queue.
class fair_share
{
public:
  // `initial_estimate` is charged for each use until one was measured.
  fair_share(double virtual_time_us, duration initial_estimate);

  // Virtual time, in microseconds of use, at which the next request of the workspace starts.
  double start_tag_us() const { return start_tag_us_; }
  // Moving average of the time of one use, in microseconds.
  double average_us() const { return average_us_; }
  std::size_t uses_in_progress() const { return uses_.size(); }
  // Total time of all uses that ended.
  duration consumed() const { return consumed_; }

  // Raises the start tag to the virtual time. Called when the workspace becomes active again, so
  // that it earns no credit for the time in which it was idle.
  void raise_to(double virtual_time_us);

  // Begins a use and charges the average for it.
  void begin_use(instant now);

  // Charges uses that take longer than estimated while they still run. Otherwise a workspace whose
  // statements became slow would get more at the old estimate until the first one ends.
  void charge_overrun(instant now);

  // Ends a use that lasted for `used` up to `now`, and corrects the charge from the estimate to
  // that time. The average does not change if `measured` is false. Does nothing if no use is in
  // progress.
  void end_use(duration used, instant now, bool measured = true);

private:
  // A use in progress, with the time charged for it so far.
  struct use
  {
    instant since;
    double charged_us = 0;
  };

  std::vector<use> uses_;
  double start_tag_us_;
  double average_us_;
  duration consumed_{ 0 };
};

}
