#include "ProxyNode/caller_connection.h"

#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration unacknowledged_limit = std::chrono::seconds(5);
constexpr duration idle_probe = std::chrono::seconds(10);
// A caller gives up after two seconds; an instance that starts knows the configuration earlier.
constexpr duration begin_limit = std::chrono::milliseconds(1500);
// Messages that a caller may send ahead of the answers.
constexpr std::size_t waiting_limit = 16;

}

std::shared_ptr<caller_connection>
caller_connection::create(boost::asio::ip::tcp::socket socket, handlers calls)
{
  return std::shared_ptr<caller_connection>(
    new caller_connection(std::move(socket), std::move(calls)));
}

caller_connection::caller_connection(boost::asio::ip::tcp::socket socket, handlers calls)
  : stream_(line_stream::create(std::move(socket), platform::line_limit_bytes))
  , handlers_(std::move(calls))
{
}

void
caller_connection::start()
{
  stream_->set_timeouts(unacknowledged_limit, idle_probe);
  std::weak_ptr<caller_connection> weak = weak_from_this();
  stream_->start({ [weak](std::string_view line) {
                    if (const auto self = weak.lock()) {
                      self->take_line(line);
                    }
                  },
                   [weak](const std::string&) {
                     if (const auto self = weak.lock()) {
                       self->ended();
                     }
                   } });
}

void
caller_connection::take_line(std::string_view line)
{
  const auto self = shared_from_this();
  if (!session_ && !first_line_) {
    first_line_ = std::string(line);
    first_line_at_ = boot_now();
    start_session();
    return;
  }
  if (waiting_.size() >= waiting_limit) {
    close();
    return;
  }
  waiting_.emplace_back(line);
  next_statement();
}

void
caller_connection::start_session()
{
  if (!handlers_.can_begin()) {
    return;
  }
  const auto start = platform::parse_session_start(*first_line_);
  if (!start) {
    stream_->write(platform::encode_error(statement_error::malformed, start.error().message));
    stream_->finish();
    return;
  }
  auto hooks = handlers_.session();
  std::weak_ptr<caller_connection> weak = weak_from_this();
  hooks.answer = [weak](const statement_answer& reply) {
    if (const auto self = weak.lock()) {
      self->answer(reply);
    }
  };
  session_ = std::make_unique<caller_session>(
    database_id(start.value().database), start.value().key, std::move(hooks));
  if (const auto refusal = session_->check_start()) {
    stream_->write(platform::encode_error(*refusal, "the session cannot begin"));
    stream_->finish();
    return;
  }
  stream_->write(platform::encode_ready(transaction_state::idle, std::nullopt));
  next_statement();
}

void
caller_connection::next_statement()
{
  // An answer that comes at once must not start the next statement inside this one.
  if (handling_ || !session_) {
    return;
  }
  handling_ = true;
  while (!ended_ && !session_->busy() && !waiting_.empty()) {
    const auto line = std::move(waiting_.front());
    waiting_.pop_front();
    auto message = platform::parse_caller_message(line);
    if (!message) {
      stream_->write(platform::encode_error(statement_error::malformed, message.error().message));
      stream_->write(platform::encode_ready(session_->state(), std::nullopt));
      continue;
    }
    if (!message.value()) {
      close();
      break;
    }
    statement_began_ = boot_now();
    session_->handle(*message.value());
  }
  handling_ = false;
}

void
caller_connection::answer(const statement_answer& reply)
{
  handlers_.answered(reply, boot_now() - statement_began_);
  stream_->write(platform::encode_answer(reply));
  next_statement();
}

void
caller_connection::tick(instant now)
{
  if (ended_) {
    return;
  }
  if (session_) {
    session_->tick(now);
    return;
  }
  if (!first_line_) {
    return;
  }
  if (now - first_line_at_ > begin_limit) {
    stream_->write(platform::encode_error(statement_error::busy, "no configuration is known yet"));
    close();
    return;
  }
  start_session();
}

bool
caller_connection::idle() const
{
  return !session_ || (!session_->busy() && session_->state() == transaction_state::idle);
}

bool
caller_connection::resting() const
{
  return !session_ || !session_->busy();
}

void
caller_connection::close()
{
  stream_->finish();
  ended();
}

void
caller_connection::ended()
{
  if (std::exchange(ended_, true)) {
    return;
  }
  const auto self = shared_from_this();
  if (session_) {
    session_->abandon();
  }
  handlers_.closed();
}

}
