#include "Proxy/read_position_summary.h"

#include <utility>

namespace persimmonshelf {

void
read_position_summary::record(const std::string& group,
                              const std::optional<timed_position>& given,
                              instant now)
{
  auto& recorded = entries_[group];
  ++recorded.reads;
  if (!given) {
    ++recorded.without_position;
    return;
  }
  if (!recorded.lowest || given->position < recorded.lowest->position) {
    recorded.lowest = given;
    recorded.lowest_age = now - given->observed_at;
  }
}

std::map<std::string, read_position_summary::entry>
read_position_summary::take()
{
  return std::exchange(entries_, {});
}

}
