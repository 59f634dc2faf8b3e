#include <doctest/doctest.h>

#include "Base/json_fields.h"
#include "StandIns/standin_backend_server.h"
#include "StandIns/standin_platform_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

using namespace persimmonshelf;

namespace {

constexpr std::chrono::seconds test_timeout{ 30 };

// Runs the stand-ins under test on an io_context and makes blocking calls to them.
struct fixture
{
  boost::asio::io_context context;

  bool run_until(const std::function<bool()>& condition)
  {
    const auto end = std::chrono::steady_clock::now() + test_timeout;
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      context.restart();
      context.run_for(std::chrono::milliseconds(2));
    }
    return true;
  }

  std::shared_ptr<http_connection> connect(std::uint16_t port)
  {
    auto connection = http_connection::create(context);
    std::optional<std::string> reason;
    connection->connect(
      { "127.0.0.1", port }, test_timeout, [&](const std::string& text) { reason = text; });
    REQUIRE(run_until([&] { return reason.has_value(); }));
    REQUIRE(reason->empty());
    return connection;
  }

  struct answer
  {
    bool failed = false;
    unsigned status = 0;
    boost::json::value body;
  };

  answer call(const std::shared_ptr<http_connection>& connection,
              const std::string& method,
              const std::string& target,
              const std::string& body = {},
              std::chrono::milliseconds limit = test_timeout)
  {
    std::optional<answer> received;
    http_request request;
    request.method = method;
    request.target = target;
    request.body = body;
    request.authorization = "Bearer i1";
    connection->send(request, limit, [&](const http_failure* failure, const http_response& got) {
      received = answer{ failure != nullptr, got.status, nullptr };
      if (failure == nullptr) {
        received->body = parse_json(got.body, result_code::bad_request).value();
      }
    });
    REQUIRE(run_until([&] { return received.has_value(); }));
    return *received;
  }

  std::string error_of(const answer& got)
  {
    const auto* name = got.body.as_object().if_contains("error");
    return name == nullptr ? "" : std::string(name->as_string());
  }
};

std::string
write_body(const std::string& id, const std::string& statement)
{
  return R"({"request_id":")" + id + R"(","term":1,"kind":"write","statement":")" + statement +
         R"("})";
}

struct backend_fixture : fixture
{
  std::unique_ptr<standin_backend> backend;

  backend_fixture()
  {
    standin_backend_options options;
    options.listen = { "127.0.0.1", 0 };
    options.member = "a";
    options.slots = 1;
    options.connections = 2;
    options.primary = true;
    backend = standin_backend::create(context, options).value();
  }

  std::shared_ptr<http_connection> open() { return connect(backend->port()); }

  void control(const std::string& switches)
  {
    REQUIRE(call(open(), "POST", "/control", switches).status == 200);
  }
};

}

// Guards against a transaction that is not rolled back when its connection closes: its changes
// would become visible or its slot would stay in use. In the second iteration the connection closes
// while a statement is being executed.
TEST_CASE_FIXTURE(backend_fixture, "closing a connection rolls back its transaction")
{
  for (const auto* last : { "GET k", "SLEEP 60000" }) {
    auto first = open();
    CHECK(call(first, "POST", "/v1/begin", write_body("b", "")).status == 200);
    CHECK(call(first, "POST", "/v1/statement", write_body("w", "PUT k v")).status == 200);
    const auto other = open();
    const auto busy = call(other, "POST", "/v1/statement", write_body("o", "PUT k o"));
    CHECK(error_of(busy) == "busy");
    CHECK(busy.body.at("request_id").as_string() == "o");
    http_request running;
    running.method = "POST";
    running.target = "/v1/statement";
    running.body = write_body("l", last);
    first->send(running, test_timeout, [](const http_failure*, const http_response&) {});
    context.restart();
    context.run_for(std::chrono::milliseconds(30));
    first->close();
    first.reset();
    REQUIRE(run_until([&] { return backend->member().free_slots() == 1; }));
    CHECK(backend->member().log().state().empty());
    CHECK_FALSE(backend->member().runs().contains("o"));
    other->close();
    REQUIRE(run_until([&] {
      return call(open(), "GET", "/control/statements").body.at("client_connections") == 0;
    }));
  }
}

// Guards against a connection limit that also applies to control requests, and against more client
// connections than the limit.
TEST_CASE_FIXTURE(backend_fixture, "connections over the limit are closed")
{
  const auto first = open();
  const auto second = open();
  CHECK(call(first, "GET", "/v1/status").body.at("role").as_string() == "primary");
  CHECK(call(second, "GET", "/v1/status").status == 200);
  const auto third = open();
  REQUIRE(run_until([&] { return !third->is_open(); }));
  CHECK(call(open(), "GET", "/control/statements").status == 200);
  second->close();
  REQUIRE(run_until([&] { return !call(open(), "GET", "/v1/status").failed; }));
}

// Guards against fault switches that also prevent the execution, which would hide a repeated
// execution.
TEST_CASE_FIXTURE(backend_fixture, "answers are lost, truncated or wrong after the execution")
{
  control(R"({"drop_answer_after_run":1})");
  CHECK(call(open(), "POST", "/v1/statement", write_body("r1", "ADD n 1")).failed);
  control(R"({"truncate_answer":1})");
  CHECK(call(open(), "POST", "/v1/statement", write_body("r2", "ADD n 1")).failed);
  control(R"({"wrong_id":1})");
  const auto wrong = call(open(), "POST", "/v1/statement", write_body("r3", "ADD n 1"));
  CHECK(wrong.body.at("request_id").as_string() != "r3");
  CHECK(backend->member().log().state().at("n") == "3");
  const auto runs = call(open(), "GET", "/control/statements").body.at("runs");
  CHECK(boost::json::serialize(runs) == R"({"r1":1,"r2":1,"r3":1})");
  CHECK(call(open(), "POST", "/control", R"({"typo":1})").status == 400);
}

// Guards against silent connections that answer again, and against new connections that are silent
// too.
TEST_CASE_FIXTURE(backend_fixture, "open connections become silent, new connections are answered")
{
  const auto first = open();
  CHECK(call(first, "GET", "/v1/status").status == 200);
  control(R"({"silent":true})");
  const std::chrono::milliseconds short_limit(100);
  CHECK(call(first, "POST", "/v1/statement", write_body("r1", "PUT k v"), short_limit).failed);
  CHECK(call(open(), "POST", "/v1/statement", write_body("r2", "PUT k w")).status == 200);
  CHECK_FALSE(backend->member().runs().contains("r1"));
}

// Guards against a simulated crash that keeps the role or an open transaction, or that loses the
// log or the promised term, which a database stores on disk.
TEST_CASE_FIXTURE(backend_fixture, "a primary that was down restarts as a replica")
{
  const auto client = open();
  CHECK(call(client, "POST", "/v1/statement", write_body("r1", "PUT k v")).status == 200);
  CHECK(call(client, "POST", "/v1/begin", write_body("r2", "")).status == 200);
  control(R"({"down":true})");
  REQUIRE(run_until([&] { return !client->is_open(); }));
  const auto refused = open();
  REQUIRE(run_until([&] { return !refused->is_open(); }));
  control(R"({"down":false})");
  const auto status = call(open(), "GET", "/v1/status").body;
  CHECK(status.at("role").as_string() == "replica");
  CHECK(status.at("term") == 1);
  CHECK(status.at("position") == 2);
  CHECK(backend->member().free_slots() == 1);
}

// Guards against a workspace key that is sent to a backend server without being recorded.
TEST_CASE_FIXTURE(backend_fixture, "requests that contain a workspace key are recorded")
{
  const auto client = open();
  CHECK(call(client, "POST", "/v1/statement", write_body("r1", "PUT k v")).status == 200);
  CHECK(call(open(), "GET", "/control/statements").body.at("key_text").as_array().empty());
  CHECK(call(client, "POST", "/v1/statement", write_body("r2", "PUT k pskey_1")).status == 200);
  CHECK(call(open(), "GET", "/control/statements").body.at("key_text").as_array().size() == 1);
}

// Guards against replication between members that refuse each other, without the replication delay
// or without truncating conflicting entries.
TEST_CASE_FIXTURE(fixture, "a group replicates, fails over and truncates")
{
  std::map<std::string, tcp_address> peers;
  std::map<std::string, std::unique_ptr<standin_backend>> group;
  for (const auto* name : { "a", "b", "c" }) {
    // A listener on port 0 is used to find a free port for the member.
    const auto probe = standin_platform::create(context, { "127.0.0.1", 0 }).value();
    peers[name] = { "127.0.0.1", probe->port() };
  }
  for (const auto& [name, address] : peers) {
    standin_backend_options options;
    options.listen = address;
    options.member = name;
    options.peers = peers;
    options.connect_delay = {};
    options.primary = name == "a";
    group[name] = standin_backend::create(context, options).value();
  }
  const auto last = [&](const char* name) { return group[name]->member().log().last(); };
  const auto client = connect(peers["a"].port);
  CHECK(call(client, "POST", "/v1/statement", write_body("r1", "ADD n 1")).status == 200);
  REQUIRE(run_until([&] { return last("b") == last("a") && last("c") == last("a"); }));

  CHECK(group["a"]->control({ { "refuse_peers", { "b", "c" } } }).empty());
  CHECK(call(client, "POST", "/v1/statement", write_body("r2", "ADD n 10")).status == 200);
  CHECK(group["b"]->member().fence(term(2), "x"));
  CHECK(group["c"]->member().fence(term(2), "x"));
  CHECK(group["c"]->control({ { "replication_delay_ms", 3600000 } }).empty());
  CHECK(group["b"]->member().promote(term(2), "x") == standin_refusal::none);
  CHECK(call(client, "POST", "/v1/statement", write_body("r3", "ADD n 10")).status == 200);
  CHECK(last("b") == log_point{ term(2), log_position(3) });
  CHECK(last("c").in_term == term(1));

  CHECK(group["a"]->control({ { "refuse_peers", boost::json::array() } }).empty());
  REQUIRE(run_until([&] { return last("a") == last("b"); }));
  CHECK(group["a"]->member().log().state().at("n") == "1");
  CHECK_FALSE(group["a"]->member().is_primary());
  CHECK(last("c").in_term == term(1));
  CHECK(group["c"]->control({ { "replication_delay_ms", 0 } }).empty());
  REQUIRE(run_until([&] { return last("c") == last("b"); }));
}

// Guards against a conditional write that overwrites another revision, and against a transaction
// that applies only some of its writes.
TEST_CASE_FIXTURE(fixture, "the platform's writes are conditional")
{
  const auto platform = standin_platform::create(context, { "127.0.0.1", 0 }).value();
  const auto client = connect(platform->port());
  const auto put = [&](const char* body) { return call(client, "PUT", "/v1/table/a/b", body); };
  CHECK(call(client, "GET", "/v1/table/a/b").status == 404);
  CHECK(put(R"({"value":"v1","if_revision":0})").body.at("revision") == 1);
  const auto conflict = put(R"({"value":"v2","if_revision":0})");
  CHECK(conflict.status == 409);
  CHECK(conflict.body.at("value").as_string() == "v1");
  CHECK(call(client,
             "POST",
             "/v1/table/transaction",
             R"({"writes":[{"key":"c","value":"x","if_revision":0},)"
             R"({"key":"a/b","value":"x","if_revision":7}]})")
          .status == 409);
  CHECK(call(client, "GET", "/v1/table?prefix=").body.at("rows").as_array().size() == 1);
  CHECK(put(R"({"value":1})").status == 400);
}

// Guards against switches with the wrong effect: a request with a lost answer must be executed, a
// dropped request must not, and a client in `cut` gets no answer while other clients do.
TEST_CASE_FIXTURE(fixture, "the platform loses answers and requests")
{
  const auto platform = standin_platform::create(context, { "127.0.0.1", 0 }).value();
  const auto open = [&] { return connect(platform->port()); };
  const std::string body = R"({"value":"v"})";
  const std::chrono::milliseconds short_limit(100);
  CHECK(platform->control({ { "lose_answers", 1 } }).empty());
  CHECK(call(open(), "PUT", "/v1/table/k", body).failed);
  CHECK(platform->store().get("k").revision == 1);
  CHECK(platform->control({ { "drop_requests", 1 } }).empty());
  CHECK(call(open(), "PUT", "/v1/table/k", body).failed);
  CHECK(platform->control({ { "cut", { "i1" } } }).empty());
  CHECK(call(open(), "PUT", "/v1/table/k", body, short_limit).failed);
  CHECK(platform->control({ { "cut", { "i2" } }, { "outage", true } }).empty());
  CHECK(call(open(), "PUT", "/v1/table/k", body).status == 503);
  CHECK(platform->store().get("k").revision == 1);
  CHECK(platform->control({ { "outage", false }, { "delay_ms", 5 } }).empty());
  CHECK(call(open(), "PUT", "/v1/table/k", body).body.at("revision") == 2);
}

// Guards against a new list of instances that takes effect before its delay has passed.
TEST_CASE_FIXTURE(fixture, "the list of instances can change after a delay")
{
  const auto platform = standin_platform::create(context, { "127.0.0.1", 0 }).value();
  const auto client = connect(platform->port());
  const auto set = [&](const char* body) {
    CHECK(call(connect(platform->port()), "PUT", "/control/instances", body).status == 200);
  };
  const auto listed = [&] { return call(client, "GET", "/v1/instances").body.as_array().size(); };
  set(R"([{"instance":"i1","zone":"z1","address":"127.0.0.1:1","state":"live"}])");
  CHECK(listed() == 1);
  set(R"({"instances":[],"after_ms":3600000})");
  CHECK(listed() == 1);
  set(R"({"instances":[],"after_ms":1})");
  CHECK(run_until([&] { return listed() == 0; }));
}
