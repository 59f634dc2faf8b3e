#include "Limits/share_policy.h"

#include <algorithm>
#include <map>
#include <set>

namespace persimmonshelf {

namespace {

// Demand is covered with this headroom, since arrivals come in bursts.
constexpr std::int64_t headroom_percent = 120;

std::int64_t
even_share(std::int64_t holder_count)
{
  return ppm_total / std::max<std::int64_t>(1, holder_count);
}

// What the holder should have for its demand.
std::int64_t
needed_ppm(const share_plan_input& input)
{
  const auto demand = std::min(input.demand_ppm, ppm_total);
  return std::min(ppm_total, demand * headroom_percent / 100);
}

// Gives to those who lack shares: at most half of what this holder doesn't need itself, so that a
// short pause in demand costs little.
share_row
release_spare(const share_row& row, const share_plan_input& input, std::int64_t floor)
{
  const auto lacking = row.shortfall_of_others(input.owner.instance) - row.unassigned();
  const auto own = row.find(input.owner.instance)->total();
  const auto spare = own - std::max(floor, needed_ppm(input));
  const auto amount = std::min(lacking, (spare + 1) / 2);
  if (input.short_of_tokens || amount < even_share(input.holder_count) / 50 || amount <= 0) {
    return row;
  }
  return row.shrink(input.owner, amount);
}

share_row
claim_unassigned(const share_row& row,
                 const share_plan_input& input,
                 std::int64_t floor,
                 std::int64_t limit)
{
  const auto even = even_share(input.holder_count);
  const auto own = row.find(input.owner.instance)->total();
  const auto free_ppm = row.unassigned() - row.shortfall_of_others(input.owner.instance);
  std::int64_t amount = 0;
  if (input.short_of_tokens || own < floor) {
    amount = std::min(row.unassigned(), std::max(floor, needed_ppm(input)) - own);
  }
  // Free shares that no one lacks return to an even distribution.
  if (own < even - even / 10) {
    amount = std::max(amount, std::min(free_ppm, even - own));
  }
  if (amount < even / 50 || amount <= 0) {
    return row;
  }
  return row.grow(input.owner, amount, limit);
}

std::int64_t
shortfall(const share_row& row, const share_plan_input& input, std::int64_t floor)
{
  const auto own = row.find(input.owner.instance)->total();
  const auto goal = input.short_of_tokens ? std::max(floor, needed_ppm(input)) : floor;
  return std::max<std::int64_t>(0, goal - own);
}

}

std::int64_t
part_of(std::int64_t amount, std::int64_t ppm)
{
  // Split, since amount * ppm may not fit 64 bits.
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
  // Rounding down must leave each holder a whole token.
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
  return std::min(even, std::max(even / 4, one_token));
}

share_row
plan_share(const share_row& row, const share_plan_input& input, const share_settings& settings)
{
  const auto limit = base_limit(input.limit, input.holder_count, settings);
  const auto floor = min_share_ppm(input.limit, input.holder_count);
  const auto* entry = row.find(input.owner.instance);
  if (!input.should_hold) {
    return entry == nullptr ? row : row.take_over(input.owner).leave(input.owner);
  }
  if (entry == nullptr) {
    const auto even = even_share(input.holder_count);
    const auto amount = std::min(even, row.unassigned());
    const auto joined = row.join(input.owner, amount, limit);
    return joined.set_shortfall(input.owner, shortfall(joined, input, floor));
  }
  if (entry->incarnation != input.owner.incarnation) {
    return row.take_over(input.owner);
  }
  auto next = release_spare(row, input, floor);
  if (next == row) {
    next = claim_unassigned(row, input, floor, limit);
  }
  const auto old_want = entry->shortfall_ppm;
  const auto want = shortfall(next, input, floor);
  // A want that changed little is not worth a write of its own.
  const bool same = (want == 0) == (old_want == 0) && std::abs(want - old_want) * 4 <= old_want;
  return same && next == row ? row : next.set_shortfall(input.owner, want);
}

}
