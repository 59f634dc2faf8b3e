#include "Adapters/backend_client.h"

#include "Adapters/backend_codec.h"

#include <utility>

namespace persimmonshelf {

using event_type = backend_event::event_type;

backend_client::backend_client(boost::asio::io_context& context,
                               std::function<void(backend_event)> report)
  : context_(context)
  , report_(std::move(report))
{
}

void
backend_client::execute(const backend_command& command)
{
  switch (command.kind) {
    case backend_command::action::open:
      open(command);
      return;
    case backend_command::action::send:
      send(command);
      return;
    case backend_command::action::close:
      break;
  }
  const auto found = connections_.find(command.connection);
  if (found != connections_.end()) {
    const auto connection = std::move(found->second);
    connections_.erase(found);
    connection->on_close({});
    connection->close();
  }
}

void
backend_client::open(const backend_command& command)
{
  const auto id = command.connection;
  tcp_address address;
  if (!parse_address(command.address, address)) {
    report(event_type::connect_failed, id, command.address + ": expected an IP address and port");
    return;
  }
  const auto connection = http_connection::create(context_);
  connections_[id] = connection;
  connection->on_close([this, id] {
    // A close during a request was already reported as the failure of that request, which removed
    // the entry.
    if (connections_.erase(id) > 0) {
      report(event_type::closed, id, {});
    }
  });
  connection->connect(address, command.timeout, [this, id](const std::string& reason) {
    if (reason.empty()) {
      report(event_type::connected, id, {});
    } else if (connections_.erase(id) > 0) {
      report(event_type::connect_failed, id, reason);
    }
  });
}

void
backend_client::send(const backend_command& command)
{
  const auto id = command.connection;
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    report(event_type::failed, id, "the connection is closed");
    return;
  }
  const auto connection = found->second;
  connection->send(encode_backend_message(command.message),
                   command.timeout,
                   [this, id, message = command.message](const http_failure* failure,
                                                         const http_response& response) {
                     handle_response(id, message, failure, response);
                   });
}

void
backend_client::handle_response(backend_connection_id id,
                                const backend_message& message,
                                const http_failure* failure,
                                const http_response& response)
{
  if (!connections_.contains(id)) {
    return;
  }
  backend_event event;
  event.connection = id;
  if (failure != nullptr) {
    connections_.erase(id);
    event.kind = event_type::failed;
    event.may_have_been_sent = failure->may_have_been_sent;
    event.timed_out = failure->timed_out;
    event.reason = failure->reason;
  } else {
    event.kind = event_type::answered;
    event.reply = decode_backend_reply(message, response);
  }
  report_(std::move(event));
}

void
backend_client::report(event_type kind, backend_connection_id id, std::string reason)
{
  backend_event event;
  event.kind = kind;
  event.connection = id;
  event.reason = std::move(reason);
  report_(std::move(event));
}

}
