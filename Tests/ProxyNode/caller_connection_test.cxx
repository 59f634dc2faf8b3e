#include <doctest/doctest.h>

#include "ProxyNode/caller_connection.h"
#include "ProxyNode/session_driver.h"
#include "socket_pair.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

constexpr std::string_view done_answer = "DONE -\r\nREADY I -\r\n";

// A caller whose session answers its first message, and leaves the rest to the test.
struct caller_bench
{
  explicit caller_bench(int buffer_bytes = 0)
    : sockets(context, buffer_bytes)
  {
    connection = caller_connection::create(
      std::move(sockets.near),
      { [this](const std::string&, caller_output created) {
         output = std::move(created);
         session_handle session;
         session.local = true;
         session.handle_line = [this](std::string_view line) {
           if (line.starts_with("START")) {
             if (answers_start) {
               output.write("READY I -\r\n");
             }
             return;
           }
           ++in_flight;
           if (on_statement) {
             on_statement(line);
           }
         };
         session.tick = [](instant) {};
         session.idle = [this] { return in_flight == 0; };
         session.between_statements = session.idle;
         session.disconnect = [this] { disconnected = true; };
         return session;
       },
        [this] {
          closed = true;
          if (on_closed) {
            on_closed();
          }
        },
        [this](std::string_view, const std::string&) { failed = true; } });
    connection->start();
  }

  void send(const std::string& text) { boost::asio::write(sockets.far, boost::asio::buffer(text)); }

  void run(std::int64_t for_ms = 100)
  {
    context.restart();
    context.run_for(std::chrono::milliseconds(for_ms));
  }

  // Everything that the caller has received by now.
  std::string received()
  {
    sockets.far.non_blocking(true);
    std::string text;
    std::array<char, 4096> buffer{};
    boost::system::error_code failure;
    while (!failure) {
      const auto length = sockets.far.read_some(boost::asio::buffer(buffer), failure);
      text.append(buffer.data(), length);
    }
    return text;
  }

  void answer()
  {
    --in_flight;
    output.write(done_answer);
  }

  boost::asio::io_context context;
  socket_pair sockets;
  caller_output output;
  std::function<void(std::string_view)> on_statement;
  std::function<void()> on_closed;
  std::shared_ptr<caller_connection> connection;
  bool answers_start = true;
  int in_flight = 0;
  bool disconnected = false;
  bool closed = false;
  bool failed = false;
};

}

// Guards against requests that were read and then dropped during a planned stop: an asynchronous
// read had taken the next request from the socket when the idle session was closed.
TEST_CASE("a request that arrives before an idle connection is closed is answered")
{
  caller_bench bench;
  bench.on_statement = [&](std::string_view line) {
    if (line != "QUERY 1 SET a b") {
      return;
    }
    bench.answer();
    bench.send("QUERY 2 READ a\r\n");
    boost::asio::post(bench.context, [&] { bench.connection->close_if_inactive(false); });
  };
  bench.send("START d k\r\nQUERY 1 SET a b\r\n");
  bench.run();
  CHECK(bench.in_flight == 1);
  CHECK_FALSE(bench.closed);
  bench.answer();
  bench.connection->close_if_inactive(false);
  bench.run();
  CHECK(bench.closed);
  CHECK(bench.received() == "READY I -\r\nDONE -\r\nREADY I -\r\nDONE -\r\nREADY I -\r\n");
}

// Guards against answers that are cut off by a planned stop: a carrier's answer is written line by
// line, and the process ended as soon as its last caller was closed, although only the first line
// was sent.
TEST_CASE("the last caller is closed once its whole answer was sent")
{
  caller_bench bench;
  bench.on_closed = [&] { bench.context.stop(); };
  bench.on_statement = [&](std::string_view) {
    --bench.in_flight;
    for (const std::string line : { "ROW abc", "DONE -", "READY I -" }) {
      bench.output.write(line + "\r\n");
    }
    bench.connection->close_if_inactive(false);
  };
  bench.send("START d k\r\nQUERY 1 READ a\r\n");
  bench.run();
  CHECK(bench.closed);
  CHECK(bench.received() == "READY I -\r\nROW abc\r\nDONE -\r\nREADY I -\r\n");
}

// Guards against the same if the caller reads slowly.
TEST_CASE("a closed caller counts until its last answer was sent")
{
  caller_bench bench(4096);
  std::string rows;
  for (int i = 0; i < 50'000; ++i) {
    rows += "ROW abcdefghijklmnopqrstuvwxyz\r\n";
  }
  bench.on_statement = [&](std::string_view) {
    --bench.in_flight;
    bench.output.write(rows + std::string(done_answer));
  };
  bench.send("START d k\r\nQUERY 1 READ a\r\n");
  bench.run();
  bench.connection->close_if_inactive(false);
  bench.run();
  CHECK(bench.disconnected);
  CHECK_FALSE(bench.closed);
  std::string text;
  for (int i = 0; i < 2000 && !bench.closed; ++i) {
    text += bench.received();
    bench.run(2);
  }
  text += bench.received();
  CHECK(bench.closed);
  CHECK(text.size() == std::string("READY I -\r\n").size() + rows.size() + done_answer.size());
  CHECK(text.ends_with(done_answer));
}

// Guards against requests without an answer: whatever ends a session, its caller is told that the
// outcome of what it asked is unknown.
TEST_CASE("a session that ends without an answer leaves an unknown outcome")
{
  const std::string unknown = "ERROR UNKNOWN the session ended before the answer\r\nREADY I -\r\n";
  for (const std::string cause : { "finished", "threw", "closed" }) {
    CAPTURE(cause);
    caller_bench bench;
    bench.on_statement = [&](std::string_view) {
      if (cause == "threw") {
        throw std::length_error("too long");
      }
      if (cause == "finished") {
        bench.output.finish();
      }
    };
    // The second request is read together with the first.
    bench.send("START d k\r\nQUERY 1 WRITE a b\r\nQUERY 2 READ a\r\n");
    bench.run();
    if (cause == "closed") {
      bench.connection->close();
      bench.run();
    }
    CHECK(bench.closed);
    CHECK(bench.failed == (cause == "threw"));
    CHECK(bench.received() == "READY I -\r\n" + unknown + unknown);
  }
}

// Guards against the same before the session began: nothing ran.
TEST_CASE("a session that ends before it began is refused")
{
  caller_bench bench;
  bench.answers_start = false;
  bench.send("START d k\r\nQUERY 1 READ a\r\n");
  bench.run();
  bench.connection->close();
  bench.run();
  CHECK(bench.received() == "ERROR BUSY the session cannot begin here now\r\n");
}

// Guards against answers to nothing after a caller ended its session or was refused.
TEST_CASE("a caller that ended its session gets no further messages")
{
  for (const bool refused : { false, true }) {
    CAPTURE(refused);
    caller_bench bench;
    bench.answers_start = !refused;
    bench.on_statement = [&](std::string_view line) {
      --bench.in_flight;
      if (line == "BYE") {
        bench.output.finish();
      }
    };
    bench.send(refused ? "START d k\r\n" : "START d k\r\nBYE\r\n");
    bench.run();
    if (refused) {
      bench.output.write("ERROR NOAUTH no\r\n");
      bench.output.finish();
      bench.run();
    }
    CHECK(bench.closed);
    CHECK(bench.received() == (refused ? "ERROR NOAUTH no\r\n" : "READY I -\r\n"));
  }
}

// Guards against a caller without an answer if the instance stops before it can begin the session.
TEST_CASE("a session that waits for a configuration is refused when it is given up")
{
  std::string written;
  const auto driver = session_driver::create({ [] { return session_hooks(); },
                                               [] { return false; },
                                               [] { return false; },
                                               [&](std::string_view text) { written += text; },
                                               [] {},
                                               [](const statement_answer&, duration) {} });
  CHECK(driver->idle());
  driver->handle_line("START d k");
  CHECK_FALSE(driver->idle());
  CHECK_FALSE(driver->between_statements());
  driver->give_up();
  CHECK(written == "ERROR BUSY this instance is stopping\r\n");
}
