#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "../Support/fake_table.h"

#include "Account/month_closer.h"
#include "Account/usage_ledger.h"

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

const workspace_id test_workspace{ "w1" };
const std::string answered(usage_counter::answered);

calendar_month
month(const char* text)
{
  return calendar_month::parse(text).value();
}

table_row
row_of(const char* in_month, std::uint64_t incarnation, std::uint64_t value, bool closed)
{
  usage_row row;
  row.add(test_workspace, answered, value);
  if (closed) {
    row.close();
  }
  return { usage_row::key(month(in_month), incarnation_id(incarnation)), row.to_json(), 1 };
}

}

// Guards against wrong month boundaries and leap years, and against accepting malformed months.
TEST_CASE("months are computed in UTC")
{
  const struct
  {
    std::int64_t utc;
    const char* text;
    std::int64_t begin;
  } cases[] = { { 0, "1970-01", 0 },
                { 951'782'400, "2000-02", 949'363'200 },
                { 1'709'251'199, "2024-02", 1'706'745'600 },
                { 1'709'251'200, "2024-03", 1'709'251'200 },
                { 1'798'761'599, "2026-12", 1'796'083'200 },
                { -5, "1970-01", 0 } };
  for (const auto& each : cases) {
    const auto found = calendar_month::at(each.utc);
    CHECK(found.text() == each.text);
    CHECK(found.begin() == each.begin);
    CHECK(calendar_month::parse(each.text).value() == found);
  }
  CHECK(month("2026-12").plus(1).text() == "2027-01");
  CHECK(month("2026-12").end() == month("2027-01").begin());
  for (const auto* text : { "2026-13", "2026-00", "26-01", "2026-1", "1969-12", "2026-+1", "" }) {
    CHECK(calendar_month::parse(text).error().code == result_code::bad_request);
  }
}

// Guards against merges that lower a counter, count usage twice or keep the bounds of a closed row.
TEST_CASE("usage rows merge by maximum in any order")
{
  usage_row left;
  left.add(test_workspace, answered, 5);
  left.add_bound({ test_workspace, 10, "killed" });
  usage_row right;
  right.add(test_workspace, answered, 7);
  right.add_bound({ test_workspace, 4, "killed" });
  auto both = left;
  both.merge(right);
  both.merge(left);
  CHECK(both.value(test_workspace, answered) == 7);
  CHECK(both.bounds() == std::vector<usage_bound>{ { test_workspace, 10, "killed" } });
  CHECK(usage_row::parse(both.to_json()).value() == both);
  usage_row closed;
  closed.close();
  both.merge(closed);
  CHECK(both.bounds().empty());
  both.merge(left);
  CHECK(both.bounds().empty());
  for (const auto* text :
       { "[]", R"({"closed":true})", R"({"workspaces":{"w":{"a":-1}},"bounds":[]})" }) {
    CHECK(usage_row::parse(text).error().code == result_code::malformed_answer);
  }
}

// Guards against a bound that is rounded down or overflows.
TEST_CASE("the bound of an unclosed incarnation includes rate, burst and borrowed tokens")
{
  CHECK(usage_ledger::max_admitted({ test_workspace, 1'000, 0, 0 }, 1us) == 1);
  CHECK(usage_ledger::max_admitted({ test_workspace, 1'500, 2'000, 1'000 }, 2s) == 6);
  CHECK(usage_ledger::max_admitted({ test_workspace, 1'000'000'000'000, 0, 0 }, 24h) ==
        86'400'000'000'000);
}

// Guards against replacing the row of a failed peer by an older mirrored copy.
TEST_CASE("a late write for a peer keeps the peer's newer values")
{
  event_loop loop;
  fake_table table(loop);
  auto run = std::make_shared<process>();
  const auto normal = [](call_kind, const auto&, const auto&) { return call_outcome{}; };
  const auto now = [&] { return loop.now(); };
  const std::int64_t utc = month("2026-12").begin();
  usage_ledger ledger(incarnation_id(1), {}, table.hooks(run, normal), now, utc);
  ledger.on_mirror(incarnation_id(2), { { "2026-12", test_workspace, answered, 5 } }, false);
  const auto stored = row_of("2026-12", 2, 8, false);
  table.write(stored.key, stored.value, 0);
  ledger.on_peer_failed(incarnation_id(2), { { test_workspace, 1'000, 0, 0 } }, 3s, "lease ended");
  for (int i = 0; i < 100; ++i) {
    ledger.tick(loop.now(), utc);
    loop.run_until(loop.now() + 100ms);
  }
  const auto row = usage_row::parse(table.read(stored.key).value).value();
  CHECK(row.value(test_workspace, answered) == 8);
  CHECK(row.bounds() == std::vector<usage_bound>{ { test_workspace, 3, "lease ended" } });
}

// Guards against usage recorded after a month was closed that is lost or listed in more than one
// account.
TEST_CASE("usage recorded after closing is listed in exactly one later account")
{
  const auto october = month("2026-10");
  const auto closed =
    monthly_account::build(october, { row_of("2026-10", 1, 10, true) }, {}).value();
  const std::vector<table_row> late{ row_of("2026-10", 1, 10, true),
                                     row_of("2026-10", 2, 4, false) };
  const auto next =
    monthly_account::build(month("2026-11"), {}, { { october, late, { closed } } }).value();
  REQUIRE(next.adjustments().size() == 1);
  CHECK(next.adjustments()[0].counters ==
        usage_counters{ { test_workspace, { { answered, 4 } } } });
  CHECK(monthly_account::parse(next.to_json()).value() == next);
  const auto third =
    monthly_account::build(month("2026-12"), {}, { { october, late, { closed, next } } }).value();
  CHECK(third.adjustments().empty());
  const auto open = monthly_account::build(october, late, {}).value();
  CHECK(open.unfinished() == std::vector<std::string>{ "2" });
}

// Guards against two different accounts of one month if several instances close it at once. The
// response to the first write is lost, the instances read the rows at different times, and a row is
// added after the closing.
TEST_CASE("instances that close a month concurrently store one account")
{
  event_loop loop;
  fake_table table(loop);
  const std::int64_t begin = month("2026-12").begin();
  for (int i = 0; i < 3; ++i) {
    const auto row = row_of("2026-11", static_cast<std::uint64_t>(i + 1), 10, true);
    table.write(row.key, row.value, 0);
  }
  int puts = 0;
  std::vector<std::unique_ptr<month_closer>> closers;
  auto run = std::make_shared<process>();
  for (int i = 0; i < 5; ++i) {
    const auto outcome = [&puts, i](call_kind kind, const auto&, const auto&) {
      call_outcome made;
      made.request_delay = made.response_delay = std::chrono::milliseconds(i + 1);
      made.responded = kind != call_kind::put || ++puts > 1;
      return made;
    };
    closers.push_back(std::make_unique<month_closer>(
      usage_settings{}, table.hooks(run, outcome), [&] { return loop.now(); }, 0));
  }
  const auto tick_until = [&](std::int64_t from, std::int64_t to) {
    for (auto utc = from; utc < to; ++utc) {
      for (auto& closer : closers) {
        closer->tick(loop.now(), utc);
      }
      loop.run_until(loop.now() + 1s);
    }
  };
  tick_until(begin + 3'500, begin + 3'600);
  CHECK(table.list("account/").empty());
  tick_until(begin + 3'600, begin + 3'630);
  const auto stored = table.read("account/2026-11");
  const auto late = row_of("2026-11", 9, 5, true);
  table.write(late.key, late.value, 0);
  tick_until(begin + 3'630, begin + 3'700);
  CHECK(table.read("account/2026-11").revision == stored.revision);
  CHECK(table.list("account/").size() == 1);
  CHECK(puts > 1);
  for (const auto& closer : closers) {
    REQUIRE(closer->closed_account(month("2026-11")) != nullptr);
    CHECK(closer->closed_account(month("2026-11"))->to_json() == stored.value);
    CHECK(closer->closed_account(month("2026-11"))->counters().at(test_workspace).at(answered) ==
          30);
  }
}
