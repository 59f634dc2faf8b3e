#include "Proxy/position_history.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// Older observations serve no route, because staleness bounds are a few seconds.
constexpr duration retention = std::chrono::seconds(10);
// One observation in this interval is enough to choose from.
constexpr duration min_spacing = std::chrono::milliseconds(50);

}

std::string
describe(const timed_position& observed, instant now)
{
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(now - observed.observed_at);
  return "position " + std::to_string(observed.position.in_term.get()) + "." +
         std::to_string(observed.position.position.get()) + " of " + observed.source.member.get() +
         ", " + std::to_string(age.count()) + " ms old, from " + observed.source.observer.get();
}

std::string_view
name_of(observation_outcome outcome)
{
  switch (outcome) {
    case observation_outcome::taken:
      return "taken";
    case observation_outcome::outdated:
      return "outdated";
    case observation_outcome::impossible:
      return "impossible";
  }
  return "unknown";
}

observation_outcome
position_history::observe(const std::string& group, const timed_position& observed, instant now)
{
  const auto sent = observed.observed_at;
  if (sent > now) {
    return observation_outcome::impossible;
  }
  auto& list = observations_[group];
  while (!list.empty() && sent - list.front().observed_at > retention) {
    list.pop_front();
  }
  if (!list.empty() &&
      (sent < list.back().observed_at || observed.position < list.back().position)) {
    return observation_outcome::outdated;
  }
  // The newest entry is replaced until it is at least one interval after the one before it.
  if (list.size() > 1 && sent - list[list.size() - 2].observed_at < min_spacing) {
    list.pop_back();
  }
  list.push_back(observed);
  return observation_outcome::taken;
}

std::optional<timed_position>
position_history::position_for(const std::string& group, duration bound, instant now) const
{
  const auto found = observations_.find(group);
  if (found == observations_.end()) {
    return std::nullopt;
  }
  const auto& list = found->second;
  const auto first = std::find_if(list.begin(), list.end(), [&](const timed_position& entry) {
    return entry.observed_at >= now - bound;
  });
  if (first == list.end()) {
    return std::nullopt;
  }
  return *first;
}

std::optional<timed_position>
position_history::newest(const std::string& group) const
{
  const auto found = observations_.find(group);
  if (found == observations_.end() || found->second.empty()) {
    return std::nullopt;
  }
  return found->second.back();
}

}
