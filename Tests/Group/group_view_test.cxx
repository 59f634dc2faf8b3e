#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "Group/group_view.h"

#include <sstream>

using namespace persimmonshelf;
using std::chrono::milliseconds;

namespace {

const member_id a("a");
const member_id b("b");
const member_id c("c");

instant
at(int time_ms)
{
  return instant(milliseconds(time_ms));
}

log_point
point(std::uint64_t in_term, std::uint64_t position)
{
  return { term(in_term), log_position(position) };
}

// Parses "member promised last-entry sent-ms term:first-position...". "!" after the member marks
// the primary, "~" a leaving member. The report is received 1 ms after its request was sent.
member_report
report(const std::string& text)
{
  std::istringstream in(text);
  std::string name;
  std::uint64_t promised = 0;
  std::uint64_t in_term = 0;
  std::uint64_t position = 0;
  char separator = 0;
  int sent = 0;
  in >> name >> promised >> in_term >> separator >> position >> sent;
  member_report made{ member_id(name.substr(0, 1)),
                      term(promised),
                      point(in_term, position),
                      name.ends_with('!'),
                      name.ends_with('~'),
                      {},
                      at(sent),
                      at(sent + 1) };
  while (in >> in_term >> separator >> position) {
    made.history.push_back({ term(in_term), log_position(position) });
  }
  return made;
}

void
add(group_view& view, const std::string& text)
{
  REQUIRE(view.apply(report(text)));
}

group_view
view_of(const std::vector<std::string>& reports)
{
  auto view = group_view::create({ a, b, c }).value();
  for (const auto& each : reports) {
    add(view, each);
  }
  return view;
}

const std::vector<std::string> usual = { "a! 4 4/12 100 3:1 4:6",
                                         "b 4 4/10 100 3:1 4:6",
                                         "c 4 3/5 100 3:1" };

}

// Guards against accepting a report that belongs to another database or contradicts itself.
TEST_CASE("malformed reports are rejected")
{
  CHECK(group_view::create({}).error().code == result_code::config_invalid);
  CHECK(group_view::create({ a, a }).error().message == "member a is listed twice");
  auto view = view_of({});
  for (const auto* wrong :
       { "x 1 1/1 0 1:1", "a! 5 5/5 0 4:1 5:6", "a! 5 5/5 0 5:1 4:3", "a! 5 5/5 0" }) {
    CHECK(view.apply(report(wrong)).error().code == result_code::malformed_answer);
  }
  CHECK_FALSE(view.primary());
}

// Guards against old reports overwriting newer ones when responses arrive out of order.
TEST_CASE("reordered reports keep the newest state")
{
  const std::string before = "b 4 4/12 10 4:1";
  const std::string fenced = "b 5 4/12 20 4:1";
  const std::string truncated = "b 5 4/10 30 4:1";
  const std::string grown = "b 5 5/13 40 4:1 5:11";
  const std::string shorter = "b 5 5/12 50 4:1 5:11";
  const auto last = [](const std::vector<std::string>& reports) {
    const auto view = view_of(reports);
    CHECK(view.find(b)->promised == term(5));
    return view.find(b)->log.last();
  };
  CHECK(last({ before, fenced, truncated }) == point(4, 10));
  CHECK(last({ truncated, before }) == point(4, 10));
  CHECK(last({ fenced, before, truncated }) == point(4, 10));
  CHECK(last({ truncated, fenced }) == point(4, 10));
  CHECK(last({ grown, truncated, fenced, before }) == point(5, 13));
  CHECK(last({ grown, shorter }) == point(5, 13));
  // Overlapping requests do not show whether the log was truncated or has grown, so only the common
  // prefix is kept.
  auto view = view_of({ fenced });
  auto overlapping = report(truncated);
  overlapping.sent = at(15);
  REQUIRE(view.apply(overlapping));
  CHECK(view.find(b)->log.last() == point(4, 10));
  overlapping = report("b 5 3/20 15 3:1");
  overlapping.received = at(40);
  REQUIRE(view.apply(overlapping));
  CHECK(view.find(b)->log.last() == log_point{});
}

// Guards against treating a replaced primary as current, and against confirmation by too few
// members.
TEST_CASE("the primary has the highest term that no majority has exceeded")
{
  auto view = view_of(usual);
  CHECK(view.primary() == primary_claim{ a, term(4) });
  CHECK(view.confirmed_at() == at(100));
  add(view, "c 5 3/5 300 3:1");
  CHECK(view.primary() == primary_claim{ a, term(4) });
  add(view, "a! 4 4/13 200 3:1 4:6");
  CHECK(view.confirmed_at() == at(100));
  add(view, "b 4 4/11 180 3:1 4:6");
  CHECK(view.confirmed_at() == at(180));
  add(view, "b 5 4/11 190 3:1 4:6");
  CHECK_FALSE(view.primary());
  CHECK_FALSE(view.confirmed_at());
  add(view, "b! 5 4/11 195 3:1 4:6 5:12");
  CHECK(view.primary() == primary_claim{ b, term(5) });
  add(view, "a! 4 4/14 400 3:1 4:6");
  CHECK(view.primary() == primary_claim{ b, term(5) });
  CHECK(view.confirmed_at() == at(195));
}

// Guards against acknowledging a write that a later primary may not contain.
TEST_CASE("a majority holds a write only in the write's own term")
{
  auto view = view_of(usual);
  CHECK(view.majority_holds(point(4, 10)));
  CHECK(view.majority_holds(point(3, 5)));
  for (const auto& not_held : { point(4, 11), point(3, 10), point(4, 5), point(5, 10) }) {
    CHECK_FALSE(view.majority_holds(not_held));
  }
  // Entries held before a fence still count after it.
  add(view, "b 5 4/10 200 3:1 4:6");
  add(view, "c 5 3/5 200 3:1");
  CHECK(view.majority_holds(point(4, 10)));
  CHECK_FALSE(view.majority_holds(point(4, 11)));
  // Position 11 has an entry of term 4 on A and of term 5 on B.
  view = view_of({ "a! 4 4/11 1 4:1", "b! 5 5/11 1 4:1 5:11", "c 4 4/10 1 4:1" });
  CHECK_FALSE(view.majority_holds(point(4, 11)));
  // An entry replicated only after a rival term. C, the primary of term 3 in between, has another
  // entry at that position and may win term 5 with B.
  view = view_of({ "a! 4 2/2 1 1:1 2:2 4:3", "b 4 2/2 1 1:1 2:2", "c 3 3/2 1 1:1 3:2" });
  CHECK_FALSE(view.majority_holds(point(2, 2)));
  // An entry of term 4 on a majority makes all entries before it safe.
  add(view, "a! 4 4/3 5 1:1 2:2 4:3");
  add(view, "b 4 4/3 5 1:1 2:2 4:3");
  CHECK(view.majority_holds(point(2, 2)));
}

// Guards against reads that wait for a discarded write, and against ignoring the entries before it.
TEST_CASE("points are located relative to the newest confirmed primary")
{
  CHECK(view_of({}).locate(point(4, 1)) == point_location::ahead);
  const auto view = view_of({ "b! 5 5/12 1 3:1 4:6 5:11", "c 5 4/10 1 3:1 4:6" });
  const auto check = [&](const log_point& asked, point_location place, const log_point& required) {
    CHECK(view.locate(asked) == place);
    CHECK(view.required_point(asked) == required);
  };
  check(point(4, 10), point_location::contained, point(4, 10));
  check(point(5, 12), point_location::contained, point(5, 12));
  check(point(5, 13), point_location::ahead, point(5, 13));
  check(point(6, 3), point_location::ahead, point(6, 3));
  check(point(4, 12), point_location::discarded, point(4, 10));
  check(point(3, 9), point_location::discarded, point(3, 5));
  check(point(2, 4), point_location::discarded, log_point{});
  CHECK(view.member_contains(c, point(4, 10)));
  CHECK_FALSE(view.member_contains(c, point(4, 11)));
  CHECK_FALSE(view.member_contains(c, point(3, 10)));
  // C serves a session whose discarded write came after the entries that C contains.
  const std::map<member_id, std::int64_t> cost = { { b, 9 }, { c, 1 } };
  CHECK(view.choose_read_member({ point(4, 12), false, duration::max(), cost }, at(5)) == c);
  CHECK(view.choose_read_member({ point(5, 11), false, duration::max(), cost }, at(5)) == b);
}

// Guards against understated ages from unconfirmed primaries, old terms or past reports.
TEST_CASE("an age counts from the last confirmation that the member has replicated")
{
  auto view = view_of(usual);
  CHECK(view.age(a, at(150)) == milliseconds(50));
  CHECK_FALSE(view.age(b, at(150)));
  add(view, "b 4 4/12 200 3:1 4:6");
  CHECK(view.age(b, at(250)) == milliseconds(150));
  add(view, "a! 4 4/15 300 3:1 4:6");
  CHECK(view.age(a, at(350)) == milliseconds(150)); // confirmed only up to B's report at 200
  CHECK(view.age(b, at(350)) == milliseconds(250));
  // The primary's own report alone does not reduce its age.
  add(view, "a! 4 4/15 900 3:1 4:6");
  CHECK(view.age(a, at(1000)) == milliseconds(800));
  // After a change of primary, checkpoints of the old primary stay valid up to their confirmation.
  add(view, "b! 5 5/13 1000 3:1 4:6 5:13");
  add(view, "c 5 4/12 1100 3:1 4:6");
  CHECK(view.age(c, at(1200)) == milliseconds(1100));
  CHECK(view.age(b, at(1200)) == milliseconds(200));
  // A's claim at 300 had not been confirmed when B replaced A.
  view = view_of(usual);
  add(view, "a! 4 4/12 300 3:1 4:6");
  add(view, "b! 5 5/13 400 3:1 4:6 5:13");
  add(view, "c 5 4/12 150 3:1 4:6");
  CHECK(view.age(c, at(500)) == milliseconds(400));
}

// Guards against reads on members that are stale, leaving or more costly than necessary.
TEST_CASE("the replica of the lowest cost that satisfies the criteria is chosen")
{
  const std::string fresh = "b 4 4/12 100 3:1 4:6";
  const std::string leaving = "b~ 4 4/12 100 3:1 4:6";
  const std::vector<std::string> reports = { usual[0], fresh, usual[2] };
  const std::vector<std::string> departing = { usual[0], leaving, usual[2] };
  const std::map<member_id, std::int64_t> cost = { { a, 0 }, { b, 5 }, { c, 5 } };
  const auto any = duration::max();
  const auto none = std::nullopt;
  const auto check = [&](const std::vector<std::string>& seen,
                         const read_criteria& criteria,
                         const std::optional<member_id>& chosen) {
    CHECK(view_of(seen).choose_read_member(criteria, at(150)) == chosen);
  };
  check(reports, { none, false, any, cost }, b);
  check(reports, { none, false, any, { { a, 0 }, { b, 5 }, { c, 4 } } }, c);
  check(reports, { none, false, any, { { a, 0 }, { c, 4 } } }, c);
  check(reports, { point(4, 12), false, any, cost }, b);
  check(reports, { point(4, 13), false, any, cost }, none);
  check(reports, { none, true, any, cost }, a);
  check(reports, { none, false, milliseconds(60), cost }, b);
  check(reports, { none, false, milliseconds(40), cost }, none);
  check(departing, { point(4, 12), false, any, cost }, a);
  check(departing, { none, false, any, cost }, c);
  check({ usual[0], leaving }, { none, false, milliseconds(60), cost }, a);
  check({}, { none, false, any, cost }, none);
}
