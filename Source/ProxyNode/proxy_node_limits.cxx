#include "ProxyNode/proxy_node_state.h"

#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <boost/asio/ip/tcp.hpp>

#include <utility>

namespace persimmonshelf {

namespace {

using boost::asio::ip::tcp;

// Probes and readers of the metrics send no body.
constexpr std::size_t max_probe_body_bytes = 4 << 10;
// Holds any probe and the metrics' page; the kernel may hold as much for each connection.
constexpr std::size_t http_socket_buffer_bytes = 64 << 10;
// Interval between two lines about one limit. Crowds of clients would otherwise use up the log's
// lines per second.
constexpr duration limit_line_period = std::chrono::seconds(1);
// Interval between two attempts to accept a connection while the system has no descriptors.
constexpr duration accept_retry_delay = std::chrono::milliseconds(100);

}

// Options of a listener that clients of any kind may reach. `kind` names it in metrics and logs.
http_server_options
proxy_node::state::http_options(std::string_view kind,
                                const tcp_address& address,
                                std::size_t connection_limit,
                                std::size_t held_limit_bytes)
{
  http_server_options options;
  options.address = address.address;
  options.port = address.port;
  options.body_limit_bytes = max_probe_body_bytes;
  options.connection_limit = connection_limit;
  options.requires_progress = true;
  options.replaces_inactive = true;
  options.held_limit_bytes = held_limit_bytes;
  options.socket_buffer_bytes = static_cast<int>(http_socket_buffer_bytes);
  options.on_limited = [this, kind](std::string_view cause) { record_limit(kind, cause); };
  return options;
}

void
proxy_node::state::accept()
{
  acceptor.async_accept([this](const boost::system::error_code& failure, tcp::socket socket) {
    if (failure == boost::asio::error::operation_aborted) {
      return;
    }
    if (failure) {
      record_limit("caller", "accept_failed");
      static_cast<void>(caller_places.close_incomplete());
      accept_later();
      return;
    }
    add_caller(std::move(socket));
    accept();
  });
}

// The system has no descriptors now. An immediate attempt would fail as well and use the processor.
void
proxy_node::state::accept_later()
{
  accept_timer.expires_after(accept_retry_delay);
  accept_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      accept();
    }
  });
}

void
proxy_node::state::add_caller(tcp::socket socket)
{
  if (!caller_places.make_room()) {
    record_limit("caller", "too_many_callers");
    boost::system::error_code ignored;
    socket.non_blocking(true, ignored);
    // The kernel's buffer of a new connection has room for this line.
    socket.write_some(boost::asio::buffer(platform::encode_error(
                        statement_error::busy, "too many connections, retry after 1000 ms")),
                      ignored);
    return;
  }
  auto weak_connection = std::make_shared<std::weak_ptr<caller_connection>>();
  auto connection = caller_connection::create(
    std::move(socket),
    { [this](const std::string& first_line, caller_output output) {
       return begin_session(first_line, std::move(output));
     },
      [this, weak_connection] { callers.erase(weak_connection->lock()); },
      [this](std::string_view line, const std::string& what) { log_session_failure(line, what); },
      [this](std::uint64_t unanswered) {
        log.write("requests_abandoned", { { "count", std::to_string(unanswered) } });
      },
      [this](std::function<void()> end) { return open_account(std::move(end)); },
      [this](std::function<void()> end) { return caller_places.open(std::move(end), boot_now()); },
      [this](std::string_view cause) { record_limit("caller", cause); } });
  *weak_connection = connection;
  callers.insert(connection);
  connection->start();
}

memory_budget::account
proxy_node::state::open_account(std::function<void()> end)
{
  return memory.open(std::move(end));
}

// Records that a client was refused or closed because of a limit. `kind` is the kind of the client.
void
proxy_node::state::record_limit(std::string_view kind, std::string_view cause)
{
  metrics->count_limit(kind, cause);
  auto& line = limit_lines[std::pair(std::string(kind), std::string(cause))];
  ++line.count;
  const auto now = boot_now();
  if (now < line.next_at) {
    return;
  }
  line.next_at = now + limit_line_period;
  log.write("client_limited",
            { { "kind", std::string(kind) },
              { "cause", std::string(cause) },
              { "count", std::to_string(std::exchange(line.count, 0)) },
              { "held_bytes", std::to_string(memory.used_bytes()) } });
}

}
