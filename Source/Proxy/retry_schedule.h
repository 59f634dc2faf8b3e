#pragma once

#include "Base/instant.h"

#include <cstdint>
#include <map>

namespace persimmonshelf {

// Spreads the retries of the refused operations of one workspace. Each refused operation is told a
// time of its own, so callers that follow it do not return together.
class retry_schedule
{
public:
  // Delay after which an operation of this priority may be retried. `room_in` is the time until the
  // rate has room for it behind the operations that wait, `token_interval` the time between two
  // tokens. The retry comes at least one interval after those of earlier refused operations that
  // are as urgent or more urgent. Longer delays than the largest one are cut.
  duration next(std::uint32_t priority, duration room_in, duration token_interval, instant now);

private:
  // Latest retry that was told, by priority.
  std::map<std::uint32_t, instant> latest_;
};

}
