#pragma once

#include "Engine/backend_connection.h"

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmonshelf {

// Assigns ids to backend connections and passes their events to the handlers given to `open`.
// Events of connections that were closed locally are dropped.
class backend_connection_registry
{
public:
  using handler = std::function<void(backend_event&, instant)>;
  // The reply is null if no complete response arrived.
  using reply_handler = std::function<void(const backend_reply*, instant)>;

  // `execute` passes a command to the adapter. It returns false if the command was definitely not
  // accepted.
  explicit backend_connection_registry(std::function<bool(backend_command)> execute);

  backend_connection_id open(const std::string& address, duration timeout, handler on_event);
  void send(backend_connection_id connection, backend_message message, duration timeout);
  void close(backend_connection_id connection);

  // Sends one request on a new connection, which is closed afterwards.
  void call(const std::string& address,
            backend_message message,
            duration timeout,
            reply_handler done);

  void handle(backend_event event, instant now);

  // Reports the commands that the adapter did not accept as failed.
  void flush(instant now);

  std::size_t size() const { return handlers_.size(); }

private:
  void execute(backend_command command);

  std::function<bool(backend_command)> execute_;
  std::unordered_map<backend_connection_id, handler> handlers_;
  std::vector<backend_event> rejected_;
  backend_connection_id next_connection_ = 1;
};

}
