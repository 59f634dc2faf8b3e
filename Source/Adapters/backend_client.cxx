#include "Adapters/backend_client.h"

#include "Adapters/backend_codec.h"

#include <utility>

namespace persimmonshelf {

using happening = backend_event::happening;

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
  const auto found = connections_.find(command.link);
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
  const auto link = command.link;
  tcp_address address;
  if (!parse_address(command.address, address)) {
    report(happening::connect_failed, link, command.address + ": expected an IP address and port");
    return;
  }
  const auto connection = http_connection::create(context_);
  connections_[link] = connection;
  connection->on_close([this, link] {
    // A close during a request was already reported as the failure of that request, which removed
    // the entry.
    if (connections_.erase(link) > 0) {
      report(happening::closed, link, {});
    }
  });
  connection->connect(address, command.timeout, [this, link](const std::string& reason) {
    if (reason.empty()) {
      report(happening::connected, link, {});
    } else if (connections_.erase(link) > 0) {
      report(happening::connect_failed, link, reason);
    }
  });
}

void
backend_client::send(const backend_command& command)
{
  const auto link = command.link;
  const auto found = connections_.find(link);
  if (found == connections_.end()) {
    report(happening::failed, link, "the connection is closed");
    return;
  }
  const auto connection = found->second;
  connection->send(encode_backend_message(command.message),
                   command.timeout,
                   [this, link, message = command.message](const http_failure* failure,
                                                           const http_response& response) {
                     handle_response(link, message, failure, response);
                   });
}

void
backend_client::handle_response(link_number link,
                                const backend_message& message,
                                const http_failure* failure,
                                const http_response& response)
{
  if (!connections_.contains(link)) {
    return;
  }
  backend_event event;
  event.link = link;
  if (failure != nullptr) {
    connections_.erase(link);
    event.kind = happening::failed;
    event.may_have_been_sent = failure->may_have_been_sent;
    event.overdue = failure->timed_out;
    event.reason = failure->reason;
  } else {
    event.kind = happening::answered;
    event.reply = decode_backend_reply(message, response);
  }
  report_(std::move(event));
}

void
backend_client::report(happening kind, link_number link, std::string reason)
{
  backend_event event;
  event.kind = kind;
  event.link = link;
  event.reason = std::move(reason);
  report_(std::move(event));
}

}
