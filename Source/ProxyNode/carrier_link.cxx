#include "ProxyNode/carrier_link.h"

#include "Net/http_connection.h"
#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <utility>

namespace persimmonshelf {

namespace {

using message_kind = relay_message::message_kind;

constexpr duration ping_period = std::chrono::milliseconds(500);
// A carrier that sent nothing for this long, pings included, counts as gone.
constexpr duration silence_limit = std::chrono::milliseconds(1300);
constexpr duration connect_limit = std::chrono::milliseconds(600);
constexpr duration reconnect_pause = std::chrono::milliseconds(300);
constexpr duration unacknowledged_limit = std::chrono::milliseconds(1500);
constexpr duration idle_probe = std::chrono::seconds(2);
// Kind, number and blank before a caller's message.
constexpr std::size_t header_bytes = 32;

}

std::shared_ptr<carrier_link>
carrier_link::create(boost::asio::io_context& context, std::string address, hooks calls)
{
  return std::shared_ptr<carrier_link>(
    new carrier_link(context, std::move(address), std::move(calls)));
}

carrier_link::carrier_link(boost::asio::io_context& context, std::string address, hooks calls)
  : context_(context)
  , address_(std::move(address))
  , hooks_(std::move(calls))
{
}

void
carrier_link::connect(instant now)
{
  tcp_address address;
  if (!parse_address(address_, address)) {
    // The plan is checked when it is read; a new plan replaces this link.
    shut_ = true;
    return;
  }
  connecting_ = true;
  heard_ = now;
  stream_ = line_stream::create(boost::asio::ip::tcp::socket(context_),
                                platform::line_limit_bytes + header_bytes);
  boost::system::error_code failure;
  const boost::asio::ip::tcp::endpoint endpoint(
    boost::asio::ip::make_address(address.address, failure), address.port);
  stream_->socket().async_connect(
    endpoint,
    [self = shared_from_this(), stream = stream_](const boost::system::error_code& error) {
      if (self->stream_ == stream && self->connecting_) {
        self->connected(error);
      }
    });
}

void
carrier_link::connected(const boost::system::error_code& failure)
{
  if (failure) {
    broken(failure.message());
    return;
  }
  connecting_ = false;
  up_ = true;
  leaving_ = false;
  heard_ = boot_now();
  pinged_ = heard_;
  stream_->set_timeouts(unacknowledged_limit, idle_probe);
  std::weak_ptr<carrier_link> weak = weak_from_this();
  stream_->start({ [weak](std::string_view line) {
                    if (const auto self = weak.lock()) {
                      self->take_line(line);
                    }
                  },
                   [weak](const std::string& reason) {
                     if (const auto self = weak.lock()) {
                       self->broken(reason);
                     }
                   } });
  send_version(hooks_.highest_version());
  hooks_.changed(true, "connected");
}

void
carrier_link::tick(instant now)
{
  if (!shut_ && retiring_ && sessions_.empty()) {
    shut_ = true;
    broken("no longer a carrier");
  }
  if (shut_) {
    return;
  }
  if (connecting_) {
    if (now - heard_ > connect_limit) {
      broken("no connection within the time limit");
    }
    return;
  }
  if (!up_) {
    if (now >= retry_at_) {
      connect(now);
    }
    return;
  }
  if (now - heard_ > silence_limit) {
    broken("the carrier is silent");
    return;
  }
  if (now - pinged_ >= ping_period) {
    pinged_ = now;
    write(message_kind::ping, ++last_ping_, {});
  }
}

void
carrier_link::take_line(std::string_view line)
{
  const auto self = shared_from_this();
  heard_ = boot_now();
  const auto parsed = parse_relay(line);
  if (!parsed) {
    broken(parsed.error().message);
    return;
  }
  const auto& message = parsed.value();
  if (message.kind == message_kind::version) {
    hooks_.version(message.number);
    return;
  }
  if (message.kind == message_kind::coordinator) {
    hooks_.coordinator(message.number, message.text);
    return;
  }
  if (message.kind == message_kind::leaving) {
    leaving_ = true;
    hooks_.changed(false, "the carrier stops");
    return;
  }
  const auto found = sessions_.find(message.number);
  if (found == sessions_.end()) {
    // A pong, or a session that was closed here meanwhile.
    return;
  }
  if (message.kind == message_kind::data) {
    const auto handler = found->second.line;
    handler(message.text);
  } else if (message.kind == message_kind::moved || message.kind == message_kind::close) {
    const auto handlers = std::move(found->second);
    sessions_.erase(found);
    if (message.kind == message_kind::moved) {
      handlers.moved(message.text);
    } else {
      handlers.closed(true);
    }
  }
}

std::uint64_t
carrier_link::open(const std::string& first_line, bool insisting, stream_handlers calls)
{
  const auto number = ++last_stream_;
  sessions_.emplace(number, std::move(calls));
  write(insisting ? message_kind::open_insisting : message_kind::open, number, first_line);
  return number;
}

void
carrier_link::send(std::uint64_t stream, std::string_view line)
{
  write(message_kind::data, stream, line);
}

void
carrier_link::close(std::uint64_t stream)
{
  if (sessions_.erase(stream) > 0) {
    write(message_kind::close, stream, {});
  }
}

void
carrier_link::send_version(std::uint64_t version)
{
  write(message_kind::version, version, {});
}

void
carrier_link::write(message_kind kind, std::uint64_t number, std::string_view text)
{
  if (up_) {
    stream_->write(encode_relay({ kind, number, std::string(text) }));
  }
}

void
carrier_link::retire()
{
  retiring_ = true;
}

void
carrier_link::broken(const std::string& reason)
{
  const auto self = shared_from_this();
  const bool was_up = std::exchange(up_, false);
  connecting_ = false;
  retry_at_ = boot_now() + reconnect_pause;
  if (stream_) {
    stream_->close(true);
  }
  auto ended = std::exchange(sessions_, {});
  if (was_up) {
    hooks_.changed(false, reason);
  }
  for (auto& [number, handlers] : ended) {
    handlers.closed(false);
  }
}

}
