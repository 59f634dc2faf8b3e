#include <doctest/doctest.h>

#include "ProxyNode/caller_connection.h"
#include "ProxyNode/line_stream.h"
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

constexpr std::size_t message_limit = 1 << 20;

instant
at(int seconds)
{
  return instant(std::chrono::seconds(seconds));
}

// A stream with a receiver that notes what it gets, and the socket of its peer.
struct stream_bench
{
  explicit stream_bench(int buffer_bytes = 0)
    : sockets(context, buffer_bytes)
    , stream(line_stream::create(std::move(sockets.near), message_limit))
  {
    stream->set_account(budget.open([this] { stream->close_for_limit("memory", "test"); }));
    stream->start({ [this](std::string_view line) {
                     lines.emplace_back(line);
                     if (holds) {
                       stream->hold();
                     }
                   },
                    [this](const std::string&) { closed = true; },
                    {},
                    {},
                    [this](std::string_view name) { cause = name; } });
  }

  void run(std::int64_t for_ms = 20)
  {
    context.restart();
    context.run_for(std::chrono::milliseconds(for_ms));
  }

  // Sends all of the text while the stream runs. Returns false if the connection was closed.
  bool send(const std::string& text, std::size_t piece)
  {
    sockets.far.non_blocking(true);
    for (std::size_t sent = 0; sent < text.size();) {
      boost::system::error_code failure;
      const auto length = std::min(piece, text.size() - sent);
      sent += sockets.far.write_some(boost::asio::buffer(text.data() + sent, length), failure);
      if (failure && failure != boost::asio::error::would_block) {
        return false;
      }
      context.restart();
      context.poll();
    }
    return true;
  }

  boost::asio::io_context context;
  socket_pair sockets;
  memory_budget budget{ 16 << 20 };
  std::shared_ptr<line_stream> stream;
  std::vector<std::string> lines;
  std::string cause;
  bool holds = false;
  bool closed = false;
};

}

// Guards against messages that are lost, cut or reordered at the borders of pieces, and against a
// longest message that is refused.
TEST_CASE("messages of every size arrive in pieces of every size")
{
  for (const std::size_t piece : { 7U, 1000U, 65536U, 1U << 20U }) {
    CAPTURE(piece);
    stream_bench bench;
    const std::string longest(message_limit - 2, 'x');
    std::string text = "a\r\nbc\rd\r\n\r\n" + longest + "\r\nlast\r\n";
    if (piece < 1000) {
      text = "a\r\nbc\rd\r\n\r\n" + std::string(5000, 'x') + "\r\nlast\r\n";
    }
    CHECK(bench.send(text, piece));
    bench.run();
    REQUIRE(bench.lines.size() == 5);
    CHECK(bench.lines[1] == "bc\rd");
    CHECK(bench.lines[3].size() == (piece < 1000 ? 5000 : longest.size()));
    CHECK(bench.lines[4] == "last");
    CHECK_FALSE(bench.closed);
    CHECK(bench.budget.used_bytes() < 1024);
  }
}

// Guards against a client that sends one message without an end: the process would hold all of it.
TEST_CASE("a message over the limit closes the connection as soon as the limit is passed")
{
  stream_bench bench;
  CHECK(bench.send(std::string(message_limit - 1, 'x'), 65536));
  bench.run();
  CHECK_FALSE(bench.closed);
  CHECK(bench.budget.used_bytes() < message_limit + (128 << 10));
  bench.send("x", 1);
  bench.run();
  CHECK(bench.closed);
  CHECK(bench.cause == "message_too_long");
  CHECK(bench.lines.empty());
  CHECK(bench.budget.used_bytes() < 1024);
}

// Guards against a client that sends many messages ahead: they must wait in its own kernel, and
// each must be delivered once the receiver asks for it.
TEST_CASE("messages that wait are read up to a bound and delivered one at a time")
{
  stream_bench bench;
  bench.holds = true;
  std::string text;
  for (int i = 0; i < 40; ++i) {
    text += std::string(100'000, 'x') + "\r\n";
  }
  bench.sockets.far.non_blocking(true);
  std::size_t sent = 0;
  for (std::size_t delivered = 1; delivered <= 40; ++delivered) {
    for (int i = 0; i < 20; ++i) {
      boost::system::error_code ignored;
      sent += bench.sockets.far.write_some(
        boost::asio::buffer(text.data() + sent, text.size() - sent), ignored);
      bench.run(1);
      CHECK(bench.budget.used_bytes() < (400 << 10));
    }
    CHECK(bench.lines.size() == delivered);
    bench.stream->release();
  }
  CHECK(sent == text.size());
  CHECK_FALSE(bench.closed);
}

// Guards against a caller whose disconnect is seen only after its request: an open transaction and
// its connection to a member would be held for nothing.
TEST_CASE("the end of a connection is seen while a request is in progress")
{
  stream_bench bench;
  bench.holds = true;
  bench.send("QUERY\r\n", 100);
  bench.run();
  bench.sockets.far.close();
  bench.run();
  CHECK(bench.closed);
}

// Guards against clients that stop in the middle of a message and keep its memory for ever, and
// against the close of a client that is only slow, or that waits between two messages.
TEST_CASE("a message without progress closes the connection and a slow one does not")
{
  for (const std::size_t bytes_per_second : { 0U, 50U, 200U }) {
    CAPTURE(bytes_per_second);
    stream_bench bench;
    bench.send("whole\r\n", 100);
    for (int second = 1; second < 60; ++second) {
      bench.run(1);
      bench.stream->tick(at(second));
    }
    CHECK_FALSE(bench.closed);
    bench.send("half", 100);
    bool open = true;
    for (int second = 60; second < 120 && open; ++second) {
      bench.run(1);
      bench.stream->tick(at(second));
      open = bytes_per_second == 0 ? !bench.closed
                                   : bench.send(std::string(bytes_per_second, 'x'), 1000);
    }
    bench.run();
    CHECK(bench.closed == (bytes_per_second < 100));
    CHECK(bench.cause == (bench.closed ? "message_unfinished" : ""));
  }
}

// Guards against clients that do not read, and against the close of one that reads 1,500 bytes/s:
// the kernel takes more data only when a third of its buffer is free, which takes longer than the
// window.
TEST_CASE("a peer that does not read is closed and one that reads slowly is not")
{
  for (const bool reads : { false, true }) {
    CAPTURE(reads);
    stream_bench bench(4096);
    bench.stream->socket().set_option(boost::asio::socket_base::send_buffer_size(64 << 10));
    bench.stream->write(std::string(1'000'000, 'x'));
    std::array<char, 1500> piece{};
    bench.sockets.far.non_blocking(true);
    for (int second = 1; second < 60; ++second) {
      boost::system::error_code ignored;
      if (reads) {
        bench.sockets.far.read_some(boost::asio::buffer(piece), ignored);
      }
      bench.run(2);
      bench.stream->tick(at(second));
    }
    CHECK(bench.closed == !reads);
    CHECK(bench.cause == (reads ? "" : "answers_unread"));
  }
}

// Guards against bytes that stay in the budget, or were never in it: the budget would close honest
// callers, or none.
TEST_CASE("a connection is charged with what it holds until it ends")
{
  stream_bench bench(4096);
  bench.send(std::string(300'000, 'x'), 65536);
  bench.run();
  CHECK(bench.budget.used_bytes() >= 300'000);
  bench.stream->write(std::string(500'000, 'y'));
  CHECK(bench.budget.used_bytes() >= 800'000);
  bench.stream->set_owner_bytes(16 << 20);
  CHECK(bench.budget.enforce() == 1);
  CHECK(bench.closed);
  CHECK(bench.cause == "memory");
  bench.stream->set_owner_bytes(0);
  CHECK(bench.budget.used_bytes() == 0);
}

namespace {

// A caller whose session answers its first message, and leaves the rest to the test.
struct limited_caller
{
  explicit limited_caller(int buffer_bytes = 0)
    : sockets(context, buffer_bytes)
  {
    connection = caller_connection::create(std::move(sockets.near),
                                           { [this](const std::string&, caller_output created) {
                                              output = std::move(created);
                                              session_handle session;
                                              session.handle_line = [this](std::string_view line) {
                                                lines.emplace_back(line);
                                                if (line.starts_with("START")) {
                                                  output.write("READY I -\r\n");
                                                }
                                              };
                                              session.tick = [](instant) {};
                                              session.idle = [this] { return idle; };
                                              session.between_statements = session.idle;
                                              session.disconnect = [] {};
                                              return session;
                                            },
                                             [this] { closed = true; },
                                             [](std::string_view, const std::string&) {},
                                             {},
                                             {},
                                             {},
                                             [this](std::string_view name) { cause = name; } });
    connection->start();
  }

  void run()
  {
    context.restart();
    context.run_for(std::chrono::milliseconds(20));
  }

  std::string received()
  {
    sockets.far.non_blocking(true);
    std::array<char, 4096> buffer{};
    boost::system::error_code failure;
    std::string text;
    while (!failure) {
      const auto length = sockets.far.read_some(boost::asio::buffer(buffer), failure);
      text.append(buffer.data(), length);
    }
    return text;
  }

  boost::asio::io_context context;
  socket_pair sockets;
  caller_output output;
  std::shared_ptr<caller_connection> connection;
  std::vector<std::string> lines;
  std::string cause;
  bool idle = false;
  bool closed = false;
};

}

// Guards against the close of a caller that sends many requests ahead, and against requests that
// reach the session out of order or more than one at a time.
TEST_CASE("a caller may send any number of requests ahead")
{
  limited_caller caller;
  std::string text = "START d k\r\n";
  for (int i = 0; i < 100; ++i) {
    text += "QUERY " + std::to_string(i) + " READ a\r\n";
  }
  boost::asio::write(caller.sockets.far, boost::asio::buffer(text));
  for (std::size_t i = 0; i < 100; ++i) {
    caller.run();
    REQUIRE(caller.lines.size() == i + 2);
    CHECK(caller.lines.back() == "QUERY " + std::to_string(i) + " READ a");
    caller.output.write("DONE -\r\nREADY I -\r\n");
  }
  CHECK_FALSE(caller.closed);
}

// Guards against requests that are not answered, or called unknown, although they have not begun,
// when the instance stops.
TEST_CASE("requests that wait when the instance stops are refused as not run")
{
  limited_caller caller;
  boost::asio::write(caller.sockets.far,
                     boost::asio::buffer(
                       std::string("START d k\r\nQUERY 1 WRITE a b\r\nQUERY 2 READ a\r\nBYE\r\n")));
  caller.run();
  caller.connection->give_up();
  caller.run();
  CHECK(caller.received() == "READY I -\r\n"
                             "ERROR UNKNOWN the session ended before the answer\r\nREADY I -\r\n"
                             "ERROR BUSY this instance is stopping\r\nREADY I -\r\n");
}

// Guards against connections that never begin a session, and against first messages that are kept
// for the whole session.
TEST_CASE("a first message must come in time and be short")
{
  limited_caller silent;
  silent.connection->tick(at(100));
  silent.connection->tick(at(129));
  CHECK_FALSE(silent.closed);
  silent.connection->tick(at(131));
  CHECK(silent.closed);
  CHECK(silent.cause == "start_missing");

  limited_caller longer;
  boost::asio::write(longer.sockets.far,
                     boost::asio::buffer("START d " + std::string(100'000, 'k') + "\r\n"));
  longer.run();
  CHECK(longer.closed);
  CHECK(longer.cause == "start_too_long");
  CHECK(longer.received() == "ERROR MALFORMED the first message is longer than 16384 bytes\r\n");
}

// Guards against requests that are read and dropped by a planned stop while the caller has not read
// the answers to earlier ones.
TEST_CASE("a request that waits for the caller to read is not dropped by a planned stop")
{
  limited_caller caller(4096);
  caller.idle = true;
  boost::asio::write(
    caller.sockets.far,
    boost::asio::buffer(std::string("START d k\r\nQUERY 1 READ a\r\nQUERY 2 READ a\r\n")));
  caller.run();
  REQUIRE(caller.lines.size() == 2);
  std::string rows;
  while (rows.size() < 300'000) {
    rows += "ROW abcdefghijklmnopqrstuvwxyz\r\n";
  }
  caller.output.write(rows + "DONE -\r\nREADY I -\r\n");
  caller.connection->close_if_inactive(false);
  caller.run();
  CHECK(caller.lines.size() == 2);
  std::string text;
  for (int i = 0; i < 2000 && caller.lines.size() < 3; ++i) {
    text += caller.received();
    caller.run();
  }
  CHECK(caller.lines.back() == "QUERY 2 READ a");
  CHECK_FALSE(caller.closed);
}
