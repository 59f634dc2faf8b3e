#include <doctest/doctest.h>

#include "group_model.h"

#include <rapidcheck.h>

#include <tuple>

using namespace persimmonshelf;

namespace {

using operation = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

void
toggle(std::set<std::size_t>& set, std::size_t value)
{
  if (set.erase(value) == 0) {
    set.insert(value);
  }
}

void
apply(group_model& model, const operation& each)
{
  const auto [kind, first, second] = each;
  const std::size_t member = first % 3U;
  auto& candidate = model.candidates[second % model.candidates.size()];
  if (kind % 16U < 4) {
    candidate.delay = std::chrono::milliseconds(first * 4);
    model.run(100 * (second % 50U));
  } else if (kind % 16U == 4) {
    model.report(second % model.candidates.size(), member, true);
  } else if (kind % 16U < 7) {
    model.write(member);
    model.write(member);
  } else if (kind % 16U == 7) {
    model.replicate(member, second % 4U);
  } else if (kind % 16U == 8) {
    toggle(candidate.unreachable_members, member);
  } else if (kind % 16U == 9) {
    candidate.paused = !candidate.paused;
  } else if (kind % 16U == 10) {
    model.hold_messages = !model.hold_messages;
  } else if (kind % 16U == 11) {
    toggle(model.not_replicating, member);
  } else if (kind % 16U == 12) {
    // A restart keeps the log and the promised term.
    model.members[member].primary = false;
    model.members[member].leaving = second % 4U == 0;
  } else if (!model.in_flight.empty()) {
    const auto index = first % model.in_flight.size();
    if (kind % 16U == 13) {
      model.in_flight.erase(model.in_flight.begin() + index);
      return;
    }
    if (second % 8U == 0) {
      model.in_flight.push_back(model.in_flight[index]);
    }
    model.deliver(index);
  }
}

}

// Guards against promotions that lose an acknowledged write or create two primaries in one term,
// under any sequence of pauses, partitions, lost, late and duplicate messages, restarts and lagging
// replicas.
TEST_CASE("no sequence of faults loses an acknowledged write")
{
  for (const std::size_t candidates : { 2U, 3U }) {
    std::size_t promotions = 0;
    std::size_t acknowledged = 0;
    CHECK(rc::check([&] {
      const auto operations = *rc::gen::resize(400, rc::gen::arbitrary<std::vector<operation>>());
      group_model model(candidates);
      for (const auto& each : operations) {
        apply(model, each);
        RC_ASSERT(model.violations == std::vector<std::string>{});
      }
      promotions += model.primaries.size() - 1;
      acknowledged += model.acknowledged.size();
    }));
    // A run with few promotions or acknowledgements would not test the invariants.
    CHECK(promotions > 100);
    CHECK(acknowledged > 300);
  }
}
