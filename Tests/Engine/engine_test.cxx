#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "sim_session.h"

#include <doctest/doctest.h>

#include <iostream>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace persimmonshelf::testing {

std::string
describe(const std::map<std::string, std::size_t>& counts)
{
  std::string text;
  for (const auto& [name, count] : counts) {
    text += (text.empty() ? "" : ", ") + name + " " + std::to_string(count);
  }
  return text.empty() ? "none" : text;
}

}

// Guards against reads that do not return the session's own writes while replicas lag. Prints how
// many reads replicas served, and how many a replica could have served.
TEST_CASE("sessions read their own writes through every instance while replicas lag")
{
  struct trace
  {
    const char* name;
    duration first;
    duration second;
  };
  const std::vector<trace> traces = { { "2 ms and 2 ms", 2ms, 2ms },
                                      { "5 ms and 60 ms", 5ms, 60ms },
                                      { "20 ms and 2 s", 20ms, 2s },
                                      { "150 ms and 300 ms", 150ms, 300ms } };
  for (const auto& lag : traces) {
    CAPTURE(lag.name);
    sim_fleet fleet({ .seed = 11 });
    fleet.group.at("main-2").lag = lag.first;
    fleet.group.at("main-3").lag = lag.second;
    fleet.run(6s);
    sim_session_group callers(fleet, 6, { .name = "s", .reads = 3, .pause = 30ms });
    fleet.run(20s);
    callers.stop();
    fleet.run(7s);
    fleet.verify();
    const auto reads = callers.sum(&sim_session::reads);
    CHECK(callers.sum(&sim_session::writes) > 100);
    CHECK(reads > 300);
    std::cout << "lag " << lag.name << ": reads " << reads << ", by replicas "
              << callers.sum(&sim_session::replica_reads) << ", possible "
              << callers.sum(&sim_session::possible_reads) << ", failures "
              << describe(callers.failures()) << "\n";
  }
}
