#include <doctest/doctest.h>

#include "ProxyNode/boot_clock.h"
#include "ProxyNode/relay_message.h"
#include "ProxyNode/relay_router.h"
#include "ProxyNode/relay_server.h"

#include <boost/asio/io_context.hpp>
#include <rapidcheck.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace persimmonshelf;

namespace {

// Sessions of the fake carrier: each answers its first message, and what the test tells it to.
struct fake_session
{
  caller_output output;
  std::vector<std::string> lines;
  bool disconnected = false;
};

// A carrier "home" behind a loopback port, and a router that passes sessions on to it.
struct relay_bench
{
  relay_bench()
    : log("edge")
    , router(std::make_unique<relay_router>(
        context,
        instance_id("edge"),
        log,
        relay_router::hooks{ [](const std::string&) { return std::nullopt; },
                             [this](std::uint64_t version) { shown_version = version; },
                             [this](std::uint64_t token, const std::string& where) {
                               coordinator = where + " " + std::to_string(token);
                             } }))
  {
    start_carrier();
    carrier_plan plan;
    plan.version = 1;
    plan.carriers = { { instance_id("home"), zone_id("z"), address, 0.5, false, false } };
    router->set_plan(plan);
    run_until([this] { return router->can_begin_sessions(); });
  }

  void start_carrier()
  {
    // A port of the range that the system does not hand out.
    for (std::uint16_t port = 21310; port < 21400 && !server; ++port) {
      auto created = relay_server::create(
        context,
        { "127.0.0.1", port },
        { [this](caller_output output) { return begin(std::move(output)); },
          [this](const std::string&) { return std::exchange(redirect_key, std::nullopt); },
          [this](std::uint64_t version) { required_version = version; },
          [] { return std::uint64_t{ 3 }; } });
      if (created) {
        server = std::move(created.value());
        address = "127.0.0.1:" + std::to_string(port);
      }
    }
    REQUIRE(server);
  }

  session_handle begin(caller_output output)
  {
    auto created = std::make_shared<fake_session>();
    created->output = std::move(output);
    sessions.push_back(created);
    return { true,
             [created](std::string_view line) {
               created->lines.emplace_back(line);
               if (created->lines.size() == 1) {
                 created->output.write("READY I -\r\n");
               }
             },
             [](instant) {},
             [] { return true; },
             [] { return true; },
             [created] { created->disconnected = true; } };
  }

  session_handle open(const std::string& first_line)
  {
    auto port = router->begin_relayed_session(
      { [this](std::string_view text) { received += text; }, [this] { finished = true; } });
    port.handle_line(first_line);
    return port;
  }

  template<typename condition>
  void run_until(condition reached)
  {
    const auto limit = boot_now() + std::chrono::seconds(5);
    while (!reached() && boot_now() < limit) {
      router->tick(boot_now());
      context.run_for(std::chrono::milliseconds(5));
      context.restart();
    }
    REQUIRE(reached());
  }

  boost::asio::io_context context;
  decision_log log;
  std::optional<std::string> redirect_key;
  std::uint64_t shown_version = 0;
  std::string coordinator;
  std::uint64_t required_version = 0;
  std::string address;
  std::vector<std::shared_ptr<fake_session>> sessions;
  std::unique_ptr<relay_server> server;
  std::unique_ptr<relay_router> router;
  std::string received;
  bool finished = false;
};

}

// Fails if a message changes on its way between two instances, or if any bytes crash the reader.
TEST_CASE("relay messages are read as they were written")
{
  CHECK(rc::check("round trip", [] {
    relay_message message;
    message.kind = static_cast<relay_message::message_kind>(
      *rc::gen::inRange(0, static_cast<int>(relay_message::message_kind::close) + 1));
    message.number = *rc::gen::arbitrary<std::uint64_t>();
    message.text = *rc::gen::string<std::string>();
    const auto line = encode_relay_message(message);
    const auto read = parse_relay_message(std::string_view(line).substr(0, line.size() - 2));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value().kind == message.kind);
    RC_ASSERT(read.value().number == message.number);
    RC_ASSERT(read.value().text == message.text);
  }));
  CHECK(rc::check("any bytes",
                  [] { static_cast<void>(parse_relay_message(*rc::gen::string<std::string>())); }));
  CHECK_FALSE(parse_relay_message(""));
  CHECK_FALSE(parse_relay_message("D"));
  CHECK_FALSE(parse_relay_message("D12"));
  CHECK_FALSE(parse_relay_message("X12 text"));
}

// Fails if statements or answers of a relayed session are lost, reordered or changed.
TEST_CASE("a relayed session carries messages both ways")
{
  relay_bench bench;
  const auto port = bench.open("START db key");
  bench.run_until([&] { return bench.received == "READY I -\r\n"; });
  CHECK(port.idle());

  port.handle_line("QUERY a READ 1");
  CHECK_FALSE(port.idle());
  bench.run_until([&] { return bench.sessions.front()->lines.size() == 2; });
  CHECK(bench.sessions.front()->lines.back() == "QUERY a READ 1");
  bench.sessions.front()->output.write("ROW x\r\nDONE s\r\nREADY T -\r\n");
  bench.run_until([&] { return port.between_statements(); });
  CHECK(bench.received == "READY I -\r\nROW x\r\nDONE s\r\nREADY T -\r\n");
  // An open transaction keeps the session.
  CHECK_FALSE(port.idle());

  port.disconnect();
  bench.run_until([&] { return bench.sessions.front()->disconnected; });
}

// Fails if a session that was sent to the wrong home stays there or is lost.
TEST_CASE("a session moves to the home that the carrier names")
{
  relay_bench bench;
  bench.redirect_key = "w/g";
  const auto port = bench.open("START db key");
  bench.run_until([&] { return bench.received == "READY I -\r\n"; });
  CHECK(bench.sessions.size() == 1);
  CHECK(port.idle());
  CHECK_FALSE(bench.finished);
}

// A carrier is killed. Fails if a caller with a statement in flight is told anything but that the
// connection ended, since the statement may have run.
TEST_CASE("the caller's connection ends with the carrier that ran a statement")
{
  relay_bench bench;
  const auto port = bench.open("START db key");
  bench.run_until([&] { return port.idle() && !bench.received.empty(); });
  port.handle_line("QUERY a WRITE 1 x");
  bench.run_until([&] { return bench.sessions.front()->lines.size() == 2; });
  bench.server.reset();
  bench.run_until([&] { return bench.finished; });
  CHECK(bench.received == "READY I -\r\n");
  CHECK_FALSE(bench.router->can_begin_sessions());
}

// Planned stop of a carrier. Fails if a session is cut while its statement runs, or stays on a
// carrier that stops.
TEST_CASE("sessions leave a carrier that stops once they rest")
{
  relay_bench bench;
  const auto port = bench.open("START db key");
  bench.run_until([&] { return port.idle() && !bench.received.empty(); });
  port.handle_line("QUERY a READ 1");
  bench.run_until([&] { return bench.sessions.front()->lines.size() == 2; });
  bench.server->announce_leaving();
  bench.run_until([&] { return !bench.router->can_begin_sessions(); });
  port.tick(boot_now());
  CHECK_FALSE(bench.finished);
  bench.sessions.front()->output.write("DONE s\r\nREADY I -\r\n");
  bench.run_until([&] { return port.idle(); });
  port.tick(boot_now());
  CHECK(bench.finished);
  bench.run_until([&] { return bench.sessions.front()->disconnected; });
}

// The coordinator stops in a rolling restart. Fails if instances without sessions go on reporting
// to the former one: the new one then knows none that could substitute for carriers.
TEST_CASE("carriers tell who coordinates")
{
  relay_bench bench;
  bench.server->send_coordinator(4, "10.0.0.7:1");
  bench.run_until([&] { return bench.coordinator == "10.0.0.7:1 4"; });
}

// No carrier can be reached. Fails if the caller is held until its own time limit.
TEST_CASE("a session that finds no carrier is refused soon")
{
  relay_bench bench;
  bench.server->announce_leaving();
  bench.run_until([&] { return !bench.router->can_begin_sessions(); });
  const auto port = bench.open("START db key");
  const auto began = boot_now();
  port.tick(began);
  CHECK_FALSE(bench.finished);
  port.tick(began + std::chrono::milliseconds(750));
  CHECK(bench.finished);
  CHECK(bench.received.starts_with("ERROR BUSY"));
}

// Change of the configuration. Fails if a carrier obeys an older version than one whose effects
// the caller's instance has shown.
TEST_CASE("versions that were shown are told to all carriers")
{
  relay_bench bench;
  bench.run_until([&] { return bench.shown_version == 3; });
  bench.router->raise_version(7);
  bench.run_until([&] { return bench.required_version == 7; });
  CHECK(bench.router->highest_version() == 7);
}
