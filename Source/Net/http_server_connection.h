#pragma once

#include "Base/progress_check.h"
#include "Net/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace persimmonshelf {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using error_code = boost::system::error_code;

// Buffers that a connection needs only while it reads a request or sends a response.
struct http_exchange
{
  beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
  std::optional<http::response_serializer<http::string_body>> serializer;
};

// One connection of an http_server. Reads requests in pieces, so that the progress of each is
// known.
class http_server_connection : public std::enable_shared_from_this<http_server_connection>
{
public:
  http_server_connection(tcp::socket socket, accepted_number number)
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
    // The number of bytes of requests that are being received or responses that are being sent
    // changed.
    std::function<void(std::size_t added, std::size_t removed)> held;
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
    clear_held();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    hooks_->closed(number_);
  }

  bool idle() const { return !exchange_; }
  std::chrono::steady_clock::time_point last_activity() const { return last_activity_; }
  bool awaiting_response() const { return awaiting_response_; }
  bool has_complete_request() const { return has_complete_request_; }
  std::size_t held_bytes() const { return held_bytes_; }

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
  static constexpr std::uint32_t header_limit_bytes = 16 << 10;
  // Bytes that are read at once.
  static constexpr std::size_t piece_bytes = 8 << 10;
  // Received bytes that the parser cannot use yet. A header has fewer.
  static constexpr std::size_t unparsed_limit_bytes = 64 << 10;

  void note_progress(std::size_t bytes)
  {
    last_activity_ = std::chrono::steady_clock::now();
    progress_.add(bytes);
  }

  void clear_held() { hooks_->held(0, std::exchange(held_bytes_, 0)); }

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
      exchange_ = std::make_unique<http_exchange>();
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
                              self->held_bytes_ += length;
                              self->hooks_->held(length, 0);
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
    clear_held();
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
    clear_held();
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
    held_bytes_ = message.body().size();
    hooks_->held(held_bytes_, 0);
    if (closed_) {
      return;
    }
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
    clear_held();
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
  std::unique_ptr<http_exchange> exchange_;
  std::chrono::steady_clock::time_point last_activity_;
  progress_check progress_;
  std::size_t held_bytes_ = 0;
  bool closed_ = false;
  bool has_complete_request_ = false;
  bool awaiting_response_ = false;
  bool keep_alive_ = true;
};

}
