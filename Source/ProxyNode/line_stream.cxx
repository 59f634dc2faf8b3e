#include "ProxyNode/line_stream.h"

#include "Base/guarded_call.h"

#include <boost/asio/post.hpp>

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace persimmonshelf {

namespace {

// Limit of queued bytes for a peer that does not read.
constexpr std::size_t max_send_queue_bytes = 4 << 20;
// Bytes that are read at once. Reads of this size cost little per byte.
constexpr std::size_t piece_bytes = 64 << 10;
// Bytes that are read while delivery is on hold. A caller that sends one request at a time stays
// below this.
constexpr std::size_t read_ahead_bytes = 64 << 10;
// Unread bytes that are still read when the connection closes: the kernel resets a connection that
// is closed with unread data, which may discard the last answers.
constexpr std::size_t closing_read_bytes = 256 << 10;
// Interval between two checks of one connection. Two system calls for each connection a second are
// 0.2 % of a core at 1,500 connections.
constexpr duration check_period = std::chrono::seconds(1);
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

std::size_t
line_stream::kernel_bytes()
{
  boost::system::error_code ignored;
  const auto unread = socket_.available(ignored);
  int unacknowledged = 0;
  if (ioctl(socket_.native_handle(), TIOCOUTQ, &unacknowledged) != 0) {
    unacknowledged = 0;
  }
  return unread + static_cast<std::size_t>(unacknowledged);
}

void
line_stream::start(handlers callbacks)
{
  handlers_ = std::move(callbacks);
  boost::system::error_code ignored;
  socket_.non_blocking(true, ignored);
  wait_for_data();
}

bool
line_stream::may_read() const
{
  return open_ && !closing_after_writes_ &&
         !(held_ && receive_buffer_.size() - delivered_ >= read_ahead_bytes);
}

// Data is read only when it is delivered at once or held back by the owner. An asynchronous read
// may take data from the socket long before its handler runs, and a connection that is closed in
// between would drop a request.
void
line_stream::wait_for_data()
{
  if (waiting_ || !may_read()) {
    return;
  }
  waiting_ = true;
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& failure) {
                       self->waiting_ = false;
                       if (!self->open_ || self->closing_after_writes_) {
                         return;
                       }
                       if (failure) {
                         self->close_with_reason(failure.message());
                         return;
                       }
                       if (self->may_read()) {
                         self->receive();
                       }
                       self->wait_for_data();
                     });
}

// Returns true if more data may have arrived.
bool
line_stream::receive()
{
  // Only the bytes that were received are kept, so a connection without data needs no buffer.
  static thread_local std::array<char, piece_bytes> piece;
  boost::system::error_code failure;
  const auto length = socket_.read_some(boost::asio::buffer(piece), failure);
  if (failure == boost::asio::error::would_block) {
    return false;
  }
  if (failure) {
    close_with_reason(failure.message());
    return false;
  }
  append(std::string_view(piece.data(), length));
  deliver_lines();
  return length == piece.size();
}

void
line_stream::append(std::string_view piece)
{
  const auto needed = receive_buffer_.size() + piece.size();
  if (needed > receive_buffer_.capacity()) {
    // Doubling a buffer of nearly one message would waste half of it.
    const auto enough = std::max(needed, max_line_bytes_ + piece_bytes);
    // A new string gets the exact capacity, while a string that is enlarged at least doubles.
    std::string enlarged;
    enlarged.reserve(std::min(2 * needed, enough));
    enlarged += receive_buffer_;
    receive_buffer_ = std::move(enlarged);
  }
  receive_buffer_ += piece;
  receive_progress_.add(piece.size());
  progressed_ = progressed_ || !piece.empty();
}

void
line_stream::receive_available()
{
  if (delivering_) {
    return;
  }
  const auto self = shared_from_this();
  deliver_lines();
  while (may_read() && !held_ && receive()) {
  }
}

void
line_stream::read_undelivered()
{
  if (delivering_ || !open_) {
    return;
  }
  const bool held = std::exchange(held_, true);
  boost::system::error_code failure;
  std::array<char, 4096> piece{};
  while (!failure && receive_buffer_.size() - delivered_ < closing_read_bytes) {
    const auto length = socket_.read_some(boost::asio::buffer(piece), failure);
    append(std::string_view(piece.data(), length));
  }
  held_ = held;
}

void
line_stream::hold()
{
  held_ = true;
}

// Lines are not delivered within this call: the caller of release() may be in the middle of a
// change.
void
line_stream::release()
{
  if (!std::exchange(held_, false) || !open_ || delivering_) {
    return;
  }
  if (receive_buffer_.size() == delivered_) {
    wait_for_data();
    return;
  }
  if (!std::exchange(release_posted_, true)) {
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->release_posted_ = false;
      self->deliver_lines();
      self->wait_for_data();
    });
  }
}

// Looks for the end of the next line. Each byte is searched once.
bool
line_stream::find_line_end()
{
  if (line_end_at_ == std::string::npos) {
    line_end_at_ = receive_buffer_.find(line_end, searched_);
    const bool half_end = receive_buffer_.size() > delivered_ && receive_buffer_.back() == '\r';
    searched_ = receive_buffer_.size() - (half_end ? 1 : 0);
  }
  return line_end_at_ != std::string::npos;
}

// True if a part of a message was received and nothing stops this side from reading the rest.
bool
line_stream::awaits_rest() const
{
  return receive_buffer_.size() > delivered_ && line_end_at_ == std::string::npos && !held_;
}

void
line_stream::deliver_lines()
{
  if (delivering_) {
    return;
  }
  delivering_ = true;
  bool too_long = false;
  while (open_ && !closing_after_writes_ && !held_ && !too_long && find_line_end()) {
    const auto end = line_end_at_ + line_end.size();
    too_long = end - delivered_ > max_line_bytes_;
    if (too_long) {
      break;
    }
    const auto line =
      std::string_view(receive_buffer_).substr(delivered_, line_end_at_ - delivered_);
    delivered_ = searched_ = end;
    line_end_at_ = std::string::npos;
    receive_progress_.reset();
    if (const auto failure = guarded_call([&] { handlers_.line(line); })) {
      if (handlers_.line_failed) {
        handlers_.line_failed(line, *failure);
      }
      delivering_ = false;
      close_with_reason("unexpected error: " + *failure);
      return;
    }
  }
  delivering_ = false;
  compact();
  // A message of the longest length has at least one byte of its line end missing.
  too_long = too_long || (line_end_at_ == std::string::npos &&
                          receive_buffer_.size() - delivered_ >= max_line_bytes_);
  if (open_ && !closing_after_writes_ && too_long) {
    close_for_limit("message_too_long",
                    "a message is longer than " + std::to_string(max_line_bytes_) + " bytes");
  }
  update_account();
}

// Removes delivered lines from the receive buffer once they are the larger part of it, so that many
// short lines are not moved once for each of them.
void
line_stream::compact()
{
  if (delivered_ == receive_buffer_.size()) {
    std::string().swap(receive_buffer_);
    delivered_ = searched_ = 0;
    return;
  }
  if (delivered_ < receive_buffer_.size() / 2) {
    return;
  }
  receive_buffer_.erase(0, delivered_);
  receive_buffer_.shrink_to_fit();
  searched_ -= delivered_;
  if (line_end_at_ != std::string::npos) {
    line_end_at_ -= delivered_;
  }
  delivered_ = 0;
}

void
line_stream::for_each_undelivered(const std::function<bool(std::string_view line)>& handle) const
{
  const std::string_view text = receive_buffer_;
  auto begin = delivered_;
  for (auto end = text.find(line_end, begin); end != std::string_view::npos;
       end = text.find(line_end, begin)) {
    if (!handle(text.substr(begin, end - begin))) {
      return;
    }
    begin = end + line_end.size();
  }
}

void
line_stream::tick(instant now)
{
  if (!open_ || now < next_check_) {
    return;
  }
  next_check_ = now + check_period;
  const auto self = shared_from_this();
  kernel_bytes_ = kernel_bytes();
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
      self->send_progress_.add(length);
      self->progressed_ = true;
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
