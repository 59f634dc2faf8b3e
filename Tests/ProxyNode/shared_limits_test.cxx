#include <doctest/doctest.h>

#include "Net/http_server.h"
#include "ProxyNode/relay_send_queue.h"
#include "Resources/memory_budget.h"
#include "socket_pair.h"

#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

void
run(boost::asio::io_context& context, std::int64_t for_ms = 10)
{
  context.restart();
  context.run_for(std::chrono::milliseconds(for_ms));
}

// Everything that has arrived at a socket.
std::string
received(boost::asio::ip::tcp::socket& socket)
{
  socket.non_blocking(true);
  std::array<char, 65536> buffer{};
  boost::system::error_code failure;
  std::string text;
  while (!failure) {
    const auto length = socket.read_some(boost::asio::buffer(buffer), failure);
    text.append(buffer.data(), length);
  }
  return text;
}

// An HTTP server with few places, and clients that connect to it.
struct http_bench
{
  http_bench()
  {
    http_server_options options;
    options.connection_limit = 3;
    options.replaces_inactive = true;
    options.held_limit_bytes = 100'000;
    options.on_limited = [this](std::string_view cause) { causes.emplace_back(cause); };
    auto created = http_server::create(
      context, options, [](accepted_number, const http_request&, const auto& respond) {
        respond({ 200, "served" });
      });
    REQUIRE(created);
    server = std::move(created.value());
  }

  std::shared_ptr<boost::asio::ip::tcp::socket> connect()
  {
    auto socket = std::make_shared<boost::asio::ip::tcp::socket>(context);
    socket->connect({ boost::asio::ip::make_address("127.0.0.1"), server->port() });
    // Small pieces would otherwise wait for acknowledgements.
    socket->set_option(boost::asio::ip::tcp::no_delay(true));
    run(context);
    return socket;
  }

  // Sends text and returns what the server answers.
  std::string ask(boost::asio::ip::tcp::socket& socket, const std::string& text)
  {
    boost::asio::write(socket, boost::asio::buffer(text));
    run(context, 20);
    return received(socket);
  }

  boost::asio::io_context context;
  std::vector<std::string> causes;
  std::unique_ptr<http_server> server;
};

constexpr const char* probe = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

}

// Guards against probes that get no answer because silent connections have taken all places.
TEST_CASE("a probe is answered while silent connections hold all places")
{
  http_bench bench;
  const auto kept = bench.connect();
  CHECK(bench.ask(*kept, probe).starts_with("HTTP/1.1 200"));
  std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> silent;
  for (int i = 0; i < 20; ++i) {
    silent.push_back(bench.connect());
    CHECK(bench.server->connection_count() <= 3);
  }
  const auto prober = bench.connect();
  CHECK(bench.ask(*prober, probe).starts_with("HTTP/1.1 200"));
  CHECK(bench.ask(*kept, probe).starts_with("HTTP/1.1 200"));
  CHECK(bench.causes.front() == "too_many_connections");
}

// Guards against requests in small pieces, or several in one piece, that are cut at the borders of
// pieces.
TEST_CASE("requests in pieces of every size are answered")
{
  const std::string body(20'000, 'b');
  const auto request =
    "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  for (const std::size_t piece : { 1U, 100U, 50'000U }) {
    CAPTURE(piece);
    http_bench bench;
    const auto client = bench.connect();
    const auto text = request + request + probe;
    for (std::size_t sent = 0; sent < text.size(); sent += piece) {
      boost::asio::write(*client, boost::asio::buffer(text.substr(sent, piece)));
      bench.context.restart();
      bench.context.poll();
    }
    run(bench.context, 20);
    const auto answers = received(*client);
    std::size_t count = 0;
    for (auto at = answers.find("HTTP/1.1 200"); at != std::string::npos;
         at = answers.find("HTTP/1.1 200", at + 1)) {
      ++count;
    }
    CHECK(count == 3);
    CHECK(bench.causes.empty());
  }
}

// Guards against bodies that are begun on many connections and use any amount of memory together.
TEST_CASE("the largest unfinished request is closed when all together exceed the limit")
{
  http_bench bench;
  const std::string header = "POST /x HTTP/1.1\r\nContent-Length: 90000\r\n\r\n";
  const auto small = bench.connect();
  const auto large = bench.connect();
  bench.ask(*small, header + std::string(30'000, 'b'));
  bench.ask(*large, header + std::string(60'000, 'b'));
  CHECK(bench.causes.empty());
  bench.ask(*small, std::string(20'000, 'b'));
  CHECK(bench.causes == std::vector<std::string>{ "memory" });
  CHECK(bench.server->connection_count() == 1);
  CHECK(bench.ask(*small, std::string(40'000, 'b') + probe).find("HTTP/1.1 200") == 0);
}

// Guards against one session of a relay connection whose backlog delays the others or ends them
// all.
TEST_CASE("the sessions of a relay connection take turns")
{
  boost::asio::io_context context;
  socket_pair sockets(context, 4096);
  const auto stream = line_stream::create(std::move(sockets.near), 2 << 20);
  memory_budget budget(100 << 20);
  relay_send_queue queue(stream, [&](std::uint64_t) { return budget.open({}); });
  stream->start({ [](std::string_view) {}, [](const std::string&) {}, {}, [&] { queue.pump(); } });
  for (int i = 0; i < 100; ++i) {
    queue.push(1, "1" + std::string(100'000, 'x') + "\r\n");
  }
  queue.push(2, "2 a\r\n");
  queue.push(2, "2 b\r\n");
  queue.push(3, "3 a\r\n");
  CHECK(queue.bytes_of(1) > 9'000'000);
  CHECK(budget.used_bytes() > 9'000'000);
  CHECK(stream->unsent_bytes() < 200'000);
  CHECK(stream->is_open());
  std::string text;
  for (int i = 0; i < 1000 && text.find("2 b") == std::string::npos; ++i) {
    text += received(sockets.far);
    run(context, 1);
  }
  CHECK(text.find("2 a") < text.find("3 a"));
  CHECK(text.find("3 a") < text.find("2 b"));
  CHECK(text.size() < 1'000'000);
  queue.discard(1);
  CHECK(queue.empty());
  CHECK(budget.used_bytes() == 0);
}
