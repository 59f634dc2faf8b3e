#include "Proxy/primary_watch.h"

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
primary_watch::report(const instance_report& report, instant now)
{
  auto& opinion = opinions_[report.instance];
  opinion.heard = now;
  opinion.failing.clear();
  for (const auto& sight : report.sights) {
    opinion.failing[sight.member] = sight.failing;
  }
}

primary_trouble
primary_watch::judge(const member_id& primary,
                     const std::vector<listed_member>& members,
                     bool list_is_sound,
                     instant now) const
{
  const auto listed = std::find_if(
    members.begin(), members.end(), [&](const auto& member) { return member.id == primary; });
  if (listed == members.end()) {
    if (list_is_sound) {
      return primary_trouble::lost;
    }
  } else if (listed->draining) {
    return primary_trouble::leaving;
  }
  double failing = 0;
  double all = 0;
  for (const auto& [instance, opinion] : opinions_) {
    const auto found = opinion.failing.find(primary);
    if (now - opinion.heard > opinion_life || found == opinion.failing.end()) {
      continue;
    }
    all += 1;
    if (found->second >= failing_limit) {
      failing += 1;
    }
  }
  const bool lost = failing >= std::min(2.0, all) && failing > unreachable_share * all && all > 0;
  return lost ? primary_trouble::lost : primary_trouble::none;
}

}
