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

namespace persimmonshelf {

// Limits of one listener.
struct http_server_options
{
  // IP number, not a name.
  std::string address = "127.0.0.1";
  // Zero lets the system pick a free port.
  std::uint16_t port = 0;
  std::size_t body_limit_bytes = 1 << 20;
  // Connections without traffic for this long are closed; callers that vanished silently are found
  // so.
  std::chrono::seconds idle_timeout{ 120 };
  std::size_t connection_limit = 100000;
};

// HTTP/1.1 listener on one io_context, one request at a time on each connection. An idle connection
// keeps no read buffer and no parser, since the fleet holds over a million of them.
class http_server
{
public:
  // Sends the response of one request; may be called once, later, on the io_context's thread. A
  // call after the connection closed does nothing.
  using responder = std::function<void(http_response)>;
  using request_handler = std::function<void(accepted_number, http_request, responder)>;
  using close_handler = std::function<void(accepted_number)>;

  // Fails with address_unavailable and the address if it cannot be bound.
  static result<std::unique_ptr<http_server>> create(boost::asio::io_context& context,
                                                     const http_server_options& options,
                                                     request_handler on_request,
                                                     close_handler on_close = {});
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::uint16_t port() const;
  std::size_t connection_count() const;

  // Stops accepting. Each open connection is closed after its next response, or at once if idle.
  void drain();

  // Closes the listener and every connection.
  void stop();

private:
  struct state;
  explicit http_server(std::shared_ptr<state> shared);
  std::shared_ptr<state> state_;
};

}
