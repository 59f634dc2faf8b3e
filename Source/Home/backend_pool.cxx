#include "Home/backend_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonshelf {

backend_pool::backend_pool(options settings, hooks calls)
  : options_(settings)
  , hooks_(std::move(calls))
{
}

std::size_t
backend_pool::count(state wanted) const
{
  return static_cast<std::size_t>(
    std::count_if(connections_.begin(), connections_.end(), [&](const auto& item) {
      return item.second.now == wanted;
    }));
}

bool
backend_pool::has_idle() const
{
  return !leaving_ && count(state::idle) > 0;
}

std::optional<connection_number>
backend_pool::acquire()
{
  if (leaving_) {
    return std::nullopt;
  }
  auto best = connections_.end();
  for (auto item = connections_.begin(); item != connections_.end(); ++item) {
    if (item->second.now == state::idle &&
        (best == connections_.end() || item->second.since >= best->second.since)) {
      best = item;
    }
  }
  if (best == connections_.end()) {
    return std::nullopt;
  }
  best->second.now = state::busy;
  return best->first;
}

void
backend_pool::release(connection_number number, instant now)
{
  const auto found = connections_.find(number);
  if (found == connections_.end() || found->second.now != state::busy) {
    return;
  }
  alive();
  found->second = { state::idle, now, false };
  close_excess();
}

void
backend_pool::discard(connection_number number, fault reason, instant now)
{
  const auto found = connections_.find(number);
  if (found == connections_.end()) {
    return;
  }
  if (found->second.now == state::opening) {
    // Counted as a failed attempt; otherwise it would be repeated at once and without end.
    return connected(number, false, now);
  }
  connections_.erase(found);
  hooks_.close(number);
  if (reason == fault::silent) {
    suspect(now);
  }
  if (reason == fault::broken) {
    suspicious_ = true;
  }
  open_missing(now);
  judge();
}

void
backend_pool::connected(connection_number number, bool ok, instant now)
{
  const auto found = connections_.find(number);
  if (found == connections_.end() || found->second.now != state::opening) {
    return;
  }
  if (!ok) {
    connections_.erase(found);
    hooks_.close(number);
    attempt_failed(now);
    return;
  }
  if (suspicious_) {
    probe(number, found->second, now);
    return;
  }
  reopen_delay_ = duration(0);
  found->second = { state::idle, now };
}

bool
backend_pool::probing(connection_number number) const
{
  const auto found = connections_.find(number);
  return found != connections_.end() && found->second.now == state::probing;
}

void
backend_pool::probe_ended(connection_number number, bool ok, instant now)
{
  const auto found = connections_.find(number);
  if (found == connections_.end() || found->second.now != state::probing) {
    return;
  }
  if (ok) {
    alive();
    found->second = { state::idle, now, false };
    close_excess();
    open_missing(now);
    return;
  }
  const bool fresh = found->second.fresh;
  connections_.erase(found);
  hooks_.close(number);
  suspect(now);
  // A connection that was opened during a fault and does not answer its first probe counts as a
  // failed attempt; an old one that went silent leads to a fresh attempt first.
  if (fresh) {
    attempt_failed(now);
    return;
  }
  open_missing(now);
  judge();
}

void
backend_pool::tick(instant now)
{
  std::vector<std::pair<connection_number, state>> overdue;
  for (auto& [number, item] : connections_) {
    const duration age = now - item.since;
    if ((item.now == state::opening && age >= options_.connect_timeout) ||
        (item.now == state::probing && age >= options_.probe_timeout)) {
      overdue.emplace_back(number, item.now);
    }
    if (item.now == state::idle && age >= options_.probe_after) {
      probe(number, item, now);
    }
  }
  for (const auto& [number, was] : overdue) {
    if (was == state::opening) {
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
backend_pool::resize(std::size_t cap, std::size_t kept_open, instant now)
{
  options_.cap = cap;
  options_.kept_open = kept_open;
  close_excess();
  open_missing(now);
}

void
backend_pool::open_missing(instant now)
{
  const std::size_t wanted = std::min(options_.cap, options_.kept_open);
  while (!leaving_ && connections_.size() < wanted && now >= next_open_) {
    if (suspicious_ && count(state::opening) > 0) {
      return;
    }
    const connection_number number(++last_number_);
    connections_.emplace(number, connection{ state::opening, now });
    hooks_.open(number);
  }
}

void
backend_pool::probe(connection_number number, connection& target, instant now)
{
  target = { state::probing, now, target.fresh };
  hooks_.probe(number);
}

// Open connections can go silent while new ones work, so a failure of one puts the idle ones in
// doubt: each answers a probe before it is used again.
void
backend_pool::suspect(instant now)
{
  suspicious_ = true;
  for (auto& [number, item] : connections_) {
    if (item.now == state::idle) {
      probe(number, item, now);
    }
  }
}

void
backend_pool::alive()
{
  suspicious_ = false;
  attempt_failed_ = false;
  down_ = false;
  reopen_delay_ = duration(0);
  next_open_ = instant();
}

void
backend_pool::attempt_failed(instant now)
{
  attempt_failed_ = true;
  reopen_delay_ = std::clamp(reopen_delay_ * 2, options_.reopen_first, options_.reopen_limit);
  next_open_ = now + reopen_delay_;
  suspect(now);
  judge();
}

void
backend_pool::judge()
{
  if (attempt_failed_ && count(state::idle) == 0 && count(state::probing) == 0) {
    down_ = true;
  }
}

void
backend_pool::close_excess()
{
  const std::size_t allowed = leaving_ ? 0 : options_.cap;
  for (auto item = connections_.begin(); item != connections_.end();) {
    const bool unused = item->second.now != state::busy;
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
