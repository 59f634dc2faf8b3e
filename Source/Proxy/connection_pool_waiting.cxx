#include "Proxy/connection_pool.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Statement time that estimates assume for a member without a measurement.
constexpr duration assumed_statement_time = std::chrono::milliseconds(15);
// A member that cannot be reached counts as part of the group's capacity for so long. Shorter
// disturbances refuse no request.
constexpr duration tolerated_disturbance = std::chrono::milliseconds(500);
// Shortest retry time while a primary is being replaced: about one statement.
constexpr duration shortest_replacement_retry = std::chrono::milliseconds(20);

}

std::string_view
name_of(refusal_cause cause)
{
  switch (cause) {
    case refusal_cause::expired:
      return "expired";
    case refusal_cause::queue_too_long:
      return "queue_too_long";
    case refusal_cause::zone_evacuated:
      return "zone_evacuated";
    case refusal_cause::primary_unknown:
      return "primary_unknown";
    case refusal_cause::primary_replaced:
      return "primary_replaced";
  }
  return "";
}

std::string
name_of(const request_class& priority)
{
  const auto workspace = priority.workspace_priority;
  return std::to_string(priority.route_priority) + "/" +
         (workspace == lowest_priority ? "none" : std::to_string(workspace));
}

request_number
connection_pool::acquire(connection_request request,
                         grant_handler granted,
                         refuse_handler refused,
                         instant now)
{
  const request_number number(++last_request_);
  const auto group = request.group;
  queues_[group].push({ number,
                        request.priority,
                        request.workspace,
                        { request.needs_primary, request.excluded_member },
                        request.target,
                        request.expiry,
                        now });
  waiting_.emplace(number,
                   waiting_request{ std::move(request), std::move(granted), std::move(refused) });
  serve(group, now);
  return number;
}

void
connection_pool::cancel(request_number number)
{
  const auto found = waiting_.find(number);
  if (found == waiting_.end()) {
    return;
  }
  queues_.at(found->second.request.group).remove(number);
  waiting_.erase(found);
}

void
connection_pool::tick(instant now)
{
  for (const auto& [group, queue] : queues_) {
    serve(group, now);
  }
}

// Grants connections to the group's waiting requests and refuses those that will not get one.
void
connection_pool::serve(const std::string& group, instant now)
{
  const auto found = queues_.find(group);
  if (found == queues_.end() || found->second.empty()) {
    return;
  }
  auto& queue = found->second;
  refuse_hopeless(group, queue, now);
  std::set<std::uint64_t> blocked;
  candidate_cache ranked;
  while (serve_next(queue, blocked, ranked, now)) {
    ranked.clear();
  }
  refuse_unservable(group, queue, now);
}

// Grants one connection. Returns false if no waiting request can get one. Handlers and hooks may
// call back into the pool, so the order is determined again after each grant, and a request is
// taken out of the queue before its handler runs.
bool
connection_pool::serve_next(waiting_queue& queue,
                            std::set<std::uint64_t>& blocked,
                            candidate_cache& ranked,
                            instant now)
{
  for (const auto& lane : queue.lanes(now)) {
    const auto* first = queue.find(lane.first);
    if (first == nullptr || blocked.contains(lane.number)) {
      continue;
    }
    const auto& request = waiting_.at(lane.first).request;
    auto cached = ranked.find(first->requirement);
    if (cached == ranked.end()) {
      cached =
        ranked.emplace(first->requirement, candidates(request.group, first->requirement, now))
          .first;
    }
    const auto opened_before = last_connection_;
    const auto connection = find_connection(request, lane.oldest_arrival, cached->second, now);
    if (connection == nullptr) {
      blocked.insert(lane.number);
      if (last_connection_ != opened_before) {
        ranked.clear();
      }
      continue;
    }
    connection->state = pooled_connection::connection_state::in_use;
    connection->state_changed_at = now;
    queue.begin_use(lane.first, connection->number, now);
    const auto granted = std::move(waiting_.at(lane.first).granted);
    waiting_.erase(lane.first);
    granted(connection);
    return true;
  }
  return false;
}

// Refuses the requests that expired, those that only members in evacuated zones could serve, and
// those that need a primary which will not be there in time.
void
connection_pool::refuse_hopeless(const std::string& group, waiting_queue& queue, instant now)
{
  const auto primary = serving_primary(group, now);
  std::optional<instant> primary_back_at;
  if (primary && !primary->usable) {
    primary_back_at = primary->replacement_expected_at;
  }
  struct refusal
  {
    request_number number;
    refusal_cause cause;
    std::string text;
    std::optional<duration> retry_after;
  };
  std::vector<refusal> refusals;
  std::map<connection_requirement, std::optional<std::string>> evacuations;
  const auto evacuation_of = [&](const connection_requirement& requirement) {
    auto found = evacuations.find(requirement);
    if (found == evacuations.end()) {
      found = evacuations.emplace(requirement, evacuation_refusal(group, requirement)).first;
    }
    return found->second;
  };
  for (const auto& [number, request] : queue.requests()) {
    if (now >= request.expiry) {
      refusals.push_back({ number,
                           refusal_cause::expired,
                           "no connection to a member became free in time",
                           retry_after_expiry(group, queue, request, now) });
    } else if (auto evacuation = evacuation_of(request.requirement)) {
      // It is not known when the evacuation ends.
      refusals.push_back(
        { number, refusal_cause::zone_evacuated, std::move(*evacuation), std::nullopt });
    } else if (request.requirement.needs_primary && !primary) {
      refusals.push_back(
        { number, refusal_cause::primary_unknown, "the primary is unknown", std::nullopt });
    } else if (request.requirement.needs_primary && primary_back_at &&
               *primary_back_at > request.expiry) {
      const auto left = std::max(std::chrono::duration_cast<duration>(*primary_back_at - now),
                                 shortest_replacement_retry);
      refusals.push_back({ number,
                           refusal_cause::primary_replaced,
                           "the primary is being replaced",
                           spread_retry(left, number) });
    }
  }
  for (auto& each : refusals) {
    refuse(queue, each.number, each.cause, std::move(each.text), each.retry_after);
  }
}

// When a request that waited in vain has a chance: once the requests that still wait were served.
std::optional<duration>
connection_pool::retry_after_expiry(const std::string& group,
                                    const waiting_queue& queue,
                                    const queued_request& request,
                                    instant now) const
{
  const auto capacity = capacity_of(group, now);
  if (!capacity) {
    return std::nullopt;
  }
  const bool needs_primary = request.requirement.needs_primary;
  const auto ahead =
    std::count_if(queue.requests().begin(), queue.requests().end(), [&](const auto& other) {
      return other.second.requirement.needs_primary == needs_primary && now < other.second.expiry;
    });
  const auto wait = capacity->wait_behind(static_cast<std::size_t>(ahead), needs_primary);
  return wait ? std::optional(spread_retry(*wait, request.number)) : std::nullopt;
}

// Refuses the requests that would expire before their turn.
void
connection_pool::refuse_unservable(const std::string& group, waiting_queue& queue, instant now)
{
  if (queue.requests().size() < 2) {
    return;
  }
  const auto capacity = capacity_of(group, now);
  if (!capacity) {
    return;
  }
  auto earliest_expiry = instant::max();
  for (const auto& [number, request] : queue.requests()) {
    earliest_expiry = std::min(earliest_expiry, request.expiry);
  }
  if (all_servable(queue.requests().size(), earliest_expiry, *capacity, now)) {
    return;
  }
  for (const auto& found : find_unservable(queue.expected_order(), *capacity, now)) {
    refuse(queue,
           found.number,
           refusal_cause::queue_too_long,
           "the queue for a connection to a member is too long",
           found.retry_after);
  }
}

void
connection_pool::refuse(waiting_queue& queue,
                        request_number number,
                        refusal_cause cause,
                        std::string text,
                        std::optional<duration> retry_after)
{
  const auto found = waiting_.find(number);
  // The handler of another refusal may have cancelled it.
  if (found == waiting_.end()) {
    return;
  }
  const auto refused = std::move(found->second.refused);
  waiting_.erase(found);
  queue.remove(number);
  ++refusals_[cause];
  if (retry_after) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*retry_after);
    text += ", retry after " + std::to_string(wait.count()) + " ms";
  }
  refused(statement_error::busy, text);
}

std::optional<group_capacity>
connection_pool::capacity_of(const std::string& group, instant now) const
{
  const auto primary = serving_primary(group, now);
  std::vector<member_capacity> capacities;
  duration statement = assumed_statement_time;
  for (const auto* member : members_of(group)) {
    if (is_evacuated(*member)) {
      continue;
    }
    const auto health = health_.find(member->id);
    member_capacity capacity;
    capacity.is_usable_primary = is_usable_primary(primary, member->id);
    capacity.serves_reads = !member->draining;
    capacity.connections = group_connection_limit(group);
    if (health != health_.end()) {
      const auto failing = health->second.failing_since;
      if (failing && now - *failing > tolerated_disturbance) {
        continue;
      }
      capacity.hold_time = health->second.hold_time.value(now);
      if (capacity.hold_time && health->second.statement_time_us > 0) {
        statement = std::min(statement,
                             duration(static_cast<std::int64_t>(health->second.statement_time_us)));
      }
    }
    capacities.push_back(capacity);
  }
  return group_capacity::create(capacities, statement);
}

std::map<request_class, std::size_t>
connection_pool::waiting_by_class() const
{
  std::map<request_class, std::size_t> counts;
  for (const auto& [group, queue] : queues_) {
    for (const auto& [priority, count] : queue.count_by_class()) {
      counts[priority] += count;
    }
  }
  return counts;
}

}
