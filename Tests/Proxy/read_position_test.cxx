#include <doctest/doctest.h>

#include "Proxy/read_position_summary.h"
#include "proxy_support.h"

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

// Guards against a stale read whose evidence no log line shows: the summary must name the lowest
// position of each interval, its age when it was used, and where it came from.
TEST_CASE("a summary of reads keeps the lowest position with its age at that time")
{
  read_position_summary summary;
  summary.record("g", observed(point(1, 20), at(1000)), at(1100));
  summary.record("g", observed(point(1, 10), at(900)), at(1200));
  summary.record("g", observed(point(1, 30), at(1300)), at(1900));
  summary.record("g", std::nullopt, at(1900));
  const auto entries = summary.take();
  REQUIRE(entries.contains("g"));
  const auto& entry = entries.at("g");
  CHECK(entry.reads == 4);
  CHECK(entry.without_position == 1);
  REQUIRE(entry.lowest);
  CHECK(entry.lowest->position == point(1, 10));
  CHECK(entry.lowest_age == ms(300));
  CHECK(describe(*entry.lowest, at(1200)) == "position 1.10 of m1, 300 ms old, from a");
  CHECK(summary.take().empty());
}

// Guards against stale reads that go on for as long as two clocks differ: a position dated after
// the present was taken, and every later one was dropped as older.
TEST_CASE("an observation that is dated after the present is refused")
{
  position_history history;
  CHECK(history.observe("g", observed(point(1, 10), at(900)), at(1000)) ==
        observation_outcome::taken);
  CHECK(history.observe("g", observed(point(1, 10), at(800)), at(1000)) ==
        observation_outcome::outdated);
  CHECK(history.observe("g", observed(point(1, 20), at(1001)), at(1000)) ==
        observation_outcome::impossible);
  CHECK(history.observe("g", observed(point(1, 20), at(60'000)), at(1000)) ==
        observation_outcome::impossible);
  CHECK(history.observe("g", observed(point(1, 30), at(1000)), at(1010)) ==
        observation_outcome::taken);
  REQUIRE(history.newest("g"));
  CHECK(history.newest("g")->position == point(1, 30));
}
