#pragma once

#include "Base/instant.h"
#include "Net/http_types.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace persimmonshelf {

// Why an exchange on a connection ended without a whole response.
struct http_failure
{
  // True if a byte of the request may have left this process.
  bool may_have_been_sent = false;
  std::string reason;
  // True if the deadline passed, false if the connection broke.
  bool timed_out = false;
};

// Where to connect: an IP number and a port.
struct tcp_address
{
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const tcp_address&, const tcp_address&) = default;
};

// Client side of one HTTP/1.1 connection, one request at a time. After any failure, a late or an
// unsolicited byte the connection is closed and reports so; it is never reused.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
  // Either a response or a failure; the failure is null on success.
  using response_handler = std::function<void(const http_failure*, http_response)>;
  // The reason is empty on success.
  using connect_handler = std::function<void(const std::string& reason)>;
  using close_handler = std::function<void()>;

  static std::shared_ptr<http_connection> create(boost::asio::io_context& context,
                                                 std::size_t response_limit_bytes = 4 << 20);
  ~http_connection();

  void connect(const tcp_address& address, duration timeout, connect_handler done);

  // Sends a request and reports the whole response, or a failure once `timeout` has passed. May be
  // called only when connected and not busy.
  void send(const http_request& request, duration timeout, response_handler done);

  // Called once when the connection closes, whatever the cause.
  void on_close(close_handler handler);

  void close();
  bool is_open() const;
  bool is_busy() const;

private:
  struct state;
  http_connection(boost::asio::io_context& context, std::size_t response_limit_bytes);
  void watch_idle();
  void finish(const http_failure* failure, http_response response);

  std::unique_ptr<state> state_;
};

// Parses "IP:port"; false if it is malformed.
bool
parse_address(const std::string& text, tcp_address& address);

// The text that parse_address reads.
std::string
format_address(const tcp_address& address);

}
