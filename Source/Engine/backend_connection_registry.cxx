#include "Engine/backend_connection_registry.h"

#include <utility>

namespace persimmonshelf {

using event_type = backend_event::event_type;
using action = backend_command::action;

backend_connection_registry::backend_connection_registry(
  std::function<bool(backend_command)> execute)
  : execute_(std::move(execute))
{
}

void
backend_connection_registry::execute(backend_command command)
{
  const auto connection = command.connection;
  const auto kind = command.kind;
  if (execute_(std::move(command)) || kind == action::close) {
    return;
  }
  backend_event event;
  event.connection = connection;
  event.kind = kind == action::open ? event_type::connect_failed : event_type::failed;
  event.reason = "the backend thread is overloaded";
  rejected_.push_back(std::move(event));
}

backend_connection_id
backend_connection_registry::open(const std::string& address, duration timeout, handler on_event)
{
  const auto connection = next_connection_++;
  handlers_.emplace(connection, std::move(on_event));
  backend_command command;
  command.kind = action::open;
  command.connection = connection;
  command.address = address;
  command.timeout = timeout;
  execute(std::move(command));
  return connection;
}

void
backend_connection_registry::send(backend_connection_id connection,
                                  backend_message message,
                                  duration timeout)
{
  backend_command command;
  command.kind = action::send;
  command.connection = connection;
  command.message = std::move(message);
  command.timeout = timeout;
  execute(std::move(command));
}

void
backend_connection_registry::close(backend_connection_id connection)
{
  if (handlers_.erase(connection) == 0) {
    return;
  }
  backend_command command;
  command.kind = action::close;
  command.connection = connection;
  execute(std::move(command));
}

void
backend_connection_registry::call(const std::string& address,
                                  backend_message message,
                                  duration timeout,
                                  reply_handler done)
{
  open(address,
       timeout,
       [this, message = std::move(message), timeout, done = std::move(done)](backend_event& event,
                                                                             instant now) {
         if (event.kind == event_type::connected) {
           send(event.connection, message, timeout);
           return;
         }
         const auto report = done;
         const bool answered = event.kind == event_type::answered;
         close(event.connection);
         report(answered ? &event.reply : nullptr, now);
       });
}

void
backend_connection_registry::handle(backend_event event, instant now)
{
  const auto found = handlers_.find(event.connection);
  if (found == handlers_.end()) {
    return;
  }
  // Copied because the handler may close the connection, which destroys the stored handler.
  const auto on_event = found->second;
  if (event.kind != event_type::connected && event.kind != event_type::answered) {
    handlers_.erase(found);
  }
  on_event(event, now);
}

void
backend_connection_registry::flush(instant now)
{
  auto rejected = std::move(rejected_);
  rejected_.clear();
  for (auto& event : rejected) {
    handle(std::move(event), now);
  }
}

}
