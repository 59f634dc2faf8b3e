#include "ProxyNode/line_stream.h"

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Limit of queued bytes for a peer that does not read.
constexpr std::size_t max_send_queue_bytes = 4 << 20;
// Interval between two checks of one connection. Two system calls for each connection a second are
// 0.2 % of a core at 1,500 connections.
constexpr duration check_period = std::chrono::seconds(1);

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
line_stream::set_account(memory_budget::account account)
{
  account_ = std::move(account);
  update_account();
}

void
line_stream::set_owner_bytes(std::size_t bytes)
{
  owner_bytes_ = bytes;
  update_account();
}

void
line_stream::update_account()
{
  if (!open_) {
    account_.set(owner_bytes_);
    return;
  }
  account_.set(receive_buffer_.capacity() + send_queue_.capacity() + write_buffer_.capacity() +
               owner_bytes_ + kernel_bytes_);
}

// Counts what the kernel holds for the connection, and what the peer has acknowledged since the
// last call. The kernel takes more data only after a third of its buffer is free, so a slow reader
// shows progress by acknowledgements first.
void
line_stream::sample_kernel()
{
  boost::system::error_code ignored;
  const auto unread = socket_.available(ignored);
  int unacknowledged = 0;
  if (ioctl(socket_.native_handle(), TIOCOUTQ, &unacknowledged) != 0) {
    unacknowledged = 0;
  }
  const auto waiting = static_cast<std::uint64_t>(unacknowledged);
  kernel_bytes_ = unread + static_cast<std::size_t>(waiting);
  const auto acknowledged = written_bytes_ - std::min(written_bytes_, waiting);
  if (acknowledged > acknowledged_bytes_) {
    send_progress_.add(static_cast<std::size_t>(acknowledged - acknowledged_bytes_));
    acknowledged_bytes_ = acknowledged;
    progressed_ = true;
  }
}

void
line_stream::start(handlers callbacks)
{
  handlers_ = std::move(callbacks);
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  wait_for_data();
}

void
line_stream::tick(instant now)
{
  if (!open_ || now < next_check_) {
    return;
  }
  next_check_ = now + check_period;
  const auto self = shared_from_this();
  sample_kernel();
  update_account();
  if (std::exchange(progressed_, false)) {
    last_progress_at_ = now;
  }
  boost::system::error_code ignored;
  if (closing_after_writes_ || !awaits_rest() || socket_.available(ignored) > 0) {
    receive_progress_.reset();
  } else if (receive_progress_.is_too_slow(now)) {
    close_for_limit("message_unfinished", "a message makes no progress");
    return;
  }
  if (unsent_bytes() == 0) {
    send_progress_.reset();
  } else if (send_progress_.is_too_slow(now)) {
    close_for_limit("answers_unread", "the peer does not read");
  }
}

void
line_stream::write(std::string_view text)
{
  if (!open_ || closing_after_writes_) {
    return;
  }
  if (send_queue_.size() + text.size() > max_send_queue_bytes) {
    close_for_limit("send_queue_full", "the send queue is full because the peer does not read");
    return;
  }
  send_queue_ += text;
  flush();
  update_account();
}

void
line_stream::flush()
{
  if (write_in_flight_ || unsent_bytes() == 0) {
    return;
  }
  write_in_flight_ = true;
  if (write_offset_ == write_buffer_.size()) {
    write_buffer_ = std::exchange(send_queue_, {});
    write_offset_ = 0;
  }
  socket_.async_write_some(
    boost::asio::buffer(write_buffer_) + write_offset_,
    [self = shared_from_this()](const boost::system::error_code& failure, std::size_t length) {
      self->write_in_flight_ = false;
      if (!self->open_) {
        return;
      }
      if (failure) {
        self->close_with_reason(failure.message());
        return;
      }
      self->write_offset_ += length;
      self->written_bytes_ += length;
      if (self->write_offset_ == self->write_buffer_.size()) {
        std::string().swap(self->write_buffer_);
        self->write_offset_ = 0;
      }
      if (self->unsent_bytes() == 0 && self->closing_after_writes_) {
        self->read_undelivered();
        self->close_with_reason("finished");
        return;
      }
      self->flush();
      self->update_account();
      if (self->handlers_.sent) {
        self->handlers_.sent();
      }
    });
}

void
line_stream::finish()
{
  closing_after_writes_ = true;
  if (open_ && flushed()) {
    // Unread data would make the kernel reset the connection and discard the last answers.
    read_undelivered();
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
  update_account();
  boost::system::error_code ignored;
  if (reset) {
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  }
  socket_.close(ignored);
}

void
line_stream::close_for_limit(std::string_view cause, const std::string& reason)
{
  if (!open_) {
    return;
  }
  const auto self = shared_from_this();
  if (handlers_.limited) {
    handlers_.limited(cause);
  }
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  close_with_reason(reason);
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
