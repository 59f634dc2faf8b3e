#include <doctest/doctest.h>

#include "group_model.h"

#include <rapidcheck.h>

#include <tuple>

using namespace persimmonshelf;

namespace {

// What the runs of one property reached; a fuzz that promotes or acknowledges little proves little.
struct coverage
{
  std::size_t promotions = 0;
  std::size_t acknowledged = 0;
  std::size_t replaced_by_other = 0;
};

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
  switch (kind % 16U) {
    case 0:
    case 1:
    case 2:
    case 3:
      candidate.delay = std::chrono::milliseconds(first * 4);
      return model.run(100 * (second % 50U));
    case 4:
    case 5:
    case 6:
      for (unsigned i = 0; i <= second % 4U; ++i) {
        model.write(member);
      }
      return;
    case 7:
      return model.replicate(member, second % 4U);
    case 8:
      return toggle(candidate.cut, member);
    case 9:
      candidate.paused = !candidate.paused;
      return;
    case 10:
      model.hold_messages = !model.hold_messages;
      return;
    case 11:
    case 12:
      if (!model.in_flight.empty()) {
        // A copy stays queued now and then, as when an order is sent again.
        const auto index = first % model.in_flight.size();
        if (second % 8U == 0) {
          model.in_flight.push_back(model.in_flight[index]);
        }
        model.deliver(index);
      }
      return;
    case 13:
      if (!model.in_flight.empty()) {
        model.in_flight.erase(model.in_flight.begin() + first % model.in_flight.size());
      }
      return;
    case 14:
      return toggle(model.detached, member);
    default:
      // A restart keeps the log and the promise. A member that is down for long is case 8.
      model.members[member].primary = false;
      model.members[member].leaving = second % 2U == 0;
  }
}

}

// Guards against promotions that lose an acknowledged write or give a term two primaries, in any
// order of pauses, partitions, lost, late and repeated messages, restarts and lagging replicas.
TEST_CASE("no sequence of faults loses an acknowledged write")
{
  for (const std::size_t candidates : { 2U, 3U }) {
    coverage reached;
    CHECK(rc::check([&](std::uint32_t) {
      const auto operations = *rc::gen::resize(400, rc::gen::arbitrary<std::vector<operation>>());
      group_model model(candidates);
      for (const auto& each : operations) {
        apply(model, each);
        RC_ASSERT(model.violations == std::vector<std::string>{});
      }
      reached.promotions += model.primaries.size() - 1;
      reached.acknowledged += model.acknowledged.size();
      for (const auto& [in_term, member] : model.primaries) {
        reached.replaced_by_other += member == 0 ? 0 : 1;
      }
    }));
    MESSAGE(candidates << " candidates: " << reached.promotions << " promotions, "
                       << reached.replaced_by_other << " of b or c, " << reached.acknowledged
                       << " acknowledged writes");
    CHECK(reached.promotions > 100);
    CHECK(reached.replaced_by_other > 50);
    CHECK(reached.acknowledged > 300);
  }
}
