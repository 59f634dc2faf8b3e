#include "ProxyNode/line_stream.h"

#include "Base/guarded_call.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Limit of queued bytes for a peer that does not read.
constexpr std::size_t max_send_queue_bytes = 4 << 20;
constexpr std::string_view line_end = "\r\n";

}

std::shared_ptr<line_stream>
line_stream::create(boost::asio::ip::tcp::socket socket, std::size_t max_line_bytes)
{
  return std::shared_ptr<line_stream>(new line_stream(std::move(socket), max_line_bytes));
}

line_stream::line_stream(boost::asio::ip::tcp::socket socket, std::size_t max_line_bytes)
  : socket_(std::move(socket))
  , max_line_bytes_(max_line_bytes)
{
}

void
line_stream::set_timeouts(duration unacknowledged_timeout, duration keepalive_idle_time)
{
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  socket_.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const auto seconds = [](duration time) {
    return static_cast<int>(
      std::max<std::int64_t>(1, std::chrono::duration_cast<std::chrono::seconds>(time).count()));
  };
  const int milliseconds = static_cast<int>(
    std::chrono::duration_cast<std::chrono::milliseconds>(unacknowledged_timeout).count());
  const int idle = seconds(keepalive_idle_time);
  constexpr int probe_interval_s = 1;
  constexpr int probe_count = 2;
  const int handle = socket_.native_handle();
  // If the system rejects an option, a failed peer is only detected later.
  static_cast<void>(
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof milliseconds));
  static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle));
  static_cast<void>(
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_s, sizeof probe_interval_s));
  static_cast<void>(setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probe_count, sizeof probe_count));
}

void
line_stream::start(handlers callbacks)
{
  handlers_ = std::move(callbacks);
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  wait_for_data();
}

// Data is read only when it is delivered at once. An asynchronous read may take data from the
// socket long before its handler runs, and a connection that is closed in between would drop a
// request.
void
line_stream::wait_for_data()
{
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& failure) {
                       if (!self->open_ || self->closing_after_writes_) {
                         return;
                       }
                       if (failure) {
                         self->close_with_reason(failure.message());
                         return;
                       }
                       self->receive();
                       if (self->open_ && !self->closing_after_writes_) {
                         self->wait_for_data();
                       }
                     });
}

// Returns true if more data may have arrived.
bool
line_stream::receive()
{
  boost::system::error_code failure;
  const auto length = socket_.read_some(boost::asio::buffer(buffer_), failure);
  if (failure == boost::asio::error::would_block) {
    return false;
  }
  if (failure) {
    close_with_reason(failure.message());
    return false;
  }
  receive_buffer_.append(buffer_.data(), length);
  deliver_lines();
  return length == buffer_.size();
}

void
line_stream::receive_available()
{
  if (delivering_) {
    return;
  }
  const auto self = shared_from_this();
  while (open_ && !closing_after_writes_ && receive()) {
  }
}

void
line_stream::deliver_lines()
{
  delivering_ = true;
  while (open_ && !closing_after_writes_) {
    const auto end = receive_buffer_.find(line_end, delivered_);
    if (end == std::string::npos) {
      break;
    }
    const auto line = std::string_view(receive_buffer_).substr(delivered_, end - delivered_);
    delivered_ = end + line_end.size();
    if (const auto failure = guarded_call([&] { handlers_.line(line); })) {
      if (handlers_.line_failed) {
        handlers_.line_failed(line, *failure);
      }
      close_with_reason("unexpected error: " + *failure);
      break;
    }
  }
  delivering_ = false;
  receive_buffer_.erase(0, std::exchange(delivered_, 0));
  if (receive_buffer_.empty()) {
    receive_buffer_.shrink_to_fit();
  }
  if (open_ && receive_buffer_.size() > max_line_bytes_) {
    close_with_reason("a message is longer than " + std::to_string(max_line_bytes_) + " bytes");
  }
}

std::size_t
line_stream::undelivered_lines() const
{
  std::size_t count = 0;
  for (auto end = receive_buffer_.find(line_end, delivered_); end != std::string::npos;
       end = receive_buffer_.find(line_end, end + line_end.size())) {
    ++count;
  }
  return count;
}

void
line_stream::write(std::string_view text)
{
  if (!open_ || closing_after_writes_) {
    return;
  }
  if (send_queue_.size() + text.size() > max_send_queue_bytes) {
    close_with_reason("the send queue is full because the peer does not read");
    return;
  }
  send_queue_ += text;
  flush();
}

void
line_stream::flush()
{
  if (write_in_flight_ || send_queue_.empty()) {
    return;
  }
  write_in_flight_ = true;
  write_buffer_ = std::exchange(send_queue_, {});
  boost::asio::async_write(
    socket_,
    boost::asio::buffer(write_buffer_),
    [self = shared_from_this()](const boost::system::error_code& failure, std::size_t) {
      self->write_in_flight_ = false;
      if (!self->open_) {
        return;
      }
      if (failure) {
        self->close_with_reason(failure.message());
        return;
      }
      if (self->send_queue_.empty() && self->closing_after_writes_) {
        self->close_with_reason("finished");
        return;
      }
      self->flush();
    });
}

void
line_stream::finish()
{
  closing_after_writes_ = true;
  if (open_ && flushed()) {
    close_with_reason("finished");
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
line_stream::close_with_reason(const std::string& reason)
{
  if (!open_) {
    return;
  }
  // The handler may release the last other reference to this object.
  const auto self = shared_from_this();
  close();
  if (handlers_.closed) {
    handlers_.closed(reason);
  }
}

}
