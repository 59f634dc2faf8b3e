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
// Time of a statement that is assumed until one was measured.
constexpr double assumed_statement_us = 15000;
// Weight of the newest measurement.
constexpr double smoothing = 0.2;
// A measurement loses its weight with this time constant, so that a member that was slow is tried
// again.
constexpr double memory_us = 1.5e6;
// Added to the cost of members in other zones: their round trip, and the bytes are paid for.
constexpr double other_zone_us = 4000;

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

double
link_dispatcher::expected_cost(const listed_member& member, instant now) const
{
  double statement = assumed_statement_us;
  if (const auto found = health_.find(member.id); found != health_.end()) {
    const auto& health = found->second;
    if (health.statement_time > 0) {
      const auto age = static_cast<double>((now - health.measured).count());
      const double weight = std::exp(-age / memory_us);
      statement = weight * health.statement_time + (1 - weight) * assumed_statement_us;
    }
  }
  std::size_t in_use = 0;
  for (const auto& [number, link] : links_) {
    if (link->member == member.id && link->state == member_link::link_state::in_use) {
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
link_dispatcher::candidates(const link_request& request, instant now) const
{
  std::vector<std::pair<double, const listed_member*>> ranked;
  const auto leader = hooks_.leader(request.group);
  for (const auto& [id, member] : members_) {
    if (member.group != request.group || request.avoid == id) {
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
  for (const auto& entry : ranked) {
    members.push_back(entry.second);
  }
  return members;
}

std::shared_ptr<member_link>
link_dispatcher::idle_link(const listed_member& member, const link_request& request)
{
  std::shared_ptr<member_link> best;
  for (auto& [number, link] : links_) {
    if (link->member != member.id || link->state != member_link::link_state::idle ||
        link->workspace != request.workspace) {
      continue;
    }
    if (link->values == request.values) {
      return link;
    }
    best = link;
  }
  return best;
}

bool
link_dispatcher::may_open(const listed_member& member, instant now) const
{
  if (draining_ || count_links(member.id) >= link_limit(member.group)) {
    return false;
  }
  const auto found = health_.find(member.id);
  return found == health_.end() || now >= found->second.retry_at;
}

void
link_dispatcher::open(const listed_member& member, const workspace_id& workspace, instant now)
{
  const auto link = std::make_shared<member_link>();
  link->number = link_number(++last_link_);
  link->member = member.id;
  link->group = member.group;
  link->workspace = workspace;
  link->changed = now;
  links_.emplace(link->number, link);
  hooks_.open(*link, member);
}

bool
link_dispatcher::try_grant(waiting_request& waiting, instant now)
{
  const auto ranked = candidates(waiting.request, now);
  // An idle connection of the workspace at any member beats a new one at a better member:
  // connecting costs as much as a statement.
  for (const auto* member : ranked) {
    if (auto link = idle_link(*member, waiting.request)) {
      link->state = member_link::link_state::in_use;
      link->changed = now;
      // The handler may call back into the dispatcher.
      const auto granted = std::move(waiting.granted);
      granted(std::move(link));
      return true;
    }
  }
  const bool opening = std::any_of(links_.begin(), links_.end(), [&](const auto& entry) {
    const auto& link = *entry.second;
    return link.state == member_link::link_state::opening &&
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
      open(*member, waiting.request.workspace, now);
      return false;
    }
  }
  for (const auto* member : ranked) {
    if (const auto number = replaceable_link(*member, waiting.request.workspace)) {
      close_link(*number);
      open(*member, waiting.request.workspace, now);
      return false;
    }
  }
  return false;
}

// The idle connection of another workspace that was used longest ago.
std::optional<link_number>
link_dispatcher::replaceable_link(const listed_member& member, const workspace_id& workspace) const
{
  const member_link* oldest = nullptr;
  for (const auto& [number, link] : links_) {
    if (link->member == member.id && link->state == member_link::link_state::idle &&
        link->workspace != workspace && (oldest == nullptr || link->changed < oldest->changed)) {
      oldest = link.get();
    }
  }
  return oldest == nullptr ? std::nullopt : std::optional<link_number>(oldest->number);
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
  const auto* listed = member(link.member);
  if (draining_ || listed == nullptr || listed->draining) {
    const auto leader = hooks_.leader(link.group);
    if (draining_ || !leader || leader->member != link.member) {
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

void
link_dispatcher::drain()
{
  draining_ = true;
  std::vector<link_number> idle;
  for (const auto& [number, link] : links_) {
    if (link->state == member_link::link_state::idle) {
      idle.push_back(number);
    }
  }
  for (const auto number : idle) {
    close_link(number);
  }
}

}
