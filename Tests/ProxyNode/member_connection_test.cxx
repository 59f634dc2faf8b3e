#include <doctest/doctest.h>

#include "ProxyNode/member_connection.h"
#include "platform/line_builder.h"

#include <boost/asio.hpp>

#include <string>

using namespace persimmonshelf;
using boost::asio::ip::tcp;

namespace {

// Upper limit of each wait, which ends on its condition.
constexpr std::chrono::seconds wait_limit{ 10 };

// A connection to a member that the test plays.
struct connection_fixture
{
  connection_fixture()
    : acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , connection(member_connection::create(
        context,
        { "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), "g", "w", "m1" },
        { [this] { opened = true; }, [](bool, const std::string&) {} }))
    , member(context)
  {
    connection->open(wait_limit);
    acceptor.accept(member);
    answer("READY I -\r\n");
    run_until([this] { return opened; });
  }

  void run_until(const std::function<bool()>& condition)
  {
    const auto end = std::chrono::steady_clock::now() + wait_limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
      context.restart();
      context.run_one_for(wait_limit);
    }
    CHECK(condition());
  }

  void answer(const std::string& text) { boost::asio::write(member, boost::asio::buffer(text)); }

  void send(const std::string& name, std::size_t bytes)
  {
    member_command command;
    command.id = "1";
    command.text = "READ " + std::string(bytes, 'a');
    connection->send(command, [this, name](const member_reply& reply) {
      order += name +
               (reply.lost     ? " lost"
                : reply.unsent ? " unsent"
                               : " done") +
               (reply.answer.state == transaction_state::open ? " T; " : "; ");
    });
  }

  boost::asio::io_context context;
  tcp::acceptor acceptor;
  bool opened = false;
  std::shared_ptr<member_connection> connection;
  tcp::socket member;
  // What became of the commands, in the order of their handlers.
  std::string order;
};

}

// Guards against the answer to a command that cannot be sent before those of the commands before
// it, and against one that counts as lost.
TEST_CASE("a command that cannot be sent is answered in its turn")
{
  connection_fixture fixture;
  fixture.send("a", 1);
  fixture.send("b", platform::line_limit_bytes);
  fixture.send("c", platform::line_limit_bytes);
  fixture.send("d", 1);
  fixture.context.poll();
  CHECK(fixture.order.empty());
  fixture.answer("DONE x\r\nREADY T -\r\n");
  fixture.run_until([&] { return fixture.order == "a done T; b unsent T; c unsent T; "; });
  fixture.answer("DONE x\r\nREADY I -\r\n");
  fixture.send("e", platform::line_limit_bytes);
  fixture.order.clear();
  fixture.run_until([&] { return fixture.order == "d done; e unsent; "; });
  fixture.order.clear();
  fixture.send("f", 1);
  fixture.send("g", platform::line_limit_bytes);
  fixture.send("h", 1);
  fixture.member.close();
  fixture.run_until([&] { return fixture.order == "f lost; g unsent; h lost; "; });
}
