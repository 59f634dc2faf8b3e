#include "Limits/share_policy.h"

#include <algorithm>
#include <map>
#include <set>

namespace persimmonshelf {

namespace {

// Share that a holder needs, in percent of its demand. Has headroom because requests arrive in
// bursts.
constexpr std::int64_t needed_percent = 120;

// A change below this fraction of an even share is not worth a write.
constexpr std::int64_t min_change_divisor = 50;
// A share below an even share by more than this fraction of it is raised toward the even share.
constexpr std::int64_t imbalance_divisor = 10;
// Smallest share of a holder as a fraction of an even share.
constexpr std::int64_t min_share_divisor = 4;
// A change of the shortfall above this fraction is worth a write.
constexpr std::int64_t shortfall_change_divisor = 4;

std::int64_t
even_share(std::int64_t holder_count)
{
  return ppm_total / std::max<std::int64_t>(1, holder_count);
}

// Share that the holder needs for its demand.
std::int64_t
needed_ppm(const share_plan_input& input)
{
  const auto demand = std::min(input.demand_ppm, ppm_total);
  return std::min(ppm_total, demand * needed_percent / 100);
}

// Releases shares for holders with a shortfall: at most half of what this holder does not need
// itself, so that a short pause in its demand costs little.
share_row
release_spare(const share_row& row, const share_plan_input& input, std::int64_t min_share)
{
  const auto missing = row.shortfall_of_others(input.owner.instance) - row.unassigned();
  const auto own = row.find(input.owner.instance)->total();
  const auto spare = own - std::max(min_share, needed_ppm(input));
  const auto amount = std::min(missing, (spare + 1) / 2);
  if (input.short_of_tokens || amount < even_share(input.holder_count) / min_change_divisor ||
      amount <= 0) {
    return row;
  }
  return row.shrink(input.owner, amount);
}

// Claims unassigned shares for this holder, of which at most `limit` are base in the whole row.
share_row
claim_unassigned(const share_row& row,
                 const share_plan_input& input,
                 std::int64_t min_share,
                 std::int64_t limit)
{
  const auto even = even_share(input.holder_count);
  const auto own = row.find(input.owner.instance)->total();
  const auto free_ppm = row.unassigned() - row.shortfall_of_others(input.owner.instance);
  std::int64_t amount = 0;
  if (input.short_of_tokens || own < min_share) {
    amount = std::min(row.unassigned(), std::max(min_share, needed_ppm(input)) - own);
  }
  // Unassigned shares beyond the shortfalls of the others are distributed evenly again.
  if (own < even - even / imbalance_divisor) {
    amount = std::max(amount, std::min(free_ppm, even - own));
  }
  if (amount < even / min_change_divisor || amount <= 0) {
    return row;
  }
  return row.grow(input.owner, amount, limit);
}

// How much more this holder needs.
std::int64_t
shortfall(const share_row& row, const share_plan_input& input, std::int64_t min_share)
{
  const auto own = row.find(input.owner.instance)->total();
  const auto goal = input.short_of_tokens ? std::max(min_share, needed_ppm(input)) : min_share;
  return std::max<std::int64_t>(0, goal - own);
}

}

std::int64_t
part_of(std::int64_t amount, std::int64_t ppm)
{
  // Computed in two parts because amount * ppm may not fit in 64 bits.
  return amount / ppm_total * ppm + amount % ppm_total * ppm / ppm_total;
}

std::vector<instance_id>
choose_holders(const std::vector<share_candidate>& candidates,
               std::int64_t burst_milli,
               const share_settings& settings)
{
  std::set<zone_id> zones;
  for (const auto& candidate : candidates) {
    zones.insert(candidate.zone);
  }
  const auto all = static_cast<std::int64_t>(candidates.size());
  auto count = std::min(all, burst_milli / (settings.tokens_per_holder * token_milli));
  const auto zone_count = static_cast<std::int64_t>(zones.size());
  // Shares are rounded down and must still give each holder a whole token.
  while (count < zone_count && part_of(burst_milli, ppm_total / (count + 1)) >= token_milli) {
    ++count;
  }
  std::vector<instance_id> chosen;
  std::set<instance_id> taken;
  std::set<zone_id> served;
  const auto choose = [&](const share_candidate& candidate) {
    if (static_cast<std::int64_t>(chosen.size()) < count &&
        taken.insert(candidate.instance).second) {
      chosen.push_back(candidate.instance);
      served.insert(candidate.zone);
    }
  };
  for (const auto& candidate : candidates) {
    if (!served.contains(candidate.zone)) {
      choose(candidate);
    }
  }
  for (const auto& candidate : candidates) {
    choose(candidate);
  }
  return chosen;
}

std::int64_t
base_limit(const workspace_limit& limit, std::int64_t holder_count, const share_settings& settings)
{
  const auto base = part_of(even_share(holder_count), settings.base_limit_ppm);
  return part_of(limit.burst_milli, base) < token_milli ? ppm_total : settings.base_limit_ppm;
}

std::int64_t
min_share_ppm(const workspace_limit& limit, std::int64_t holder_count)
{
  const auto even = even_share(holder_count);
  const auto burst = std::max<std::int64_t>(1, limit.burst_milli);
  const auto one_token = (token_milli * ppm_total + burst - 1) / burst;
  return std::min(even, std::max(even / min_share_divisor, one_token));
}

share_row
plan_share(const share_row& row, const share_plan_input& input, const share_settings& settings)
{
  const auto limit = base_limit(input.limit, input.holder_count, settings);
  const auto min_share = min_share_ppm(input.limit, input.holder_count);
  const auto* entry = row.find(input.owner.instance);
  if (!input.should_hold) {
    return entry == nullptr ? row : row.take_over(input.owner).leave(input.owner);
  }
  if (entry == nullptr) {
    const auto even = even_share(input.holder_count);
    const auto amount = std::min(even, row.unassigned());
    const auto joined = row.join(input.owner, amount, limit);
    return joined.set_shortfall(input.owner, shortfall(joined, input, min_share));
  }
  if (entry->incarnation != input.owner.incarnation) {
    return row.take_over(input.owner);
  }
  auto next = release_spare(row, input, min_share);
  if (next == row) {
    next = claim_unassigned(row, input, min_share, limit);
  }
  const auto old_shortfall = entry->shortfall_ppm;
  const auto new_shortfall = shortfall(next, input, min_share);
  // A small change of the shortfall alone is not worth a write.
  const bool same =
    (new_shortfall == 0) == (old_shortfall == 0) &&
    std::abs(new_shortfall - old_shortfall) * shortfall_change_divisor <= old_shortfall;
  return same && next == row ? row : next.set_shortfall(input.owner, new_shortfall);
}

}
