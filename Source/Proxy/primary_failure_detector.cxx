#include "Proxy/primary_failure_detector.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// How long an instance's report counts; reports come four times per second.
constexpr duration observation_lifetime = std::chrono::milliseconds(1000);
// A shorter failure may be a lost packet or a full connection queue.
constexpr duration failing_threshold = std::chrono::milliseconds(400);
// Fraction of the reporting instances that must find the primary unreachable. A replacement stops
// all writes for about a second; a partition stops the writes of this fraction for its whole
// duration.
constexpr double unreachable_fraction = 0.3;
// Minimum number of such instances, or all reporting instances if there are fewer.
constexpr double min_failing_instances = 2.0;

}

void
primary_failure_detector::record_report(const instance_report& report, instant now)
{
  auto& observation = observations_[report.instance];
  observation.received_at = now;
  observation.failing_for.clear();
  for (const auto& entry : report.reachability) {
    observation.failing_for[entry.member] = entry.failing_for;
  }
}

replacement_reason
primary_failure_detector::assess(const member_id& primary,
                                 const std::vector<listed_member>& members,
                                 const std::set<member_id>& evacuated,
                                 bool list_is_reliable,
                                 instant now) const
{
  const auto listed = std::find_if(
    members.begin(), members.end(), [&](const auto& member) { return member.id == primary; });
  const bool other_may_lead = std::any_of(members.begin(), members.end(), [&](const auto& member) {
    return member.id != primary && !member.draining && !evacuated.contains(member.id);
  });
  if (listed == members.end()) {
    if (list_is_reliable) {
      return replacement_reason::unreachable;
    }
  } else if (listed->draining && (evacuated.empty() || other_may_lead)) {
    return replacement_reason::leaving;
  }
  double failing = 0;
  double all = 0;
  for (const auto& [instance, observation] : observations_) {
    const auto found = observation.failing_for.find(primary);
    if (now - observation.received_at > observation_lifetime ||
        found == observation.failing_for.end()) {
      continue;
    }
    all += 1;
    if (found->second >= failing_threshold) {
      failing += 1;
    }
  }
  const bool unreachable = failing >= std::min(min_failing_instances, all) &&
                           failing > unreachable_fraction * all && all > 0;
  if (unreachable) {
    return replacement_reason::unreachable;
  }
  return evacuated.contains(primary) && other_may_lead ? replacement_reason::evacuated
                                                       : replacement_reason::none;
}

}
