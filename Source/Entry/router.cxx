#include "Entry/router.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace persimmonshelf {

namespace {

// Long enough to save a hop for most reads while a replica lags, and short enough that a replica
// that has caught up soon serves reads again.
constexpr duration stale_time = std::chrono::milliseconds(200);

}

router::router(zone_id own_zone)
  : own_zone_(std::move(own_zone))
{
}

void
router::configure(const std::map<database_id, std::vector<route_member>>& databases)
{
  std::map<database_id, database_state> next;
  for (const auto& [database, members] : databases) {
    auto& state = next[database];
    const auto known = databases_.find(database);
    if (known != databases_.end()) {
      state = std::move(known->second);
    }
    state.members = members;
  }
  databases_ = std::move(next);
}

void
router::record_primary(const database_id& database, const member_id& member, term in_term)
{
  const auto found = databases_.find(database);
  if (found == databases_.end() || in_term < found->second.primary_term) {
    return;
  }
  found->second.primary = member;
  found->second.primary_term = in_term;
}

void
router::record_stale(const database_id& database, const member_id& member, instant now)
{
  const auto found = databases_.find(database);
  if (found != databases_.end()) {
    found->second.stale_until[member] = now + stale_time;
  }
}

std::optional<member_id>
router::primary(const database_id& database) const
{
  const auto found = databases_.find(database);
  return found == databases_.end() ? std::nullopt : found->second.primary;
}

term
router::primary_term(const database_id& database) const
{
  const auto found = databases_.find(database);
  return found == databases_.end() ? term() : found->second.primary_term;
}

std::vector<route_member>
router::write_order(const database_id& database) const
{
  const auto found = databases_.find(database);
  if (found == databases_.end()) {
    return {};
  }
  auto order = found->second.members;
  const auto& known = found->second.primary;
  std::stable_partition(order.begin(), order.end(), [&](const auto& candidate) {
    return known && candidate.member == *known;
  });
  return order;
}

std::vector<route_member>
router::read_order(const database_id& database, instant now) const
{
  const auto found = databases_.find(database);
  if (found == databases_.end()) {
    return {};
  }
  const auto& state = found->second;
  auto order = state.members;
  const auto rank = [&](const route_member& candidate) {
    const bool is_primary = state.primary && candidate.member == *state.primary;
    const auto stale = state.stale_until.find(candidate.member);
    const bool is_stale = stale != state.stale_until.end() && stale->second > now;
    return std::make_tuple(is_primary, is_stale, candidate.zone != own_zone_);
  };
  std::stable_sort(order.begin(), order.end(), [&](const auto& left, const auto& right) {
    return rank(left) < rank(right);
  });
  return order;
}

std::optional<route_member>
router::find(const database_id& database, const member_id& member) const
{
  const auto found = databases_.find(database);
  if (found == databases_.end()) {
    return std::nullopt;
  }
  for (const auto& candidate : found->second.members) {
    if (candidate.member == member) {
      return candidate;
    }
  }
  return std::nullopt;
}

}
