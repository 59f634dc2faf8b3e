#include "Net/platform_client.h"

#include <utility>

namespace persimmonshelf {

namespace {

// Limits the load that one instance puts on the platform's services.
constexpr std::size_t max_connections = 4;
// Further calls fail at once, which bounds the queue during a long outage.
constexpr std::size_t max_queued_calls = 256;
constexpr duration connect_timeout = std::chrono::milliseconds(500);

}

platform_client::platform_client(boost::asio::io_context& context,
                                 tcp_address address,
                                 std::string instance,
                                 std::function<void(platform_reply)> report)
  : context_(context)
  , address_(std::move(address))
  , instance_(std::move(instance))
  , report_(std::move(report))
{
}

void
platform_client::execute(platform_call call)
{
  if (queued_calls_.size() >= max_queued_calls) {
    report_({ call.id, 0, {}, {} });
    return;
  }
  queued_calls_.push_back(std::move(call));
  start_queued_calls();
}

void
platform_client::start_queued_calls()
{
  while (!queued_calls_.empty() && active_calls_ < max_connections) {
    auto call = std::move(queued_calls_.front());
    queued_calls_.pop_front();
    ++active_calls_;
    while (!idle_connections_.empty() && !idle_connections_.front()->is_open()) {
      idle_connections_.pop_front();
    }
    if (idle_connections_.empty() || call.fresh_connection) {
      connect(std::move(call));
      continue;
    }
    auto connection = std::move(idle_connections_.front());
    idle_connections_.pop_front();
    send_call(std::move(connection), call);
  }
}

void
platform_client::connect(platform_call call)
{
  auto connection = http_connection::create(context_);
  connection->connect(address_,
                      connect_timeout,
                      [this, connection, call = std::move(call)](const std::string& reason) {
                        if (!reason.empty()) {
                          handle_reply(nullptr, { call.id, 0, {}, {} });
                          return;
                        }
                        send_call(connection, call);
                      });
}

void
platform_client::send_call(std::shared_ptr<http_connection> connection, const platform_call& call)
{
  http_request request;
  request.method = call.method;
  request.target = call.target;
  request.body = call.body;
  request.headers = call.headers;
  request.kept_header = call.kept_header;
  // The platform identifies its clients by instance name.
  if (!instance_.empty()) {
    request.authorization = "Bearer " + instance_;
  }
  auto& target = *connection;
  target.send(
    request,
    call.timeout,
    [this, connection = std::move(connection), id = call.id](const http_failure* failure,
                                                             http_response response) {
      if (failure != nullptr) {
        handle_reply(nullptr, { id, 0, {}, {} });
        return;
      }
      handle_reply(
        connection,
        { id, response.status, std::move(response.body), std::move(response.kept_header) });
    });
}

void
platform_client::handle_reply(std::shared_ptr<http_connection> connection, platform_reply reply)
{
  --active_calls_;
  if (connection && connection->is_open()) {
    idle_connections_.push_back(std::move(connection));
  }
  report_(std::move(reply));
  start_queued_calls();
}

}
