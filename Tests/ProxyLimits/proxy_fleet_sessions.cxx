#include "proxy_fleet.h"

#include "platform/line_protocol.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace persimmonshelf {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace {

// One attempt of an ordinary caller, longer than the limits of the proxy.
constexpr std::chrono::seconds attempt_limit{ 5 };
constexpr std::chrono::milliseconds attempt_interval{ 100 };
constexpr std::size_t read_size = 64 << 10;

std::string
query_of(const std::string& text)
{
  return "QUERY ordinary " + text + "\r\n";
}

}

asio::awaitable<std::string>
proxy_fleet::exchange(std::shared_ptr<tcp::socket> socket, std::string message)
{
  error_code failure;
  std::string received;
  std::vector<char> chunk(read_size);
  co_await asio::async_write(
    *socket, asio::buffer(message), asio::redirect_error(asio::use_awaitable, failure));
  while (!failure && !platform::ends_with_ready(received)) {
    const auto length = co_await socket->async_read_some(
      asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, failure));
    received.append(chunk.data(), length);
  }
  co_return failure ? std::string() : received;
}

asio::awaitable<void>
proxy_fleet::attempt(std::shared_ptr<tcp::socket> socket,
                     tcp::endpoint endpoint,
                     std::string query,
                     std::shared_ptr<std::optional<std::string>> answer)
{
  error_code failure;
  asio::steady_timer limit(socket->get_executor(), attempt_limit);
  limit.async_wait([socket](const error_code& cancelled) {
    if (!cancelled) {
      error_code ignored;
      socket->close(ignored);
    }
  });
  co_await socket->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
  std::string received;
  if (!failure) {
    received = co_await exchange(socket, start_line);
  }
  if (!received.empty() && !query.empty()) {
    received = co_await exchange(socket, query);
  }
  limit.cancel();
  *answer = received;
}

std::shared_ptr<tcp::socket>
proxy_fleet::repeat_attempts(const std::string& query,
                             const std::string& expected,
                             std::string& answer)
{
  std::shared_ptr<tcp::socket> socket;
  auto received = std::make_shared<std::optional<std::string>>("");
  auto next = std::chrono::steady_clock::now();
  const bool answered = run_until([&] {
    if (!*received) {
      return false;
    }
    if ((*received)->find(expected) != std::string::npos) {
      return true;
    }
    if (std::chrono::steady_clock::now() >= next) {
      next = std::chrono::steady_clock::now() + attempt_interval;
      socket = std::make_shared<tcp::socket>(context);
      received = std::make_shared<std::optional<std::string>>();
      asio::co_spawn(
        context, attempt(socket, endpoint(listener::callers), query, received), asio::detached);
    }
    return false;
  });
  answer = answered ? **received : std::string();
  return answered ? socket : nullptr;
}

std::optional<std::string>
proxy_fleet::request(const std::string& text)
{
  std::string answer;
  const auto socket = repeat_attempts(query_of(text), "DONE ", answer);
  return socket ? std::optional(answer) : std::nullopt;
}

std::shared_ptr<tcp::socket>
proxy_fleet::begin_session()
{
  std::string answer;
  return repeat_attempts({}, "READY ", answer);
}

std::optional<std::string>
proxy_fleet::request_on(const std::shared_ptr<tcp::socket>& session, const std::string& text)
{
  const auto answer = std::make_shared<std::optional<std::string>>();
  asio::co_spawn(
    context,
    [](std::shared_ptr<tcp::socket> socket,
       std::string query,
       std::shared_ptr<std::optional<std::string>> received) -> asio::awaitable<void> {
      *received = co_await exchange(std::move(socket), std::move(query));
    }(session, query_of(text), answer),
    asio::detached);
  const bool ended = run_until([&] { return answer->has_value(); });
  return ended && !(*answer)->empty() ? *answer : std::nullopt;
}

}
