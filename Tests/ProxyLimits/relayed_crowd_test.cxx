#include "client_crowd.h"
#include "messages.h"

#include <doctest/doctest.h>

using namespace persimmonshelf;

// Guards against callers whose sessions are relayed and that use up the memory of the relaying
// instance or of the carrier. The bounds apply to each of the three instances.

namespace {

using listener = proxy_fleet::listener;

// Checks that a session that began before the crowd and did nothing meanwhile still answers.
void
check_other_session(client_behaviour behaviour)
{
  const auto fleet = proxy_fleet::create_relayed();
  REQUIRE(fleet->request("WRITE large " + std::string(message_limit - 1000, 'x')));
  const auto session = fleet->begin_session();
  REQUIRE(session);
  client_crowd crowd(*fleet, { listener::callers }, 60, std::move(behaviour));
  fleet->run_until([&] { return crowd.is_settled(); });
  CHECK_MESSAGE(fleet->request_on(session, "READ first"), "the session of another caller ended");
}

}

// 250 callers with 4 MiB each.
TEST_CASE("relayed callers that send many legal messages in one piece")
{
  const auto fleet = proxy_fleet::create_relayed();
  check_crowd(
    *fleet,
    { listener::callers },
    250,
    { .head = start_session, .awaits_ready = true, .text = longest_messages("WRITE item", 4) });
}

// 40 callers with 24 MiB each, of which the session on the carrier may keep every value.
TEST_CASE("relayed callers that send ahead and do not read the answers")
{
  const auto fleet = proxy_fleet::create_relayed();
  check_crowd(*fleet,
              { listener::callers },
              40,
              { .head = start_session,
                .awaits_ready = true,

                .text = longest_messages("SET name", 24),
                .reads = false });
}

// 60 callers that request 12 MiB each, in steps that the members can follow.
TEST_CASE("relayed callers that request large answers and do not read them")
{
  const auto fleet = proxy_fleet::create_relayed();
  REQUIRE(fleet->request("WRITE large " + std::string(message_limit - 1000, 'x')));
  check_crowd(*fleet,
              { listener::callers },
              60,
              { .head = start_session,
                .awaits_ready = true,
                .text = repeated("QUERY q1 READ large\r\n", 12),
                .piece = std::string_view("QUERY q1 READ large\r\n").size(),
                .pause = std::chrono::milliseconds(300),
                .reads = false });
}

// 250 callers with 700 KB each of a message that does not end.
TEST_CASE("relayed callers that stop in the middle of a message")
{
  const auto fleet = proxy_fleet::create_relayed();
  check_crowd(*fleet,
              { listener::callers },
              250,
              { .head = start_session,
                .awaits_ready = true,
                .text = "QUERY q1 WRITE item " + std::string(700'000, 'x') });
}

// 200 first messages of 1 MB, each different. A relaying instance that keeps the first messages as
// keys of its cache grows by each.
TEST_CASE("relayed callers with long first messages")
{
  const auto fleet = proxy_fleet::create_relayed();
  check_crowd(*fleet,
              { listener::callers },
              200,
              { .head = [](std::size_t number) { return "START db1 k" + std::to_string(number); },
                .text = std::string(1'000'000, 'x') + "\r\n" });
}

// 60 callers with 12 MiB each. Sessions share the connection to the carrier, and if it ends because
// too many bytes wait to be sent, all of them end.
TEST_CASE("relayed callers that send ahead do not end the sessions of others")
{
  check_other_session({ .head = start_session,
                        .awaits_ready = true,
                        .text = longest_messages("SET name", 12),
                        .reads = false });
}

// 60 callers that request 12 MiB each, in the other direction of the shared connection.
TEST_CASE("relayed callers that do not read do not end the sessions of others")
{
  check_other_session({ .head = start_session,
                        .awaits_ready = true,
                        .text = repeated("QUERY q1 READ large\r\n", 12),
                        .piece = std::string_view("QUERY q1 READ large\r\n").size(),
                        .pause = std::chrono::milliseconds(300),
                        .reads = false });
}
