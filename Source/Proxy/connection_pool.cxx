#include "Proxy/connection_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonshelf {

namespace {

// Limit while none has been set: the fewest connections that let a transaction and a statement run
// side by side.
constexpr std::size_t default_connection_limit = 2;
// Pause before the next connection attempt to an unreachable member.
constexpr duration reconnect_pause = std::chrono::milliseconds(200);
// Pause before the next attempt at a member with too many connections. It drops the connections of
// a killed instance after three seconds.
constexpr duration member_full_pause = std::chrono::milliseconds(400);
// How long reads avoid a lagging replica: about the usual replication lag at first, then longer.
constexpr duration first_lagging_pause = std::chrono::milliseconds(60);
constexpr duration longest_lagging_pause = std::chrono::milliseconds(500);
// How much later than the store's acknowledgement an instance may learn that a member is draining:
// one interval between reads of the members' list, and one between views.
constexpr duration max_drain_notice_delay = std::chrono::milliseconds(2000);
// How long the replacement of a primary that has drained may still take. Requests that expire
// before are refused at once.
constexpr duration late_replacement_time = std::chrono::milliseconds(1000);
// Weight of the newest measurement in the smoothed statement duration.
constexpr double smoothing = 0.2;

}

bool
is_usable_primary(const std::optional<group_primary>& primary, const member_id& member)
{
  return primary && primary->usable && primary->member == member;
}

connection_pool::connection_pool(hooks callbacks, zone_id own_zone)
  : hooks_(std::move(callbacks))
  , own_zone_(std::move(own_zone))
{
}

void
connection_pool::set_members(const std::vector<listed_member>& members, instant now)
{
  std::map<member_id, listed_member> next;
  for (const auto& member : members) {
    next.emplace(member.id, member);
  }
  std::vector<connection_number> closable;
  for (const auto& [number, connection] : connections_) {
    const auto found = next.find(connection->member);
    const bool removed = found == next.end() || found->second.draining;
    if (removed && connection->state == pooled_connection::connection_state::idle) {
      closable.push_back(number);
    }
  }
  members_ = std::move(next);
  std::erase_if(draining_since_, [&](const auto& entry) {
    const auto* member = find_member(entry.first);
    return member == nullptr || !member->draining;
  });
  for (const auto& [id, member] : members_) {
    if (member.draining) {
      draining_since_.try_emplace(id, now);
    }
  }
  group_members_.clear();
  for (const auto& [id, member] : members_) {
    group_members_[member.group].push_back(&member);
  }
  for (const auto number : closable) {
    close_connection(number);
  }
  tick(now);
}

void
connection_pool::set_drain_limit(duration limit)
{
  drain_limit_ = limit;
}

std::optional<group_primary>
connection_pool::serving_primary(const std::string& group, instant now) const
{
  auto primary = hooks_.primary_of(group);
  const auto found = primary ? draining_since_.find(primary->member) : draining_since_.end();
  if (found != draining_since_.end() &&
      now - found->second >= drain_limit_ - max_drain_notice_delay) {
    primary->usable = false;
    primary->replacement_expected_at = now + late_replacement_time;
  }
  return primary;
}

void
connection_pool::set_evacuated_zones(const std::set<zone_id>& zones, instant now)
{
  if (zones == evacuated_zones_) {
    return;
  }
  evacuated_zones_ = zones;
  std::vector<connection_number> closable;
  for (const auto& [number, connection] : connections_) {
    if (zones.contains(connection->zone) &&
        connection->state != pooled_connection::connection_state::in_use) {
      closable.push_back(number);
    }
  }
  for (const auto number : closable) {
    close_connection(number);
  }
  // No attempts are made during an evacuation, so earlier failures say nothing about the time
  // after.
  for (const auto& [id, member] : members_) {
    if (is_evacuated(member)) {
      health_.erase(id);
    }
  }
  tick(now);
}

bool
connection_pool::is_evacuated(const listed_member& member) const
{
  return evacuated_zones_.contains(member.zone);
}

std::size_t
connection_pool::connections_to(const zone_id& zone) const
{
  return static_cast<std::size_t>(
    std::count_if(connections_.begin(), connections_.end(), [&](const auto& entry) {
      return entry.second->zone == zone;
    }));
}

// The reason why only members in evacuated zones could serve the request; empty if others may.
std::optional<std::string>
connection_pool::evacuation_refusal(const std::string& group,
                                    const connection_requirement& requirement) const
{
  if (evacuated_zones_.empty()) {
    return std::nullopt;
  }
  if (requirement.needs_primary) {
    const auto primary = hooks_.primary_of(group);
    const auto* member = primary ? find_member(primary->member) : nullptr;
    // A primary that is being replaced may have a successor soon.
    return member != nullptr && primary->usable && is_evacuated(*member)
             ? std::optional("the zone " + member->zone.get() + " of the primary is evacuated")
             : std::nullopt;
  }
  bool any_evacuated = false;
  for (const auto* member : members_of(group)) {
    if (requirement.excluded_member == member->id || member->draining) {
      continue;
    }
    if (!is_evacuated(*member)) {
      return std::nullopt;
    }
    any_evacuated = true;
  }
  return any_evacuated
           ? std::optional("all members of " + group + " that may serve are in evacuated zones")
           : std::nullopt;
}

void
connection_pool::set_connection_limit(const std::string& group, std::size_t limit)
{
  connection_limits_[group] = limit;
  close_excess_connections(group);
}

// Closes idle connections beyond the limit, so that the member can accept connections of other
// instances.
void
connection_pool::close_excess_connections(const std::string& group)
{
  std::map<member_id, std::size_t> counts;
  std::vector<connection_number> excess;
  for (const auto& [number, connection] : connections_) {
    if (connection->group == group &&
        ++counts[connection->member] > group_connection_limit(group) &&
        connection->state == pooled_connection::connection_state::idle) {
      excess.push_back(number);
    }
  }
  for (const auto number : excess) {
    close_connection(number);
  }
}

std::size_t
connection_pool::group_connection_limit(const std::string& group) const
{
  const auto found = connection_limits_.find(group);
  return found == connection_limits_.end() ? default_connection_limit : found->second;
}

const std::vector<const listed_member*>&
connection_pool::members_of(const std::string& group) const
{
  static const std::vector<const listed_member*> none;
  const auto found = group_members_.find(group);
  return found == group_members_.end() ? none : found->second;
}

const connection_pool::connection_list&
connection_pool::connections_to(const member_id& id) const
{
  static const connection_list none;
  const auto found = member_connections_.find(id);
  return found == member_connections_.end() ? none : found->second;
}

const listed_member*
connection_pool::find_member(const member_id& id) const
{
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

bool
connection_pool::is_connected_to(const member_id& id) const
{
  const auto& connections = connections_to(id);
  return std::any_of(connections.begin(), connections.end(), [](const auto& connection) {
    return connection->state != pooled_connection::connection_state::opening;
  });
}

std::optional<instant>
connection_pool::failing_since(const member_id& id) const
{
  const auto found = health_.find(id);
  return found == health_.end() ? std::nullopt : found->second.failing_since;
}

std::size_t
connection_pool::count_connections(const member_id& id) const
{
  return connections_to(id).size();
}

void
connection_pool::release(connection_number number, duration elapsed, instant now)
{
  const auto found = connections_.find(number);
  if (found == connections_.end()) {
    return;
  }
  auto& connection = *found->second;
  const auto group = connection.group;
  auto& health = health_[connection.member];
  const bool ran_statement = elapsed > duration::zero();
  if (ran_statement) {
    health.hold_time.record(now - connection.state_changed_at, now);
    const auto measured = static_cast<double>(elapsed.count());
    health.statement_time_us =
      health.statement_time_us > 0
        ? health.statement_time_us + smoothing * (measured - health.statement_time_us)
        : measured;
    health.measured_at = now;
    health.failing_since.reset();
  }
  connection.state = pooled_connection::connection_state::idle;
  connection.state_changed_at = now;
  if (const auto queue = queues_.find(group); queue != queues_.end()) {
    queue->second.end_use(number, ran_statement, now);
  }
  close_excess_connections(group);
  if (!connections_.contains(number)) {
    serve(group, now);
    return;
  }
  if (evacuated_zones_.contains(connection.zone)) {
    close_connection(number);
    serve(group, now);
    return;
  }
  const auto* listed = find_member(connection.member);
  if (listed == nullptr || listed->draining) {
    const auto primary = hooks_.primary_of(connection.group);
    if (!primary || primary->member != connection.member) {
      close_connection(number);
    }
  }
  serve(group, now);
}

void
connection_pool::record_lag(const member_id& member, instant now)
{
  auto& health = health_[member];
  if (now < health.lagging_until) {
    return;
  }
  health.lagging_pause =
    std::clamp(health.lagging_pause * 2, first_lagging_pause, longest_lagging_pause);
  health.lagging_until = now + health.lagging_pause;
}

void
connection_pool::clear_lag(const member_id& member)
{
  health_[member].lagging_pause = duration::zero();
}

void
connection_pool::on_connection_opened(connection_number number, instant now)
{
  const auto found = connections_.find(number);
  if (found == connections_.end()) {
    return;
  }
  found->second->state = pooled_connection::connection_state::idle;
  found->second->state_changed_at = now;
  health_[found->second->member].failing_since.reset();
  const auto group = found->second->group;
  serve(group, now);
}

void
connection_pool::on_connection_closed(connection_number number, bool refused_full, instant now)
{
  const auto found = connections_.find(number);
  if (found == connections_.end()) {
    return;
  }
  if (found->second->state == pooled_connection::connection_state::opening) {
    auto& health = health_[found->second->member];
    health.retry_at = now + (refused_full ? member_full_pause : reconnect_pause);
    if (!refused_full && !health.failing_since) {
      health.failing_since = now;
    }
  }
  found->second->state = pooled_connection::connection_state::closed;
  const auto group = found->second->group;
  if (const auto queue = queues_.find(group); queue != queues_.end()) {
    queue->second.end_use(number, false, now);
  }
  erase_connection(number);
  serve(group, now);
}

void
connection_pool::close_connection(connection_number number)
{
  const auto found = connections_.find(number);
  if (found == connections_.end()) {
    return;
  }
  found->second->state = pooled_connection::connection_state::closed;
  erase_connection(number);
  hooks_.close(number);
}

void
connection_pool::erase_connection(connection_number number)
{
  const auto found = connections_.find(number);
  const auto of_member = member_connections_.find(found->second->member);
  std::erase(of_member->second, found->second);
  if (of_member->second.empty()) {
    member_connections_.erase(of_member);
  }
  connections_.erase(found);
}

}
