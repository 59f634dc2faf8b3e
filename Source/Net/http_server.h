#pragma once

#include "Base/error.h"
#include "Net/http_types.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Address and limits of a server.
struct http_server_options
{
  // IP address; host names are not resolved.
  std::string address = "127.0.0.1";
  // 0 selects a free port.
  std::uint16_t port = 0;
  std::size_t body_limit_bytes = 1 << 20;
  // A connection without traffic for this long is closed. This also removes connections of clients
  // that disappeared without closing them.
  std::chrono::seconds idle_timeout{ 120 };
  std::size_t connection_limit = 100000;
  // Closes a connection that makes too little progress with a request that has begun, or with
  // reading a response; see progress_check.
  bool requires_progress = false;
  // If the limit of connections is reached or the system has no descriptors, closes the connection
  // that is longest without activity, first of those without a complete request. Otherwise a new
  // connection is refused.
  bool replaces_inactive = false;
  // Limit of the bytes of all requests that are being received and of all responses that are being
  // sent; the connection with most is closed above it. 0 sets no limit.
  std::size_t held_limit_bytes = 0;
  // Size of the kernel's buffers of a connection in each direction, in bytes. 0 leaves it to the
  // system.
  int socket_buffer_bytes = 0;
  // Called with the name of the limit when a connection is closed or refused because of one.
  // Optional.
  std::function<void(std::string_view cause)> on_limited = {};
};

// HTTP/1.1 server on one io_context that handles one request at a time on each connection. An idle
// connection holds no read buffer and no parser, because the fleet has over a million connections.
class http_server
{
public:
  // Sends the response to one request. May be called once, at any later time, on the thread of the
  // io_context. Has no effect after the connection has closed.
  using responder = std::function<void(http_response)>;
  using request_handler = std::function<void(accepted_number, http_request, responder)>;
  using close_handler = std::function<void(accepted_number)>;

  // Fails with address_unavailable if the address cannot be bound; the message contains the
  // address.
  static result<std::unique_ptr<http_server>> create(boost::asio::io_context& context,
                                                     const http_server_options& options,
                                                     request_handler on_request,
                                                     close_handler on_close = {});
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::uint16_t port() const;
  std::size_t connection_count() const;

  // Stops accepting connections. An idle connection is closed at once, others after the response to
  // their current request.
  void drain();

  // Closes the listener and every connection.
  void stop();

private:
  struct state;
  explicit http_server(std::shared_ptr<state> shared);
  std::shared_ptr<state> state_;
};

}
