#include "Adapters/backend_client.h"

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
    backend_event event{ happening::connect_failed, link, 0, {}, false, {} };
    event.reason = command.address + ": not an IP number and port";
    report_(std::move(event));
    return;
  }
  const auto connection = http_connection::create(context_);
  connections_[link] = connection;
  connection->on_close([this, link] {
    // A closing that ends an exchange is reported as its failure; the entry is gone by then.
    if (connections_.erase(link) > 0) {
      report_({ happening::closed, link, 0, {}, false, {} });
    }
  });
  connection->connect(address, command.timeout, [this, link](const std::string& reason) {
    if (reason.empty()) {
      report_({ happening::connected, link, 0, {}, false, {} });
      return;
    }
    if (connections_.erase(link) > 0) {
      report_({ happening::connect_failed, link, 0, {}, false, reason });
    }
  });
}

void
backend_client::send(const backend_command& command)
{
  const auto link = command.link;
  const auto found = connections_.find(link);
  if (found == connections_.end()) {
    report_({ happening::failed, link, 0, {}, false, "the connection is closed" });
    return;
  }
  http_request request;
  request.method = command.method;
  request.target = command.target;
  request.body = command.body;
  request.traceparent = command.traceparent;
  const auto connection = found->second;
  connection->send(
    request,
    command.timeout,
    [this, link, connection](const http_failure* failure, http_response response) {
      if (failure != nullptr) {
        if (connections_.erase(link) > 0) {
          connection->on_close({});
          connection->close();
          report_({ happening::failed, link, 0, {}, failure->may_have_been_sent, failure->reason });
        }
        return;
      }
      if (!connections_.contains(link)) {
        // `finish` closed the connection first because the server asked for it.
        return;
      }
      report_({ happening::answered, link, response.status, std::move(response.body), true, {} });
    });
}

}
