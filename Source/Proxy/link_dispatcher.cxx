#include "Proxy/link_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonshelf {

namespace {

// Without a figure from the leader, as few connections as still let a transaction and a statement
// run side by side.
constexpr std::size_t default_link_limit = 2;
// A member that cannot be reached is tried again after this pause.
constexpr duration reconnect_pause = std::chrono::milliseconds(200);
// A member that is full drops the connections of a killed instance after three seconds.
constexpr duration full_pause = std::chrono::milliseconds(400);
// How long reads avoid a replica that lags: about its usual lag at first, then longer.
constexpr duration first_lagging_pause = std::chrono::milliseconds(60);
constexpr duration longest_lagging_pause = std::chrono::milliseconds(500);
// Weight of the newest measurement.
constexpr double smoothing = 0.2;
}

link_dispatcher::link_dispatcher(hooks calls, zone_id own_zone)
  : hooks_(std::move(calls))
  , own_zone_(std::move(own_zone))
{
}

void
link_dispatcher::set_members(const std::vector<listed_member>& members, instant now)
{
  std::map<member_id, listed_member> next;
  for (const auto& member : members) {
    next.emplace(member.id, member);
  }
  std::vector<link_number> stale;
  for (const auto& [number, link] : links_) {
    const auto found = next.find(link->member);
    const bool gone = found == next.end() || found->second.draining;
    if (gone && link->state == member_link::link_state::idle) {
      stale.push_back(number);
    }
  }
  members_ = std::move(next);
  for (const auto number : stale) {
    close_link(number);
  }
  tick(now);
}

void
link_dispatcher::set_link_limit(const std::string& group, std::size_t limit)
{
  limits_[group] = limit;
  close_excess(group);
}

// Closes idle connections beyond the limit, so that other instances find room at the member.
void
link_dispatcher::close_excess(const std::string& group)
{
  std::map<member_id, std::size_t> counts;
  std::vector<link_number> excess;
  for (const auto& [number, link] : links_) {
    if (link->group == group && ++counts[link->member] > link_limit(group) &&
        link->state == member_link::link_state::idle) {
      excess.push_back(number);
    }
  }
  for (const auto number : excess) {
    close_link(number);
  }
}

std::size_t
link_dispatcher::link_limit(const std::string& group) const
{
  const auto found = limits_.find(group);
  return found == limits_.end() ? default_link_limit : found->second;
}

const listed_member*
link_dispatcher::member(const member_id& id) const
{
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : &found->second;
}

bool
link_dispatcher::reached(const member_id& id) const
{
  return std::any_of(links_.begin(), links_.end(), [&](const auto& entry) {
    return entry.second->member == id && entry.second->state != member_link::link_state::opening;
  });
}

std::optional<instant>
link_dispatcher::failing_since(const member_id& id) const
{
  const auto found = health_.find(id);
  return found == health_.end() ? std::nullopt : found->second.failing_since;
}

std::size_t
link_dispatcher::count_links(const member_id& id) const
{
  return static_cast<std::size_t>(std::count_if(
    links_.begin(), links_.end(), [&](const auto& entry) { return entry.second->member == id; }));
}

std::optional<std::string>
link_dispatcher::hopeless(const waiting_request& waiting, instant now) const
{
  if (now >= waiting.request.expiry) {
    return "no connection to a member became free in time";
  }
  if (!waiting.request.needs_primary) {
    return std::nullopt;
  }
  const auto leader = hooks_.leader(waiting.request.group);
  if (!leader) {
    return "the primary is not known";
  }
  if (!leader->usable && leader->expected_back && *leader->expected_back > waiting.request.expiry) {
    return "the primary is being replaced";
  }
  return std::nullopt;
}

ticket_number
link_dispatcher::acquire(link_request request,
                         grant_handler granted,
                         refuse_handler refused,
                         instant now)
{
  const ticket_number ticket(++last_ticket_);
  const auto place =
    std::find_if(waiting_.begin(), waiting_.end(), [&](const waiting_request& other) {
      return other.request.target > request.target;
    });
  waiting_.insert(place,
                  { ticket, std::move(request), std::move(granted), std::move(refused), now });
  tick(now);
  return ticket;
}

void
link_dispatcher::cancel(ticket_number ticket)
{
  waiting_.remove_if([&](const waiting_request& waiting) { return waiting.ticket == ticket; });
}

void
link_dispatcher::tick(instant now)
{
  // Handlers may add or remove requests, so each step looks the next one up again.
  std::vector<ticket_number> tickets;
  for (const auto& waiting : waiting_) {
    tickets.push_back(waiting.ticket);
  }
  for (const auto ticket : tickets) {
    const auto found =
      std::find_if(waiting_.begin(), waiting_.end(), [&](const waiting_request& waiting) {
        return waiting.ticket == ticket;
      });
    if (found == waiting_.end()) {
      continue;
    }
    // The entry is moved aside before a handler runs.
    std::list<waiting_request> current;
    const auto next = std::next(found);
    const bool at_end = next == waiting_.end();
    const auto next_ticket = at_end ? ticket_number(0) : next->ticket;
    current.splice(current.begin(), waiting_, found);
    if (const auto reason = hopeless(current.front(), now)) {
      current.front().refused(statement_error::busy, *reason);
      continue;
    }
    if (try_grant(current.front(), now)) {
      continue;
    }
    const auto place =
      at_end ? waiting_.end()
             : std::find_if(waiting_.begin(), waiting_.end(), [&](const waiting_request& waiting) {
                 return waiting.ticket == next_ticket;
               });
    waiting_.splice(place, current);
  }
}

void
link_dispatcher::release(link_number number, duration elapsed, instant now)
{
  const auto found = links_.find(number);
  if (found == links_.end()) {
    return;
  }
  auto& link = *found->second;
  auto& health = health_[link.member];
  if (elapsed > duration::zero()) {
    const auto measured = static_cast<double>(elapsed.count());
    health.statement_time =
      health.statement_time > 0
        ? health.statement_time + smoothing * (measured - health.statement_time)
        : measured;
    health.measured = now;
    health.failing_since.reset();
  }
  link.state = member_link::link_state::idle;
  link.changed = now;
  close_excess(link.group);
  if (!links_.contains(number)) {
    tick(now);
    return;
  }
  const auto* listed = member(link.member);
  if (listed == nullptr || listed->draining) {
    const auto leader = hooks_.leader(link.group);
    if (!leader || leader->member != link.member) {
      close_link(number);
    }
  }
  tick(now);
}

void
link_dispatcher::note_lagging(const member_id& member, instant now)
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
link_dispatcher::note_fresh(const member_id& member)
{
  health_[member].lagging_pause = duration::zero();
}

void
link_dispatcher::link_opened(link_number number, instant now)
{
  const auto found = links_.find(number);
  if (found == links_.end()) {
    return;
  }
  found->second->state = member_link::link_state::idle;
  found->second->changed = now;
  health_[found->second->member].failing_since.reset();
  tick(now);
}

void
link_dispatcher::link_closed(link_number number, bool refused_full, instant now)
{
  const auto found = links_.find(number);
  if (found == links_.end()) {
    return;
  }
  if (found->second->state == member_link::link_state::opening) {
    auto& health = health_[found->second->member];
    health.retry_at = now + (refused_full ? full_pause : reconnect_pause);
    if (!refused_full && !health.failing_since) {
      health.failing_since = now;
    }
  }
  found->second->state = member_link::link_state::closed;
  links_.erase(found);
  tick(now);
}

void
link_dispatcher::close_link(link_number number)
{
  const auto found = links_.find(number);
  if (found == links_.end()) {
    return;
  }
  found->second->state = member_link::link_state::closed;
  links_.erase(found);
  hooks_.close(number);
}

}
