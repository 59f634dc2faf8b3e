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

// Why a request failed without a complete response.
struct http_failure
{
  // True if any byte of the request may have been sent.
  bool may_have_been_sent = false;
  std::string reason;
  // True if the deadline passed, false if the connection broke.
  bool timed_out = false;
};

// An IP address and a port.
struct tcp_address
{
  std::string address;
  std::uint16_t port = 0;

  friend auto operator<=>(const tcp_address&, const tcp_address&) = default;
};

// Client side of one HTTP/1.1 connection that handles one request at a time. The connection closes
// after any failure and when data arrives outside of a response. A closed connection is never
// reused.
class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
  // Receives the response, or a failure; the failure is null on success.
  using response_handler = std::function<void(const http_failure*, http_response)>;
  // The reason is empty on success.
  using connect_handler = std::function<void(const std::string& reason)>;
  using close_handler = std::function<void()>;

  static std::shared_ptr<http_connection> create(boost::asio::io_context& context,
                                                 std::size_t response_limit_bytes = 4 << 20);
  ~http_connection();

  void connect(const tcp_address& address, duration timeout, connect_handler done);

  // Sends a request and reports the complete response, or a failure if none arrives within
  // `timeout`. May be called only while the connection is open and not busy; otherwise it reports a
  // failure. A request with a blank in its target or a control character in its target or a header
  // would be another one, or several: it is reported as a failure and the connection closes.
  void send(const http_request& request, duration timeout, response_handler done);

  // Sets the handler that is called once when the open connection closes for any reason.
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

// Parses "IP:port". Returns false if the text is malformed or the port is 0.
bool
parse_address(const std::string& text, tcp_address& address);

// Formats an address as "IP:port".
std::string
format_address(const tcp_address& address);

}
