#include <doctest/doctest.h>

#include "ProxyNode/boot_clock.h"
#include "ProxyNode/relay_message.h"
#include "ProxyNode/relay_router.h"
#include "ProxyNode/relay_server.h"

#include <boost/asio/io_context.hpp>
#include <rapidcheck.h>

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

using namespace persimmonshelf;

namespace {

// A session on the fake carrier. It answers its first message with READY; the test sends all other
// answers.
struct fake_session
{
  caller_output output;
  std::vector<std::string> lines;
  bool disconnected = false;
};

// A carrier on a loopback port, and a router that relays sessions to it.
struct relay_fixture
{
  relay_fixture()
    : log("edge")
    , router(std::make_unique<relay_router>(
        context,
        instance_id("edge"),
        zone_id("z"),
        log,
        relay_router::hooks{ [](const std::string&) { return std::nullopt; },
                             [this](std::uint64_t version) { shown_version = version; },
                             [this](std::uint64_t token, const std::string& announced_address) {
                               coordinator = announced_address + " " + std::to_string(token);
                             } }))
  {
    start_carrier();
    carrier_plan plan;
    plan.version = 1;
    plan.carriers = { { instance_id("carrier"), zone_id("z"), address, 0.5, false, false } };
    router->set_plan(plan);
    run_until([this] { return router->can_begin_sessions(); });
  }

  void start_carrier()
  {
    // Ports outside the range that the system assigns automatically.
    for (std::uint16_t port = 21310; port < 21400 && !server; ++port) {
      auto created = relay_server::create(
        context,
        { "127.0.0.1", port },
        { [this](caller_output output) { return begin(std::move(output)); },
          [this](const std::string&) { return std::exchange(redirect_key, std::nullopt); },
          [this](std::uint64_t version) { required_version = version; },
          [] { return std::uint64_t{ 3 }; },
          [this](std::string_view line, const std::string& what) {
            failures.push_back(std::string(line) + ": " + what);
          } });
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
               if (line == "QUERY 9 fail") {
                 throw std::runtime_error("out of range");
               }
               if (created->lines.size() == 1) {
                 created->output.write("READY I -\r\n");
               }
             },
             [](instant) {},
             [] { return true; },
             [] { return true; },
             [created] { created->disconnected = true; },
             [created] { created->output.write("ERROR TIMEOUT stopping\r\nREADY I -\r\n"); } };
  }

  session_handle open(const std::string& first_line)
  {
    auto session = router->begin_relayed_session(
      { [this](std::string_view text) { received += text; }, [this] { finished = true; } });
    session.handle_line(first_line);
    return session;
  }

  // Opens a session and waits for its READY.
  session_handle open_ready()
  {
    const auto session = open("START db key");
    run_until([&] { return session.idle() && !received.empty(); });
    return session;
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
  std::vector<std::string> failures;
  bool finished = false;
};

}

// Guards against messages that change between encoding and parsing, that become two messages, and
// against crashes of the parser on arbitrary bytes.
TEST_CASE("relay messages are unchanged after encoding and parsing")
{
  CHECK(rc::check("round trip", [] {
    relay_message message;
    message.kind = static_cast<relay_message::message_kind>(
      *rc::gen::inRange(0, static_cast<int>(relay_message::message_kind::close) + 1));
    message.number = *rc::gen::arbitrary<std::uint64_t>();
    message.text = *rc::gen::container<std::string>(
      rc::gen::oneOf(rc::gen::element('\r', '\n', ' '), rc::gen::arbitrary<char>()));
    const auto line = encode_relay_message(message);
    if (message.text.find("\r\n") != std::string::npos) {
      RC_ASSERT_FALSE(line.has_value());
      return;
    }
    RC_ASSERT(line.has_value());
    // As the connection splits what it received.
    const auto end = line.value().find("\r\n");
    RC_ASSERT(end + 2 == line.value().size());
    const auto read = parse_relay_message(line.value().substr(0, end));
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value().kind == message.kind);
    RC_ASSERT(read.value().number == message.number);
    RC_ASSERT(read.value().text == message.text);
  }));
  CHECK(rc::check("arbitrary bytes",
                  [] { static_cast<void>(parse_relay_message(*rc::gen::string<std::string>())); }));
  CHECK_FALSE(parse_relay_message(""));
  CHECK_FALSE(parse_relay_message("D"));
  CHECK_FALSE(parse_relay_message("D12"));
  CHECK_FALSE(parse_relay_message("X12 text"));
}

// Guards against an unexpected error in one session that ends the carrier, or the other sessions
// that were relayed over the same connection.
TEST_CASE("an exception in a relayed session ends only that session")
{
  relay_fixture fixture;
  auto first = fixture.open("START db key");
  std::string second_received;
  bool second_finished = false;
  auto second = fixture.router->begin_relayed_session(
    { [&](std::string_view text) { second_received += text; }, [&] { second_finished = true; } });
  second.handle_line("START db key");
  fixture.run_until([&] { return !fixture.received.empty() && !second_received.empty(); });
  first.handle_line("QUERY 9 fail");
  fixture.run_until([&] { return fixture.finished; });
  CHECK(fixture.failures == std::vector<std::string>{ "QUERY 9 fail: out of range" });
  CHECK(fixture.sessions[0]->disconnected);
  second.handle_line("QUERY 10 READ a");
  fixture.run_until([&] { return fixture.sessions[1]->lines.size() == 2; });
  CHECK_FALSE(second_finished);
  CHECK_FALSE(fixture.sessions[1]->disconnected);
}

// Guards against lost, reordered or changed statements and answers of a relayed session.
TEST_CASE("a relayed session carries messages both ways")
{
  relay_fixture fixture;
  const auto session = fixture.open("START db key");
  fixture.run_until([&] { return fixture.received == "READY I -\r\n"; });
  CHECK(session.idle());

  session.handle_line("QUERY a READ 1");
  CHECK_FALSE(session.idle());
  fixture.run_until([&] { return fixture.sessions.front()->lines.size() == 2; });
  CHECK(fixture.sessions.front()->lines.back() == "QUERY a READ 1");
  fixture.sessions.front()->output.write("ROW x\r\nDONE s\r\nREADY T -\r\n");
  fixture.run_until([&] { return session.between_statements(); });
  CHECK(fixture.received == "READY I -\r\nROW x\r\nDONE s\r\nREADY T -\r\n");
  // An open transaction keeps the session.
  CHECK_FALSE(session.idle());

  session.disconnect();
  fixture.run_until([&] { return fixture.sessions.front()->disconnected; });
}

// Guards against a session that stays on the wrong carrier, or is lost, when the carrier sends it
// to another one.
TEST_CASE("a session follows the redirect of a carrier")
{
  relay_fixture fixture;
  fixture.redirect_key = "w/g";
  const auto session = fixture.open("START db key");
  fixture.run_until([&] { return fixture.received == "READY I -\r\n"; });
  CHECK(fixture.sessions.size() == 1);
  CHECK(session.idle());
  CHECK_FALSE(fixture.finished);
}

// Guards against a caller's text that is read as the routing key of a redirect: with a tab in the
// first message, an instance without a configuration sent the session elsewhere.
TEST_CASE("a first message is never read as a routing key")
{
  relay_fixture fixture;
  carrier_plan plan;
  plan.version = 2;
  plan.carriers = { { instance_id("carrier"), zone_id("z"), fixture.address, 0.5, false, false },
                    { instance_id("edge"), zone_id("z"), "127.0.0.1:9", 0.5, false, false } };
  fixture.router->set_plan(plan);
  for (int number = 0; number < 20; ++number) {
    const auto key = std::to_string(number);
    CHECK(fixture.router->runs_here("START db " + key));
    CHECK(fixture.router->runs_here("START db\t" + key));
  }
}

// Guards against a text that becomes a message of another session, or ends the connection with the
// sessions of all callers on it.
TEST_CASE("a text with a line end ends only the session that it belongs to")
{
  relay_fixture fixture;
  const auto other = fixture.open_ready();
  fixture.server->send_coordinator(7, "10.0.0.1:80\r\nhello");
  fixture.redirect_key = "g\r\nhello";
  const auto session = fixture.open("START db key");
  fixture.run_until([&] { return fixture.finished; });
  CHECK(fixture.coordinator.empty());
  fixture.received.clear();
  other.handle_line("QUERY a READ 1");
  fixture.run_until([&] { return fixture.sessions.front()->lines.size() == 2; });
  CHECK_FALSE(fixture.sessions.front()->disconnected);
}

// The carrier is killed while a statement is in flight. Guards against any answer of the session to
// the caller, since the statement may have run: the caller's connection adds that the outcome is
// unknown.
TEST_CASE("the session ends when its carrier fails during a statement")
{
  relay_fixture fixture;
  const auto session = fixture.open_ready();
  session.handle_line("QUERY a WRITE 1 x");
  fixture.run_until([&] { return fixture.sessions.front()->lines.size() == 2; });
  fixture.server.reset();
  fixture.run_until([&] { return fixture.finished; });
  CHECK(fixture.received == "READY I -\r\n");
  CHECK_FALSE(fixture.router->can_begin_sessions());
}

// The carrier is killed while it sends an answer. Guards against a part of an answer that is
// followed by another answer to the same statement.
TEST_CASE("a part of an answer is not passed on")
{
  relay_fixture fixture;
  const auto session = fixture.open_ready();
  fixture.received.clear();
  session.handle_line("QUERY a READ 1");
  fixture.run_until([&] { return fixture.sessions.front()->lines.size() == 2; });
  fixture.sessions.front()->output.write("ROW x\r\nDONE s\r\n");
  fixture.context.run_for(std::chrono::milliseconds(50));
  fixture.context.restart();
  fixture.server.reset();
  fixture.run_until([&] { return fixture.finished; });
  CHECK(fixture.received.empty());
}

// Planned stop of a carrier. Guards against statements without an answer: one was on its way to the
// carrier when that ended the session between two statements.
TEST_CASE("a statement that a stopping carrier did not receive is refused as not run")
{
  for (const bool in_transaction : { false, true }) {
    CAPTURE(in_transaction);
    relay_fixture fixture;
    const auto session = fixture.open_ready();
    if (in_transaction) {
      session.handle_line("QUERY a BEGIN");
      fixture.run_until([&] { return fixture.sessions.front()->lines.size() == 2; });
      fixture.sessions.front()->output.write("DONE -\r\nREADY T -\r\n");
      fixture.run_until([&] { return session.between_statements(); });
    }
    fixture.received.clear();
    fixture.server->close_inactive_sessions(true);
    session.handle_line("QUERY b WRITE 1 x");
    fixture.run_until([&] { return fixture.finished; });
    const std::string code = in_transaction ? "ABORTED" : "BUSY";
    CHECK(fixture.received ==
          "ERROR " + code + " the carrier of the session is stopping\r\nREADY I -\r\n");
    CHECK(fixture.sessions.front()->lines.back() != "QUERY b WRITE 1 x");
  }
}

// Planned stop of a carrier. Guards against an answer to nothing: the caller ended its session.
TEST_CASE("the end of a session that a stopping carrier did not receive has no answer")
{
  relay_fixture fixture;
  const auto session = fixture.open_ready();
  fixture.received.clear();
  fixture.server->close_inactive_sessions(true);
  session.handle_line("BYE");
  fixture.run_until([&] { return fixture.finished; });
  CHECK(fixture.received.empty());
}

// Planned stop of a carrier. Guards against statements without an answer at the end of the grace
// period.
TEST_CASE("a carrier answers what is in flight before it ends")
{
  relay_fixture fixture;
  const auto session = fixture.open_ready();
  fixture.received.clear();
  session.handle_line("QUERY a READ 1");
  fixture.run_until([&] { return fixture.sessions.front()->lines.size() == 2; });
  fixture.server->give_up();
  CHECK(fixture.server->session_count() == 0);
  fixture.run_until([&] { return fixture.finished; });
  CHECK(fixture.received == "ERROR TIMEOUT stopping\r\nREADY I -\r\n");
  CHECK(fixture.server->flushed());
}

// Planned stop of a carrier. Guards against a session that ends while its statement runs, or that
// stays on the stopping carrier.
TEST_CASE("idle sessions leave a stopping carrier")
{
  relay_fixture fixture;
  const auto session = fixture.open_ready();
  session.handle_line("QUERY a READ 1");
  fixture.run_until([&] { return fixture.sessions.front()->lines.size() == 2; });
  fixture.server->announce_leaving();
  fixture.run_until([&] { return !fixture.router->can_begin_sessions(); });
  CHECK_FALSE(session.should_move(boot_now()));
  fixture.sessions.front()->output.write("DONE s\r\nREADY I -\r\n");
  fixture.run_until([&] { return session.idle(); });
  CHECK(session.should_move(boot_now()));
  session.disconnect();
  fixture.run_until([&] { return fixture.sessions.front()->disconnected; });
}

// The coordinator stops in a rolling restart. Guards against instances without sessions that keep
// reporting to the former coordinator: the new one would not have them as substitutes for carriers.
TEST_CASE("carriers announce the coordinator")
{
  relay_fixture fixture;
  fixture.server->send_coordinator(4, "10.0.0.7:1");
  fixture.run_until([&] { return fixture.coordinator == "10.0.0.7:1 4"; });
}

// No carrier can be reached. Guards against a session that is held until the caller's own time
// limit.
TEST_CASE("a session that finds no carrier is refused before the caller's time limit")
{
  relay_fixture fixture;
  fixture.server->announce_leaving();
  fixture.run_until([&] { return !fixture.router->can_begin_sessions(); });
  const auto session = fixture.open("START db key");
  const auto began = boot_now();
  session.tick(began);
  CHECK_FALSE(fixture.finished);
  session.tick(began + std::chrono::milliseconds(750));
  CHECK(fixture.finished);
  CHECK(fixture.received.starts_with("ERROR BUSY"));
}

// The configuration changes. Guards against a carrier that follows an older version than one whose
// effects the caller's instance has shown.
TEST_CASE("shown configuration versions are sent to all carriers")
{
  relay_fixture fixture;
  fixture.run_until([&] { return fixture.shown_version == 3; });
  fixture.router->raise_version(7);
  fixture.run_until([&] { return fixture.required_version == 7; });
  CHECK(fixture.router->highest_version() == 7);
}
