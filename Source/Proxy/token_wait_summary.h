#pragma once

#include "Proxy/admission.h"

#include <cstdint>
#include <map>

namespace persimmonshelf {

// Summarises the waits for tokens since the last summary, so that a bounded number of log lines
// shows how long operations waited and how many were refused.
class token_wait_summary
{
public:
  struct entry
  {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
    duration longest_wait{};
    // Longest retry delay that was told.
    duration longest_retry{};
  };

  void record(const token_wait& wait);

  // Returns the entries by workspace and begins a new summary.
  std::map<workspace_id, entry> take();

private:
  std::map<workspace_id, entry> entries_;
};

}
