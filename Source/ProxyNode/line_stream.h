#pragma once

#include "Base/instant.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonshelf {

// TCP connection that carries lines ended by CR LF in both directions. Writes are queued, and the
// connection is closed when the queue exceeds its limit because the peer does not read.
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
  };

  static std::shared_ptr<line_stream> create(boost::asio::ip::tcp::socket socket,
                                             std::size_t max_line_bytes);

  // Sets the time limits that detect an unresponsive peer: for unacknowledged data, and for the
  // idle time before keep-alive probes.
  void set_timeouts(duration unacknowledged_timeout, duration keepalive_idle_time);

  void start(handlers callbacks);
  void write(std::string_view text);

  // Delivers the lines that have arrived by now.
  void receive_available();

  // Closes the connection after all queued data has been sent. Nothing more is read.
  void finish();

  // Closes the connection at once. `reset` also discards unsent data in the kernel.
  void close(bool reset = false);

  boost::asio::ip::tcp::socket& socket() { return socket_; }
  bool is_open() const { return open_; }
  // Number of whole lines that were read and will not be delivered, because the connection closes.
  std::size_t undelivered_lines() const;
  // True if no data waits to be sent.
  bool flushed() const { return !write_in_flight_ && send_queue_.empty(); }

private:
  line_stream(boost::asio::ip::tcp::socket socket, std::size_t max_line_bytes);
  void wait_for_data();
  bool receive();
  void deliver_lines();
  void flush();
  void close_with_reason(const std::string& reason);

  boost::asio::ip::tcp::socket socket_;
  std::size_t max_line_bytes_;
  handlers handlers_;
  std::array<char, 2048> buffer_{};
  std::string receive_buffer_;
  // Size of the part of the receive buffer that was delivered.
  std::size_t delivered_ = 0;
  std::string send_queue_;
  std::string write_buffer_;
  bool open_ = true;
  bool write_in_flight_ = false;
  bool closing_after_writes_ = false;
  bool delivering_ = false;
};

}
