#include <doctest/doctest.h>

#include "fleet.h"

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

// A table whose calls are answered one by one by the test.
struct manual_table
{
  std::vector<std::function<void(result<table_row>)>> gets;
  std::vector<std::function<void(result<table_write>)>> puts;
  std::string put_value;

  table_hooks hooks()
  {
    table_hooks made;
    made.get = [this](const auto&, auto done) { gets.push_back(std::move(done)); };
    made.put = [this](const auto&, auto value, auto, auto done) {
      put_value = value;
      puts.push_back(std::move(done));
    };
    return made;
  }
  void answer_get(const std::string& value, std::uint64_t revision)
  {
    gets.back()(table_row{ "", value, revision });
  }
  void answer_put(bool written, const std::string& value, std::uint64_t revision)
  {
    puts.back()(table_write{ written, { "", value, revision } });
  }
};

const share_owner self{ instance_id("a"), incarnation_id(1) };

// A share row updater with a valid lease; the test provides the planned row.
struct updater_fixture
{
  instant now{};
  manual_table lease_table;
  manual_table table;
  share_settings settings;
  std::function<share_row(const share_row&)> plan = [](const auto& row) { return row; };
  bool loans_fit = true;
  instance_lease lease{ self.instance, self.incarnation, settings, lease_table.hooks(), [this] {
                         return now;
                       } };
  lease_monitor monitor{ settings, table.hooks(), [this] { return now; } };
  share_row_updater updater{ workspace,
                             self,
                             settings,
                             lease,
                             monitor,
                             { table.hooks(),
                               [this] { return now; },
                               [this](const share_row& row, instant) { return plan(row); },
                               [](instant) {},
                               [this](instant) { return loans_fit; } } };

  updater_fixture()
  {
    lease.tick(now);
    lease_table.answer_get("", 0);
    lease_table.answer_put(true, "", 1);
  }
  std::int64_t usable() const { return updater.usable_ppm(now); }
  // Adds an entry of 500,000 ppm; the row then has revision 1.
  void join()
  {
    plan = [](const share_row& row) { return row.join(self, 500'000, ppm_total); };
    updater.start(now);
    table.answer_get("", 0);
    CHECK(usable() == 0);
    table.answer_put(true, "", 1);
    CHECK(usable() == 0);
    table.answer_get(table.put_value, 1);
    CHECK(usable() == 500'000);
  }
};

}

// Guards against a lease that starts when its renewal is confirmed, and against a run that keeps
// its shares after a later run of the same instance started.
TEST_CASE("a lease starts when its renewal is sent and ends when a later run starts")
{
  updater_fixture setup;
  setup.join();
  setup.now = instant(5s);
  setup.lease.tick(setup.now);
  setup.now = instant(8s);
  setup.lease_table.answer_put(true, "", 2);
  CHECK(setup.lease.extra_until() == instant(35s));
  CHECK(setup.lease.base_until() == instant(24h + 5s));
  CHECK_FALSE(setup.lease.valid(instant(35s)));
  setup.now = instant(10s);
  setup.lease.tick(setup.now);
  setup.lease_table.answer_put(false, R"({"incarnation":"2","counter":1})", 3);
  CHECK(setup.lease.superseded());
  CHECK(setup.usable() == 0);
}

// Guards against a local share that is raised again while a write that lowers it may still take
// effect: the write timed out, so its outcome is unknown until the row's revision changes.
TEST_CASE("a lowered share stays low after a lost answer until the row changes")
{
  updater_fixture setup;
  setup.join();
  const auto joined = setup.table.put_value;
  setup.plan = [](const share_row& row) { return row.shrink(self, 300'000); };
  setup.updater.start(setup.now);
  setup.table.answer_get(joined, 1);
  CHECK(setup.usable() == 200'000);
  REQUIRE(setup.table.puts.size() == 2);
  setup.now += setup.settings.call_timeout;
  setup.updater.tick(setup.now);
  CHECK(setup.updater.current_step() == share_row_updater::step::idle);
  setup.plan = [](const share_row& row) { return row; };
  setup.updater.start(setup.now);
  setup.table.answer_get(joined, 1);
  CHECK(setup.usable() == 200'000);
  REQUIRE(setup.table.puts.size() == 3);
  // The late write took effect first; the current write conflicts and returns its row.
  const auto lowered = share_row::parse(joined).value().shrink(self, 300'000).to_json();
  setup.table.answer_put(false, lowered, 2);
  CHECK(setup.usable() == 200'000);
}

// Guards against a share that another holder claims while tokens lent under it are still in use.
TEST_CASE("a lower share is written only when the lent tokens fit it")
{
  updater_fixture setup;
  setup.join();
  const auto joined = setup.table.put_value;
  setup.loans_fit = false;
  setup.plan = [](const share_row& row) { return row.leave(self); };
  setup.updater.start(setup.now);
  setup.table.answer_get(joined, 1);
  CHECK(setup.usable() == 0);
  CHECK(setup.table.puts.size() == 1);
  setup.loans_fit = true;
  setup.updater.tick(setup.now);
  CHECK(setup.table.puts.size() == 2);
}

// Guards against a bucket that is filled at the rate of an expired share after the process was
// paused.
TEST_CASE("the bucket of a paused instance fills only while its leases are valid")
{
  share_settings settings;
  settings.base_limit_ppm = 500'000;
  fleet single(1, 1, settings, { 1'000, 400'000 }, 1);
  single.run(60s);
  auto& instance = *single.instances[0];
  for (int i = 0; i < 400; ++i) {
    single.request(instance);
  }
  single.run(100ms);
  single.pause(instance, 40s);
  single.run(40s);
  // The extra lease, of half the share, expires 25 to 30 s into the pause. The bucket fills for at
  // most 30 s at the full rate and for the rest at half the rate.
  const auto earned = instance.limiter->surplus(workspace, single.local_time(instance));
  CHECK(earned > 32'000);
  CHECK(earned < 35'200);
}
