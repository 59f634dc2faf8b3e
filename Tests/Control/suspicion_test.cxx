#include "Control/membership.h"

#include <doctest/doctest.h>

using namespace persimmonshelf;
using namespace std::chrono_literals;

namespace {

const instance_id peer("b");

membership
make_view(instant now)
{
  membership view({ instance_id("a"), incarnation_id(1), zone_id("z"), "127.0.0.1:1", 1 },
                  [](std::uint64_t) { return std::uint64_t{ 0 }; });
  const auto sent = view.make_heartbeat(peer, now);
  heartbeat response;
  response.clock = instant(1s);
  response.echo_clock = sent.clock;
  response.entries.push_back({ peer, incarnation_id(2), zone_id("z"), "127.0.0.1:2" });
  response.entries.back().sequence = 1;
  view.receive(peer, response, now + 1ms);
  return view;
}

}

// Guards against forwarding requests for 5 s to an instance whose process has ended, and against
// suspecting an instance after one refusal or before its first connection.
TEST_CASE("an instance that repeatedly refuses messages is not live")
{
  const instant now{ 100s };
  auto view = make_view(now);
  REQUIRE(view.is_live(peer, now + 2ms));

  view.record_refusal(peer, now + 10ms);
  view.record_refusal(peer, now + 500ms);
  CHECK(view.is_live(peer, now + 500ms));

  view.record_contact(peer);
  view.record_refusal(peer, now + 600ms);
  CHECK(view.is_live(peer, now + 600ms));
  view.record_refusal(peer, now + 800ms);
  CHECK_FALSE(view.is_live(peer, now + 800ms));
  CHECK(view.home_of(database_id("d"), zone_id("z"), now + 800ms) == instance_id("a"));

  view.record_contact(peer);
  CHECK(view.is_live(peer, now + 900ms));
  view.record_refusal(peer, now + 1s);
  view.record_refusal(peer, now + 1300ms);
  CHECK_FALSE(view.is_live(peer, now + 1300ms));
  CHECK(view.is_live(peer, now + 3s));
}
