#include "Proxy/connection_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonshelf {

namespace {

// Assumed duration of a statement until one was measured.
constexpr double assumed_statement_us = 15000;
// Time constant by which a measurement loses its weight, so that a member that was slow is tried
// again.
constexpr double measurement_decay_us = 1.5e6;
// Added to the cost of members in other zones, for the round trip and the paid traffic.
constexpr double other_zone_cost_us = 4000;
// Relative cost added for each connection in use, because its statement delays the next one.
constexpr double in_use_cost = 0.5;
// Cost factor of members that are still warming up.
constexpr double warmup_cost_factor = 1.5;
// How long a request waits for a connection of its workspace that is in use, before it replaces a
// connection of another workspace: about the time that the replacement takes.
constexpr duration replacement_delay = std::chrono::milliseconds(20);
// Cost factor of reads at the primary.
constexpr double primary_read_cost_factor = 1.5;

}

double
connection_pool::expected_cost(const listed_member& member, instant now) const
{
  double statement = assumed_statement_us;
  if (const auto found = health_.find(member.id); found != health_.end()) {
    const auto& health = found->second;
    if (health.statement_time_us > 0) {
      const auto age = static_cast<double>((now - health.measured_at).count());
      const double weight = std::exp(-age / measurement_decay_us);
      statement = weight * health.statement_time_us + (1 - weight) * assumed_statement_us;
    }
  }
  std::size_t in_use = 0;
  for (const auto& connection : connections_to(member.id)) {
    if (connection->state == pooled_connection::connection_state::in_use) {
      ++in_use;
    }
  }
  double cost = statement * (1.0 + in_use_cost * static_cast<double>(in_use));
  if (member.zone != own_zone_) {
    cost += other_zone_cost_us;
  }
  if (member.warmup_left > duration::zero()) {
    cost *= warmup_cost_factor;
  }
  return cost;
}

std::vector<const listed_member*>
connection_pool::candidates(const std::string& group,
                            const connection_requirement& requirement,
                            instant now) const
{
  std::vector<std::pair<double, const listed_member*>> ranked;
  const auto primary = serving_primary(group, now);
  for (const auto* listed : members_of(group)) {
    const auto& member = *listed;
    const auto& id = member.id;
    if (requirement.excluded_member == id || is_evacuated(member)) {
      continue;
    }
    const bool is_primary = primary && primary->member == id;
    if (requirement.needs_primary && (!is_primary || !primary->usable)) {
      continue;
    }
    const auto health = health_.find(id);
    if (!is_primary && health != health_.end() && now < health->second.lagging_until) {
      continue;
    }
    // A draining primary keeps its writes until it is replaced or has drained for too long. All
    // other draining members get no new work.
    if (member.draining && !(requirement.needs_primary && is_primary)) {
      continue;
    }
    double cost = expected_cost(member, now);
    // Only the primary can run writes, so reads prefer replicas of equal cost.
    if (is_primary && !requirement.needs_primary) {
      cost *= primary_read_cost_factor;
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
  for (const auto& connection : connections_to(member.id)) {
    if (connection->state != pooled_connection::connection_state::idle ||
        connection->workspace != request.workspace) {
      continue;
    }
    if (connection->kept.has_settings(request.settings)) {
      return connection;
    }
    best = connection;
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
  const auto connection = std::make_shared<pooled_connection>();
  connection->number = connection_number(++last_connection_);
  connection->member = member.id;
  connection->group = member.group;
  connection->zone = member.zone;
  connection->workspace = workspace;
  connection->state_changed_at = now;
  connections_.emplace(connection->number, connection);
  member_connections_[member.id].push_back(connection);
  hooks_.open(*connection, member);
}

// Returns an idle connection for the request. Otherwise opens one if that helps, and returns null.
// The request may be gone once a connection was opened.
std::shared_ptr<pooled_connection>
connection_pool::find_connection(const connection_request& request,
                                 instant oldest_arrival,
                                 const std::vector<const listed_member*>& ranked,
                                 instant now)
{
  // An idle connection of the workspace at any member is preferred to a new one at a better member,
  // because connecting costs as much as a statement.
  for (const auto* member : ranked) {
    if (auto connection = idle_connection(*member, request)) {
      return connection;
    }
  }
  for (const auto* member : ranked) {
    const auto& connections = connections_to(member->id);
    const bool opening =
      std::any_of(connections.begin(), connections.end(), [&](const auto& connection) {
        return connection->state == pooled_connection::connection_state::opening &&
               connection->workspace == request.workspace;
      });
    if (opening) {
      return nullptr;
    }
  }
  for (const auto* member : ranked) {
    if (may_open(*member, now)) {
      open_connection(*member, request.workspace, now);
      return nullptr;
    }
  }
  if (is_worth_waiting(request.workspace, oldest_arrival, ranked, now)) {
    return nullptr;
  }
  for (const auto* member : ranked) {
    if (const auto number = replaceable_connection(*member, request.workspace)) {
      const auto workspace = request.workspace;
      close_connection(*number);
      open_connection(*member, workspace, now);
      return nullptr;
    }
  }
  return nullptr;
}

// True while a connection of the workspace may soon become free. To replace one of another
// workspace takes as long as a statement, occupies a slot of the member, and costs the other
// workspace the same again.
bool
connection_pool::is_worth_waiting(const workspace_id& workspace,
                                  instant oldest_arrival,
                                  const std::vector<const listed_member*>& ranked,
                                  instant now) const
{
  if (now - oldest_arrival >= replacement_delay) {
    return false;
  }
  return std::any_of(ranked.begin(), ranked.end(), [&](const listed_member* member) {
    const auto& connections = connections_to(member->id);
    return std::any_of(connections.begin(), connections.end(), [&](const auto& connection) {
      return connection->state == pooled_connection::connection_state::in_use &&
             connection->workspace == workspace;
    });
  });
}

// The least recently used idle connection of another workspace.
std::optional<connection_number>
connection_pool::replaceable_connection(const listed_member& member,
                                        const workspace_id& workspace) const
{
  const pooled_connection* oldest = nullptr;
  for (const auto& connection : connections_to(member.id)) {
    if (connection->state == pooled_connection::connection_state::idle &&
        connection->workspace != workspace &&
        (oldest == nullptr || connection->state_changed_at < oldest->state_changed_at)) {
      oldest = connection.get();
    }
  }
  return oldest == nullptr ? std::nullopt : std::optional<connection_number>(oldest->number);
}

}
