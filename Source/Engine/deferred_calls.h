#pragma once

#include "Base/instant.h"

#include <deque>
#include <functional>
#include <utility>

namespace persimmonshelf {

// Queues calls to run after the current event. Modules call hooks that must not call back into
// them, so messages from an instance to itself are delivered through this queue.
class deferred_calls
{
public:
  using call = std::function<void(instant)>;

  void add(call next) { calls_.push_back(std::move(next)); }

  void run(instant now)
  {
    while (!calls_.empty()) {
      const auto next = std::move(calls_.front());
      calls_.pop_front();
      next(now);
    }
  }

private:
  std::deque<call> calls_;
};

}
