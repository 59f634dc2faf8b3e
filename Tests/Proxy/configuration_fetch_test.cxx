#include <doctest/doctest.h>

#include "Proxy/configuration_fetch.h"
#include "proxy_support.h"

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

// Guards against withdrawn keys that go on working: a configuration whose fetch was in flight when
// a view announced the next version counted as the newest one for the time of that view.
TEST_CASE("a fetched configuration is dated by the view before its fetch")
{
  configuration_fetch fetch;
  fetch.announce(config_version(5), at(1000));
  REQUIRE(fetch.is_due(config_version(4)));
  fetch.begin();
  fetch.announce(config_version(6), at(1400));
  CHECK(fetch.finish(config_version(5)) == at(1000));
  CHECK(fetch.is_due(config_version(5)));
}

// Guards against the same after a change of coordinator: the new one may not have read the
// announced version yet.
TEST_CASE("a configuration older than the announced one is not dated")
{
  configuration_fetch fetch;
  fetch.announce(config_version(6), at(1000));
  fetch.begin();
  CHECK_FALSE(fetch.is_due(config_version(4)));
  CHECK_FALSE(fetch.finish(config_version(5)));
  CHECK(fetch.is_due(config_version(4)));
  fetch.begin();
  fetch.fail();
  CHECK(fetch.is_due(config_version(4)));
}
