#include "ProxyNode/member_connection.h"

#include "Net/http_connection.h"
#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <boost/asio/ip/tcp.hpp>

#include <utility>

namespace persimmonshelf {

namespace {

// A member acknowledges what it received within a round trip; a longer silence of its kernel means
// that the path is gone.
constexpr duration unacknowledged_limit = std::chrono::milliseconds(1500);
constexpr duration idle_probe = std::chrono::seconds(2);

}

std::shared_ptr<member_connection>
member_connection::create(boost::asio::io_context& context, introduction who, handlers calls)
{
  return std::shared_ptr<member_connection>(
    new member_connection(context, std::move(who), std::move(calls)));
}

member_connection::member_connection(boost::asio::io_context& context,
                                     introduction who,
                                     handlers calls)
  : context_(context)
  , who_(std::move(who))
  , handlers_(std::move(calls))
  , open_timer_(context)
{
}

void
member_connection::open(duration timeout)
{
  open_timer_.expires_after(timeout);
  open_timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& cancelled) {
    const auto self = weak.lock();
    if (!cancelled && self && !self->ready_) {
      self->broken("no connection within the time limit");
    }
  });
  tcp_address address;
  if (!parse_address(who_.address, address)) {
    boost::asio::post(context_, [self = shared_from_this()] {
      self->broken("address is malformed: " + self->who_.address);
    });
    return;
  }
  stream_ = line_stream::create(boost::asio::ip::tcp::socket(context_), platform::line_limit_bytes);
  boost::system::error_code failure;
  const boost::asio::ip::tcp::endpoint endpoint(
    boost::asio::ip::make_address(address.address, failure), address.port);
  stream_->socket().async_connect(
    endpoint, [self = shared_from_this()](const boost::system::error_code& error) {
      self->connected(error);
    });
}

void
member_connection::connected(const boost::system::error_code& failure)
{
  if (ended_) {
    return;
  }
  if (failure) {
    broken(failure.message());
    return;
  }
  stream_->set_timeouts(unacknowledged_limit, idle_probe);
  std::weak_ptr<member_connection> weak = weak_from_this();
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
  stream_->write(platform::encode_member_start(
    who_.group, who_.workspace.empty() ? "-" : who_.workspace, who_.member));
}

void
member_connection::take_line(std::string_view line)
{
  const auto self = shared_from_this();
  auto parsed = platform::parse_member_message(line);
  if (!parsed) {
    broken(parsed.error().message);
    return;
  }
  using message_kind = platform::member_message::message_kind;
  const auto& message = parsed.value();
  if (!ready_) {
    if (message.kind == message_kind::error) {
      refused_full_ = message.error == statement_error::too_many;
      broken("refused: " + message.text);
      return;
    }
    if (message.kind == message_kind::ready) {
      ready_ = true;
      open_timer_.cancel();
      handlers_.opened();
    }
    return;
  }
  if (pending_.empty()) {
    broken("answer to nothing");
    return;
  }
  auto& current = pending_.front();
  auto& answer = current.reply.answer;
  switch (message.kind) {
    case message_kind::row:
      answer.rows.push_back(message.text);
      return;
    case message_kind::done:
      answer.signature = message.text;
      current.answered = true;
      return;
    case message_kind::error:
      answer.error = message.error;
      answer.error_text = message.text;
      current.answered = true;
      return;
    case message_kind::ready:
      break;
  }
  if (!current.answered) {
    broken("answer ended without a result");
    return;
  }
  answer.state = message.state;
  answer.position = message.position;
  auto finished = std::move(current);
  pending_.pop_front();
  finished.reply.received = boot_now();
  finished.done(std::move(finished.reply));
}

void
member_connection::send(const member_command& command, reply_handler done)
{
  if (ended_) {
    boost::asio::post(context_, [done = std::move(done)] { done({ .lost = true }); });
    return;
  }
  pending next;
  next.done = std::move(done);
  next.reply.sent = boot_now();
  pending_.push_back(std::move(next));
  stream_->write(platform::encode_command(command));
}

std::optional<instant>
member_connection::waiting_since() const
{
  return pending_.empty() ? std::nullopt : std::optional<instant>(pending_.front().reply.sent);
}

void
member_connection::abandon()
{
  if (ended_) {
    return;
  }
  ended_ = true;
  open_timer_.cancel();
  pending_.clear();
  if (stream_) {
    stream_->close(true);
  }
}

void
member_connection::broken(const std::string& reason)
{
  if (ended_) {
    return;
  }
  const auto self = shared_from_this();
  ended_ = true;
  open_timer_.cancel();
  if (stream_) {
    stream_->close(true);
  }
  auto lost = std::exchange(pending_, {});
  handlers_.closed(refused_full_, reason);
  for (auto& entry : lost) {
    entry.reply.lost = true;
    entry.reply.answer = {};
    entry.reply.received = boot_now();
    entry.done(std::move(entry.reply));
  }
}

}
