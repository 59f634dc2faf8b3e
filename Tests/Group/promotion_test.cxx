#include <doctest/doctest.h>

#include "group_model.h"

#include <iterator>
#include <sstream>

using namespace persimmonshelf;

namespace {

const std::vector<std::string> steps = { "detect", "fence", "choose", "promote", "follow" };
const std::set<std::string> faults = {
  "primary killed",      "primary isolated",   "fence answer lost",
  "promote answer lost", "rival candidate",    "candidate paused",
  "replica far behind",  "member unreachable", "double fault",
};

// In each cell: the last primary, the longest time in ms from the loss of primary a to the first
// acknowledged write of a later term, and the highest term. The failover gap may be 13 s at most.
constexpr std::string_view cells = R"(
primary killed      | b 4500 5 | b 4500 5 | b 4500 5 | a 7500 6 | a 8500 6
primary isolated    | b 4500 5 | b 4500 5 | b 4500 5 | a 7500 6 | a 8500 6
fence answer lost   | b 4500 5 | b 7000 5 | b 4500 5 | b 4500 5 | b 4500 5
promote answer lost | b 4500 5 | b 4500 5 | b 4500 5 | b 4500 5 | b 4500 5
rival candidate     | b 1000 5 | b 4500 6 | b 4500 6 | b 4500 6 | b 5500 6
candidate paused    | b 4500 5 | b 7500 6 | b 4500 5 | b 4500 5 | b 4500 5
replica far behind  | b 5000 5 | b 8500 5 | b 8500 5 | b 8500 5 | b 8500 5
member unreachable  | b 5500 5 | b 9000 5 | b 8500 5 | b 8500 5 | b 8500 5
double fault        | b 4500 5 | b 7500 6 | b 4500 5 | b 4500 5 | b 4500 5
)";

struct scenario
{
  group_model model{ 2 };
  instant lost_at;
  // When the fault ends.
  instant heals_at = instant::max();

  // Primary a is isolated from everything but its callers, with a write that only it holds. C lags.
  scenario()
  {
    model.candidates[1].paused = true;
    model.candidates[0].delay = std::chrono::milliseconds(300);
    for (int i = 0; i < 30; ++i) {
      model.write(0);
      model.replicate(1, 1);
    }
    model.run(1000, [&] { return model.open_writes.empty(); });
    isolate(0);
    model.write(0);
    lost_at = model.now;
  }

  void isolate(std::size_t member)
  {
    model.detached.insert(member);
    model.candidates[0].cut.insert(member);
    model.candidates[1].cut.insert(member);
  }

  void rejoin(std::size_t member)
  {
    model.detached.erase(member);
    model.candidates[0].cut.erase(member);
    model.candidates[1].cut.erase(member);
  }

  void lose(const std::string& kind)
  {
    model.loses = [kind](const auto& each) { return each.kind == kind; };
    heals_at = model.now + std::chrono::milliseconds(1200);
  }

  void pause()
  {
    model.candidates[0].paused = true;
    model.candidates[1].paused = false;
    heals_at = model.now + std::chrono::seconds(5);
  }

  bool reached(const std::string& step)
  {
    const auto& state = model.candidates[0].logic->state();
    return step == "detect" || (step == "fence" && state == "fencing") ||
           (step == "choose" && state == "promoting") ||
           (step == "promote" && model.primaries.size() > 1) ||
           (step == "follow" && state == "following");
  }

  void apply(const std::string& fault, bool promoted)
  {
    // From "promote" on, the new primary b is the one that fails, and a comes back.
    if (fault.starts_with("primary") && promoted) {
      rejoin(0);
      isolate(1);
    }
    if (fault == "primary killed") {
      model.members[promoted ? 1 : 0].up = false;
    } else if (fault == "fence answer lost") {
      lose("fence answer");
      // A late answer must not change a choice that was made.
      auto& logic = *model.candidates[0].logic;
      const auto in_term = logic.current_term();
      if (logic.state() == "promoting") {
        logic.fence_answer(
          model.now, model_ids[2], in_term, true, in_term, { in_term, log_position(99) });
      }
    } else if (fault == "promote answer lost") {
      lose("promote answer");
    } else if (fault == "rival candidate") {
      model.rival_round();
    } else if (fault == "candidate paused") {
      pause();
    } else if (fault == "replica far behind") {
      model.detached.insert(2);
      heals_at = model.now + std::chrono::seconds(4);
    } else if (fault == "member unreachable") {
      model.members[2].up = false;
      heals_at = model.now + std::chrono::seconds(4);
    } else if (fault == "double fault") {
      lose("promote answer");
      pause();
    }
  }

  void heal()
  {
    model.loses = [](const auto&) { return false; };
    for (std::size_t i = 0; i < 3; ++i) {
      rejoin(i);
      model.members[i].up = true;
    }
    model.candidates[0].paused = false;
  }
};

void
check_cell(const std::string& fault, const std::string& step, const std::string& expected)
{
  INFO(fault << " x " << step << ": " << expected);
  std::string winner;
  int longest_gap = 0;
  std::uint64_t highest_term = 0;
  std::istringstream values(expected);
  values >> winner >> longest_gap >> highest_term;
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
      run.heals_at = instant::max();
      model.loses = [](const auto&) { return false; };
      model.detached.erase(2);
      model.members[2].up = true;
      model.candidates[0].paused = false;
    }
    if (!resumed && model.acknowledged.back().point.in_term > term(4)) {
      resumed = model.now;
    }
  }
  CHECK(model.violations.empty());
  REQUIRE(resumed);
  const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(*resumed - run.lost_at);
  CHECK(gap.count() <= longest_gap);

  // Once everything is back, all members follow one primary and none is left fenced.
  run.heal();
  model.run(12000);
  CHECK(model.violations.empty());
  REQUIRE(model.primary());
  CHECK(model_ids[*model.primary()].get() == winner);
  for (const auto& member : model.members) {
    CHECK(member.promised <= highest_term);
    CHECK(member.log == model.members[*model.primary()].log);
  }
}

}

// Guards against a step of a failover that no test combines with a fault.
TEST_CASE("every fault at every step ends with one primary and no lost write")
{
  std::set<std::string> covered;
  std::istringstream lines{ std::string(cells) };
  for (std::string line; std::getline(lines, line);) {
    std::istringstream fields(line);
    std::string fault;
    std::getline(fields, fault, '|');
    fault.erase(fault.find_last_not_of(' ') + 1);
    for (const auto& step : steps) {
      std::string expected;
      if (!fault.empty() && std::getline(fields, expected, '|')) {
        check_cell(fault, step, expected);
        covered.insert(fault + " x " + step);
      }
    }
  }
  for (const auto& fault : faults) {
    for (const auto& step : steps) {
      CHECK_MESSAGE(covered.contains(fault + " x " + step),
                    fault << " x " << step << " is missing");
    }
  }
}
