#include "Net/http_server.h"

#include "Net/http_server_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

constexpr std::chrono::seconds idle_check_interval{ 5 };
// Interval between two attempts to accept a connection while the system has no descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{ 100 };

}

// Connections refer to the server state weakly, so a response after its destruction is harmless.
struct http_server::state : std::enable_shared_from_this<http_server::state>
{
  state(asio::io_context& context, http_server_options options_in)
    : acceptor(context)
    , idle_check_timer(context)
    , accept_timer(context)
    , options(std::move(options_in))
  {
  }

  void accept();
  void close_idle_connections();
  void close_for_limit(accepted_number number, std::string_view cause);
  bool close_inactive(std::string_view cause);
  void limit_held();
  void close_all();

  tcp::acceptor acceptor;
  asio::steady_timer idle_check_timer;
  asio::steady_timer accept_timer;
  http_server_options options;
  request_handler on_request;
  close_handler on_close;
  std::unordered_map<accepted_number, std::shared_ptr<http_server_connection>> connections;
  accepted_number next_number = 1;
  // Bytes of all requests that are being received and responses that are being sent.
  std::size_t held_bytes = 0;
  bool draining = false;
  bool stopped = false;
};

void
http_server::state::accept()
{
  // All connections share one set of hooks to save memory.
  auto shared_hooks = std::make_shared<http_server_connection::hooks>();
  std::weak_ptr<state> weak = shared_from_this();
  shared_hooks->body_limit_bytes = options.body_limit_bytes;
  shared_hooks->draining = [weak] {
    const auto self = weak.lock();
    return !self || self->draining;
  };
  shared_hooks->request = [weak](accepted_number number, http_request request, responder respond) {
    if (const auto self = weak.lock()) {
      self->on_request(number, std::move(request), std::move(respond));
    }
  };
  shared_hooks->held = [weak](std::size_t added, std::size_t removed) {
    if (const auto self = weak.lock()) {
      self->held_bytes += added;
      self->held_bytes -= removed;
      if (added > 0) {
        self->limit_held();
      }
    }
  };
  shared_hooks->closed = [weak](accepted_number number) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    self->connections.erase(number);
    if (self->on_close && !self->stopped) {
      self->on_close(number);
    }
  };
  const auto loop = std::make_shared<std::function<void()>>();
  *loop = [this, weak, shared_hooks, weak_loop = std::weak_ptr<std::function<void()>>(loop)] {
    acceptor.async_accept(
      [weak, shared_hooks, next = weak_loop.lock()](error_code failure, tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || failure == asio::error::operation_aborted || !self->acceptor.is_open()) {
          return;
        }
        if (failure) {
          // The system has no descriptors. An immediate attempt would fail as well.
          self->close_inactive("accept_failed");
          self->accept_timer.expires_after(accept_retry_delay);
          self->accept_timer.async_wait([weak, next](error_code cancelled) {
            if (const auto owner = weak.lock(); !cancelled && owner && !owner->stopped) {
              (*next)();
            }
          });
          return;
        }
        if (self->connections.size() < self->options.connection_limit ||
            self->close_inactive("too_many_connections")) {
          error_code ignored;
          socket.set_option(tcp::no_delay(true), ignored);
          socket.set_option(asio::socket_base::keep_alive(true), ignored);
          const auto number = self->next_number++;
          const auto accepted = std::make_shared<http_server_connection>(std::move(socket), number);
          self->connections.emplace(number, accepted);
          accepted->start(shared_hooks);
        }
        (*next)();
      });
  };
  (*loop)();
}

void
http_server::state::close_idle_connections()
{
  idle_check_timer.expires_after(idle_check_interval);
  idle_check_timer.async_wait([weak = weak_from_this()](error_code failure) {
    const auto self = weak.lock();
    if (failure || !self || self->stopped) {
      return;
    }
    const auto now = std::chrono::steady_clock::now();
    const auto limit = now - self->options.idle_timeout;
    const instant checked_at(std::chrono::duration_cast<duration>(now.time_since_epoch()));
    std::vector<std::shared_ptr<http_server_connection>> idle_too_long;
    std::vector<accepted_number> too_slow;
    for (const auto& [number, open] : self->connections) {
      if (self->options.requires_progress && open->is_too_slow(checked_at)) {
        too_slow.push_back(number);
      } else if (!open->awaiting_response() && open->last_activity() < limit) {
        idle_too_long.push_back(open);
      }
    }
    for (const auto& open : idle_too_long) {
      open->close();
    }
    for (const auto number : too_slow) {
      self->close_for_limit(number, "no_progress");
    }
    self->close_idle_connections();
  });
}

void
http_server::state::close_for_limit(accepted_number number, std::string_view cause)
{
  if (options.on_limited) {
    options.on_limited(cause);
  }
  if (const auto found = connections.find(number); found != connections.end()) {
    // Closing removes the entry.
    const auto connection = found->second;
    connection->close();
  }
}

// Returns false if no connection may be closed in favour of another one.
bool
http_server::state::close_inactive(std::string_view cause)
{
  if (!options.replaces_inactive || connections.empty()) {
    if (options.on_limited) {
      options.on_limited(cause);
    }
    return false;
  }
  const auto order = [](const auto& entry) {
    return std::tuple(entry.second->awaiting_response(),
                      entry.second->has_complete_request(),
                      entry.second->last_activity());
  };
  const auto found =
    std::min_element(connections.begin(), connections.end(), [&](const auto& a, const auto& b) {
      return order(a) < order(b);
    });
  close_for_limit(found->first, cause);
  return true;
}

void
http_server::state::limit_held()
{
  while (options.held_limit_bytes > 0 && held_bytes > options.held_limit_bytes) {
    const auto largest =
      std::max_element(connections.begin(), connections.end(), [](const auto& a, const auto& b) {
        return a.second->held_bytes() < b.second->held_bytes();
      });
    if (largest == connections.end() || largest->second->held_bytes() == 0) {
      return;
    }
    close_for_limit(largest->first, "memory");
  }
}

void
http_server::state::close_all()
{
  auto open = std::move(connections);
  connections.clear();
  for (const auto& [number, connection] : open) {
    connection->close();
  }
}

http_server::http_server(std::shared_ptr<state> shared)
  : state_(std::move(shared))
{
}

http_server::~http_server()
{
  stop();
}

result<std::unique_ptr<http_server>>
http_server::create(asio::io_context& context,
                    const http_server_options& options,
                    request_handler on_request,
                    close_handler on_close)
{
  const auto address_text = options.address + ":" + std::to_string(options.port);
  error_code failure;
  const auto address = asio::ip::make_address(options.address, failure);
  if (failure) {
    return fail(result_code::address_unavailable, address_text + ": not an IP address");
  }
  auto shared = std::make_shared<state>(context, options);
  shared->on_request = std::move(on_request);
  shared->on_close = std::move(on_close);
  const tcp::endpoint endpoint(address, options.port);
  shared->acceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    shared->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure && options.socket_buffer_bytes > 0) {
    shared->acceptor.set_option(asio::socket_base::receive_buffer_size(options.socket_buffer_bytes),
                                failure);
    shared->acceptor.set_option(asio::socket_base::send_buffer_size(options.socket_buffer_bytes),
                                failure);
  }
  if (!failure) {
    shared->acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    shared->acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return fail(result_code::address_unavailable, address_text + ": " + failure.message());
  }
  shared->accept();
  shared->close_idle_connections();
  return std::unique_ptr<http_server>(new http_server(std::move(shared)));
}

std::uint16_t
http_server::port() const
{
  error_code ignored;
  return state_->acceptor.local_endpoint(ignored).port();
}

std::size_t
http_server::connection_count() const
{
  return state_->connections.size();
}

void
http_server::drain()
{
  state_->draining = true;
  error_code ignored;
  state_->acceptor.close(ignored);
  std::vector<std::shared_ptr<http_server_connection>> idle;
  for (const auto& [number, open] : state_->connections) {
    if (open->idle()) {
      idle.push_back(open);
    }
  }
  for (const auto& open : idle) {
    open->close();
  }
}

void
http_server::stop()
{
  state_->stopped = true;
  error_code ignored;
  state_->acceptor.close(ignored);
  state_->idle_check_timer.cancel();
  state_->accept_timer.cancel();
  state_->close_all();
}

}
