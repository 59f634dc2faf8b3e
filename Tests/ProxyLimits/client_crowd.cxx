#include "client_crowd.h"

#include "platform/line_protocol.h"

#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

// Without a byte for this long, the clients have done what the proxy lets them do.
constexpr std::chrono::seconds settling_time{ 2 };
constexpr std::size_t read_size = 64 << 10;
// Receive buffer of clients that do not read, so that answers wait in the proxy.
constexpr int small_receive_buffer = 4096;
// Receive buffer of clients that read slowly, so that each read finds about its full size.
constexpr int slow_receive_buffer = 64 << 10;

}

struct client_crowd::state
{
  client_behaviour behaviour;
  std::vector<std::shared_ptr<tcp::socket>> sockets;
  std::chrono::steady_clock::time_point progressed_at = std::chrono::steady_clock::now();
  bool closed = false;

  void progress() { progressed_at = std::chrono::steady_clock::now(); }

  // Discards all that arrives.
  static asio::awaitable<void> read(std::shared_ptr<state> self,
                                    std::shared_ptr<tcp::socket> socket)
  {
    std::vector<char> chunk(read_size);
    asio::steady_timer timer(socket->get_executor());
    error_code failure;
    while (!failure && !self->closed) {
      co_await socket->async_read_some(asio::buffer(chunk),
                                       asio::redirect_error(asio::use_awaitable, failure));
      self->progress();
      if (self->behaviour.read_pause.count() > 0) {
        timer.expires_after(self->behaviour.read_pause);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
      }
    }
  }

  static asio::awaitable<void> run(std::shared_ptr<state> self,
                                   std::shared_ptr<tcp::socket> socket,
                                   tcp::endpoint endpoint,
                                   std::size_t number)
  {
    const auto& behaviour = self->behaviour;
    error_code failure;
    socket->open(endpoint.protocol(), failure);
    if (!behaviour.reads || behaviour.read_pause.count() > 0) {
      const int size = behaviour.reads ? slow_receive_buffer : small_receive_buffer;
      socket->set_option(asio::socket_base::receive_buffer_size(size), failure);
    }
    co_await socket->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
    self->progress();
    if (failure) {
      co_return;
    }
    socket->set_option(tcp::no_delay(true), failure);
    const auto head = behaviour.head ? behaviour.head(number) : std::string();
    co_await asio::async_write(
      *socket, asio::buffer(head), asio::redirect_error(asio::use_awaitable, failure));
    std::string received;
    std::vector<char> chunk(read_size);
    while (behaviour.awaits_ready && !failure && !platform::ends_with_ready(received)) {
      const auto length = co_await socket->async_read_some(
        asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, failure));
      received.append(chunk.data(), length);
      self->progress();
    }
    if (behaviour.reads && !failure) {
      asio::co_spawn(socket->get_executor(), read(self, socket), asio::detached);
    }
    asio::steady_timer timer(socket->get_executor());
    const std::string_view text = behaviour.text;
    std::size_t sent = 0;
    while (!failure && sent < text.size() && !self->closed) {
      const auto piece = text.substr(sent, behaviour.piece);
      sent += co_await socket->async_write_some(asio::buffer(piece.data(), piece.size()),
                                                asio::redirect_error(asio::use_awaitable, failure));
      self->progress();
      if (behaviour.pause.count() > 0) {
        timer.expires_after(behaviour.pause);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, failure));
      }
    }
  }
};

client_crowd::client_crowd(proxy_fleet& fleet,
                           std::vector<proxy_fleet::listener> listeners,
                           std::size_t clients_per_listener,
                           client_behaviour behaviour)
  : state_(std::make_shared<state>())
{
  state_->behaviour = std::move(behaviour);
  for (std::size_t i = 0; i < clients_per_listener; ++i) {
    for (const auto kind : listeners) {
      state_->sockets.push_back(std::make_shared<tcp::socket>(fleet.context));
      asio::co_spawn(
        fleet.context,
        state::run(
          state_, state_->sockets.back(), fleet.endpoint(kind), state_->sockets.size() - 1),
        asio::detached);
    }
  }
}

client_crowd::~client_crowd()
{
  close();
}

bool
client_crowd::is_settled() const
{
  return std::chrono::steady_clock::now() - state_->progressed_at > settling_time;
}

void
client_crowd::close()
{
  state_->closed = true;
  for (const auto& socket : state_->sockets) {
    error_code ignored;
    socket->close(ignored);
  }
}

void
check_crowd(proxy_fleet& fleet,
            const std::vector<proxy_fleet::listener>& listeners,
            std::size_t clients_per_listener,
            client_behaviour behaviour)
{
  client_crowd crowd(fleet, listeners, clients_per_listener, std::move(behaviour));
  // A crowd that is still busy at the end of the wait is checked all the same.
  fleet.run_until([&] { return crowd.is_settled(); });
  CHECK_MESSAGE(fleet.request("WRITE first value"), "no answer while the crowd is connected");
  crowd.close();
  CHECK_MESSAGE(fleet.request("WRITE first value"), "no answer after the crowd has left");
  fleet.check_bounds();
}

}
