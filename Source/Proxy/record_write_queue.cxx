#include "Proxy/record_write_queue.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

std::optional<record_write_queue::entry>
record_write_queue::add(entry added)
{
  const auto same_group = std::find_if(waiting_.begin(), waiting_.end(), [&](const entry& waiting) {
    return waiting.record.group == added.record.group;
  });
  if (same_group != waiting_.end()) {
    return std::exchange(*same_group, std::move(added));
  }
  waiting_.push_back(std::move(added));
  return std::nullopt;
}

std::optional<record_write_queue::entry>
record_write_queue::take()
{
  if (waiting_.empty()) {
    return std::nullopt;
  }
  auto first = std::move(waiting_.front());
  waiting_.pop_front();
  return first;
}

}
