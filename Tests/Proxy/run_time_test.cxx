#include "proxy_support.h"

#include "Proxy/admission.h"

#include <doctest/doctest.h>

#include <vector>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

// Guards against operations that wait for a token until their target has almost passed and are then
// late: the time left to run them was fixed, while transactions take several statements. Load: a
// workspace above its rate with operations of 80 ms and a target of 150 ms.
TEST_CASE("an operation waits for a token only while enough of its target is left to run it")
{
  for (const std::int64_t run_time_ms : { 10, 80 }) {
    rate_limiter limiter;
    limiter.set_workspaces({ make_workspace("w", 10, 1) }, at(0));
    limiter.set_shares({ { workspace_id("w"), full_rate_share } }, at(5000), at(0));
    admission operations(limiter, [] {});
    for (int i = 0; i < 50; ++i) {
      operations.record_run_time(1, ms(run_time_ms));
    }
    std::vector<bool> admitted;
    const auto admit = [&](std::int64_t now) {
      operations.admit(workspace_id("w"),
                       [&](std::optional<duration> refused) { admitted.push_back(!refused); },
                       at(now),
                       { 1, ms(150) });
    };
    admit(1000);
    // Its token is due 100 ms later.
    admit(1000);
    for (std::int64_t now = 1020; now <= 1140; now += 20) {
      operations.tick(at(now));
    }
    REQUIRE(admitted.size() == 2);
    CHECK(admitted[0]);
    CHECK(admitted[1] == (run_time_ms == 10));
  }
}
