#include "ProxyNode/table_watcher.h"

#include "Base/guarded_call.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// The store answers within tens of milliseconds, or hundreds under load.
constexpr duration call_timeout = std::chrono::milliseconds(800);
// Retry delays after a failure. They start short, because most outages are partial and brief.
constexpr duration initial_retry_delay = std::chrono::milliseconds(100);
constexpr duration max_retry_delay = std::chrono::milliseconds(800);

std::uint64_t
milliseconds_of(duration time)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}

table_watcher::table_watcher(boost::asio::io_context& context,
                             api_client& store,
                             std::string table,
                             duration poll_wait,
                             bool incremental,
                             handlers callbacks)
  : store_(store)
  , table_(std::move(table))
  , poll_wait_(poll_wait)
  , incremental_(incremental)
  , handlers_(std::move(callbacks))
  , timer_(context)
{
}

void
table_watcher::set_active(bool active)
{
  if (active_ == active) {
    return;
  }
  active_ = active;
  if (active_ && !in_flight_) {
    schedule_poll(duration::zero());
  }
}

void
table_watcher::poll_now()
{
  if (active_ && !in_flight_) {
    schedule_poll(duration::zero());
  }
}

void
table_watcher::schedule_poll(duration delay)
{
  timer_.expires_after(delay);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && active_ && !in_flight_) {
      poll();
    }
  });
}

void
table_watcher::poll()
{
  in_flight_ = true;
  if (has_snapshot_ && incremental_) {
    read_changes();
    return;
  }
  pending_rows_.clear();
  from_key_.clear();
  read_page();
}

void
table_watcher::read_page()
{
  store_.get(platform::read_target(table_, from_key_),
             call_timeout,
             [this](const api_reply& reply) { handle_page(reply); });
}

void
table_watcher::read_changes()
{
  // After a failure the store answers at once instead of holding the call, so that its recovery
  // shows immediately.
  const auto poll_wait = reachable_ ? poll_wait_ : duration::zero();
  store_.get(platform::feed_target(table_, version_, milliseconds_of(poll_wait)),
             poll_wait + call_timeout,
             [this](const api_reply& reply) { handle_changes(reply); });
}

// Returns true if the call failed. The next attempt is then scheduled.
bool
table_watcher::check_failure(const api_reply& reply)
{
  if (reply.status == platform::status_ok) {
    failures_ = 0;
    if (!std::exchange(reachable_, true)) {
      handlers_.reachability_changed(true, "status 200");
    }
    return false;
  }
  in_flight_ = false;
  ++failures_;
  if (std::exchange(reachable_, false)) {
    handlers_.reachability_changed(false, "status " + std::to_string(reply.status));
  }
  schedule_poll(std::min(max_retry_delay, initial_retry_delay * failures_));
  return true;
}

void
table_watcher::handle_page(const api_reply& reply)
{
  if (check_failure(reply)) {
    return;
  }
  auto page = platform::parse_page(reply.body, reply.era);
  if (!page) {
    in_flight_ = false;
    handlers_.reachability_changed(false, page.error().message);
    schedule_poll(max_retry_delay);
    return;
  }
  if (from_key_.empty()) {
    pending_read_at_ = reply.sent;
    pending_version_ = page.value().newest;
  } else if (reply.era != pending_version_.era()) {
    // The first pages are of another history than this one.
    read_again();
    return;
  }
  for (auto& row : page.value().rows) {
    from_key_ = row.key;
    pending_rows_[row.key] = std::move(row);
  }
  if (page.value().has_more) {
    // The key range includes its first key, so that row is read twice.
    read_page();
    return;
  }
  rows_ = std::move(pending_rows_);
  version_ = pending_version_;
  confirmed_at_ = pending_read_at_;
  has_snapshot_ = true;
  in_flight_ = false;
  notify();
  schedule_poll(incremental_ ? duration::zero() : poll_wait_);
}

void
table_watcher::handle_changes(const api_reply& reply)
{
  if (reply.status == platform::status_gone) {
    read_again();
    return;
  }
  if (check_failure(reply)) {
    return;
  }
  if (reply.era != version_.era()) {
    // The store may have passed the revision in its new history, with other changes before it.
    read_again();
    return;
  }
  auto page = platform::parse_page(reply.body, reply.era);
  in_flight_ = false;
  if (!page) {
    handlers_.reachability_changed(false, page.error().message);
    has_snapshot_ = false;
    schedule_poll(max_retry_delay);
    return;
  }
  for (auto& row : page.value().rows) {
    if (row.removed) {
      rows_.erase(row.key);
    } else {
      rows_[row.key] = std::move(row);
    }
  }
  version_ = std::max(version_, page.value().newest);
  confirmed_at_ = reply.sent;
  notify();
  schedule_poll(duration::zero());
}

// Reads the whole table instead of its changes.
void
table_watcher::read_again()
{
  has_snapshot_ = false;
  in_flight_ = false;
  schedule_poll(duration::zero());
}

void
table_watcher::notify()
{
  const auto failure = guarded_call([this] { handlers_.updated(rows_, version_, confirmed_at_); });
  if (failure) {
    handlers_.reachability_changed(false, "the rows cannot be used: " + *failure);
  }
}

}
