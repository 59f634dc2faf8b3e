#pragma once

#include "Base/error.h"
#include "Base/instant.h"
#include "Net/http_connection.h"
#include "Net/http_types.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// One request with all of its headers, including those that the proxy must not send, so that checks
// can detect them.
struct standin_request
{
  accepted_number connection = 0;
  http_request http;
  // Every header as "name: value\n".
  std::string headers;
};

// Answer to a request, or a fault that is injected instead.
struct standin_reply
{
  http_response response;
  // Closes the connection without sending an answer.
  bool close_without_answer = false;
  // Sends the Content-Length of the whole body but only half of the body, then closes the
  // connection.
  bool truncate = false;
};

struct standin_listener_options
{
  tcp_address address;
  // Maximum number of client connections; further ones are closed.
  std::size_t connection_limit = 100000;
  // Minimum time between accepting a client connection and handling its first request.
  duration connect_delay{ 0 };
};

// HTTP/1.1 listener that can inject faults: it closes a connection without an answer, truncates an
// answer or never sends it. Connections whose first request is exempt (control, replication) do not
// count towards the connection limit and are not delayed.
class standin_listener
{
public:
  // Sends the answer. May be called after the handler returns; has no effect once the connection is
  // closed.
  using responder = std::function<void(standin_reply)>;
  struct hooks
  {
    std::function<void(standin_request, responder)> request;
    std::function<void(accepted_number)> closed;
    // True for targets that are exempt from the connection limit and the connect delay.
    std::function<bool(std::string_view target)> exempt;
  };

  // Fails with address_unavailable if the address cannot be bound.
  static result<std::unique_ptr<standin_listener>> create(boost::asio::io_context& context,
                                                          const standin_listener_options& options,
                                                          hooks handlers);
  ~standin_listener();
  standin_listener(const standin_listener&) = delete;
  standin_listener& operator=(const standin_listener&) = delete;

  std::uint16_t port() const;

  // Numbers of the open client connections.
  std::vector<accepted_number> clients() const;

  // While true, client connections are closed as if the limit were exceeded.
  void refuse_clients(bool refuse);
  void close(accepted_number number);

private:
  struct state;
  explicit standin_listener(std::shared_ptr<state> shared);
  std::shared_ptr<state> state_;
};

}
