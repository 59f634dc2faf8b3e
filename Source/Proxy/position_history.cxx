#include "Proxy/position_history.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// Older observations serve no route, because staleness bounds are a few seconds.
constexpr duration retention = std::chrono::seconds(10);
// One observation in this interval is enough to choose from.
constexpr duration min_spacing = std::chrono::milliseconds(50);

}

void
position_history::observe(const std::string& group, const log_point& position, instant sent)
{
  auto& list = observations_[group];
  while (!list.empty() && sent - list.front().sent > retention) {
    list.pop_front();
  }
  if (!list.empty() && (sent < list.back().sent || position < list.back().position)) {
    return;
  }
  // The newest entry is replaced until it is at least one interval after the one before it.
  if (list.size() > 1 && sent - list[list.size() - 2].sent < min_spacing) {
    list.pop_back();
  }
  list.push_back({ position, sent });
}

std::optional<log_point>
position_history::position_for(const std::string& group, duration bound, instant now) const
{
  const auto found = observations_.find(group);
  if (found == observations_.end()) {
    return std::nullopt;
  }
  const auto& list = found->second;
  const auto first = std::find_if(
    list.begin(), list.end(), [&](const observation& entry) { return entry.sent >= now - bound; });
  if (first == list.end()) {
    return std::nullopt;
  }
  return first->position;
}

std::optional<position_history::observation>
position_history::newest(const std::string& group) const
{
  const auto found = observations_.find(group);
  if (found == observations_.end() || found->second.empty()) {
    return std::nullopt;
  }
  return found->second.back();
}

}
