#include "client_crowd.h"
#include "messages.h"

#include <doctest/doctest.h>

using namespace persimmonshelf;

// Guards against callers that use up the memory or the descriptors of an instance. Each crowd sends
// or leaves unread several times the memory limit, or opens more connections than the descriptor
// limit, and an instance that keeps all of it exceeds a bound.

namespace {

using listener = proxy_fleet::listener;

}

// 120 callers with 4 MiB each: 480 MiB of legal messages.
TEST_CASE("callers that send many legal messages in one piece")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(
    *fleet,
    { listener::callers },
    120,
    { .head = start_session, .awaits_ready = true, .text = longest_messages("WRITE item", 4) });
}

// 200 callers with 2 MiB each. A receiver that searches its whole buffer after each piece also
// spends time that is quadratic in the length of a message.
TEST_CASE("callers that send legal messages in small pieces")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(*fleet,
              { listener::callers },
              200,
              { .head = start_session,
                .awaits_ready = true,
                .text = longest_messages("WRITE item", 2),
                .piece = 1000 });
}

// 150 callers with 8 MiB each before the end of the message.
TEST_CASE("callers that send messages far larger than the limit")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(*fleet,
              { listener::callers },
              150,
              { .head = start_session,
                .awaits_ready = true,
                .text = std::string(8 * message_limit, 'x') + "\r\n" });
}

// 40 callers with 24 MiB each, of which a session may keep every value.
TEST_CASE("callers that send ahead and do not read the answers")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(*fleet,
              { listener::callers },
              40,
              { .head = start_session, .text = longest_messages("SET name", 24), .reads = false });
}

// 250 callers with 700 KB each of a message that does not end.
TEST_CASE("callers that stop in the middle of a message")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(*fleet,
              { listener::callers },
              250,
              { .head = start_session,
                .awaits_ready = true,
                .text = "QUERY q1 WRITE item " + std::string(700'000, 'x') });
}

// 60 callers that request 12 MiB each, in steps that the members can follow.
TEST_CASE("callers that request large answers and do not read them")
{
  const auto fleet = proxy_fleet::create_single();
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

// 60 callers that request 12 MiB each and read at most 0.7 MB/s each, slower than answers come.
TEST_CASE("callers that request large answers and read them slowly")
{
  const auto fleet = proxy_fleet::create_single();
  REQUIRE(fleet->request("WRITE large " + std::string(message_limit - 1000, 'x')));
  check_crowd(*fleet,
              { listener::callers },
              60,
              { .head = start_session,
                .awaits_ready = true,
                .text = repeated("QUERY q1 READ large\r\n", 12),
                .piece = std::string_view("QUERY q1 READ large\r\n").size(),
                .pause = std::chrono::milliseconds(300),
                .read_pause = std::chrono::milliseconds(100) });
}

// 200 callers that need about 3 s for a message of 1 MiB, and always make progress.
TEST_CASE("callers that send large messages slowly")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(*fleet,
              { listener::callers },
              200,
              { .head = start_session,
                .awaits_ready = true,
                .text = longest_messages("WRITE item", 1),
                .piece = 20'000,
                .pause = std::chrono::milliseconds(60) });
}

// 40 callers with 24 MiB each. An instance that stops reading leaves the bytes in the buffers of
// its sockets, which count as its memory.
TEST_CASE("bytes that callers send ahead and that are not read")
{
  const auto fleet = proxy_fleet::create_single();
  client_crowd crowd(*fleet,
                     { listener::callers },
                     40,
                     { .head = start_session,
                       .awaits_ready = true,
                       .text = longest_messages("SET name", 24),
                       .reads = false });
  fleet->run_until([&] { return crowd.is_settled(); });
  const auto held_mb = fleet->peak_held_bytes() >> 20;
  MESSAGE("memory with unread bytes " << held_mb << " MB");
  CHECK(held_mb < memory_limit_mb);
}

// 300 callers that need seconds for one short message.
TEST_CASE("callers that send single bytes")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(*fleet,
              { listener::callers },
              300,
              { .head = start_session,
                .awaits_ready = true,
                .text = "QUERY q1 WRITE item 0123456789",
                .piece = 1,
                .pause = std::chrono::milliseconds(100) });
}

// 700 connections.
TEST_CASE("connections that never send START")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(*fleet, { listener::callers }, 700, {});
}
