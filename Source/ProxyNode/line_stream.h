#pragma once

#include "Base/instant.h"
#include "Base/progress_check.h"
#include "Resources/memory_budget.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonshelf {

// TCP connection that carries lines ended by CR LF in both directions. Writes are queued, and the
// connection is closed when the queue exceeds its limit because the peer does not read. It is also
// closed when the peer makes no progress with a message or with reading, see tick().
class line_stream : public std::enable_shared_from_this<line_stream>
{
public:
  struct handlers
  {
    std::function<void(std::string_view line)> line;
    // Called once when the connection ends for any reason except a call of close().
    std::function<void(const std::string& reason)> closed;
    // Called when `line` threw an exception. The connection is closed afterwards. Optional.
    std::function<void(std::string_view line, const std::string& what)> line_failed = {};
    // Called after a part of the queued data was sent. Optional.
    std::function<void()> sent = {};
    // Called before the connection is closed because the peer reached a limit, with the name of the
    // limit for metrics and logs. Optional.
    std::function<void(std::string_view cause)> limited = {};
  };

  static std::shared_ptr<line_stream> create(boost::asio::ip::tcp::socket socket,
                                             std::size_t max_line_bytes);

  // Sets the time limits that detect an unresponsive peer: for unacknowledged data, and for the
  // idle time before keep-alive probes.
  void set_timeouts(duration unacknowledged_timeout, duration keepalive_idle_time);
  // Kernel buffer of a connection between instances in each direction, in bytes. It takes 50 ms at
  // 10 Mbit/s, which bounds the delay of pings, and allows that rate at 50 ms.
  static constexpr int instance_buffer_bytes = 64 << 10;

  // Sets the account that is charged with the bytes that this connection holds.
  void set_account(memory_budget::account account);
  // Sets the bytes that the owner holds for this connection. They are charged to the account too.
  void set_owner_bytes(std::size_t bytes);

  void start(handlers callbacks);
  void write(std::string_view text);

  // Closes the connection if the peer makes too little progress with a message that has begun, or
  // with reading what waits to be sent. Must be called regularly.
  void tick(instant now);

  // Stops the delivery of lines until release(). Reading goes on for a bounded number of bytes, so
  // that the end of an otherwise quiet connection is seen.
  void hold();
  void release();

  // Delivers the lines that have arrived by now, unless delivery is on hold.
  void receive_available();
  // Reads a bounded number of bytes that have arrived, without delivering them.
  void read_undelivered();

  // Closes the connection after all queued data has been sent. Nothing more is read.
  void finish();

  // Closes the connection at once. `reset` also discards unsent data in the kernel.
  void close(bool reset = false);
  // Closes the connection at once, and discards unsent data, because of a limit.
  void close_for_limit(std::string_view cause, const std::string& reason);

  boost::asio::ip::tcp::socket& socket() { return socket_; }
  bool is_open() const { return open_; }
  // Calls a function for each whole line that was read and not delivered, until it returns false.
  void for_each_undelivered(const std::function<bool(std::string_view line)>& handle) const;
  // True if no data waits to be sent.
  bool flushed() const { return !write_in_flight_ && unsent_bytes() == 0; }
  // Number of bytes that were not passed to the kernel yet.
  std::size_t unsent_bytes() const
  {
    return send_queue_.size() + write_buffer_.size() - write_offset_;
  }
  // True if a part of a message was received and the rest is awaited, or if data waits to be sent.
  bool peer_owes_progress() const { return awaits_rest() || unsent_bytes() > 0; }
  // When the peer last made progress, as far as tick() has seen.
  instant last_progress_at() const { return last_progress_at_; }

private:
  line_stream(boost::asio::ip::tcp::socket socket, std::size_t max_line_bytes);
  void wait_for_data();
  bool may_read() const;
  bool awaits_rest() const;
  bool receive();
  void append(std::string_view piece);
  bool find_line_end();
  void deliver_lines();
  void compact();
  void flush();
  void update_account();
  void sample_kernel();
  void close_with_reason(const std::string& reason);

  boost::asio::ip::tcp::socket socket_;
  std::size_t max_line_bytes_;
  handlers handlers_;
  memory_budget::account account_;
  std::size_t owner_bytes_ = 0;
  // Bytes in the kernel's buffers of this connection when they were last counted.
  std::size_t kernel_bytes_ = 0;
  std::string receive_buffer_;
  // Size of the part of the receive buffer that was delivered.
  std::size_t delivered_ = 0;
  // End of the part of the receive buffer that contains no line end after `delivered_`.
  std::size_t searched_ = 0;
  // Position of the first line end after `delivered_`, if known.
  std::size_t line_end_at_ = std::string::npos;
  std::string send_queue_;
  std::string write_buffer_;
  // Size of the part of the write buffer that was passed to the kernel.
  std::size_t write_offset_ = 0;
  progress_check receive_progress_;
  progress_check send_progress_;
  // Bytes that were passed to the kernel, and those that the peer acknowledged by the last check.
  std::uint64_t written_bytes_ = 0;
  std::uint64_t acknowledged_bytes_ = 0;
  // True if the peer made progress since the last check.
  bool progressed_ = true;
  instant last_progress_at_{};
  instant next_check_{};
  bool open_ = true;
  bool waiting_ = false;
  bool write_in_flight_ = false;
  bool closing_after_writes_ = false;
  bool delivering_ = false;
  bool held_ = false;
  bool release_posted_ = false;
};

}
