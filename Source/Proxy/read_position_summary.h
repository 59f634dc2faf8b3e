#pragma once

#include "Proxy/position_history.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace persimmonshelf {

// Summarises which positions reads with bounded staleness were given since the last summary, so
// that a bounded number of log lines shows the evidence behind each of them.
class read_position_summary
{
public:
  struct entry
  {
    std::uint64_t reads = 0;
    // Reads that had no recent evidence and therefore went to the primary.
    std::uint64_t without_position = 0;
    // The lowest position that a read was given, and the age of its observation at that time.
    std::optional<timed_position> lowest;
    duration lowest_age{};
  };

  void record(const std::string& group, const std::optional<timed_position>& given, instant now);

  // Returns the entries by group and begins a new summary.
  std::map<std::string, entry> take();

private:
  std::map<std::string, entry> entries_;
};

}
