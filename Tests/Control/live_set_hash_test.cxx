#include "Control/home_chooser.h"
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

// Delivers a heartbeat of n2 to the view at `now`.
void
receive_heartbeat(membership& view,
                  std::uint64_t sequence,
                  const std::string& zone,
                  bool leaving,
                  instant now)
{
  heartbeat message;
  message.clock = now;
  message.echo_clock = view.make_heartbeat(instance_id("n2"), now).clock;
  instance_entry entry;
  entry.instance = instance_id("n2");
  entry.incarnation = incarnation_id(2);
  entry.zone = zone_id(zone);
  entry.address = "192.0.2.2:1";
  entry.leaving = leaving;
  entry.sequence = sequence;
  message.entries.push_back(entry);
  view.receive(entry.instance, message, now);
}

}

// Homes are chosen again only when the hash changes. If the hash missed a change, a member would
// have no home, or a home that is no longer live.
TEST_CASE("the hash of the live set changes with the live instances and their zones")
{
  auto view = make_view();
  const auto alone = view.live_set_hash(start);
  receive_heartbeat(view, 1, "north", false, start);
  const auto both = view.live_set_hash(start);
  CHECK(both != alone);
  receive_heartbeat(view, 2, "north", false, start + std::chrono::seconds(1));
  CHECK(view.live_set_hash(start + std::chrono::seconds(1)) == both);
  CHECK(view.live_set_hash(start + std::chrono::seconds(4)) == both);
  CHECK(view.live_set_hash(start + std::chrono::seconds(7)) == alone);
  const auto later = start + std::chrono::seconds(8);
  receive_heartbeat(view, 3, "south", false, later);
  CHECK(view.live_set_hash(later) != both);
  CHECK(view.live_set_hash(later) != alone);
  receive_heartbeat(view, 4, "north", true, later);
  CHECK(view.live_set_hash(later) == alone);
}

// The engine and the entry code choose homes with different code. If their results differed, an
// instance would reject requests that all others send to it.
TEST_CASE("home_chooser and membership::home_of choose the same homes")
{
  auto view = make_view();
  std::vector<listed_instance> list;
  for (int i = 0; i < 100; ++i) {
    const auto number = std::to_string(i);
    list.push_back({ instance_id("p" + number), zone_id("z" + std::to_string(i % 4)), "", false });
  }
  view.apply_platform_list(list, start);
  heartbeat message;
  message.clock = start;
  message.echo_clock = view.make_heartbeat(instance_id("p0"), start).clock;
  for (int i = 0; i < 60; i += 2) {
    instance_entry entry;
    entry.instance = instance_id("p" + std::to_string(i));
    entry.incarnation = incarnation_id(2);
    entry.zone = zone_id("z" + std::to_string(i % 4));
    entry.leaving = i % 10 == 0;
    entry.sequence = 1;
    message.entries.push_back(entry);
  }
  view.receive(instance_id("p0"), message, start);
  for (const auto age : { 0, 3, 8 }) {
    const auto now = start + std::chrono::seconds(age);
    const home_chooser homes(view, now);
    for (int i = 0; i < 200; ++i) {
      const database_id database("d" + std::to_string(i));
      const zone_id zone("z" + std::to_string(i % 5));
      CHECK(homes.home_of(database, zone) == view.home_of(database, zone, now));
    }
  }
}
