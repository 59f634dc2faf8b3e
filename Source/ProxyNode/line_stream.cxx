#include "ProxyNode/line_stream.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Bytes that may wait for a peer that does not read.
constexpr std::size_t outgoing_limit = 4 << 20;

}

std::shared_ptr<line_stream>
line_stream::create(boost::asio::ip::tcp::socket socket, std::size_t line_limit)
{
  return std::shared_ptr<line_stream>(new line_stream(std::move(socket), line_limit));
}

line_stream::line_stream(boost::asio::ip::tcp::socket socket, std::size_t line_limit)
  : socket_(std::move(socket))
  , line_limit_(line_limit)
{
}

void
line_stream::set_timeouts(duration unacknowledged, duration idle_probe)
{
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket_.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const auto seconds = [](duration time) {
    return static_cast<int>(
      std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::seconds>(time).count()));
  };
  const int milliseconds =
    static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(unacknowledged).count());
  const int idle = seconds(idle_probe);
  constexpr int probe_interval_s = 1;
  constexpr int probe_count = 2;
  const int handle = socket_.native_handle();
  // A socket that refuses an option is only slower to notice a dead peer.
  static_cast<void>(
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds));
  static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle));
  static_cast<void>(
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s, sizeof probe_interval_s));
  static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probe_count, sizeof probe_count));
}

void
line_stream::start(handlers calls)
{
  handlers_ = std::move(calls);
  read();
}

void
line_stream::read()
{
  socket_.async_read_some(
    boost::asio::buffer(buffer_),
    [self = shared_from_this()](const boost::system::error_code& failure, std::size_t length) {
      if (!self->open_) {
        return;
      }
      if (failure) {
        self->end(failure.message());
        return;
      }
      self->received_.append(self->buffer_.data(), length);
      self->take_lines();
      if (self->open_) {
        self->read();
      }
    });
}

void
line_stream::take_lines()
{
  std::size_t begin = 0;
  while (open_) {
    const auto end = received_.find("\r\n", begin);
    if (end == std::string::npos) {
      break;
    }
    handlers_.line(std::string_view(received_).substr(begin, end - begin));
    begin = end + 2;
  }
  received_.erase(0, begin);
  if (received_.empty()) {
    received_.shrink_to_fit();
  }
  if (open_ && received_.size() > line_limit_) {
    end("a message is longer than " + std::to_string(line_limit_) + " bytes");
  }
}

void
line_stream::write(std::string_view text)
{
  if (!open_ || finishing_) {
    return;
  }
  if (outgoing_.size() + text.size() > outgoing_limit) {
    end("the peer does not read");
    return;
  }
  outgoing_ += text;
  flush();
}

void
line_stream::flush()
{
  if (writing_ || outgoing_.empty()) {
    return;
  }
  writing_ = true;
  sending_ = std::exchange(outgoing_, {});
  boost::asio::async_write(
    socket_,
    boost::asio::buffer(sending_),
    [self = shared_from_this()](const boost::system::error_code& failure, std::size_t) {
      self->writing_ = false;
      if (!self->open_) {
        return;
      }
      if (failure) {
        self->end(failure.message());
        return;
      }
      if (self->outgoing_.empty() && self->finishing_) {
        self->end("finished");
        return;
      }
      self->flush();
    });
}

void
line_stream::finish()
{
  finishing_ = true;
  if (open_ && !writing_) {
    end("finished");
  }
}

void
line_stream::close(bool reset)
{
  if (!open_) {
    return;
  }
  open_ = false;
  boost::system::error_code ignored;
  if (reset) {
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  socket_.close(ignored);
}

void
line_stream::end(const std::string& reason)
{
  if (!open_) {
    return;
  }
  // The handler may drop the last outside reference.
  const auto self = shared_from_this();
  close();
  if (handlers_.closed) {
    handlers_.closed(reason);
  }
}

}
