#include "Net/platform_client.h"

#include <utility>

namespace persimmonshelf {

namespace {

// Bounds the load of one instance on the platform's services.
constexpr std::size_t connection_limit = 4;
// Calls beyond this are answered as failed, so that a long outage does not grow the queue.
constexpr std::size_t waiting_limit = 256;
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
  if (waiting_.size() >= waiting_limit) {
    report_({ call.id, 0, {} });
    return;
  }
  waiting_.push_back(std::move(call));
  start_waiting();
}

void
platform_client::start_waiting()
{
  while (!waiting_.empty() && running_ < connection_limit) {
    auto call = std::move(waiting_.front());
    waiting_.pop_front();
    ++running_;
    while (!idle_.empty() && !idle_.front()->is_open()) {
      idle_.pop_front();
    }
    if (idle_.empty() || call.fresh_connection) {
      connect(std::move(call));
      continue;
    }
    auto connection = std::move(idle_.front());
    idle_.pop_front();
    run(std::move(connection), call);
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
                          finished(nullptr, { call.id, 0, {} });
                          return;
                        }
                        run(connection, call);
                      });
}

void
platform_client::run(std::shared_ptr<http_connection> connection, const platform_call& call)
{
  http_request request;
  request.method = call.method;
  request.target = call.target;
  request.body = call.body;
  request.headers = call.headers;
  // The platform knows its clients by instance name.
  if (!instance_.empty()) {
    request.authorization = "Bearer " + instance_;
  }
  auto& target = *connection;
  target.send(request,
              call.timeout,
              [this, connection = std::move(connection), id = call.id](const http_failure* failure,
                                                                       http_response response) {
                if (failure != nullptr) {
                  finished(nullptr, { id, 0, {} });
                  return;
                }
                finished(connection, { id, response.status, std::move(response.body) });
              });
}

void
platform_client::finished(std::shared_ptr<http_connection> connection, platform_reply reply)
{
  --running_;
  if (connection && connection->is_open()) {
    idle_.push_back(std::move(connection));
  }
  report_(std::move(reply));
  start_waiting();
}

}
