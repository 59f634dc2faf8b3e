#pragma once

#include "Group/group_view.h"

#include <optional>
#include <set>
#include <vector>

namespace persimmonshelf {

// What a candidate needs to know of a database at one instant to decide on a promotion.
struct observation
{
  // The primary, if it was confirmed by requests of the last `fresh` before `now`.
  std::optional<primary_claim> confirmed;
  // When the primary was last confirmed, however long ago.
  std::optional<primary_claim> primary;
  std::optional<instant> confirmed_at;
  term highest_promised;
  // A majority answered requests of the last `fresh`.
  bool majority_reachable = false;
  // A majority of members that are not leaving did so.
  bool majority_not_leaving = false;
  // A member that was heard promised a term above that of the confirmed primary, so that it cannot
  // follow it.
  bool has_higher_promise = false;
  std::set<member_id> leaving;
  // Members that were heard and seem not to follow the confirmed primary.
  std::vector<member_id> stragglers;
};

observation
observe(const group_view& view, instant now, duration freshness_limit);

}
