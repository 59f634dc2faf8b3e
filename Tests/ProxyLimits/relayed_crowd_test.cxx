#include "client_crowd.h"
#include "messages.h"

#include <doctest/doctest.h>

using namespace persimmonshelf;

// Guards against callers whose sessions are relayed and that use up the memory of the relaying
// instance or of the carrier. The bounds apply to each of the three instances.

namespace {

using listener = proxy_fleet::listener;

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
