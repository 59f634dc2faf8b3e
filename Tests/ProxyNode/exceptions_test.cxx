#include <doctest/doctest.h>

#include "ProxyNode/caller_connection.h"
#include "ProxyNode/line_stream.h"
#include "socket_pair.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <stdexcept>
#include <string>
#include <vector>

using namespace persimmonshelf;
using persimmonshelf::testing::socket_pair;

namespace {

void
run(boost::asio::io_context& context)
{
  context.restart();
  context.run_for(std::chrono::milliseconds(200));
}

session_handle
session_with(std::function<void(std::string_view)> handle_line, std::function<void()> tick)
{
  return { true,
           std::move(handle_line),
           [tick = std::move(tick)](instant) { tick(); },
           [] { return true; },
           [] { return true; },
           [] {} };
}

}

// Guards against one message that ends the process: the handler of a line throws.
TEST_CASE("an exception while a line is handled closes only that connection")
{
  boost::asio::io_context context;
  socket_pair sockets(context);
  const auto stream = line_stream::create(std::move(sockets.near), 1024);
  std::vector<std::string> lines;
  std::string failed;
  std::string closed;
  stream->start({ [&](std::string_view line) {
                   lines.emplace_back(line);
                   throw std::out_of_range("no such field");
                 },
                  [&](const std::string& reason) { closed = reason; },
                  [&](std::string_view line, const std::string& what) {
                    failed = std::string(line) + ": " + what;
                  } });
  boost::asio::write(sockets.far, boost::asio::buffer(std::string("one\r\ntwo\r\n")));
  CHECK_NOTHROW(run(context));
  CHECK(lines == std::vector<std::string>{ "one" });
  CHECK(failed == "one: no such field");
  CHECK(closed == "unexpected error: no such field");
  CHECK_FALSE(stream->is_open());
}

// Guards against one session that ends the process: its handler of a statement or its timer throws.
TEST_CASE("an exception in a caller's session closes its connection and is reported")
{
  for (const bool in_timer : { false, true }) {
    CAPTURE(in_timer);
    boost::asio::io_context context;
    socket_pair sockets(context);
    std::vector<std::string> failures;
    bool closed = false;
    const auto connection =
      caller_connection::create(std::move(sockets.near),
                                { [&](const std::string&, const caller_output&) {
                                   return session_with(
                                     [&](std::string_view line) {
                                       if (!in_timer && line.starts_with("QUERY")) {
                                         throw std::length_error("too long");
                                       }
                                     },
                                     [&] {
                                       if (in_timer) {
                                         throw std::length_error("too long");
                                       }
                                     });
                                 },
                                  [&] { closed = true; },
                                  [&](std::string_view line, const std::string& what) {
                                    failures.push_back(std::string(line) + ": " + what);
                                  } });
    connection->start();
    boost::asio::write(sockets.far,
                       boost::asio::buffer(std::string("START d k\r\nQUERY 1 READ a\r\n")));
    CHECK_NOTHROW(run(context));
    if (in_timer) {
      CHECK_NOTHROW(connection->tick(instant{}));
      run(context);
    }
    CHECK(closed);
    CHECK(failures ==
          std::vector<std::string>{ in_timer ? ": too long" : "QUERY 1 READ a: too long" });
  }
}
