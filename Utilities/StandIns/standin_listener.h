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

// One request with all header text, since a stand-in must also see headers that the proxy should
// not have sent.
struct standin_request
{
  accepted_number connection = 0;
  http_request http;
  // Every header as "name: value\n".
  std::string headers;
};

// An answer or one of the faults that a stand-in can show instead.
struct standin_reply
{
  http_response response;
  // Closes the connection and sends nothing.
  bool close_without_answer = false;
  // Announces the whole body, sends half of it and closes.
  bool truncate = false;
};

struct standin_listener_options
{
  tcp_address address;
  // Client connections beyond this number are closed.
  std::size_t connection_limit = 100000;
  // The first request of a client connection is taken up no earlier than this after the accept.
  duration connect_delay{ 0 };
};

// HTTP/1.1 listener that can also misbehave: close without an answer, truncate or stay silent.
// Connections whose first request is exempt (control, replication) are outside limit and delay.
class standin_listener
{
public:
  // May be called later; a call after the connection closed does nothing.
  using responder = std::function<void(standin_reply)>;
  struct hooks
  {
    std::function<void(standin_request, responder)> request;
    std::function<void(accepted_number)> closed;
    // True for targets that are no client work.
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

  // Client connections that are open.
  std::vector<accepted_number> clients() const;

  // While true, connections are closed as if they were over the limit.
  void refuse_clients(bool refuse);
  void close(accepted_number number);

private:
  struct state;
  explicit standin_listener(std::shared_ptr<state> shared);
  std::shared_ptr<state> state_;
};

}
