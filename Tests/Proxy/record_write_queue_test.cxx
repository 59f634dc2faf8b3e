#include <doctest/doctest.h>

#include "Proxy/record_write_queue.h"

using namespace persimmonshelf;

// Guards against replacements given up because another write was in flight, and against an outdated
// record written after a newer one of the same group.
TEST_CASE("waiting group records are written in order, and only the newest of each group")
{
  record_write_queue queue;
  CHECK_FALSE(queue.add({ { "g1", member_id("m1"), true, true, term(0) }, nullptr }));
  CHECK_FALSE(queue.add({ { "g2", member_id("m4"), true, true, term(0) }, nullptr }));
  const auto replaced = queue.add({ { "g1", member_id("m2"), false, false, term(0) }, nullptr });
  REQUIRE(replaced);
  CHECK(replaced->record.primary == member_id("m1"));
  const auto first = queue.take();
  const auto second = queue.take();
  REQUIRE(first);
  REQUIRE(second);
  CHECK(first->record.primary == member_id("m2"));
  CHECK(second->record.group == "g2");
  CHECK(queue.empty());
  CHECK_FALSE(queue.take());
}
