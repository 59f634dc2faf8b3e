#include "ProxyNode/relay_send_queue.h"

#include <utility>

namespace persimmonshelf {

namespace {

// A message is passed on while fewer bytes than this wait to be sent on the connection. They take
// 50 ms at 10 Mbit/s, which bounds the delay of pings together with one message.
constexpr std::size_t connection_window_bytes = 64 << 10;

}

relay_send_queue::relay_send_queue(std::shared_ptr<line_stream> stream, account_opener open_account)
  : stream_(std::move(stream))
  , open_account_(std::move(open_account))
{
}

bool
relay_send_queue::connection_has_room() const
{
  return stream_->is_open() && stream_->unsent_bytes() < connection_window_bytes;
}

void
relay_send_queue::push(std::uint64_t session, std::string message)
{
  if (queues_.empty() && connection_has_room()) {
    last_session_ = session;
    stream_->write(message);
    return;
  }
  auto& queue = queues_[session];
  if (queue.messages.empty() && open_account_) {
    queue.account = open_account_(session);
  }
  queue.bytes += message.size();
  queue.messages.push_back(std::move(message));
  queue.account.set(queue.bytes);
  pump();
}

void
relay_send_queue::discard(std::uint64_t session)
{
  queues_.erase(session);
}

void
relay_send_queue::pump()
{
  while (!queues_.empty() && connection_has_room()) {
    auto next = queues_.upper_bound(last_session_);
    if (next == queues_.end()) {
      next = queues_.begin();
    }
    last_session_ = next->first;
    auto& queue = next->second;
    const auto message = std::move(queue.messages.front());
    queue.messages.pop_front();
    queue.bytes -= message.size();
    queue.account.set(queue.bytes);
    if (queue.messages.empty()) {
      queues_.erase(next);
    }
    stream_->write(message);
  }
}

std::size_t
relay_send_queue::bytes_of(std::uint64_t session) const
{
  const auto found = queues_.find(session);
  return found == queues_.end() ? 0 : found->second.bytes;
}

}
