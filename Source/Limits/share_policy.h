#pragma once

#include "Limits/share_row.h"

#include <cstdint>
#include <vector>

namespace persimmonshelf {

// A live instance that may hold shares of a workspace.
struct share_candidate
{
  instance_id instance;
  zone_id zone;
};

// Rate in milli-tokens per second and burst in milli-tokens of one workspace over the whole fleet,
// or the part of them that one instance holds.
struct workspace_limit
{
  std::int64_t rate_milli = 0;
  std::int64_t burst_milli = 0;
  friend bool operator==(const workspace_limit&, const workspace_limit&) = default;
};

// Input of one holder for planning its next change of the share row.
struct share_plan_input
{
  share_owner owner;
  workspace_limit limit;
  // Number of instances that should hold shares; at least 1.
  std::int64_t holder_count = 1;
  // False if this instance should give up its share.
  bool should_hold = true;
  // Demand of this instance as a part of the workspace's whole rate; may exceed one million.
  std::int64_t demand_ppm = 0;
  // True if the own bucket could not admit many of the recent requests.
  bool short_of_tokens = false;
};

// Chooses the holders from the candidates, which are in order of preference. All are chosen if the
// burst gives each of them at least `tokens_per_holder` tokens, otherwise fewer. One holder
// is chosen from each zone first, as far as the burst gives each a whole token.
std::vector<instance_id>
choose_holders(const std::vector<share_candidate>& candidates,
               std::int64_t burst_milli,
               const share_settings& settings);

// Largest total of the base parts in parts per million. Everything is base if the base part of a
// holder's burst would otherwise be less than one token and thus useless during an outage of the
// table.
std::int64_t
base_limit(const workspace_limit& limit, std::int64_t holder_count, const share_settings& settings);

// Smallest share that a holder keeps for itself: a quarter of an even share or enough for one
// token, whichever is larger, but at most an even share.
std::int64_t
min_share_ppm(const workspace_limit& limit, std::int64_t holder_count);

// Returns the row that this holder wants to write. It is equal to `row` if no change is large
// enough to be worth a write.
share_row
plan_share(const share_row& row, const share_plan_input& input, const share_settings& settings);

// `ppm` parts per million of `amount`, rounded down.
std::int64_t
part_of(std::int64_t amount, std::int64_t ppm);

}
