#pragma once

#include "Base/instant.h"
#include "Net/http_connection.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace persimmonshelf {

// An HTTP call to the platform. The reply has the same `id`.
struct platform_call
{
  std::uint64_t id = 0;
  std::string method;
  std::string target;
  std::string body;
  duration timeout = std::chrono::milliseconds(1500);
  std::vector<std::pair<std::string, std::string>> headers{};
  // Uses a new connection, which is reset if no response arrives in time. No part of the request
  // can reach the platform after that.
  bool fresh_connection = false;
  // Name of the header of the response to report; empty for none.
  std::string kept_header{};
};

// The platform's response. Status 0 means that there was none; the call may have taken effect.
struct platform_reply
{
  std::uint64_t id = 0;
  unsigned status = 0;
  std::string body;
  // Value of the header that the call named; empty if the response has none.
  std::string kept_header{};
};

// Sends calls to the platform's services over a small pool of connections, on the thread of the
// io_context. A connection without a response is closed when the call times out, and a later call
// opens a new one.
class platform_client
{
public:
  // `instance` is the name that the platform identifies its client by. If it is empty, no name is
  // sent.
  platform_client(boost::asio::io_context& context,
                  tcp_address address,
                  std::string instance,
                  std::function<void(platform_reply)> report);

  void execute(platform_call call);

private:
  void start_queued_calls();
  void send_call(std::shared_ptr<http_connection> connection, const platform_call& call);
  void connect(platform_call call);
  void handle_reply(std::shared_ptr<http_connection> connection, platform_reply reply);

  boost::asio::io_context& context_;
  tcp_address address_;
  std::string instance_;
  std::function<void(platform_reply)> report_;
  std::deque<platform_call> queued_calls_;
  std::deque<std::shared_ptr<http_connection>> idle_connections_;
  std::size_t active_calls_ = 0;
};

}
