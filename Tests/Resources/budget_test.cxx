#include <doctest/doctest.h>

#include "Resources/connection_budget.h"
#include "Resources/memory_budget.h"
#include "Resources/resource_plan.h"

#include <map>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace persimmonshelf;

namespace {

instant
at(int seconds)
{
  return instant(std::chrono::seconds(seconds));
}

}

// Guards against a crowd of ordinary holders that ends because of one large one.
TEST_CASE("the largest account ends when the budget is exceeded")
{
  int reports = 0;
  memory_budget budget(100, [&] { ++reports; });
  std::map<std::string, memory_budget::account> accounts;
  std::vector<std::string> ended;
  for (const std::string name : { "small", "large", "middle" }) {
    accounts[name] = budget.open([&, name] {
      ended.push_back(name);
      accounts.erase(name);
    });
  }
  accounts["small"].set(10);
  accounts["middle"].set(40);
  accounts["large"].set(50);
  CHECK(budget.enforce() == 0);
  CHECK(reports == 0);
  accounts["small"].set(11);
  CHECK(reports == 1);
  accounts["small"].set(12);
  CHECK(reports == 1);
  CHECK(budget.enforce() == 1);
  CHECK(ended == std::vector<std::string>{ "large" });
  CHECK(budget.used_bytes() == 52);
  accounts["small"].set(70);
  CHECK(reports == 2);
  CHECK(budget.enforce() == 1);
  CHECK(ended.back() == "small");
}

// Guards against further closes while the memory of a connection that was told to end is not free
// yet, because its last answers are sent.
TEST_CASE("an account that ends later does not end others")
{
  memory_budget budget(100);
  int ended = 0;
  auto first = budget.open([&] { ++ended; });
  auto second = budget.open([&] { ++ended; });
  first.set(80);
  second.set(60);
  CHECK(budget.enforce() == 1);
  CHECK(budget.enforce() == 0);
  first.set(90);
  CHECK(budget.enforce() == 0);
  CHECK(ended == 1);
  first = {};
  CHECK(budget.used_bytes() == 60);
  CHECK(budget.account_count() == 1);
}

// Guards against the end of a connection that many sessions share, and of an ordinary caller
// because of copies that this process makes of its message.
TEST_CASE("shared holders never end, and copies do not make a holder the largest")
{
  memory_budget budget(100);
  std::vector<std::string> ended;
  auto shared = budget.open({});
  auto ordinary = budget.open([&] { ended.emplace_back("ordinary"); });
  auto unfinished = budget.open([&] { ended.emplace_back("unfinished"); });
  shared.set(50);
  ordinary.set(45, 15);
  unfinished.set(20);
  CHECK(budget.enforce() == 1);
  CHECK(ended == std::vector<std::string>{ "unfinished" });
  shared.set(200);
  CHECK(budget.enforce() == 1);
  CHECK(budget.enforce() == 0);
  CHECK(budget.used_bytes() == 265);
}

// Guards against bytes that are lost or counted twice, after which the budget closes everything or
// nothing.
TEST_CASE("the budget holds the sum of its accounts")
{
  CHECK(rc::check("sum of accounts", [] {
    memory_budget budget(1000);
    std::map<int, memory_budget::account> accounts;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 400)));
    for (const auto& [index, bytes] : steps) {
      if (bytes == 0) {
        accounts.erase(index);
      } else {
        if (!accounts.contains(index)) {
          accounts[index] = budget.open([&, number = index] { accounts.erase(number); });
        }
        accounts[index].set(static_cast<std::size_t>(bytes));
      }
      budget.enforce();
      std::size_t sum = 0;
      for (const auto& [number, account] : accounts) {
        sum += account.bytes();
      }
      RC_ASSERT(sum == budget.used_bytes());
      RC_ASSERT(sum <= 1000U);
    }
  }));
}

// Guards against new callers that are refused because others took all places without a session.
TEST_CASE("an incomplete connection is closed in favour of a new one")
{
  connection_budget budget(3);
  std::map<std::string, connection_budget::place> places;
  std::vector<std::string> ended;
  const auto open = [&](const std::string& name, int second) {
    places[name] = budget.open(
      [&ended, &places, name] {
        ended.push_back(name);
        places.erase(name);
      },
      at(second));
  };
  open("session", 1);
  places["session"].set_complete();
  open("slow", 2);
  open("silent", 3);
  places["slow"].set_incomplete(at(5));
  CHECK(budget.make_room());
  CHECK(ended == std::vector<std::string>{ "silent" });
  open("new", 6);
  CHECK(budget.make_room());
  CHECK(ended.back() == "slow");
  open("newer", 7);
  places["new"].set_complete();
  places["newer"].set_complete();
  CHECK_FALSE(budget.make_room());
  CHECK(budget.count() == 3);
  CHECK_FALSE(budget.close_incomplete());
  places.erase("session");
  CHECK(budget.make_room());
}

// Guards against shares that exceed the machine, and against a budget without room for one message
// of 1 MiB.
TEST_CASE("the shares fit in the machine")
{
  for (const std::uint32_t descriptors : { 256U, 1024U, 3010U, 1U << 20U }) {
    for (const std::uint64_t megabytes : { 32U, 112U, 256U, 1U << 20U }) {
      const auto plan = plan_resources(megabytes << 20U, descriptors);
      CAPTURE(descriptors);
      CHECK(plan.callers > 0);
      CHECK(plan.callers < descriptors);
      CHECK(plan.callers + plan.relays + plan.peers + plan.readiness + plan.metrics < descriptors);
      CHECK(plan.memory_bytes >= 5U << 20U);
      CHECK(plan.memory_bytes + plan.peer_bytes + 2 * plan.probe_bytes < megabytes << 19U);
    }
  }
  const auto smallest = plan_resources(112U << 20U, 3010);
  CHECK(smallest.memory_bytes + smallest.peer_bytes + 2 * smallest.probe_bytes == 41U << 20U);
  CHECK(smallest.callers == 1463);
}
