#pragma once

#include "Group/group_view.h"

#include <optional>
#include <set>
#include <vector>

namespace persimmonshelf {

// State of a database at one instant, as a promotion candidate needs it for its decision.
struct observation
{
  // The primary, if it was confirmed by requests sent less than `freshness_limit` before `now`.
  std::optional<primary_claim> confirmed;
  // The primary and the time of its last confirmation, regardless of age.
  std::optional<primary_claim> primary;
  std::optional<instant> confirmed_at;
  term highest_promised;
  // True if a majority of the members responded to requests sent within `freshness_limit`.
  bool majority_reachable = false;
  // True if a majority responded within `freshness_limit` and is not leaving.
  bool majority_not_leaving = false;
  // True if a member that responded within `freshness_limit` promised a higher term than the
  // confirmed primary's. It cannot follow that primary.
  bool has_higher_promise = false;
  std::set<member_id> leaving;
  // Members that responded within `freshness_limit` and appear not to follow the confirmed primary.
  std::vector<member_id> stragglers;
};

// Evaluates the view at `now`. Reports whose requests were sent `freshness_limit` or longer ago do
// not count as current.
observation
observe(const group_view& view, instant now, duration freshness_limit);

}
