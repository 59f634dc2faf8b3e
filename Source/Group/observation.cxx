#include "Group/observation.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

// A member that has no entry of the primary's term and whose log differs from the primary's may
// have missed the follow request.
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
observe(const group_view& view, instant now, duration freshness_limit)
{
  observation observed;
  observed.primary = view.primary();
  observed.confirmed_at = view.confirmed_at();
  if (observed.confirmed_at && now - *observed.confirmed_at < freshness_limit) {
    observed.confirmed = observed.primary;
  }
  const auto* primary = observed.confirmed ? view.find(observed.confirmed->member) : nullptr;
  std::size_t reachable = 0;
  std::size_t not_leaving = 0;
  for (const auto& member : view.members()) {
    const auto* state = view.find(member);
    if (state == nullptr) {
      continue;
    }
    observed.highest_promised = std::max(observed.highest_promised, state->promised);
    if (state->leaving) {
      observed.leaving.insert(member);
    }
    if (now - state->last_contact >= freshness_limit) {
      continue;
    }
    ++reachable;
    not_leaving += state->leaving ? 0 : 1;
    if (primary == nullptr || state == primary) {
      continue;
    }
    observed.has_higher_promise |= state->promised > primary->promised;
    if (is_straggler(*state, *primary)) {
      observed.stragglers.push_back(member);
    }
  }
  observed.majority_reachable = reachable >= view.majority();
  observed.majority_not_leaving = not_leaving >= view.majority();
  return observed;
}

}
