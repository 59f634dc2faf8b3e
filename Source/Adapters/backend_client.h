#pragma once

#include "Engine/backend_connection.h"
#include "Net/http_connection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace persimmonshelf {

// Opens, uses and closes connections to backend servers as the engine commands, and reports what
// happens on each of them. The engine assigns the connection numbers and makes all decisions. Runs
// on the backend thread.
class backend_client
{
public:
  // `report` is called on the thread of `context`.
  backend_client(boost::asio::io_context& context, std::function<void(backend_event)> report);

  void execute(const backend_command& command);

private:
  void open(const backend_command& command);
  void send(const backend_command& command);
  void handle_response(backend_connection_id id,
                       const backend_message& message,
                       const http_failure* failure,
                       const http_response& response);
  void report(backend_event::event_type kind, backend_connection_id id, std::string reason);

  boost::asio::io_context& context_;
  std::function<void(backend_event)> report_;
  std::unordered_map<backend_connection_id, std::shared_ptr<http_connection>> connections_;
};

}
