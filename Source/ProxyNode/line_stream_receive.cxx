#include "ProxyNode/line_stream.h"

#include "Base/guarded_call.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace persimmonshelf {

namespace {

// Bytes that are read at once. Reads of this size cost little per byte.
constexpr std::size_t piece_bytes = 64 << 10;
// Bytes that are read while delivery is on hold. A caller that sends one request at a time stays
// below this.
constexpr std::size_t read_ahead_bytes = 64 << 10;
// Unread bytes that are still read when the connection closes: the kernel resets a connection that
// is closed with unread data, which may discard the last answers.
constexpr std::size_t closing_read_bytes = 256 << 10;
constexpr std::string_view line_end = "\r\n";

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
  too_long = too_long || (!held_ && line_end_at_ == std::string::npos &&
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

}
