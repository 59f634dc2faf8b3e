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

// Rate in milli-tokens per second and burst in milli-tokens of one workspace, over the fleet.
struct workspace_limit
{
  std::int64_t rate_milli = 0;
  std::int64_t burst_milli = 0;
  friend bool operator==(const workspace_limit&, const workspace_limit&) = default;
};

// What one holder knows when it plans its next change of the row.
struct share_plan_input
{
  share_owner owner;
  workspace_limit limit;
  // Number of instances that should hold shares; at least 1.
  std::int64_t holder_count = 1;
  // False if this instance should give its share up.
  bool should_hold = true;
  // Own demand as a part of the workspace's whole rate; may exceed one million.
  std::int64_t demand_ppm = 0;
  // True if many requests were borrowed or refused.
  bool short_of_tokens = false;
};

// Chooses the holders from the candidates in their order of preference: all if the burst is at
// least `tokens_per_holder` tokens each, else fewer, but one for each zone while each gets a whole
// token.
std::vector<instance_id>
choose_holders(const std::vector<share_candidate>& candidates,
               std::int64_t burst_milli,
               const share_settings& settings);

// Largest total of base parts for this burst. All is base if a holder's base would otherwise be
// less than a token and so of no use during an outage.
std::int64_t
base_limit(const workspace_limit& limit, std::int64_t holder_count, const share_settings& settings);

// Smallest share that a holder keeps for itself: a quarter of an even share, at least one token.
std::int64_t
min_share_ppm(const workspace_limit& limit, std::int64_t holder_count);

// The row as this holder wants it, equal to `row` if nothing is worth a write.
share_row
plan_share(const share_row& row, const share_plan_input& input, const share_settings& settings);

// Part of an amount, rounded down.
std::int64_t
part_of(std::int64_t amount, std::int64_t ppm);

}
