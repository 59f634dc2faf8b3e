#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "fleet.h"

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

instant
at(std::int64_t ms)
{
  return instant(std::chrono::milliseconds(ms));
}

const share_owner first{ instance_id("a"), incarnation_id(1) };
const share_owner second{ instance_id("b"), incarnation_id(2) };

}

// Guards against accumulated rounding errors, overflow after a long idle time and times that go
// backwards.
TEST_CASE("a token bucket fills exactly and stops at its capacity")
{
  token_bucket bucket(1, 5'000, 0, at(0));
  for (int i = 1; i <= 999; ++i) {
    CHECK(bucket.level(at(i)) == 0);
  }
  CHECK(bucket.level(at(1000)) == 1);
  CHECK(bucket.level(at(500)) == 1);
  CHECK(bucket.level(instant(std::chrono::hours(1'000'000))) == 5'000);
  token_bucket large(token_bucket::max_milli, token_bucket::max_milli, 0, at(0));
  CHECK(large.level(instant(std::chrono::hours(1'000'000))) == token_bucket::max_milli);
  CHECK_FALSE(large.take(token_bucket::max_milli + 1, at(0)));
}

// Guards against lowered limits that take effect late, and against lent tokens that are refilled
// while the borrower may still use them.
TEST_CASE("a lowered capacity takes effect at once and lent tokens count toward it")
{
  token_bucket bucket(10'000, 4'000, 4'000, at(0));
  CHECK(bucket.lend(3'000, at(0), at(100)));
  CHECK(bucket.level(at(99)) == 1'000);
  bucket.configure(10'000, 2'000, at(99));
  CHECK_FALSE(bucket.loans_fit(at(99)));
  CHECK(bucket.level(at(99)) == 0);
  CHECK(bucket.level(at(200)) == 1'000);
  CHECK(bucket.loans_fit(at(200)));
}

// Guards against a row whose shares sum to more than one million, and against changes to the
// entries of other runs.
TEST_CASE("changes of the share row respect its total and the owner of each entry")
{
  const share_settings settings;
  auto row = share_row().join(first, 700'000, 600'000).join(second, 900'000, 600'000);
  CHECK(*row.find(first.instance) == share_entry{ first.incarnation, 600'000, 100'000, 0 });
  CHECK(*row.find(second.instance) == share_entry{ second.incarnation, 0, 300'000, 0 });
  CHECK(row.unassigned() == 0);
  CHECK(row.grow(first, 1, ppm_total) == row);
  const share_owner foreign{ first.instance, incarnation_id(9) };
  CHECK(row.shrink(foreign, 10) == row);
  CHECK(row.leave(foreign) == row);
  const auto smaller = row.shrink(first, 200'000);
  CHECK(*smaller.find(first.instance) == share_entry{ first.incarnation, 500'000, 0, 0 });
  CHECK(smaller.grow(second, ppm_total, 600'000).find(second.instance)->base_ppm == 100'000);
  CHECK(row.take_over(foreign).find(first.instance)->total() == 700'000);
  CHECK(row.reclaim(first.instance, 30s, settings) == row);
  CHECK(row.reclaim(first.instance, 31s, settings).find(first.instance)->total() == 600'000);
  CHECK(row.reclaim(first.instance, 25h, settings).find(first.instance) == nullptr);
  CHECK(share_row::parse(row.to_json()).value() == row);
  for (const auto* text : { R"({"holders":{"a":["1",600000,1,0],"b":["2",400000,0,0]}})",
                            R"({"holders":{"a":["x",1,1,0]}})",
                            R"({"holders":{"a":["1",-1,1,0]}})",
                            R"({"holders":[]})",
                            R"({"holders":{},"other":1})",
                            "[" }) {
    CHECK(share_row::parse(text).error().code == result_code::malformed_answer);
  }
}

// Guards against holders whose share of the burst is less than one token and against availability
// zones without a holder.
TEST_CASE("the number of holders depends on the burst")
{
  std::vector<share_candidate> candidates;
  for (int i = 0; i < 21; ++i) {
    candidates.push_back(
      { instance_id("i" + std::to_string(i)), zone_id("z" + std::to_string(i / 7)) });
  }
  const struct
  {
    std::int64_t burst_milli;
    std::size_t holders;
    std::size_t zones;
  } cases[] = { { 84'000, 21, 3 }, { 83'999, 20, 3 }, { 16'000, 4, 3 }, { 4'000, 3, 3 },
                { 2'000, 2, 2 },   { 1'000, 1, 1 },   { 999, 0, 0 } };
  for (const auto& each : cases) {
    CAPTURE(each.burst_milli);
    const auto chosen = choose_holders(candidates, each.burst_milli, share_settings());
    std::set<zone_id> zones;
    for (const auto& candidate : candidates) {
      if (std::find(chosen.begin(), chosen.end(), candidate.instance) != chosen.end()) {
        zones.insert(candidate.zone);
      }
    }
    CHECK(chosen.size() == each.holders);
    CHECK(zones.size() == each.zones);
  }
}

// Guards against a borrowed token that is used after the lender refilled it, and against repeated
// requests to a peer without tokens.
TEST_CASE("a borrowed token that arrives late is discarded and a refusing peer is not asked again")
{
  std::vector<std::uint64_t> ids;
  std::vector<token_borrower::outcome> outcomes;
  const share_settings settings;
  token_borrower borrower(
    settings, 100, [&](const auto&, auto id, const auto&, auto) { ids.push_back(id); });
  const auto done = [&](token_borrower::outcome outcome, instant) { outcomes.push_back(outcome); };
  const std::vector<token_borrower::lender> lenders{ { instance_id("a"), 1s } };
  borrower.borrow(workspace, lenders, at(0), done);
  borrower.answer(instance_id("a"), 100, token_milli, at(60));
  CHECK(outcomes.empty());
  borrower.tick(at(61));
  borrower.borrow(workspace, lenders, at(3000), done);
  borrower.answer(instance_id("b"), 101, token_milli, at(3001));
  borrower.answer(instance_id("a"), 101, 0, at(3001));
  borrower.borrow(workspace, lenders, at(3002), done);
  borrower.borrow(workspace, lenders, at(5000), done);
  borrower.answer(instance_id("a"), 102, token_milli, at(5059));
  using outcome = token_borrower::outcome;
  CHECK(outcomes ==
        std::vector{ outcome::unanswered, outcome::refused, outcome::refused, outcome::borrowed });
  CHECK(ids.size() == 3);
}

// Guards against a small burst that no instance can use, and against shares that stay with idle
// holders.
TEST_CASE("instances divide the rate, rebalance shares by demand and return them on drain")
{
  fleet small(21, 3, share_settings(), { 2'000, 5'000 }, 1);
  small.run(30s);
  CHECK(small.usable_ppm() > 900'000);
  int served = 0;
  for (auto& each : small.instances) {
    small.request(*each, [&](admission_decision outcome) {
      served += outcome == admission_decision::admitted;
    });
  }
  small.run(1s);
  CHECK(served >= 3);

  fleet even(6, 3, share_settings(), { 100'000, 60'000 }, 2);
  even.run(60s);
  CHECK(even.usable_ppm() > 950'000);
  even.generate_load(60, { 1, 0, 0, 0, 0, 0 }, even.loop.now() + 90s);
  even.run(90s);
  CHECK(even.instances[0]->limiter->share_ppm(workspace, even.local_time(*even.instances[0])) >
        400'000);
  CHECK(even.violation == "");
  auto& leaving = *even.instances[0]->limiter;
  leaving.drain(even.local_time(*even.instances[0]));
  even.run(5s);
  CHECK(leaving.drained());
  const auto row = share_row::parse(even.table.read(share_row::key(workspace)).value).value();
  CHECK(row.find(instance_id("i0")) == nullptr);
  // Each instance writes the row of a workspace at most once every 5 s.
  CHECK(leaving.totals().row_writes <= 155 / 5 + 1);
}
