#include "ProxyNode/member_connection.h"

#include "Net/http_connection.h"
#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <boost/asio/ip/tcp.hpp>

#include <utility>

namespace persimmonshelf {

namespace {

// A member's kernel acknowledges data within a round trip. A longer silence means that the network
// path has failed.
constexpr duration unacknowledged_timeout = std::chrono::milliseconds(1500);
constexpr duration keepalive_idle_time = std::chrono::seconds(2);

}

std::shared_ptr<member_connection>
member_connection::create(boost::asio::io_context& context,
                          connection_target target,
                          handlers callbacks)
{
  return std::shared_ptr<member_connection>(
    new member_connection(context, std::move(target), std::move(callbacks)));
}

member_connection::member_connection(boost::asio::io_context& context,
                                     connection_target target,
                                     handlers callbacks)
  : context_(context)
  , target_(std::move(target))
  , handlers_(std::move(callbacks))
  , open_timer_(context)
{
}

void
member_connection::open(duration timeout, memory_budget::account account)
{
  account_ = std::move(account);
  open_timer_.expires_after(timeout);
  open_timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& cancelled) {
    const auto self = weak.lock();
    if (!cancelled && self && !self->ready_) {
      self->handle_failure("the connection attempt timed out");
    }
  });
  tcp_address address;
  if (!parse_address(target_.address, address)) {
    boost::asio::post(context_, [self = shared_from_this()] {
      self->handle_failure("invalid address: " + self->target_.address);
    });
    return;
  }
  stream_ = line_stream::create(boost::asio::ip::tcp::socket(context_), platform::line_limit_bytes);
  boost::system::error_code failure;
  const boost::asio::ip::tcp::endpoint endpoint(
    boost::asio::ip::make_address(address.address, failure), address.port);
  stream_->socket().async_connect(
    endpoint, [self = shared_from_this()](const boost::system::error_code& error) {
      self->handle_connected(error);
    });
}

void
member_connection::handle_connected(const boost::system::error_code& failure)
{
  if (closed_) {
    return;
  }
  if (failure) {
    handle_failure(failure.message());
    return;
  }
  stream_->set_timeouts(unacknowledged_timeout, keepalive_idle_time);
  stream_->set_account(std::move(account_));
  std::weak_ptr<member_connection> weak = weak_from_this();
  stream_->start({ [weak](std::string_view line) {
                    if (const auto self = weak.lock()) {
                      self->handle_line(line);
                    }
                  },
                   [weak](const std::string& reason) {
                     if (const auto self = weak.lock()) {
                       self->handle_failure(reason);
                     }
                   } });
  const auto start =
    platform::encode_member_start(target_.group, target_.workspace, target_.member);
  if (!start) {
    handle_failure(start.error().message);
    return;
  }
  stream_->write(start.value());
}

void
member_connection::handle_line(std::string_view line)
{
  const auto self = shared_from_this();
  auto parsed = platform::parse_member_message(line);
  if (!parsed) {
    handle_failure(parsed.error().message);
    return;
  }
  using message_kind = platform::member_message::message_kind;
  const auto& message = parsed.value();
  if (!ready_) {
    if (message.kind == message_kind::error) {
      too_many_connections_ = message.error == statement_error::too_many;
      handle_failure("refused: " + message.text);
      return;
    }
    if (message.kind == message_kind::ready) {
      ready_ = true;
      open_timer_.cancel();
      handlers_.opened();
    }
    return;
  }
  if (pending_.empty() || pending_.front().reply.unsent) {
    handle_failure("message received without a command in flight");
    return;
  }
  auto& current = pending_.front();
  auto& answer = current.reply.answer;
  switch (message.kind) {
    case message_kind::row:
      answer.rows.push_back(message.text);
      row_bytes_ += message.text.size() + sizeof(std::string);
      stream_->set_owner_bytes(row_bytes_);
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
    handle_failure("answer ended without a result");
    return;
  }
  answer.state = state_ = message.state;
  answer.position = message.position;
  auto finished = std::move(current);
  pending_.pop_front();
  row_bytes_ = 0;
  stream_->set_owner_bytes(0);
  finished.reply.received = boot_now();
  finished.done(std::move(finished.reply));
  answer_unsent();
}

// Answers the oldest commands up to the first one that was sent.
void
member_connection::answer_unsent()
{
  while (!pending_.empty() && pending_.front().reply.unsent) {
    auto unsent = std::move(pending_.front());
    pending_.pop_front();
    unsent.reply.answer.state = state_;
    unsent.reply.received = boot_now();
    unsent.done(std::move(unsent.reply));
  }
}

void
member_connection::send(const member_command& command, reply_handler done)
{
  if (closed_) {
    boost::asio::post(context_, [done = std::move(done)] { done({ .lost = true }); });
    return;
  }
  pending next;
  next.done = std::move(done);
  next.reply.sent = boot_now();
  auto line = platform::encode_command(command);
  if (!line) {
    next.reply.unsent = true;
    next.reply.answer.error = statement_error::malformed;
    next.reply.answer.error_text = line.error().message;
    pending_.push_back(std::move(next));
    boost::asio::post(context_, [self = shared_from_this()] { self->answer_unsent(); });
    return;
  }
  pending_.push_back(std::move(next));
  stream_->write(line.value());
}

std::optional<instant>
member_connection::oldest_pending_since() const
{
  return pending_.empty() ? std::nullopt : std::optional<instant>(pending_.front().reply.sent);
}

void
member_connection::close()
{
  if (closed_) {
    return;
  }
  closed_ = true;
  open_timer_.cancel();
  pending_.clear();
  if (stream_) {
    stream_->close(true);
  }
}

void
member_connection::handle_failure(const std::string& reason)
{
  if (closed_) {
    return;
  }
  const auto self = shared_from_this();
  closed_ = true;
  open_timer_.cancel();
  if (stream_) {
    stream_->close(true);
  }
  auto lost = std::exchange(pending_, {});
  handlers_.closed(too_many_connections_, reason);
  for (auto& entry : lost) {
    if (!entry.reply.unsent) {
      entry.reply.lost = true;
      entry.reply.answer = {};
    }
    entry.reply.received = boot_now();
    entry.done(std::move(entry.reply));
  }
}

}
