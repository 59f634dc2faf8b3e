#include "ProxyNode/caller_connection.h"

#include "Base/guarded_call.h"
#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration unacknowledged_timeout = std::chrono::seconds(5);
constexpr duration keepalive_idle_time = std::chrono::seconds(10);
// Shorter than the two seconds after which a caller gives up.
constexpr duration begin_timeout = std::chrono::milliseconds(1500);
// Number of messages that a caller may send before its session begins.
constexpr std::size_t queued_line_limit = 16;

}

std::shared_ptr<caller_connection>
caller_connection::create(boost::asio::ip::tcp::socket socket, handlers callbacks)
{
  return std::shared_ptr<caller_connection>(
    new caller_connection(std::move(socket), std::move(callbacks)));
}

caller_connection::caller_connection(boost::asio::ip::tcp::socket socket, handlers callbacks)
  : stream_(line_stream::create(std::move(socket), platform::line_limit_bytes))
  , handlers_(std::move(callbacks))
{
}

void
caller_connection::start()
{
  stream_->set_timeouts(unacknowledged_timeout, keepalive_idle_time);
  std::weak_ptr<caller_connection> weak = weak_from_this();
  stream_->start({ [weak](std::string_view line) {
                    if (const auto self = weak.lock()) {
                      self->receive_line(line);
                    }
                  },
                   [weak](const std::string&) {
                     if (const auto self = weak.lock()) {
                       self->handle_closed();
                     }
                   } });
}

void
caller_connection::receive_line(std::string_view line)
{
  const auto self = shared_from_this();
  if (platform::ends_session(line)) {
    ended_by_caller_ = true;
  } else if (first_line_) {
    ++unanswered_;
  }
  if (const auto failure = guarded_call([&] { handle_line(line); })) {
    handlers_.session_failed(line, *failure);
    close();
  }
}

void
caller_connection::handle_line(std::string_view line)
{
  if (session_) {
    // The copy stays valid if the session closes the connection during the call.
    const auto session = *session_;
    session.handle_line(line);
    return;
  }
  if (first_line_) {
    if (queued_lines_.size() >= queued_line_limit) {
      close();
      return;
    }
    queued_lines_.emplace_back(line);
    return;
  }
  first_line_ = std::string(line);
  first_line_received_at_ = boot_now();
  begin_session();
}

void
caller_connection::begin_session()
{
  std::weak_ptr<caller_connection> weak = weak_from_this();
  session_ = handlers_.begin_session(*first_line_,
                                     { [weak](std::string_view text) {
                                        if (const auto self = weak.lock()) {
                                          self->write(text);
                                        }
                                      },
                                       [weak] {
                                         if (const auto self = weak.lock()) {
                                           self->close();
                                         }
                                       } });
  if (session_) {
    const auto session = *session_;
    session.handle_line(*first_line_);
    for (const auto& line : std::exchange(queued_lines_, {})) {
      session.handle_line(line);
    }
  }
}

void
caller_connection::write(std::string_view text)
{
  if (closing_) {
    return;
  }
  stream_->write(text);
  const bool ready = platform::ends_with_ready(text);
  if (!std::exchange(start_answered_, true)) {
    // An error in place of READY refuses the session and all that the caller sent ahead.
    refused_ = !ready;
  } else if (ready && unanswered_ > 0) {
    --unanswered_;
  }
}

void
caller_connection::tick(instant now)
{
  if (closing_ || closed_) {
    return;
  }
  const auto self = shared_from_this();
  if (const auto failure = guarded_call([&] { tick_session(now); })) {
    handlers_.session_failed({}, *failure);
    close();
  }
}

void
caller_connection::tick_session(instant now)
{
  if (session_) {
    const auto session = *session_;
    session.tick(now);
    if (!closing_ && session.should_move && session.should_move(now)) {
      close_if_inactive(false);
    }
  } else if (first_line_ && now - first_line_received_at_ > begin_timeout) {
    write(platform::encode_error(statement_error::busy,
                                 "the fleet has not assigned sessions to instances yet"));
    close();
  } else if (first_line_) {
    begin_session();
  }
}

bool
caller_connection::inactive(bool include_transactions) const
{
  if (!session_) {
    return !first_line_;
  }
  return include_transactions ? session_->between_statements() : session_->idle();
}

void
caller_connection::close_if_inactive(bool include_transactions)
{
  if (closing_ || closed_ || !inactive(include_transactions)) {
    return;
  }
  const auto self = shared_from_this();
  stream_->receive_available();
  if (!closed_ && inactive(include_transactions)) {
    close();
  }
}

void
caller_connection::give_up()
{
  if (closing_ || closed_) {
    return;
  }
  const auto self = shared_from_this();
  if (session_ && session_->give_up) {
    const auto session = *session_;
    if (const auto failure = guarded_call(session.give_up)) {
      handlers_.session_failed({}, *failure);
    }
  }
  close();
}

// A caller whose connection just ends cannot tell a request that was refused from one that ran.
void
caller_connection::answer_abandoned_requests()
{
  if (!first_line_ || refused_) {
    return;
  }
  if (!start_answered_) {
    write(platform::encode_error(statement_error::busy, "the session cannot begin here now"));
    return;
  }
  const auto abandoned = unanswered_ + (ended_by_caller_ ? 0 : stream_->undelivered_lines());
  if (abandoned > 0 && handlers_.requests_abandoned) {
    handlers_.requests_abandoned(abandoned);
  }
  for (std::uint64_t i = 0; i < abandoned; ++i) {
    write(platform::encode_error(statement_error::outcome_unknown,
                                 "the session ended before the answer"));
    write(platform::encode_ready(transaction_state::idle, std::nullopt));
  }
}

void
caller_connection::close()
{
  if (closing_ || closed_) {
    return;
  }
  const auto self = shared_from_this();
  answer_abandoned_requests();
  closing_ = true;
  if (session_) {
    const auto session = *session_;
    session.disconnect();
  }
  stream_->finish();
}

void
caller_connection::handle_closed()
{
  if (std::exchange(closed_, true)) {
    return;
  }
  const auto self = shared_from_this();
  if (session_ && !closing_) {
    session_->disconnect();
  }
  handlers_.closed();
}

}
