#include "Proxy/connection_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonshelf {

namespace {

// Time of a statement that is assumed until one was measured.
constexpr double assumed_statement_us = 15000;
// A measurement loses its weight with this time constant, so that a member that was slow is tried
// again.
constexpr double memory_us = 1.5e6;
// Added to the cost of members in other zones: their round trip, and the bytes are paid for.
constexpr double other_zone_us = 4000;

}

double
connection_pool::expected_cost(const listed_member& member, instant now) const
{
  double statement = assumed_statement_us;
  if (const auto found = health_.find(member.id); found != health_.end()) {
    const auto& health = found->second;
    if (health.statement_time_us > 0) {
      const auto age = static_cast<double>((now - health.measured_at).count());
      const double weight = std::exp(-age / memory_us);
      statement = weight * health.statement_time_us + (1 - weight) * assumed_statement_us;
    }
  }
  std::size_t in_use = 0;
  for (const auto& [number, link] : connections_) {
    if (link->member == member.id && link->state == pooled_connection::connection_state::in_use) {
      ++in_use;
    }
  }
  double cost = statement * (1.0 + 0.5 * static_cast<double>(in_use));
  if (member.zone != own_zone_) {
    cost += other_zone_us;
  }
  if (member.warmup_left > duration::zero()) {
    cost *= 1.5;
  }
  return cost;
}

std::vector<const listed_member*>
connection_pool::candidates(const connection_request& request, instant now) const
{
  std::vector<std::pair<double, const listed_member*>> ranked;
  const auto leader = hooks_.primary_of(request.group);
  for (const auto& [id, member] : members_) {
    if (member.group != request.group || request.excluded_member == id) {
      continue;
    }
    const bool leads = leader && leader->member == id;
    if (request.needs_primary && (!leads || !leader->usable)) {
      continue;
    }
    const auto health = health_.find(id);
    if (!leads && health != health_.end() && now < health->second.lagging_until) {
      continue;
    }
    // A leaving primary goes on until it is replaced; everyone else leaves the reads to others.
    if (member.draining && !(request.needs_primary && leads)) {
      continue;
    }
    double cost = expected_cost(member, now);
    // The primary alone can run writes, so reads go there last among equals.
    if (leads && !request.needs_primary) {
      cost *= 1.5;
    }
    ranked.emplace_back(cost, &member);
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) {
    return left.first < right.first;
  });
  std::vector<const listed_member*> members;
  members.reserve(ranked.size());
  for (const auto& entry : ranked) {
    members.push_back(entry.second);
  }
  return members;
}

std::shared_ptr<pooled_connection>
connection_pool::idle_connection(const listed_member& member, const connection_request& request)
{
  std::shared_ptr<pooled_connection> best;
  for (auto& [number, link] : connections_) {
    if (link->member != member.id || link->state != pooled_connection::connection_state::idle ||
        link->workspace != request.workspace) {
      continue;
    }
    if (link->settings == request.settings) {
      return link;
    }
    best = link;
  }
  return best;
}

bool
connection_pool::may_open(const listed_member& member, instant now) const
{
  if (count_connections(member.id) >= group_connection_limit(member.group)) {
    return false;
  }
  const auto found = health_.find(member.id);
  return found == health_.end() || now >= found->second.retry_at;
}

void
connection_pool::open_connection(const listed_member& member,
                                 const workspace_id& workspace,
                                 instant now)
{
  const auto link = std::make_shared<pooled_connection>();
  link->number = connection_number(++last_connection_);
  link->member = member.id;
  link->group = member.group;
  link->workspace = workspace;
  link->state_changed_at = now;
  connections_.emplace(link->number, link);
  hooks_.open(*link, member);
}

bool
connection_pool::try_grant(waiting_request& waiting, instant now)
{
  const auto ranked = candidates(waiting.request, now);
  // An idle connection of the workspace at any member beats a new one at a better member:
  // connecting costs as much as a statement.
  for (const auto* member : ranked) {
    if (auto link = idle_connection(*member, waiting.request)) {
      link->state = pooled_connection::connection_state::in_use;
      link->state_changed_at = now;
      // The handler may call back into the dispatcher.
      const auto granted = std::move(waiting.granted);
      granted(std::move(link));
      return true;
    }
  }
  const bool opening =
    std::any_of(connections_.begin(), connections_.end(), [&](const auto& entry) {
      const auto& link = *entry.second;
      return link.state == pooled_connection::connection_state::opening &&
             link.workspace == waiting.request.workspace &&
             std::any_of(ranked.begin(), ranked.end(), [&](const listed_member* member) {
               return member->id == link.member;
             });
    });
  if (opening) {
    return false;
  }
  for (const auto* member : ranked) {
    if (may_open(*member, now)) {
      open_connection(*member, waiting.request.workspace, now);
      return false;
    }
  }
  for (const auto* member : ranked) {
    if (const auto number = replaceable_connection(*member, waiting.request.workspace)) {
      close_connection(*number);
      open_connection(*member, waiting.request.workspace, now);
      return false;
    }
  }
  return false;
}

// The idle connection of another workspace that was used longest ago.
std::optional<connection_number>
connection_pool::replaceable_connection(const listed_member& member,
                                        const workspace_id& workspace) const
{
  const pooled_connection* oldest = nullptr;
  for (const auto& [number, link] : connections_) {
    if (link->member == member.id && link->state == pooled_connection::connection_state::idle &&
        link->workspace != workspace &&
        (oldest == nullptr || link->state_changed_at < oldest->state_changed_at)) {
      oldest = link.get();
    }
  }
  return oldest == nullptr ? std::nullopt : std::optional<connection_number>(oldest->number);
}

}
