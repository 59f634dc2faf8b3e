#include <doctest/doctest.h>

#include "Net/http_connection.h"
#include "Net/http_server.h"
#include "ProxyNode/boot_clock.h"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace persimmonshelf;

namespace {

struct http_fixture
{
  http_fixture()
  {
    auto created = http_server::create(
      context, {}, [this](accepted_number, const http_request& request, const auto& send) {
        targets.push_back(request.target);
        send({});
      });
    REQUIRE(created);
    server = std::move(created.value());
  }

  void run()
  {
    const auto limit = boot_now() + timeout;
    while (!outcome && boot_now() < limit) {
      context.restart();
      context.run_for(std::chrono::milliseconds(2));
    }
  }

  // Sends the request on a connection of its own. Empty if it was answered, otherwise the reason.
  std::string send(const http_request& request)
  {
    outcome.reset();
    const auto connection = http_connection::create(context);
    connection->connect({ "127.0.0.1", server->port() }, timeout, [this](const std::string& text) {
      outcome = text;
    });
    run();
    REQUIRE(outcome == "");
    outcome.reset();
    connection->send(request, timeout, [this](const http_failure* failure, const http_response&) {
      outcome = failure == nullptr ? "" : failure->reason;
    });
    run();
    REQUIRE(outcome);
    return *outcome;
  }

  static constexpr std::chrono::seconds timeout{ 5 };
  boost::asio::io_context context;
  std::unique_ptr<http_server> server;
  std::vector<std::string> targets;
  std::optional<std::string> outcome;
};

}

// Guards against a name that becomes a header, a request, or another target: the name of the
// instance is the holder of its lease in calls that the platform fences.
TEST_CASE("a request whose texts cannot be in their place is not sent")
{
  http_fixture fixture;
  http_request good;
  good.method = "GET";
  good.target = "/a?b=%20";
  good.headers = { { "Lease-Holder", "node 1" } };
  for (const std::string target :
       { "", "/a b", "/a\r\nX: 1", "/a HTTP/1.1\r\n\r\nGET /b", "/\t" }) {
    auto odd = good;
    odd.target = target;
    CHECK(fixture.send(odd) == "the request cannot be encoded");
  }
  for (const std::string value : { "n\r\nFencing-Token: 99", "n\n", "n\r", "\x7f" }) {
    auto odd = good;
    odd.headers.front().second = value;
    CHECK(fixture.send(odd) == "the request cannot be encoded");
    odd = good;
    odd.authorization = value;
    CHECK(fixture.send(odd) == "the request cannot be encoded");
  }
  CHECK(fixture.targets.empty());
  CHECK(fixture.send(good).empty());
  CHECK(fixture.targets == std::vector<std::string>{ good.target });
}
