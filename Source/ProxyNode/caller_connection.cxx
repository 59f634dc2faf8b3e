#include "ProxyNode/caller_connection.h"

#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration unacknowledged_limit = std::chrono::seconds(5);
constexpr duration idle_probe = std::chrono::seconds(10);
// A caller gives up after two seconds.
constexpr duration begin_limit = std::chrono::milliseconds(1500);
// Messages that a caller may send before its session began.
constexpr std::size_t early_limit = 16;

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
  if (session_) {
    // The session may end the connection meanwhile.
    const auto session = *session_;
    session.take_line(line);
    return;
  }
  if (first_line_) {
    if (early_.size() >= early_limit) {
      close();
      return;
    }
    early_.emplace_back(line);
    return;
  }
  first_line_ = std::string(line);
  first_line_at_ = boot_now();
  begin();
}

void
caller_connection::begin()
{
  std::weak_ptr<caller_connection> weak = weak_from_this();
  session_ = handlers_.session(*first_line_,
                               { [weak](std::string_view text) {
                                  if (const auto self = weak.lock()) {
                                    self->stream_->write(text);
                                  }
                                },
                                 [weak] {
                                   if (const auto self = weak.lock()) {
                                     self->close();
                                   }
                                 } });
  if (session_) {
    const auto session = *session_;
    session.take_line(*first_line_);
    for (const auto& line : std::exchange(early_, {})) {
      session.take_line(line);
    }
  }
}

void
caller_connection::tick(instant now)
{
  if (ended_) {
    return;
  }
  const auto self = shared_from_this();
  if (session_) {
    const auto session = *session_;
    session.tick(now);
  } else if (first_line_ && now - first_line_at_ > begin_limit) {
    stream_->write(
      platform::encode_error(statement_error::busy, "the fleet has not decided who runs sessions"));
    close();
  } else if (first_line_) {
    begin();
  }
}

bool
caller_connection::idle() const
{
  return !session_ || session_->idle();
}

bool
caller_connection::resting() const
{
  return !session_ || session_->resting();
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
