#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "Group/group_view.h"

using namespace persimmonshelf;

namespace {

const member_id a("a");
const member_id b("b");
const member_id c("c");

instant
at(int milliseconds)
{
  return instant(std::chrono::milliseconds(milliseconds));
}

log_point
point(std::uint64_t in_term, std::uint64_t position)
{
  return { term(in_term), log_position(position) };
}

// A report whose history is given as {term, first position} pairs; received 1 ms after sent.
member_report
report(const member_id& member,
       std::uint64_t promised,
       log_point last,
       std::vector<std::pair<std::uint64_t, std::uint64_t>> history,
       int sent,
       bool primary = false)
{
  member_report made{ member, term(promised), last, primary, false, {}, at(sent), at(sent + 1) };
  for (const auto& [in_term, first] : history) {
    made.history.push_back({ term(in_term), log_position(first) });
  }
  return made;
}

group_view
view_of(const std::vector<member_report>& reports)
{
  auto view = group_view::create({ a, b, c }).value();
  for (const auto& each : reports) {
    REQUIRE(view.apply(each));
  }
  return view;
}

// A is the primary of term 4 at position 12; B has 10 entries, C 5.
std::vector<member_report>
usual(int sent = 100)
{
  return { report(a, 4, point(4, 12), { { 3, 1 }, { 4, 6 } }, sent, true),
           report(b, 4, point(4, 10), { { 3, 1 }, { 4, 6 } }, sent),
           report(c, 4, point(3, 5), { { 3, 1 } }, sent) };
}

}

// Guards against a report that is taken for another database or contradicts itself.
TEST_CASE("malformed input is refused with the member and values")
{
  CHECK(group_view::create({}).error().code == result_code::config_invalid);
  CHECK(group_view::create({ a, a }).error().message == "member a is listed twice");
  auto view = view_of({});
  const member_id stranger("x");
  CHECK(view.apply(report(stranger, 1, point(1, 1), { { 1, 1 } }, 0)).error().code ==
        result_code::malformed_answer);
  for (const auto& wrong : { report(a, 5, point(5, 5), { { 4, 1 }, { 5, 6 } }, 0, true),
                             report(a, 5, point(5, 5), { { 5, 1 }, { 4, 3 } }, 0, true),
                             report(a, 5, point(5, 5), {}, 0, true) }) {
    CHECK(view.apply(wrong).error().code == result_code::malformed_answer);
  }
  CHECK_FALSE(view.primary());
}

// Guards against old statements that undo newer ones when responses overtake each other.
TEST_CASE("reordered reports leave the newest state")
{
  const auto truncated = report(b, 5, point(4, 10), { { 4, 1 } }, 30);
  const auto fenced = report(b, 5, point(4, 12), { { 4, 1 } }, 20);
  const auto before = report(b, 4, point(4, 12), { { 4, 1 } }, 10);
  const auto grown = report(b, 5, point(5, 13), { { 4, 1 }, { 5, 11 } }, 40);
  const auto restarted = report(b, 5, point(5, 12), { { 4, 1 }, { 5, 11 } }, 50);
  struct
  {
    std::vector<member_report> reports;
    log_point last;
  } const cases[] = {
    { { before, fenced, truncated }, point(4, 10) },        { { truncated, before }, point(4, 10) },
    { { fenced, before, truncated }, point(4, 10) },        { { truncated, fenced }, point(4, 10) },
    { { grown, truncated, fenced, before }, point(5, 13) }, { { grown, restarted }, point(5, 13) },
  };
  for (const auto& each : cases) {
    const auto view = view_of(each.reports);
    CHECK(view.find(b)->log.last() == each.last);
    CHECK(view.find(b)->promised == term(5));
  }
  // Overlapping requests do not tell whether the log was cut or caught up: only what both share.
  auto overlapping = truncated;
  overlapping.sent = at(15);
  CHECK(view_of({ fenced, overlapping }).find(b)->log.last() == point(4, 10));
  CHECK(view_of({ overlapping, fenced }).find(b)->log.last() == point(4, 10));
  auto other = report(b, 5, point(3, 20), { { 3, 1 } }, 20);
  CHECK(view_of({ overlapping, other }).find(b)->log.last() == log_point{});
}

// Guards against a replaced primary that still counts, and against one confirmed by too few.
TEST_CASE("the primary has the highest term that no majority is above")
{
  auto view = view_of(usual());
  CHECK(view.primary() == primary_claim{ a, term(4) });
  CHECK(view.confirmed_at() == at(100));
  REQUIRE(view.apply(report(c, 5, point(3, 5), { { 3, 1 } }, 300)));
  CHECK(view.primary() == primary_claim{ a, term(4) });
  REQUIRE(view.apply(report(a, 4, point(4, 13), { { 3, 1 }, { 4, 6 } }, 200, true)));
  CHECK(view.confirmed_at() == at(100));
  REQUIRE(view.apply(report(b, 4, point(4, 11), { { 3, 1 }, { 4, 6 } }, 180)));
  CHECK(view.confirmed_at() == at(180));
  REQUIRE(view.apply(report(b, 5, point(4, 11), { { 3, 1 }, { 4, 6 } }, 190)));
  CHECK_FALSE(view.primary());
  CHECK_FALSE(view.confirmed_at());
  REQUIRE(view.apply(report(b, 5, point(4, 11), { { 3, 1 }, { 4, 6 }, { 5, 12 } }, 195, true)));
  CHECK(view.primary() == primary_claim{ b, term(5) });
  REQUIRE(view.apply(report(a, 4, point(4, 14), { { 3, 1 }, { 4, 6 } }, 400, true)));
  CHECK(view.primary() == primary_claim{ b, term(5) });
  CHECK(view.confirmed_at() == at(195));
}

// Guards against acknowledging a write that a later primary may lack.
TEST_CASE("a majority holds a write only in the write's own term")
{
  auto view = view_of(usual());
  CHECK(view.majority_holds(point(4, 10)));
  CHECK(view.majority_holds(point(3, 5)));
  CHECK_FALSE(view.majority_holds(point(4, 11)));
  CHECK_FALSE(view.majority_holds(point(3, 10)));
  CHECK_FALSE(view.majority_holds(point(4, 5)));
  CHECK_FALSE(view.majority_holds(point(5, 10)));
  // What was held before a fence stays held after it.
  REQUIRE(view.apply(report(b, 5, point(4, 10), { { 3, 1 }, { 4, 6 } }, 200)));
  REQUIRE(view.apply(report(c, 5, point(3, 5), { { 3, 1 } }, 200)));
  CHECK(view.majority_holds(point(4, 10)));
  CHECK_FALSE(view.majority_holds(point(4, 11)));

  // Position 11 of term 4 on A, and of term 5 on B.
  CHECK_FALSE(view_of({ report(a, 4, point(4, 11), { { 4, 1 } }, 1, true),
                        report(b, 5, point(5, 11), { { 4, 1 }, { 5, 11 } }, 1, true),
                        report(c, 4, point(4, 10), { { 4, 1 } }, 1) })
                .majority_holds(point(4, 11)));
  // An entry that spread only after a rival term: C, primary of term 3 meanwhile, has another entry
  // there and may win term 5 with B.
  const std::vector<member_report> spread = {
    report(a, 4, point(2, 2), { { 1, 1 }, { 2, 2 }, { 4, 3 } }, 1, true),
    report(b, 4, point(2, 2), { { 1, 1 }, { 2, 2 } }, 1),
    report(c, 3, point(3, 2), { { 1, 1 }, { 3, 2 } }, 1)
  };
  view = view_of(spread);
  CHECK_FALSE(view.majority_holds(point(2, 2)));
  // An entry of term 4 on a majority makes everything below it safe.
  REQUIRE(view.apply(report(a, 4, point(4, 3), { { 1, 1 }, { 2, 2 }, { 4, 3 } }, 5, true)));
  REQUIRE(view.apply(report(b, 4, point(4, 3), { { 1, 1 }, { 2, 2 }, { 4, 3 } }, 5)));
  CHECK(view.majority_holds(point(2, 2)));
}

// Guards against reads that wait for a discarded write, and against dropping what came before it.
TEST_CASE("points are located relative to the newest confirmed primary")
{
  auto view = view_of({});
  CHECK(view.locate(point(4, 1)) == point_place::ahead);
  view = view_of({ report(b, 5, point(5, 12), { { 3, 1 }, { 4, 6 }, { 5, 11 } }, 1, true),
                   report(c, 5, point(4, 10), { { 3, 1 }, { 4, 6 } }, 1) });
  struct
  {
    log_point asked;
    point_place place;
    log_point required;
  } const cases[] = {
    { point(4, 10), point_place::contained, point(4, 10) },
    { point(5, 12), point_place::contained, point(5, 12) },
    { point(5, 13), point_place::ahead, point(5, 13) },
    { point(6, 3), point_place::ahead, point(6, 3) },
    { point(4, 12), point_place::discarded, point(4, 10) },
    { point(3, 9), point_place::discarded, point(3, 5) },
    { point(2, 4), point_place::discarded, log_point{} },
  };
  for (const auto& each : cases) {
    CHECK(view.locate(each.asked) == each.place);
    CHECK(view.required_point(each.asked) == each.required);
  }
  CHECK(view.member_contains(c, point(4, 10)));
  CHECK_FALSE(view.member_contains(c, point(4, 11)));
  CHECK_FALSE(view.member_contains(c, point(3, 10)));
  // C lacks what the session saw before the discarded write if it is further behind.
  const std::map<member_id, std::int64_t> cost = { { b, 9 }, { c, 1 } };
  CHECK(view.choose_reader({ point(4, 12), false, duration::max(), cost }, at(5)) == c);
  CHECK(view.choose_reader({ point(5, 11), false, duration::max(), cost }, at(5)) == b);
}

// Guards against ages that are too young: unconfirmed primaries, old terms, reports in the past.
TEST_CASE("an age counts from the last confirmed request that the member has caught up with")
{
  using std::chrono::milliseconds;
  auto view = view_of(usual());
  CHECK(view.age(a, at(150)) == milliseconds(50));
  CHECK_FALSE(view.age(b, at(150)));
  REQUIRE(view.apply(report(b, 4, point(4, 12), { { 3, 1 }, { 4, 6 } }, 200)));
  CHECK(view.age(b, at(250)) == milliseconds(150));
  REQUIRE(view.apply(report(a, 4, point(4, 15), { { 3, 1 }, { 4, 6 } }, 300, true)));
  CHECK(view.age(a, at(350)) == milliseconds(150)); // confirmed up to B's report at 200 only
  CHECK(view.age(b, at(350)) == milliseconds(250));
  // A and C cannot confirm; the primary's own report alone does not make it young.
  REQUIRE(view.apply(report(a, 4, point(4, 15), { { 3, 1 }, { 4, 6 } }, 900, true)));
  CHECK(view.age(a, at(1000)) == milliseconds(800));
  // After a change of primary the old statements hold up to their confirmation.
  REQUIRE(view.apply(report(b, 5, point(5, 13), { { 3, 1 }, { 4, 6 }, { 5, 13 } }, 1000, true)));
  REQUIRE(view.apply(report(c, 5, point(4, 12), { { 3, 1 }, { 4, 6 } }, 1100)));
  CHECK(view.age(c, at(1200)) == milliseconds(1100));
  CHECK(view.age(b, at(1200)) == milliseconds(200));
  // A's claim at 300 was not confirmed when B replaced it.
  view = view_of(usual());
  REQUIRE(view.apply(report(a, 4, point(4, 12), { { 3, 1 }, { 4, 6 } }, 300, true)));
  REQUIRE(view.apply(report(b, 5, point(5, 13), { { 3, 1 }, { 4, 6 }, { 5, 13 } }, 400, true)));
  REQUIRE(view.apply(report(c, 5, point(4, 12), { { 3, 1 }, { 4, 6 } }, 150)));
  CHECK(view.age(c, at(500)) == milliseconds(400));
}

// Guards against reads at members that are stale, leaving, or more costly than needed.
TEST_CASE("the cheapest replica that satisfies the criteria is chosen")
{
  auto reports = usual();
  reports[1] = report(b, 4, point(4, 12), { { 3, 1 }, { 4, 6 } }, 100);
  auto leaving = reports[1];
  leaving.leaving = true;
  const std::map<member_id, std::int64_t> cost = { { a, 0 }, { b, 5 }, { c, 5 } };
  const auto any = duration::max();
  const auto young = std::chrono::milliseconds(60);
  const auto check = [&](const std::vector<member_report>& seen,
                         const read_criteria& criteria,
                         const std::optional<member_id>& chosen) {
    CHECK(view_of(seen).choose_reader(criteria, at(150)) == chosen);
  };
  const auto none = std::nullopt;
  check(reports, { none, false, any, cost }, b);
  check(reports, { none, false, any, { { a, 0 }, { b, 5 }, { c, 4 } } }, c);
  check(reports, { none, false, any, { { a, 0 }, { c, 4 } } }, c);
  check(reports, { point(4, 12), false, any, cost }, b);
  check(reports, { point(4, 13), false, any, cost }, none);
  check(reports, { none, true, any, cost }, a);
  check(reports, { none, false, young, cost }, b);
  check(reports, { none, false, std::chrono::milliseconds(40), cost }, none);
  check({ reports[0], leaving, reports[2] }, { point(4, 12), false, any, cost }, a);
  check({ reports[0], leaving, reports[2] }, { none, false, any, cost }, c);
  check({ reports[0], leaving }, { none, false, young, cost }, a);
  check({}, { none, false, any, cost }, none);
}
