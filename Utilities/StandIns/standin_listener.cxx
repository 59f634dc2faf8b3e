#include "StandIns/standin_listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <unordered_map>
#include <utility>

namespace persimmonshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

class session;

// A replica that has no entries may receive the whole log in one request.
constexpr std::size_t body_limit_bytes = 256U << 20U;
// Time within which a connection over the limit must send an exempt request to stay open.
constexpr std::chrono::milliseconds classification_timeout{ 5 };

}

struct standin_listener::state : std::enable_shared_from_this<standin_listener::state>
{
  state(asio::io_context& context_in, standin_listener_options options_in, hooks handlers_in)
    : context(context_in)
    , acceptor(context_in)
    , options(std::move(options_in))
    , handlers(std::move(handlers_in))
  {
  }

  void accept();

  asio::io_context& context;
  tcp::acceptor acceptor;
  standin_listener_options options;
  hooks handlers;
  std::unordered_map<accepted_number, std::shared_ptr<session>> sessions;
  accepted_number next_number = 1;
  bool refusing = false;
  bool stopped = false;
};

namespace {

class session : public std::enable_shared_from_this<session>
{
public:
  // Callbacks and settings of the listener, copied because a session may outlive the listener.
  struct hooks
  {
    std::function<void(standin_request, standin_listener::responder)> request;
    std::function<void(accepted_number)> closed;
    std::function<bool(std::string_view)> exempt;
    std::function<bool()> refusing;
    duration connect_delay{ 0 };
  };

  session(asio::io_context& context,
          tcp::socket socket,
          accepted_number number,
          bool over_limit,
          hooks handlers)
    : socket_(std::move(socket))
    , timer_(context)
    , number_(number)
    , over_limit_(over_limit)
    , accepted_at_(std::chrono::steady_clock::now())
    , hooks_(std::move(handlers))
  {
  }

  void start()
  {
    if (over_limit_) {
      timer_.expires_after(classification_timeout);
      timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && self->over_limit_) {
          self->close();
        }
      });
    }
    read_request();
  }

  void close()
  {
    if (closed_) {
      return;
    }
    closed_ = true;
    error_code ignored;
    timer_.cancel();
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    hooks_.closed(number_);
  }

  bool exempt() const { return exempt_; }

private:
  void read_request()
  {
    auto& parser = parser_.emplace();
    parser.body_limit(body_limit_bytes);
    http::async_read(
      socket_, buffer_, parser, [self = shared_from_this()](error_code failure, std::size_t) {
        if (failure || self->closed_) {
          self->close();
          return;
        }
        self->classify();
      });
  }

  void classify()
  {
    if (std::exchange(classified_, true)) {
      if (!exempt_ && hooks_.refusing()) {
        close();
        return;
      }
      dispatch();
      return;
    }
    const auto target = parser_->get().target();
    exempt_ = hooks_.exempt(std::string_view(target.data(), target.size()));
    if (exempt_) {
      over_limit_ = false;
      dispatch();
      return;
    }
    if (over_limit_ || hooks_.refusing()) {
      close();
      return;
    }
    const auto ready = accepted_at_ + hooks_.connect_delay;
    if (ready <= std::chrono::steady_clock::now()) {
      dispatch();
      return;
    }
    timer_.expires_at(ready);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && !self->closed_) {
        self->dispatch();
      }
    });
  }

  void dispatch()
  {
    auto message = parser_->release();
    parser_.reset();
    standin_request request;
    request.connection = number_;
    request.http.method = std::string(message.method_string());
    request.http.target = std::string(message.target());
    request.http.authorization = std::string(message[http::field::authorization]);
    request.http.traceparent = std::string(message["traceparent"]);
    request.http.keep_alive = message.keep_alive();
    request.http.body = std::move(message.body());
    for (const auto& field : message) {
      request.headers += std::string(field.name_string()) + ": ";
      request.headers += std::string(field.value()) + "\n";
    }
    awaiting_answer_ = true;
    watch_for_close();
    hooks_.request(std::move(request), [self = shared_from_this()](const standin_reply& reply) {
      if (!self->closed_ && std::exchange(self->awaiting_answer_, false)) {
        self->answer(reply);
      }
    });
  }

  // Detects a closed connection while a request is being executed, since a transaction must be
  // rolled back when its connection closes, even during a statement.
  void watch_for_close()
  {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code failure) {
      if (!self->awaiting_answer_ || self->closed_) {
        return;
      }
      char byte = 0;
      error_code reading;
      self->socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, reading);
      if (failure || reading) {
        self->close();
      }
    });
  }

  void answer(const standin_reply& reply)
  {
    if (reply.close_without_answer) {
      close();
      return;
    }
    const auto& body = reply.response.body;
    response_text_ = "HTTP/1.1 " + std::to_string(reply.response.status) + " -\r\nContent-Type: ";
    response_text_ += reply.response.content_type;
    response_text_ += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    const bool last = reply.response.close || reply.truncate;
    response_text_ += last ? "Connection: close\r\n\r\n" : "\r\n";
    response_text_ += reply.truncate ? body.substr(0, body.size() / 2) : body;
    asio::async_write(socket_,
                      asio::buffer(response_text_),
                      [self = shared_from_this(), last](error_code failure, std::size_t) {
                        if (failure || last) {
                          self->close();
                          return;
                        }
                        self->read_request();
                      });
  }

  tcp::socket socket_;
  asio::steady_timer timer_;
  accepted_number number_;
  bool over_limit_;
  std::chrono::steady_clock::time_point accepted_at_;
  hooks hooks_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::string response_text_;
  bool closed_ = false;
  bool classified_ = false;
  bool exempt_ = false;
  bool awaiting_answer_ = false;
};

}

void
standin_listener::state::accept()
{
  acceptor.async_accept([self = shared_from_this()](error_code failure, tcp::socket socket) {
    if (self->stopped || failure == asio::error::operation_aborted) {
      return;
    }
    if (!failure) {
      std::size_t clients = 0;
      for (const auto& [number, open] : self->sessions) {
        clients += open->exempt() ? 0 : 1;
      }
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const std::weak_ptr<state> weak = self;
      session::hooks session_hooks;
      session_hooks.request = [weak](standin_request request, responder respond) {
        if (const auto owner = weak.lock(); owner && !owner->stopped) {
          owner->handlers.request(std::move(request), std::move(respond));
        }
      };
      session_hooks.closed = [weak](accepted_number number) {
        const auto owner = weak.lock();
        if (owner && owner->sessions.erase(number) > 0 && !owner->stopped &&
            owner->handlers.closed) {
          owner->handlers.closed(number);
        }
      };
      session_hooks.exempt = self->handlers.exempt;
      session_hooks.refusing = [weak] {
        const auto owner = weak.lock();
        return !owner || owner->refusing;
      };
      session_hooks.connect_delay = self->options.connect_delay;
      const auto number = self->next_number++;
      const auto accepted =
        std::make_shared<session>(self->context,
                                  std::move(socket),
                                  number,
                                  self->refusing || clients >= self->options.connection_limit,
                                  std::move(session_hooks));
      self->sessions.emplace(number, accepted);
      accepted->start();
    }
    self->accept();
  });
}

standin_listener::standin_listener(std::shared_ptr<state> shared)
  : state_(std::move(shared))
{
}

standin_listener::~standin_listener()
{
  state_->stopped = true;
  error_code ignored;
  state_->acceptor.close(ignored);
  const auto open = std::move(state_->sessions);
  state_->sessions.clear();
  for (const auto& [number, connection] : open) {
    connection->close();
  }
}

result<std::unique_ptr<standin_listener>>
standin_listener::create(asio::io_context& context,
                         const standin_listener_options& options,
                         hooks handlers)
{
  const auto endpoint_text = options.address.address + ":" + std::to_string(options.address.port);
  error_code failure;
  const auto address = asio::ip::make_address(options.address.address, failure);
  if (failure) {
    return fail(result_code::address_unavailable, endpoint_text + ": not an IP address");
  }
  auto shared = std::make_shared<state>(context, options, std::move(handlers));
  const tcp::endpoint endpoint(address, options.address.port);
  shared->acceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    shared->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
  }
  if (!failure) {
    shared->acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    shared->acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return fail(result_code::address_unavailable, endpoint_text + ": " + failure.message());
  }
  shared->accept();
  return std::unique_ptr<standin_listener>(new standin_listener(std::move(shared)));
}

std::uint16_t
standin_listener::port() const
{
  error_code ignored;
  return state_->acceptor.local_endpoint(ignored).port();
}

std::vector<accepted_number>
standin_listener::clients() const
{
  std::vector<accepted_number> numbers;
  for (const auto& [number, open] : state_->sessions) {
    if (!open->exempt()) {
      numbers.push_back(number);
    }
  }
  return numbers;
}

void
standin_listener::refuse_clients(bool refuse)
{
  state_->refusing = refuse;
}

void
standin_listener::close(accepted_number number)
{
  const auto found = state_->sessions.find(number);
  if (found == state_->sessions.end()) {
    return;
  }
  const auto open = found->second;
  open->close();
}

}
