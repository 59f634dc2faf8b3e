#pragma once

#include "Proxy/fleet_state.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace persimmonshelf {

// Group records that wait until another write of the lease is done, in the order of their arrival.
// At most one record of each group waits.
class record_write_queue
{
public:
  struct entry
  {
    group_record record;
    // Reports whether the record was written, and at which version of the store.
    std::function<void(bool written, const store_version& version)> done;
  };

  // Appends a record. A waiting record of the same group is replaced at its place and returned; the
  // caller reports that it was not written.
  std::optional<entry> add(entry added);
  // Removes and returns the first record; empty if none waits.
  std::optional<entry> take();
  bool empty() const { return waiting_.empty(); }

private:
  std::deque<entry> waiting_;
};

}
