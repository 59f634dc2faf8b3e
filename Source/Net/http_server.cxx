#include "Net/http_server.h"

#include "Base/progress_check.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

class server_connection;

constexpr std::chrono::seconds idle_check_interval{ 5 };
constexpr std::uint32_t header_limit_bytes = 16 << 10;
// Bytes that are read at once.
constexpr std::size_t piece_bytes = 8 << 10;
// Received bytes that the parser cannot use yet. A header has fewer.
constexpr std::size_t unparsed_limit_bytes = 64 << 10;
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
  void close_for_limit(const std::shared_ptr<server_connection>& connection,
                       std::string_view cause);
  bool close_inactive(std::string_view cause);
  void limit_received();
  void close_all();

  tcp::acceptor acceptor;
  asio::steady_timer idle_check_timer;
  asio::steady_timer accept_timer;
  http_server_options options;
  request_handler on_request;
  close_handler on_close;
  std::unordered_map<accepted_number, std::shared_ptr<server_connection>> connections;
  accepted_number next_number = 1;
  // Bytes of all requests that are being received.
  std::size_t received_bytes = 0;
  bool draining = false;
  bool stopped = false;
};

namespace {

// Buffers that a connection needs only while it reads a request or sends a response.
struct exchange
{
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
  std::optional<http::response_serializer<http::string_body>> serializer;
};

class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
  using server_state = std::weak_ptr<void>;
  using finish = std::function<void(accepted_number)>;

  server_connection(tcp::socket socket, accepted_number number)
    : socket_(std::move(socket))
    , number_(number)
    , last_activity_(std::chrono::steady_clock::now())
  {
  }

  struct hooks
  {
    std::function<void(accepted_number, http_request, http_server::responder)> request;
    std::function<void(accepted_number)> closed;
    std::function<bool()> draining;
    // The number of bytes of requests that are being received changed.
    std::function<void(std::size_t added, std::size_t removed)> received;
    std::size_t body_limit_bytes = 0;
  };

  void start(std::shared_ptr<hooks> shared_hooks)
  {
    hooks_ = std::move(shared_hooks);
    wait_for_request();
  }

  void close()
  {
    if (closed_) {
      return;
    }
    closed_ = true;
    clear_received();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    hooks_->closed(number_);
  }

  bool idle() const { return !exchange_; }
  std::chrono::steady_clock::time_point last_activity() const { return last_activity_; }
  bool awaiting_response() const { return awaiting_response_; }
  bool has_complete_request() const { return has_complete_request_; }
  std::size_t received_bytes() const { return received_bytes_; }

  // True if a request that has begun, or a response, made too little progress.
  bool is_too_slow(instant now)
  {
    if (!exchange_ || awaiting_response_) {
      progress_.reset();
      return false;
    }
    return progress_.is_too_slow(now);
  }

private:
  void note_progress(std::size_t bytes)
  {
    last_activity_ = std::chrono::steady_clock::now();
    progress_.add(bytes);
  }

  void clear_received() { hooks_->received(0, std::exchange(received_bytes_, 0)); }

  void wait_for_request()
  {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code failure) {
      if (failure) {
        self->close();
        return;
      }
      self->read_request();
    });
  }

  void read_request()
  {
    if (!exchange_) {
      exchange_ = std::make_unique<exchange>();
    }
    last_activity_ = std::chrono::steady_clock::now();
    auto& parser = exchange_->parser.emplace();
    parser.body_limit(hooks_->body_limit_bytes);
    parser.header_limit(header_limit_bytes);
    parser.eager(true);
    progress_.reset();
    parse();
  }

  // Passes what was received to the parser, and reads more until the request is complete.
  void parse()
  {
    auto& buffer = exchange_->buffer;
    auto& parser = *exchange_->parser;
    while (buffer.size() > 0 && !parser.is_done()) {
      error_code failure;
      buffer.consume(parser.put(buffer.data(), failure));
      if (failure == http::error::need_more) {
        break;
      }
      if (failure) {
        request_read(failure);
        return;
      }
    }
    if (parser.is_done()) {
      request_read({});
    } else if (buffer.size() > unparsed_limit_bytes) {
      request_read(http::error::buffer_overflow);
    } else {
      read_piece();
    }
  }

  void read_piece()
  {
    socket_.async_read_some(exchange_->buffer.prepare(piece_bytes),
                            [self = shared_from_this()](error_code failure, std::size_t length) {
                              if (self->closed_) {
                                return;
                              }
                              if (failure) {
                                self->request_read(failure);
                                return;
                              }
                              self->exchange_->buffer.commit(length);
                              self->note_progress(length);
                              self->received_bytes_ += length;
                              self->hooks_->received(length, 0);
                              if (!self->closed_) {
                                self->parse();
                              }
                            });
  }

  void request_read(error_code failure)
  {
    if (failure == http::error::body_limit) {
      respond({ 413,
                R"({"outcome":"not_run","code":107,"message":"body over the limit"})",
                "application/json",
                true });
      return;
    }
    if (failure) {
      close();
      return;
    }
    has_complete_request_ = true;
    clear_received();
    auto message = exchange_->parser->release();
    exchange_->parser.reset();
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.authorization = std::string(message[http::field::authorization]);
    request.traceparent = std::string(message["traceparent"]);
    request.keep_alive = message.keep_alive();
    request.body = std::move(message.body());
    keep_alive_ = request.keep_alive;
    awaiting_response_ = true;
    watch_for_close();
    hooks_->request(
      number_, std::move(request), [self = shared_from_this()](http_response response) {
        if (!self->closed_ && std::exchange(self->awaiting_response_, false)) {
          self->respond(std::move(response));
        }
      });
  }

  // Detects a client that closes its connection while its request is handled. Data that is already
  // available belongs to the next request.
  void watch_for_close()
  {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code failure) {
      if (failure || !self->awaiting_response_) {
        return;
      }
      char next = 0;
      error_code ended;
      self->socket_.receive(asio::buffer(&next, 1), tcp::socket::message_peek, ended);
      if (ended && ended != asio::error::would_block) {
        self->close();
      }
    });
  }

  void respond(http_response response)
  {
    // Cancels the wait of watch_for_close; an idle connection must have only one pending wait.
    error_code ignored;
    socket_.cancel(ignored);
    auto& message = exchange_->response;
    message = {};
    message.result(response.status);
    message.version(11);
    message.set(http::field::content_type, response.content_type);
    message.body() = std::move(response.body);
    message.keep_alive(keep_alive_ && !response.close && !hooks_->draining());
    message.prepare_payload();
    exchange_->serializer.emplace(message);
    progress_.reset();
    write_piece();
  }

  void write_piece()
  {
    http::async_write_some(socket_,
                           *exchange_->serializer,
                           [self = shared_from_this()](error_code failure, std::size_t length) {
                             if (self->closed_) {
                               return;
                             }
                             self->note_progress(length);
                             if (failure || self->exchange_->serializer->is_done()) {
                               self->exchange_->serializer.reset();
                               self->response_written(failure);
                             } else {
                               self->write_piece();
                             }
                           });
  }

  void response_written(error_code failure)
  {
    last_activity_ = std::chrono::steady_clock::now();
    if (failure || !exchange_->response.keep_alive()) {
      close();
      return;
    }
    if (exchange_->buffer.size() > 0) {
      read_request();
      return;
    }
    exchange_.reset();
    wait_for_request();
  }

  tcp::socket socket_;
  accepted_number number_;
  std::shared_ptr<hooks> hooks_;
  std::unique_ptr<exchange> exchange_;
  std::chrono::steady_clock::time_point last_activity_;
  progress_check progress_;
  std::size_t received_bytes_ = 0;
  bool closed_ = false;
  bool has_complete_request_ = false;
  bool awaiting_response_ = false;
  bool keep_alive_ = true;
};

}

void
http_server::state::accept()
{
  // All connections share one set of hooks to save memory.
  auto shared_hooks = std::make_shared<server_connection::hooks>();
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
  shared_hooks->received = [weak](std::size_t added, std::size_t removed) {
    if (const auto self = weak.lock()) {
      self->received_bytes += added;
      self->received_bytes -= removed;
      if (added > 0) {
        self->limit_received();
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
          const auto accepted = std::make_shared<server_connection>(std::move(socket), number);
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
    std::vector<std::shared_ptr<server_connection>> idle_too_long;
    std::vector<std::shared_ptr<server_connection>> too_slow;
    for (const auto& [number, open] : self->connections) {
      if (self->options.requires_progress && open->is_too_slow(checked_at)) {
        too_slow.push_back(open);
      } else if (!open->awaiting_response() && open->last_activity() < limit) {
        idle_too_long.push_back(open);
      }
    }
    for (const auto& open : idle_too_long) {
      open->close();
    }
    for (const auto& open : too_slow) {
      self->close_for_limit(open, "no_progress");
    }
    self->close_idle_connections();
  });
}

// The reference may be to an entry of `connections`, which closing removes.
void
http_server::state::close_for_limit(const std::shared_ptr<server_connection>& connection,
                                    std::string_view cause)
{
  const auto kept = connection;
  if (options.on_limited) {
    options.on_limited(cause);
  }
  kept->close();
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
  close_for_limit(found->second, cause);
  return true;
}

void
http_server::state::limit_received()
{
  while (options.received_limit_bytes > 0 && received_bytes > options.received_limit_bytes) {
    const auto largest =
      std::max_element(connections.begin(), connections.end(), [](const auto& a, const auto& b) {
        return a.second->received_bytes() < b.second->received_bytes();
      });
    if (largest == connections.end() || largest->second->received_bytes() == 0) {
      return;
    }
    close_for_limit(largest->second, "memory");
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
  std::vector<std::shared_ptr<server_connection>> idle;
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
