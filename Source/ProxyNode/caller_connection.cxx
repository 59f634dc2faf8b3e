#include "ProxyNode/caller_connection.h"

#include "Base/guarded_call.h"
#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration unacknowledged_timeout = std::chrono::seconds(5);
constexpr duration keepalive_idle_time = std::chrono::seconds(10);
// Shorter than the two seconds after which a caller gives up.
constexpr duration begin_timeout = std::chrono::milliseconds(1500);
// A session gets its next request when fewer bytes of answers than this wait to be sent.
constexpr std::size_t unsent_limit_bytes = 64 << 10;
// Number of copies of the first message: this connection, the session, and its relay have one each.
constexpr std::size_t kept_copies = 3;
// Most answers to requests that a closing connection leaves open. They use 70 KB for each
// connection; an instance may close all of them at once.
constexpr std::uint64_t max_final_answers = 1000;
// Interval between two updates of the connection's state in the budget of connections.
constexpr duration place_update_period = std::chrono::seconds(1);

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
  const auto end = [weak](std::string_view cause) {
    return [weak, cause] {
      if (const auto self = weak.lock()) {
        self->end_for_limit(cause);
      }
    };
  };
  if (handlers_.open_account) {
    stream_->set_account(handlers_.open_account(end("memory")));
  }
  if (handlers_.open_place) {
    place_ = handlers_.open_place(end("connections"));
  }
  stream_->start({ [weak](std::string_view line) {
                    if (const auto self = weak.lock()) {
                      self->receive_line(line);
                    }
                  },
                   [weak](const std::string&) {
                     if (const auto self = weak.lock()) {
                       self->handle_closed();
                     }
                   },
                   {},
                   [weak] {
                     if (const auto self = weak.lock()) {
                       self->release_next_request();
                     }
                   },
                   handlers_.limited });
}

void
caller_connection::receive_line(std::string_view line)
{
  const auto self = shared_from_this();
  stream_->hold();
  place_.set_complete();
  if (platform::ends_session(line)) {
    ended_by_caller_ = true;
  } else if (first_line_) {
    ++unanswered_;
    if (!local()) {
      // The message waits for the connection to the carrier. A session that runs here has its own
      // account.
      stream_->set_owner_bytes(kept_copies * first_line_->capacity() + line.size());
    }
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
  if (line.size() > max_start_bytes) {
    if (handlers_.limited) {
      handlers_.limited("start_too_long");
    }
    refuse_start(statement_error::malformed,
                 "the first message is longer than " + std::to_string(max_start_bytes) + " bytes");
    return;
  }
  first_line_ = std::string(line);
  // The session, and its relay if there is one, have copies.
  stream_->set_owner_bytes(kept_copies * first_line_->capacity());
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
                                       },
                                       [weak] {
                                         if (const auto self = weak.lock()) {
                                           self->end_for_limit("memory");
                                         }
                                       } });
  if (session_) {
    const auto session = *session_;
    session.handle_line(*first_line_);
    release_next_request();
  }
}

void
caller_connection::refuse_start(statement_error error, std::string_view text)
{
  write(platform::encode_error(error, text));
  close();
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
  release_next_request();
}

void
caller_connection::release_next_request()
{
  if (first_line_ && session_ && !refused_ && unanswered_ == 0 && !closing_ && !closed_ &&
      stream_->unsent_bytes() < unsent_limit_bytes) {
    stream_->set_owner_bytes(kept_copies * first_line_->capacity());
    stream_->release();
  }
}

void
caller_connection::end_for_limit(std::string_view cause)
{
  stream_->close_for_limit(cause, "ended by a limit");
}

// Reports to the budget of connections whether the caller owes something, and enforces the time
// limits of the connection.
void
caller_connection::check_limits(instant now)
{
  if (!accepted_at_) {
    accepted_at_ = now;
  }
  stream_->tick(now);
  if (closed_ || now < next_place_update_) {
    return;
  }
  next_place_update_ = now + place_update_period;
  if (!first_line_ || stream_->peer_owes_progress()) {
    place_.set_incomplete(std::max(*accepted_at_, stream_->last_progress_at()));
  } else {
    place_.set_complete();
  }
  if (!first_line_ && !closing_ && now - *accepted_at_ > start_timeout) {
    end_for_limit("start_missing");
  }
}

void
caller_connection::tick(instant now)
{
  if (closed_) {
    return;
  }
  const auto self = shared_from_this();
  check_limits(now);
  if (closing_ || closed_) {
    return;
  }
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
    refuse_start(statement_error::busy, "the fleet has not assigned sessions to instances yet");
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
  stream_->read_undelivered();
  // A request that waits until the caller reads its answers is served as well.
  if (!closed_ && inactive(include_transactions) && count_undelivered() == 0) {
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
  giving_up_ = true;
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
  stream_->read_undelivered();
  const auto undelivered = count_undelivered();
  const auto abandoned = unanswered_ + (giving_up_ ? 0 : undelivered);
  if (abandoned > 0 && handlers_.requests_abandoned) {
    handlers_.requests_abandoned(abandoned);
  }
  for (std::uint64_t i = 0; i < std::min(abandoned, max_final_answers); ++i) {
    write(platform::encode_error(statement_error::outcome_unknown,
                                 "the session ended before the answer"));
    write(platform::encode_ready(transaction_state::idle, std::nullopt));
  }
  for (std::uint64_t i = 0; giving_up_ && i < std::min(undelivered, max_final_answers); ++i) {
    write(platform::encode_error(statement_error::busy, "this instance is stopping"));
    write(platform::encode_ready(transaction_state::idle, std::nullopt));
  }
}

// Number of requests that were read and not passed to the session.
std::uint64_t
caller_connection::count_undelivered() const
{
  std::uint64_t count = 0;
  if (!ended_by_caller_) {
    stream_->for_each_undelivered([&count](std::string_view line) {
      const bool ends = platform::ends_session(line);
      count += ends ? 0 : 1;
      return !ends;
    });
  }
  return count;
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
