#include "Proxy/primary_failure_detector.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// An instance's opinion counts for this long; reports come four times a second.
constexpr duration opinion_life = std::chrono::milliseconds(1000);
// Failing shorter than this may be a lost packet or a full queue of connections.
constexpr duration failing_limit = std::chrono::milliseconds(400);
// Share of the instances with an opinion that must find the primary unreachable. A replacement
// stops the writes of all for about a second, a cut those of this share for its whole length.
constexpr double unreachable_share = 0.3;

}

void
primary_failure_detector::record_report(const instance_report& report, instant now)
{
  auto& opinion = observations_[report.instance];
  opinion.received_at = now;
  opinion.failing_for.clear();
  for (const auto& sight : report.reachability) {
    opinion.failing_for[sight.member] = sight.failing_for;
  }
}

replacement_reason
primary_failure_detector::assess(const member_id& primary,
                                 const std::vector<listed_member>& members,
                                 bool list_is_sound,
                                 instant now) const
{
  const auto listed = std::find_if(
    members.begin(), members.end(), [&](const auto& member) { return member.id == primary; });
  if (listed == members.end()) {
    if (list_is_sound) {
      return replacement_reason::lost;
    }
  } else if (listed->draining) {
    return replacement_reason::leaving;
  }
  double failing = 0;
  double all = 0;
  for (const auto& [instance, opinion] : observations_) {
    const auto found = opinion.failing_for.find(primary);
    if (now - opinion.received_at > opinion_life || found == opinion.failing_for.end()) {
      continue;
    }
    all += 1;
    if (found->second >= failing_limit) {
      failing += 1;
    }
  }
  const bool lost = failing >= std::min(2.0, all) && failing > unreachable_share * all && all > 0;
  return lost ? replacement_reason::lost : replacement_reason::none;
}

}
