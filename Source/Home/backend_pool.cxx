#include "Home/backend_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonshelf {

backend_pool::backend_pool(options pool_options, hooks pool_hooks)
  : options_(pool_options)
  , hooks_(std::move(pool_hooks))
{
}

std::size_t
backend_pool::count(connection_state wanted) const
{
  return static_cast<std::size_t>(
    std::count_if(connections_.begin(), connections_.end(), [&](const auto& item) {
      return item.second.state == wanted;
    }));
}

bool
backend_pool::has_idle() const
{
  return !leaving_ && count(connection_state::idle) > 0;
}

std::optional<connection_number>
backend_pool::acquire()
{
  if (leaving_) {
    return std::nullopt;
  }
  auto most_recent = connections_.end();
  for (auto item = connections_.begin(); item != connections_.end(); ++item) {
    if (item->second.state == connection_state::idle &&
        (most_recent == connections_.end() ||
         item->second.state_since >= most_recent->second.state_since)) {
      most_recent = item;
    }
  }
  if (most_recent == connections_.end()) {
    return std::nullopt;
  }
  most_recent->second.state = connection_state::busy;
  return most_recent->first;
}

void
backend_pool::release(connection_number number, instant now)
{
  const auto found = connections_.find(number);
  if (found == connections_.end() || found->second.state != connection_state::busy) {
    return;
  }
  mark_up();
  found->second = { connection_state::idle, now, false };
  close_excess();
}

void
backend_pool::discard(connection_number number, fault reason, instant now)
{
  const auto found = connections_.find(number);
  if (found == connections_.end()) {
    return;
  }
  if (found->second.state == connection_state::opening) {
    // Count this as a failed attempt, so that the reopen delay applies. Otherwise the pool would
    // retry at once, in an endless loop.
    return connected(number, false, now);
  }
  connections_.erase(found);
  hooks_.close(number);
  if (reason == fault::unresponsive) {
    probe_idle_connections(now);
  }
  if (reason == fault::broken) {
    probe_before_use_ = true;
  }
  open_missing(now);
  update_down();
}

void
backend_pool::connected(connection_number number, bool ok, instant now)
{
  const auto found = connections_.find(number);
  if (found == connections_.end() || found->second.state != connection_state::opening) {
    return;
  }
  if (!ok) {
    connections_.erase(found);
    hooks_.close(number);
    record_failed_attempt(now);
    return;
  }
  if (probe_before_use_) {
    probe(number, found->second, now);
    return;
  }
  reopen_delay_ = duration(0);
  found->second = { connection_state::idle, now };
}

bool
backend_pool::is_probing(connection_number number) const
{
  const auto found = connections_.find(number);
  return found != connections_.end() && found->second.state == connection_state::probing;
}

void
backend_pool::probe_ended(connection_number number, bool ok, instant now)
{
  const auto found = connections_.find(number);
  if (found == connections_.end() || found->second.state != connection_state::probing) {
    return;
  }
  if (ok) {
    mark_up();
    found->second = { connection_state::idle, now, false };
    close_excess();
    open_missing(now);
    return;
  }
  const bool unverified = found->second.unverified;
  connections_.erase(found);
  hooks_.close(number);
  probe_idle_connections(now);
  // A new connection that does not answer its first probe counts as a failed attempt. An
  // established connection that stops answering does not: a new connection is tried first.
  if (unverified) {
    record_failed_attempt(now);
    return;
  }
  open_missing(now);
  update_down();
}

void
backend_pool::tick(instant now)
{
  std::vector<std::pair<connection_number, connection_state>> overdue;
  for (auto& [number, item] : connections_) {
    const duration age = now - item.state_since;
    if ((item.state == connection_state::opening && age >= options_.connect_timeout) ||
        (item.state == connection_state::probing && age >= options_.probe_timeout)) {
      overdue.emplace_back(number, item.state);
    }
    if (item.state == connection_state::idle && age >= options_.probe_idle_after) {
      probe(number, item, now);
    }
  }
  for (const auto& [number, state] : overdue) {
    if (state == connection_state::opening) {
      connected(number, false, now);
    } else {
      probe_ended(number, false, now);
    }
  }
  open_missing(now);
}

void
backend_pool::set_leaving(bool leaving)
{
  leaving_ = leaving;
  close_excess();
}

void
backend_pool::resize(std::size_t max_connections, std::size_t target_connections, instant now)
{
  options_.max_connections = max_connections;
  options_.target_connections = target_connections;
  close_excess();
  open_missing(now);
}

void
backend_pool::open_missing(instant now)
{
  const std::size_t wanted = std::min(options_.max_connections, options_.target_connections);
  while (!leaving_ && connections_.size() < wanted && now >= next_open_) {
    if (probe_before_use_ && count(connection_state::opening) > 0) {
      return;
    }
    const connection_number number(++last_number_);
    connections_.emplace(number, connection{ connection_state::opening, now });
    hooks_.open(number);
  }
}

void
backend_pool::probe(connection_number number, connection& target, instant now)
{
  target = { connection_state::probing, now, target.unverified };
  hooks_.probe(number);
}

// Established connections can become unresponsive while new ones work. After one fails, each idle
// connection must answer a probe before it is used again.
void
backend_pool::probe_idle_connections(instant now)
{
  probe_before_use_ = true;
  for (auto& [number, item] : connections_) {
    if (item.state == connection_state::idle) {
      probe(number, item, now);
    }
  }
}

void
backend_pool::mark_up()
{
  probe_before_use_ = false;
  new_connection_failed_ = false;
  down_ = false;
  reopen_delay_ = duration(0);
  next_open_ = instant();
}

void
backend_pool::record_failed_attempt(instant now)
{
  new_connection_failed_ = true;
  reopen_delay_ =
    std::clamp(reopen_delay_ * 2, options_.min_reopen_delay, options_.max_reopen_delay);
  next_open_ = now + reopen_delay_;
  probe_idle_connections(now);
  update_down();
}

void
backend_pool::update_down()
{
  if (new_connection_failed_ && count(connection_state::idle) == 0 &&
      count(connection_state::probing) == 0) {
    down_ = true;
  }
}

void
backend_pool::close_excess()
{
  const std::size_t allowed = leaving_ ? 0 : options_.max_connections;
  for (auto item = connections_.begin(); item != connections_.end();) {
    const bool unused = item->second.state != connection_state::busy;
    if (connections_.size() <= allowed || !unused) {
      ++item;
      continue;
    }
    const auto number = item->first;
    item = connections_.erase(item);
    hooks_.close(number);
  }
}

}
