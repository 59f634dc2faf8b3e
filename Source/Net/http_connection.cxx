#include "Net/http_connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace persimmonshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

constexpr unsigned char delete_character = 0x7f;

bool
is_control(char character)
{
  const auto byte = static_cast<unsigned char>(character);
  return byte < ' ' || byte == delete_character;
}

bool
is_target(std::string_view text)
{
  return !text.empty() && std::none_of(text.begin(), text.end(), [](char character) {
    return character == ' ' || is_control(character);
  });
}

bool
is_header_value(std::string_view text)
{
  return std::none_of(text.begin(), text.end(), is_control);
}

// False if the request would be sent as another one, or as several.
bool
is_encodable(const http_request& request)
{
  return is_target(request.target) && is_header_value(request.authorization) &&
         is_header_value(request.traceparent) &&
         std::all_of(request.headers.begin(), request.headers.end(), [](const auto& header) {
           return is_header_value(header.second);
         });
}

}

struct http_connection::state
{
  explicit state(asio::io_context& context)
    : socket(context)
    , timer(context)
  {
  }

  tcp::socket socket;
  asio::steady_timer timer;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  http::request<http::string_body> request;
  // Name of the response's header to keep; empty for none.
  std::string kept_header;
  response_handler on_response;
  connect_handler on_connect;
  close_handler closed;
  std::size_t response_limit_bytes = 0;
  bool open = false;
  bool timed_out = false;
  // Number of the current request. Handlers of earlier requests compare it to detect that they are
  // outdated.
  std::uint64_t exchange = 0;
};

http_connection::http_connection(asio::io_context& context, std::size_t response_limit_bytes)
  : state_(std::make_unique<state>(context))
{
  state_->response_limit_bytes = response_limit_bytes;
}

http_connection::~http_connection() = default;

std::shared_ptr<http_connection>
http_connection::create(asio::io_context& context, std::size_t response_limit_bytes)
{
  return std::shared_ptr<http_connection>(new http_connection(context, response_limit_bytes));
}

void
http_connection::connect(const tcp_address& address, duration timeout, connect_handler done)
{
  error_code failure;
  const auto ip = asio::ip::make_address(address.address, failure);
  if (failure) {
    done(address.address + ": not an IP address");
    return;
  }
  state_->on_connect = std::move(done);
  state_->timer.expires_after(timeout);
  state_->timer.async_wait([self = shared_from_this()](error_code cancelled) {
    if (!cancelled && self->state_->on_connect) {
      self->state_->timed_out = true;
      self->close();
    }
  });
  state_->socket.async_connect(tcp::endpoint(ip, address.port),
                               [self = shared_from_this()](error_code refused) {
                                 self->state_->timer.cancel();
                                 if (!self->state_->on_connect) {
                                   return;
                                 }
                                 const auto report = std::exchange(self->state_->on_connect, {});
                                 if (refused) {
                                   const bool timed_out = self->state_->timed_out;
                                   self->close();
                                   report(timed_out ? "connect timed out" : refused.message());
                                   return;
                                 }
                                 error_code ignored;
                                 self->state_->socket.set_option(tcp::no_delay(true), ignored);
                                 self->state_->open = true;
                                 self->watch_idle();
                                 report({});
                               });
}

void
http_connection::watch_idle()
{
  // Data or an end of stream while no request is in flight means that the peer closed the
  // connection or sent an unsolicited response. In both cases the connection must not be reused.
  state_->socket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(), exchange = state_->exchange](error_code failure) {
      if (failure || exchange != self->state_->exchange || self->state_->on_response) {
        return;
      }
      self->close();
    });
}

void
http_connection::send(const http_request& request, duration timeout, response_handler done)
{
  if (!state_->open || state_->on_response) {
    const http_failure failure{ false, "the connection is closed or busy", false };
    done(&failure, {});
    return;
  }
  if (!is_encodable(request)) {
    close();
    const http_failure failure{ false, "the request cannot be encoded", false };
    done(&failure, {});
    return;
  }
  ++state_->exchange;
  state_->on_response = std::move(done);
  state_->kept_header = request.kept_header;
  auto& message = state_->request;
  message = {};
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  message.set(http::field::host, "persimmonshelf");
  message.set(http::field::content_type, "application/json");
  if (!request.authorization.empty()) {
    message.set(http::field::authorization, request.authorization);
  }
  if (!request.traceparent.empty()) {
    message.set("traceparent", request.traceparent);
  }
  for (const auto& [name, value] : request.headers) {
    message.set(name, value);
  }
  message.body() = request.body;
  message.prepare_payload();

  state_->timer.expires_after(timeout);
  state_->timer.async_wait(
    [self = shared_from_this(), exchange = state_->exchange](error_code cancelled) {
      if (!cancelled && exchange == self->state_->exchange && self->state_->on_response) {
        const http_failure expired{ true, "no response before the deadline", true };
        self->finish(&expired, {});
      }
    });

  auto& parser = state_->parser.emplace();
  parser.body_limit(state_->response_limit_bytes);
  http::async_write(
    state_->socket, message, [self = shared_from_this()](error_code failure, std::size_t) {
      if (!self->state_->on_response) {
        return;
      }
      if (failure) {
        const http_failure lost{ true, "write failed: " + failure.message(), false };
        self->finish(&lost, {});
        return;
      }
      http::async_read(
        self->state_->socket,
        self->state_->buffer,
        *self->state_->parser,
        [self](error_code read_failure, std::size_t) {
          if (!self->state_->on_response) {
            return;
          }
          if (read_failure) {
            const http_failure lost{ true, "read failed: " + read_failure.message(), false };
            self->finish(&lost, {});
            return;
          }
          auto received = self->state_->parser->release();
          http_response response;
          response.status = received.result_int();
          response.body = std::move(received.body());
          if (const auto& name = self->state_->kept_header; !name.empty()) {
            response.kept_header = std::string(received[name]);
          }
          response.close = !received.keep_alive() || self->state_->buffer.size() > 0;
          self->finish(nullptr, std::move(response));
        });
    });
}

void
http_connection::finish(const http_failure* failure, http_response response)
{
  state_->timer.cancel();
  const auto done = std::exchange(state_->on_response, {});
  if (failure == nullptr && !response.close) {
    watch_idle();
    done(failure, std::move(response));
    return;
  }
  // The result is reported before the close. Otherwise a complete last response would be treated as
  // a lost connection.
  const auto closed = std::exchange(state_->closed, {});
  if (failure != nullptr) {
    // Resets the connection: request data that the kernel still buffers must not reach the server
    // after the failure has been reported.
    error_code ignored;
    state_->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  close();
  done(failure, std::move(response));
  if (closed) {
    closed();
  }
}

void
http_connection::on_close(close_handler handler)
{
  state_->closed = std::move(handler);
}

void
http_connection::close()
{
  const bool was_open = std::exchange(state_->open, false);
  error_code ignored;
  state_->timer.cancel();
  state_->socket.close(ignored);
  if (state_->on_response) {
    const http_failure closed{ true, "the connection was closed", false };
    const auto done = std::exchange(state_->on_response, {});
    done(&closed, {});
  }
  if (was_open) {
    if (const auto handler = std::exchange(state_->closed, {})) {
      handler();
    }
  }
}

bool
http_connection::is_open() const
{
  return state_->open;
}

bool
http_connection::is_busy() const
{
  return static_cast<bool>(state_->on_response);
}

std::string
format_address(const tcp_address& address)
{
  return address.address + ":" + std::to_string(address.port);
}

bool
parse_address(const std::string& text, tcp_address& address)
{
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  unsigned port = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  error_code failure;
  asio::ip::make_address(text.substr(0, colon), failure);
  if (failure || parsed.ec != std::errc{} || parsed.ptr != end || port == 0 || port > 65535) {
    return false;
  }
  address = { text.substr(0, colon), static_cast<std::uint16_t>(port) };
  return true;
}

}
