#include "ProxyNode/carrier_connection.h"

#include "Net/http_connection.h"
#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

using message_kind = relay_message::message_kind;

constexpr duration ping_period = std::chrono::milliseconds(500);
// A carrier that sends nothing for this long, including answers to pings, is treated as failed.
constexpr duration silence_timeout = std::chrono::milliseconds(1300);
// The same without sessions. Each instance has a connection to each carrier, and most are unused.
constexpr duration unused_ping_period = std::chrono::milliseconds(2000);
constexpr duration unused_silence_timeout = std::chrono::milliseconds(4500);
constexpr duration connect_timeout = std::chrono::milliseconds(600);
constexpr duration reconnect_delay = std::chrono::milliseconds(300);
constexpr duration unacknowledged_timeout = std::chrono::milliseconds(1500);
constexpr duration keepalive_idle_time = std::chrono::seconds(2);
// Kind, number and space before a caller's message.
constexpr std::size_t header_bytes = 32;

}

std::shared_ptr<carrier_connection>
carrier_connection::create(boost::asio::io_context& context, std::string address, hooks callbacks)
{
  return std::shared_ptr<carrier_connection>(
    new carrier_connection(context, std::move(address), std::move(callbacks)));
}

carrier_connection::carrier_connection(boost::asio::io_context& context,
                                       std::string address,
                                       hooks callbacks)
  : context_(context)
  , address_(std::move(address))
  , hooks_(std::move(callbacks))
{
}

void
carrier_connection::connect(instant now)
{
  tcp_address address;
  if (!parse_address(address_, address)) {
    // The address of a decoded plan is expected to be valid. A new plan replaces this connection.
    closed_ = true;
    return;
  }
  connecting_ = true;
  last_activity_at_ = now;
  stream_ = line_stream::create(boost::asio::ip::tcp::socket(context_),
                                platform::line_limit_bytes + header_bytes);
  boost::system::error_code failure;
  const boost::asio::ip::tcp::endpoint endpoint(
    boost::asio::ip::make_address(address.address, failure), address.port);
  auto& socket = stream_->socket();
  socket.open(endpoint.protocol(), failure);
  socket.set_option(
    boost::asio::socket_base::receive_buffer_size(line_stream::instance_buffer_bytes), failure);
  socket.set_option(boost::asio::socket_base::send_buffer_size(line_stream::instance_buffer_bytes),
                    failure);
  socket.async_connect(
    endpoint,
    [self = shared_from_this(), stream = stream_](const boost::system::error_code& error) {
      if (self->stream_ == stream && self->connecting_) {
        self->handle_connected(error);
      }
    });
}

void
carrier_connection::handle_connected(const boost::system::error_code& failure)
{
  if (failure) {
    handle_failure(failure.message());
    return;
  }
  connecting_ = false;
  up_ = true;
  leaving_ = false;
  last_activity_at_ = boot_now();
  last_ping_at_ = last_activity_at_;
  stream_->set_timeouts(unacknowledged_timeout, keepalive_idle_time);
  std::weak_ptr<carrier_connection> weak = weak_from_this();
  stream_->start({ [weak](std::string_view line) {
                    if (const auto self = weak.lock()) {
                      self->handle_line(line);
                    }
                  },
                   [weak](const std::string& reason) {
                     if (const auto self = weak.lock()) {
                       self->handle_failure(reason);
                     }
                   },
                   {},
                   [weak] {
                     if (const auto self = weak.lock(); self && self->queue_) {
                       self->queue_->pump();
                     }
                   } });
  queue_.emplace(stream_);
  send_version(hooks_.highest_version());
  hooks_.state_changed(true, "connected");
}

void
carrier_connection::tick(instant now)
{
  if (!closed_ && draining_ && sessions_.empty()) {
    closed_ = true;
    handle_failure("the carrier is no longer in the plan");
  }
  if (closed_) {
    return;
  }
  if (connecting_) {
    if (now - last_activity_at_ > connect_timeout) {
      handle_failure("the connection attempt timed out");
    }
    return;
  }
  if (!up_) {
    if (now >= retry_at_) {
      connect(now);
    }
    return;
  }
  stream_->tick(now);
  if (!up_) {
    return;
  }
  const auto silent_since = std::max(last_activity_at_, in_use_since_);
  if (now - silent_since > (sessions_.empty() ? unused_silence_timeout : silence_timeout)) {
    handle_failure("the carrier sent nothing within the time limit");
    return;
  }
  if (now - last_ping_at_ >= (sessions_.empty() ? unused_ping_period : ping_period)) {
    last_ping_at_ = now;
    write(message_kind::ping, ++last_ping_number_, {});
  }
}

void
carrier_connection::handle_line(std::string_view line)
{
  const auto self = shared_from_this();
  last_activity_at_ = boot_now();
  const auto parsed = parse_relay_message(line);
  if (!parsed) {
    handle_failure(parsed.error().message);
    return;
  }
  const auto& message = parsed.value();
  if (message.kind == message_kind::version) {
    hooks_.version_received(message.number);
    return;
  }
  if (message.kind == message_kind::coordinator) {
    hooks_.coordinator_received(message.number, message.text);
    return;
  }
  if (message.kind == message_kind::leaving) {
    leaving_ = true;
    hooks_.state_changed(false, "the carrier is stopping");
    return;
  }
  const auto found = sessions_.find(message.number);
  if (found == sessions_.end()) {
    // The answer to a ping, or a message of a session that was closed here in the meantime.
    return;
  }
  if (message.kind == message_kind::data) {
    const auto handler = found->second.line;
    handler(message.text);
  } else if (message.kind == message_kind::redirect || message.kind == message_kind::close) {
    const auto handlers = std::move(found->second);
    sessions_.erase(found);
    if (message.kind == message_kind::redirect) {
      handlers.redirected(message.text);
    } else {
      handlers.closed(message.text == all_answered_text ? end_reason::ended_all_answered
                                                        : end_reason::ended);
    }
  }
}

std::uint64_t
carrier_connection::open(const std::string& first_line,
                         bool without_redirect,
                         stream_handlers callbacks)
{
  const auto number = ++last_stream_number_;
  if (sessions_.empty()) {
    in_use_since_ = boot_now();
  }
  sessions_.emplace(number, std::move(callbacks));
  queue(without_redirect ? message_kind::open_without_redirect : message_kind::open,
        number,
        first_line);
  return number;
}

void
carrier_connection::send(std::uint64_t stream, std::string_view line)
{
  queue(message_kind::data, stream, line);
}

void
carrier_connection::close(std::uint64_t stream)
{
  if (sessions_.erase(stream) > 0) {
    if (queue_) {
      queue_->discard(stream);
    }
    queue(message_kind::close, stream, {});
  }
}

void
carrier_connection::send_version(std::uint64_t version)
{
  write(message_kind::version, version, {});
}

void
carrier_connection::write(message_kind kind, std::uint64_t number, std::string_view text)
{
  const auto line = encode_relay_message({ kind, number, std::string(text) });
  if (up_ && line) {
    stream_->write(line.value());
  }
}

void
carrier_connection::queue(message_kind kind, std::uint64_t session, std::string_view text)
{
  if (!up_ || !queue_) {
    return;
  }
  if (auto line = encode_relay_message({ kind, session, std::string(text) })) {
    queue_->push(session, std::move(line.value()));
    return;
  }
  // Not a line, so no caller sent it. The session ends, because its answer would never arrive.
  boost::asio::post(context_, [self = shared_from_this(), session] {
    if (const auto found = self->sessions_.find(session); found != self->sessions_.end()) {
      const auto handlers = std::move(found->second);
      self->close(session);
      handlers.closed(end_reason::ended);
    }
  });
}

void
carrier_connection::drain()
{
  draining_ = true;
}

void
carrier_connection::handle_failure(const std::string& reason)
{
  const auto self = shared_from_this();
  const bool was_up = std::exchange(up_, false);
  connecting_ = false;
  queue_.reset();
  retry_at_ = boot_now() + reconnect_delay;
  if (stream_) {
    stream_->close(true);
  }
  auto ended = std::exchange(sessions_, {});
  if (was_up) {
    hooks_.state_changed(false, reason);
  }
  for (auto& [number, handlers] : ended) {
    handlers.closed(end_reason::connection_failed);
  }
}

}
