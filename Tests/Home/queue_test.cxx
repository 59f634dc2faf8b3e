#include <doctest/doctest.h>

#include "Home/fair_queue.h"

#include <algorithm>
#include <string>

using namespace persimmonshelf;

namespace {

instant
at(std::int64_t milliseconds)
{
  return instant(std::chrono::milliseconds(milliseconds));
}

constexpr std::chrono::milliseconds one_ms(1);

queue_entry
entry(const std::string& workspace, const std::string& id, std::int64_t expires = 1'000'000)
{
  return { request_id(id), workspace_id(workspace), at(expires), instant() };
}

// Workspaces in the order in which they get the only slot, each statement taking `cost`.
std::string
order(fair_queue& queue, std::size_t count, std::int64_t& now, int cost)
{
  std::string taken;
  for (std::size_t i = 0; i < count; ++i) {
    const auto next = queue.pop(at(now));
    if (!next) {
      return taken + "-";
    }
    taken += next->workspace.get();
    now += cost;
    queue.finished(next->workspace, cost * one_ms, at(now));
  }
  return taken;
}

}

// Guards against one workspace filling the queue of a member, and against unbounded memory.
TEST_CASE("the queue is bounded per workspace and in total")
{
  fair_queue queue({ .per_workspace = 2, .total = 3 }, 1);
  CHECK(queue.push(entry("a", "1")));
  CHECK(queue.push(entry("a", "2")));
  CHECK(queue.push(entry("a", "3")).error().code == result_code::queue_full);
  CHECK(queue.push(entry("b", "4")));
  CHECK(queue.push(entry("c", "5")).error().code == result_code::queue_full);
  CHECK(queue.size() == 3);
}

// Guards against running a request whose caller has given up, and against losing its answer.
TEST_CASE("an expired entry is returned by expire and never by pop")
{
  fair_queue queue({}, 1);
  REQUIRE(queue.push(entry("a", "1", 10)));
  REQUIRE(queue.push(entry("a", "2", 30)));
  CHECK(queue.expire(at(9)).empty());
  CHECK(queue.pop(at(10))->id == request_id("2"));
  REQUIRE(queue.push(entry("a", "3", 20)));
  const auto expired = queue.expire(at(20));
  REQUIRE(expired.size() == 2);
  CHECK(expired[0].id == request_id("1"));
  CHECK(expired[1].id == request_id("3"));
  CHECK(queue.size() == 0);
}

// Guards against order by arrival: slot time decides, corrected when a statement took longer than
// estimated.
TEST_CASE("the workspace that consumed least slot time is next")
{
  fair_queue queue({ .first_estimate = one_ms }, 1);
  for (int i = 0; i < 8; ++i) {
    REQUIRE(queue.push(entry("a", "a" + std::to_string(i))));
  }
  std::int64_t now = 0;
  // The first statement of "a" takes 4 ms instead of the estimated 1 ms.
  CHECK(order(queue, 1, now, 4) == "a");
  for (int i = 0; i < 8; ++i) {
    REQUIRE(queue.push(entry("b", "b" + std::to_string(i))));
  }
  CHECK(order(queue, 6, now, 1) == "bbbbab");
}

// Guards against a workspace that saves up claims while it asks for nothing or cannot run.
TEST_CASE("an idle or blocked workspace gains no credit")
{
  for (const bool blocked : { false, true }) {
    fair_queue queue({ .first_estimate = one_ms }, 1);
    std::int64_t now = 0;
    const auto fill = [&](const std::string& workspace) {
      for (int i = 0; i < 200; ++i) {
        REQUIRE(queue.push(entry(workspace, workspace + std::to_string(i))));
      }
    };
    fill("a");
    if (blocked) {
      fill("b");
      for (int i = 0; i < 100; ++i) {
        const auto next =
          queue.pop(at(now), [](const auto& one) { return one.workspace.get() == "a"; });
        REQUIRE(next);
        queue.finished(next->workspace, one_ms, at(++now));
      }
    } else {
      CHECK(order(queue, 100, now, 1) == std::string(100, 'a'));
      fill("b");
    }
    const auto next = order(queue, 20, now, 1);
    CHECK(std::count(next.begin(), next.end(), 'a') >= 9);
  }
}

// Guards against one workspace holding every slot while another waits, and against an unused slot
// when no other waits.
TEST_CASE("the last slot is kept for other workspaces while one waits")
{
  fair_queue queue({}, 3);
  const auto fill = [&](const std::string& workspace) {
    for (int i = 0; i < 9; ++i) {
      REQUIRE(queue.push(entry(workspace, workspace + std::to_string(i))));
    }
  };
  // "b" has consumed far more than "a".
  REQUIRE(queue.push(entry("b", "first")));
  REQUIRE(queue.pop(at(0)));
  queue.finished(workspace_id("b"), 1000 * one_ms, at(1000));
  fill("a");
  for (int i = 0; i < 3; ++i) {
    CHECK(queue.pop(at(1000))->workspace.get() == "a");
  }
  queue.finished(workspace_id("a"), one_ms, at(1001));
  fill("b");
  CHECK(queue.pop(at(1001))->workspace.get() == "b");
  const auto seen = queue.workspaces();
  REQUIRE(seen.size() == 2);
  CHECK(seen[0].slots_held == 2);
  CHECK(seen[0].queued == 6);
  CHECK(seen[1].slots_held == 1);
  CHECK(seen[1].consumed == 1000 * one_ms);

  fair_queue single({}, 1);
  REQUIRE(single.push(entry("a", "1")));
  REQUIRE(single.push(entry("b", "2")));
  CHECK(single.pop(at(0)));
}

// Guards against reordering within a workspace after a busy answer, and against sending again
// without the delay.
TEST_CASE("an entry that did not run goes ahead of its workspace after its delay")
{
  fair_queue queue({}, 1);
  REQUIRE(queue.push(entry("a", "1")));
  REQUIRE(queue.push(entry("a", "2")));
  auto first = *queue.pop(at(0));
  queue.finished(first.workspace, one_ms, at(1), false);
  first.not_before = at(6);
  queue.push_ahead(first);
  CHECK(queue.pop(at(5))->id == request_id("2"));
  CHECK_FALSE(queue.pop(at(5)));
  CHECK(queue.pop(at(6))->id == request_id("1"));
}
