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

// One call to the platform; `id` returns with its answer.
struct platform_call
{
  std::uint64_t id = 0;
  std::string method;
  std::string target;
  std::string body;
  duration timeout = std::chrono::milliseconds(1500);
  std::vector<std::pair<std::string, std::string>> headers{};
  // Uses a connection of its own, which is reset if no answer came in time: no byte of the request
  // can then arrive later.
  bool fresh_connection = false;
};

// Answer of the platform. Status 0 means that none came: the call may have taken effect.
struct platform_reply
{
  std::uint64_t id = 0;
  unsigned status = 0;
  std::string body;
};

// Calls to the platform's services on the platform thread, over a few connections. A silent
// connection is closed at the call's deadline, and the next call opens a new one.
class platform_client
{
public:
  // `instance` is the name under which the platform knows its client; empty sends none.
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
