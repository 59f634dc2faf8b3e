#include "Engine/engine.h"

#include <doctest/doctest.h>

#include <optional>

using namespace persimmonshelf;

// Guards against dropping a forwarded request that arrives before the first heartbeat of its
// sender. Without an answer, the caller receives the outcome "unknown" at its deadline.
TEST_CASE("forwarded request from an unknown instance is answered")
{
  std::optional<wire::envelope> sent;
  std::string sent_to;
  engine_hooks hooks;
  hooks.run_backend_command = [](const backend_command&) { return true; };
  hooks.send_peer = [&](const std::string& address, wire::envelope message, std::uint64_t) {
    sent_to = address;
    sent = std::move(message);
    return true;
  };
  hooks.table.get = [](const auto&, const auto&) {};
  hooks.table.put = [](const auto&, const auto&, auto, const auto&) {};
  hooks.table.list = [](const auto&, const auto&) {};
  hooks.list_instances = [](const auto&) {};
  hooks.random_bits = [] { return std::uint64_t{ 1 }; };
  hooks.log = [](const auto&) {};
  hooks.request_ended = [](const auto&) {};
  hooks.failed_over = [](const auto&, const auto&) {};
  hooks.utc = [] { return std::int64_t{ 1790000000 }; };
  engine_settings settings;
  settings.instance = instance_id("a");
  settings.incarnation = incarnation_id(1);
  settings.zone = zone_id("z");
  settings.peer_address = "127.0.0.1:1";
  settings.session_secret = "only for this test";
  const instant start{ std::chrono::seconds(10) };
  engine tested(settings, hooks, start);

  wire::envelope message;
  message.set_sender("b");
  message.set_sender_incarnation(2);
  message.set_sender_address("127.0.0.1:2");
  message.set_clock_us(5);
  message.mutable_forward()->set_request_id("b-2-1#1");
  message.mutable_forward()->set_database("orders");
  message.mutable_forward()->set_member("m0");
  message.mutable_forward()->set_target_incarnation(1);
  tested.handle_peer_message(message, start);
  REQUIRE(sent);
  CHECK(sent_to == "127.0.0.1:2");
  REQUIRE(sent->has_answer());
  CHECK(sent->answer().request_id() == "b-2-1#1");
  CHECK(static_cast<run_outcome>(sent->answer().outcome()) == run_outcome::not_run);
}
