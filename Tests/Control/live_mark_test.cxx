#include "Control/membership.h"

#include <doctest/doctest.h>

namespace {

using namespace persimmonshelf;

constexpr instant start{ std::chrono::seconds(1000) };

membership
make_view()
{
  membership::identity self;
  self.instance = instance_id("n1");
  self.incarnation = incarnation_id(1);
  self.zone = zone_id("north");
  self.address = "192.0.2.1:1";
  return { self, [](std::uint64_t) { return std::uint64_t(0); } };
}

// Lets the view hear of n2 at `now`.
void
hear(membership& view, std::uint64_t sequence, const std::string& zone, bool leaving, instant now)
{
  heartbeat beat;
  beat.clock = now;
  beat.echo_clock = view.make_heartbeat(instance_id("n2"), now).clock;
  instance_entry entry;
  entry.instance = instance_id("n2");
  entry.incarnation = incarnation_id(2);
  entry.zone = zone_id(zone);
  entry.address = "192.0.2.2:1";
  entry.leaving = leaving;
  entry.sequence = sequence;
  beat.entries.push_back(entry);
  view.receive(entry.instance, entry.incarnation, beat, now);
}

} // namespace

// Homes are chosen anew only when the mark changes. A mark that misses a change
// would leave a member without a home, or with one that is gone.
TEST_CASE("the mark of the live view follows who is live and where")
{
  auto view = make_view();
  const auto alone = view.live_mark(start);
  hear(view, 1, "north", false, start);
  const auto both = view.live_mark(start);
  CHECK(both != alone);
  hear(view, 2, "north", false, start + std::chrono::seconds(1));
  CHECK(view.live_mark(start + std::chrono::seconds(1)) == both);
  CHECK(view.live_mark(start + std::chrono::seconds(4)) == both);
  CHECK(view.live_mark(start + std::chrono::seconds(7)) == alone);
  const auto later = start + std::chrono::seconds(8);
  hear(view, 3, "south", false, later);
  CHECK(view.live_mark(later) != both);
  CHECK(view.live_mark(later) != alone);
  hear(view, 4, "north", true, later);
  CHECK(view.live_mark(later) == alone);
}
