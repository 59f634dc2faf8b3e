#include "Group/observation.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// A member that has no entry of the primary's term, but whose log differs from the primary's, may
// have missed the order to follow.
bool
is_straggler(const member_state& member, const member_state& primary)
{
  if (member.promised != primary.promised) {
    return member.promised < primary.promised;
  }
  const auto& last = member.log.last();
  return last.in_term < primary.promised && last != primary.log.last();
}

}

observation
observe(const group_view& view, instant now, duration fresh)
{
  observation seen;
  seen.primary = view.primary();
  seen.confirmed_at = view.confirmed_at();
  if (seen.confirmed_at && now - *seen.confirmed_at < fresh) {
    seen.confirmed = seen.primary;
  }
  const auto* primary = seen.confirmed ? view.find(seen.confirmed->member) : nullptr;
  std::size_t heard = 0;
  std::size_t staying = 0;
  for (const auto& member : view.members()) {
    const auto* state = view.find(member);
    if (state == nullptr) {
      continue;
    }
    seen.highest_promised = std::max(seen.highest_promised, state->promised);
    if (state->leaving) {
      seen.leaving.insert(member);
    }
    if (now - state->last_contact >= fresh) {
      continue;
    }
    ++heard;
    staying += state->leaving ? 0 : 1;
    if (primary == nullptr || state == primary) {
      continue;
    }
    seen.has_higher_promise |= state->promised > primary->promised;
    if (is_straggler(*state, *primary)) {
      seen.stragglers.push_back(member);
    }
  }
  seen.majority_reachable = heard >= view.majority();
  seen.majority_not_leaving = staying >= view.majority();
  return seen;
}

}
