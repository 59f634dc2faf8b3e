#include "ProxyNode/store_follower.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// The store answers within some tens of milliseconds, or some hundreds when it is slow.
constexpr duration call_timeout = std::chrono::milliseconds(800);
// Pauses after a failure: short at first, since most outages are partial and brief.
constexpr duration first_pause = std::chrono::milliseconds(100);
constexpr duration longest_pause = std::chrono::milliseconds(800);

std::uint64_t
milliseconds_of(duration time)
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

}

table_follower::table_follower(boost::asio::io_context& context,
                               store_access& store,
                               std::string table,
                               duration hold,
                               bool follow,
                               handlers calls)
  : store_(store)
  , table_(std::move(table))
  , hold_(hold)
  , follow_(follow)
  , handlers_(std::move(calls))
  , timer_(context)
{
}

void
table_follower::set_active(bool active)
{
  if (active_ == active) {
    return;
  }
  active_ = active;
  if (active_ && !in_flight_) {
    next(duration::zero());
  }
}

void
table_follower::hurry()
{
  if (active_ && !in_flight_) {
    next(duration::zero());
  }
}

void
table_follower::next(duration pause)
{
  timer_.expires_after(pause);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled && active_ && !in_flight_) {
      step();
    }
  });
}

void
table_follower::step()
{
  in_flight_ = true;
  if (complete_ && follow_) {
    read_feed();
    return;
  }
  partial_.clear();
  from_key_.clear();
  read_page();
}

void
table_follower::read_page()
{
  store_.get(platform::target_of_read(table_, from_key_),
             call_timeout,
             [this](const store_reply& reply) { page_arrived(reply); });
}

void
table_follower::read_feed()
{
  // After a failure the store is not asked to hold the call: an answer shows that it is back.
  const auto hold = reachable_ ? hold_ : duration::zero();
  store_.get(platform::target_of_feed(table_, revision_, milliseconds_of(hold)),
             hold + call_timeout,
             [this](const store_reply& reply) { feed_arrived(reply); });
}

// True if the call failed; another one is then due.
bool
table_follower::failed(const store_reply& reply)
{
  if (reply.status == platform::status_ok) {
    failures_ = 0;
    if (!std::exchange(reachable_, true)) {
      handlers_.reachable(true, "status 200");
    }
    return false;
  }
  in_flight_ = false;
  ++failures_;
  if (std::exchange(reachable_, false)) {
    handlers_.reachable(false, "status " + std::to_string(reply.status));
  }
  next(std::min(longest_pause, first_pause * failures_));
  return true;
}

void
table_follower::page_arrived(const store_reply& reply)
{
  if (failed(reply)) {
    return;
  }
  auto page = platform::parse_page(reply.body);
  if (!page) {
    in_flight_ = false;
    handlers_.reachable(false, page.error().message);
    next(longest_pause);
    return;
  }
  if (from_key_.empty()) {
    partial_sent_ = reply.sent;
    partial_revision_ = page.value().store_revision;
  }
  for (auto& row : page.value().rows) {
    from_key_ = row.key;
    partial_[row.key] = std::move(row);
  }
  if (page.value().has_more) {
    // The range includes its first key, which is read twice.
    read_page();
    return;
  }
  rows_ = std::move(partial_);
  revision_ = partial_revision_;
  as_of_ = partial_sent_;
  complete_ = true;
  in_flight_ = false;
  report();
  next(follow_ ? duration::zero() : hold_);
}

void
table_follower::feed_arrived(const store_reply& reply)
{
  if (reply.status == platform::status_gone) {
    complete_ = false;
    in_flight_ = false;
    next(duration::zero());
    return;
  }
  if (failed(reply)) {
    return;
  }
  auto page = platform::parse_page(reply.body);
  in_flight_ = false;
  if (!page) {
    handlers_.reachable(false, page.error().message);
    complete_ = false;
    next(longest_pause);
    return;
  }
  for (auto& row : page.value().rows) {
    if (row.removed) {
      rows_.erase(row.key);
    } else {
      rows_[row.key] = std::move(row);
    }
  }
  revision_ = std::max(revision_, page.value().store_revision);
  as_of_ = reply.sent;
  report();
  next(duration::zero());
}

void
table_follower::report()
{
  handlers_.current(rows_, revision_, as_of_);
}

}
