#include "Engine/link_registry.h"

#include <utility>

namespace persimmonshelf {

using happening = backend_event::happening;
using action = backend_command::action;

link_registry::link_registry(std::function<bool(backend_command)> execute)
  : execute_(std::move(execute))
{
}

void
link_registry::execute(backend_command command)
{
  const auto link = command.link;
  const auto kind = command.kind;
  if (execute_(std::move(command)) || kind == action::close) {
    return;
  }
  backend_event event;
  event.link = link;
  event.kind = kind == action::open ? happening::connect_failed : happening::failed;
  event.reason = "the backend thread is overloaded";
  refused_.push_back(std::move(event));
}

link_number
link_registry::open(const std::string& address, duration timeout, handler on_event)
{
  const auto link = next_link_++;
  handlers_.emplace(link, std::move(on_event));
  backend_command command;
  command.kind = action::open;
  command.link = link;
  command.address = address;
  command.timeout = timeout;
  execute(std::move(command));
  return link;
}

void
link_registry::send(link_number link, backend_message message, duration timeout)
{
  backend_command command;
  command.kind = action::send;
  command.link = link;
  command.message = std::move(message);
  command.timeout = timeout;
  execute(std::move(command));
}

void
link_registry::close(link_number link)
{
  if (handlers_.erase(link) == 0) {
    return;
  }
  backend_command command;
  command.kind = action::close;
  command.link = link;
  execute(std::move(command));
}

void
link_registry::call(const std::string& address,
                    backend_message message,
                    duration timeout,
                    reply_handler done)
{
  open(address,
       timeout,
       [this, message = std::move(message), timeout, done = std::move(done)](backend_event& event,
                                                                             instant now) {
         if (event.kind == happening::connected) {
           send(event.link, message, timeout);
           return;
         }
         const auto report = done;
         const bool answered = event.kind == happening::answered;
         close(event.link);
         report(answered ? &event.reply : nullptr, now);
       });
}

void
link_registry::handle(backend_event event, instant now)
{
  const auto found = handlers_.find(event.link);
  if (found == handlers_.end()) {
    return;
  }
  // Copied, because the handler may close the link and so destroy itself.
  const auto on_event = found->second;
  if (event.kind != happening::connected && event.kind != happening::answered) {
    handlers_.erase(found);
  }
  on_event(event, now);
}

void
link_registry::flush(instant now)
{
  auto refused = std::move(refused_);
  refused_.clear();
  for (auto& event : refused) {
    handle(std::move(event), now);
  }
}

}
