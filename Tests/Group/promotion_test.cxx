#include <doctest/doctest.h>

#include "group_model.h"

#include <sstream>

using namespace persimmonshelf;

namespace {

const std::vector<std::string> steps = { "detect", "fence", "choose", "promote", "follow" };
const std::set<std::string> faults = {
  "primary killed",        "primary isolated",   "fence response lost",
  "promote response lost", "rival candidate",    "candidate paused",
  "replica far behind",    "member unreachable", "double fault",
};

// Columns are the steps, rows the faults. Each cell contains the final primary, the longest time in
// ms from the loss of primary a to the first acknowledged write of a later term, and the highest
// term. The failover gap may be 13 s at most.
constexpr std::string_view cells = R"(
primary killed        | b 4500 5 | b 4500 5 | b 4500 5 | a 7500 6 | a 8500 6
primary isolated      | b 4500 5 | b 4500 5 | b 4500 5 | a 7500 6 | a 8500 6
fence response lost   | b 4500 5 | b 7000 5 | b 4500 5 | b 4500 5 | b 4500 5
promote response lost | b 4500 5 | b 4500 5 | b 4500 5 | b 4500 5 | b 4500 5
rival candidate       | b 1000 5 | b 4500 6 | b 4500 6 | b 4500 6 | b 5500 6
candidate paused      | b 4500 5 | b 7500 6 | b 4500 5 | b 4500 5 | b 4500 5
replica far behind    | b 5000 5 | b 8500 5 | b 8500 5 | b 8500 5 | b 8500 5
member unreachable    | b 5500 5 | b 9000 5 | b 8500 5 | b 8500 5 | b 8500 5
double fault          | b 4500 5 | b 7500 6 | b 4500 5 | b 4500 5 | b 4500 5
)";

struct scenario
{
  group_model model{ 2 };
  instant lost_at;
  instant heals_at = instant::max();

  // Primary a can be reached only by its callers and has a write that no other member has. C lags
  // behind.
  scenario()
  {
    model.candidates[1].paused = true;
    model.candidates[0].delay = std::chrono::milliseconds(300);
    for (int i = 0; i < 30; ++i) {
      model.write(0);
      model.replicate(1, 1);
    }
    model.run(1000, [&] { return model.open_writes.empty(); });
    model.isolated.insert(0);
    model.write(0);
    lost_at = model.now;
  }

  bool reached(const std::string& step) const
  {
    const auto& state = model.candidates[0].logic->state();
    return step == "detect" || (step == "fence" && state == "fencing") ||
           (step == "choose" && state == "promoting") ||
           (step == "promote" && model.primaries.size() > 1) ||
           (step == "follow" && state == "following");
  }

  void apply(const std::string& fault, bool promoted)
  {
    // After b is promoted, b is the primary that fails, and a returns.
    if (fault.starts_with("primary") && promoted) {
      model.isolated.erase(0);
      model.isolated.insert(1);
    }
    int lasts_ms = 4000;
    if (fault == "primary killed") {
      model.members[promoted ? 1 : 0].up = false;
    } else if (fault.ends_with("lost")) {
      model.lost_kind = fault.substr(0, fault.size() - 5);
      lasts_ms = 1200;
      // A late response must not change a choice that was made.
      auto& logic = *model.candidates[0].logic;
      const auto now = logic.current_term();
      if (logic.state() == "promoting") {
        logic.handle_fence_response(
          model.now, model_ids[2], now, true, now, { now, log_position(99) });
      }
    } else if (fault == "rival candidate") {
      model.run_rival_promotion();
    } else if (fault == "replica far behind") {
      model.not_replicating.insert(2);
    } else if (fault == "member unreachable") {
      model.members[2].up = false;
    } else if (fault == "candidate paused" || fault == "double fault") {
      model.lost_kind = fault == "double fault" ? "promote response" : "";
      model.candidates[0].paused = true;
      model.candidates[1].paused = false;
      lasts_ms = 5000;
    }
    heals_at = model.now + std::chrono::milliseconds(lasts_ms);
  }

  // Other failures, such as a killed primary, persist.
  void heal()
  {
    heals_at = instant::max();
    model.lost_kind.clear();
    model.not_replicating.erase(2);
    model.members[2].up = true;
    model.candidates[0].paused = false;
  }
};

void
check_cell(const std::string& fault, const std::string& step, const std::string& expected)
{
  INFO(fault << " x " << step << ": " << expected);
  char winner = 0;
  int longest_gap_ms = 0;
  std::uint64_t highest_term = 0;
  std::istringstream values(expected);
  values >> winner >> longest_gap_ms >> highest_term;
  REQUIRE_FALSE(values.fail());
  scenario run;
  auto& model = run.model;
  model.run(5000, [&] { return run.reached(step); });
  REQUIRE(run.reached(step));
  run.apply(fault, step == "promote" || step == "follow");

  std::optional<instant> resumed;
  for (int i = 0; i < 130; ++i) {
    for (std::size_t m = 0; m < 3; ++m) {
      model.write(m);
    }
    model.run(100);
    if (model.now >= run.heals_at) {
      run.heal();
    }
    if (!resumed && model.acknowledged.back().point.in_term > term(4)) {
      resumed = model.now;
    }
  }
  REQUIRE(resumed);
  CHECK(*resumed - run.lost_at <= std::chrono::milliseconds(longest_gap_ms));

  // After full recovery, all members follow one primary and none stays fenced.
  run.heal();
  model.isolated.clear();
  for (auto& member : model.members) {
    member.up = true;
  }
  model.run(12000);
  CHECK(model.violations == std::vector<std::string>{});
  const auto& primary = model.members[static_cast<std::size_t>(winner - 'a')];
  CHECK(primary.primary);
  for (const auto& member : model.members) {
    CHECK(member.promised == highest_term);
    CHECK(member.log == primary.log);
    CHECK(member.primary == (&member == &primary));
  }
}

}

// Guards against failures of the failover when a fault occurs during one of its steps. The test
// also checks that every combination of step and fault is covered.
TEST_CASE("every fault at every step ends with one primary and no lost write")
{
  std::set<std::string> covered;
  std::istringstream lines{ std::string(cells) };
  std::string fault;
  while (std::getline(lines >> std::ws, fault, '|')) {
    fault.erase(fault.find_last_not_of(' ') + 1);
    std::string line;
    std::getline(lines, line);
    std::istringstream fields(line);
    for (const auto& step : steps) {
      std::string expected;
      if (std::getline(fields, expected, '|')) {
        check_cell(fault, step, expected);
        covered.insert(fault + " x " + step);
      }
    }
  }
  for (const auto& each : faults) {
    for (const auto& step : steps) {
      CHECK_MESSAGE(covered.contains(each + " x " + step), each << " x " << step << " is missing");
    }
  }
}
