#include "Checks/Sessions/statement_workload.h"

#include <docopt/docopt.h>

#include <cstdint>
#include <cstdlib>
#include <exception>
#include <iostream>

namespace {

using namespace persimmonshelf;

constexpr const char* usage =
  R"(Runs sessions that share connections to a member in one process, with random texts and faults, and
compares each statement that the member ran with what its caller sent and had set up.

Usage:
  session_fuzz [--first-seed=N] [--seeds=N] [--steps=N]
  session_fuzz (-h | --help)

Options:
  --first-seed=N  Seed of the first run [default: 1].
  --seeds=N       Number of runs, each with the next seed [default: 1000].
  --steps=N       Steps of one run [default: 1000].
  -h --help       Print this help.
)";

int
run(int argc, char** argv)
{
  const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
  const auto first = static_cast<std::uint32_t>(arguments.at("--first-seed").asLong());
  const auto seeds = static_cast<std::uint32_t>(arguments.at("--seeds").asLong());
  const auto steps = static_cast<int>(arguments.at("--steps").asLong());
  std::size_t executed = 0;
  std::size_t failed = 0;
  for (std::uint32_t seed = first; seed < first + seeds; ++seed) {
    statement_workload workload(seed);
    workload.run_random(steps);
    executed += workload.executed;
    if (!workload.violations.empty()) {
      ++failed;
      std::cout << "violation: seed " << seed << ": " << workload.violations;
    }
  }
  std::cout << "runs " << seeds << ", statements " << executed << ", runs with violations "
            << failed << "\n";
  return failed == 0 && executed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}

int
main(int argc, char** argv)
{
  try {
    return run(argc, argv);
  } catch (const std::exception& failure) {
    std::cerr << "session_fuzz: " << failure.what() << "\n";
    return 2;
  }
}
