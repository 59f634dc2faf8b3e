#include <doctest/doctest.h>

#include "Proxy/fleet_state.h"
#include "Proxy/position_history.h"
#include "proxy_support.h"

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

// Guards against reads that miss a commit acknowledged longer ago than the bound: the position must
// come from a command that was sent after that time.
TEST_CASE("a position is fresh enough only if its command was sent within the bound")
{
  position_history history;
  history.observe("g", observed(point(3, 10), at(1000)), at(3000));
  history.observe("g", observed(point(3, 20), at(2000)), at(3000));
  REQUIRE(history.position_for("g", ms(1500), at(2400)));
  CHECK(history.position_for("g", ms(1500), at(2400))->position == point(3, 10));
  REQUIRE(history.position_for("g", ms(1500), at(2600)));
  CHECK(history.position_for("g", ms(1500), at(2600))->position == point(3, 20));
  CHECK_FALSE(history.position_for("g", ms(1500), at(3600)));
  CHECK_FALSE(history.position_for("other", ms(1500), at(2600)));
}

// Guards against a late observation that hides a newer one.
TEST_CASE("an older observation is ignored")
{
  position_history history;
  history.observe("g", observed(point(4, 20), at(2000)), at(3000));
  history.observe("g", observed(point(3, 90), at(2500)), at(3000));
  history.observe("g", observed(point(4, 19), at(1900)), at(3000));
  REQUIRE(history.newest("g"));
  CHECK(history.newest("g")->position == point(4, 20));
}

// Guards against a configuration that reverts because of a late answer or an outdated peer.
TEST_CASE("a configuration never reverts to an older version")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  CHECK(fleet.update_configuration(make_configuration(5), at(100)));
  CHECK_FALSE(fleet.update_configuration(make_configuration(4), at(900)));
  CHECK(fleet.configuration().configuration().version == config_version(5));
  // Evidence for an older version does not extend the validity of keys either.
  fleet.confirm_configuration(config_version(4), at(5000));
  CHECK(fleet.key_evidence_missing(at(4900)));
}

// Guards against keys that work longer than the age limit without new evidence.
TEST_CASE("keys expire with their evidence")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  CHECK(fleet.key_evidence_missing(at(0)));
  fleet.update_configuration(make_configuration(1), at(1000));
  CHECK_FALSE(fleet.key_evidence_missing(at(5750)));
  CHECK(fleet.key_evidence_missing(at(5751)));
}

// Guards against writes at a primary that may have been replaced meanwhile.
TEST_CASE("a primary is used only with recent evidence and without a replacement in progress")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  fleet.update_members({ make_member("m1", "z", true), make_member("m2", "z", false) }, at(0));
  REQUIRE(fleet.primary_of("g", at(10)));
  CHECK_FALSE(fleet.primary_of("g", at(10))->usable);
  fleet.update_groups({}, revision_of(5), at(100));
  CHECK(fleet.primary_of("g", at(100))->usable);
  CHECK(fleet.commit_is_valid("g", member_id("m1"), at(100)));
  CHECK_FALSE(fleet.primary_of("g", at(101) + primary_use_limit)->usable);
  CHECK_FALSE(fleet.commit_is_valid("g", member_id("m1"), at(101) + commit_answer_limit));

  fleet.update_groups({ { "g", member_id("m1"), true, false, term(3) } }, revision_of(6), at(200));
  CHECK_FALSE(fleet.primary_of("g", at(200))->usable);
  CHECK_FALSE(fleet.commit_is_valid("g", member_id("m1"), at(200)));
  // An older revision, from an outdated peer, changes nothing.
  CHECK_FALSE(fleet.update_groups(
    { { "g", member_id("m1"), false, false, term(3) } }, revision_of(5), at(300)));
  CHECK_FALSE(fleet.primary_of("g", at(300))->usable);

  // Answers of a primary from before it stepped down are valid.
  fleet.update_groups({ { "g", member_id("m1"), true, true, term(3) } }, revision_of(7), at(300));
  CHECK(fleet.commit_is_valid("g", member_id("m1"), at(300)));
  fleet.update_groups({ { "g", member_id("m2"), false, true, term(4) } }, revision_of(8), at(400));
  CHECK(fleet.primary_of("g", at(400))->member == member_id("m2"));
}

// Guards against commits that a former primary made after it was replaced, and that arrived late:
// after a planned replacement, answers of any member counted as valid.
TEST_CASE("after a planned replacement only the new primary's commits are valid")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  fleet.update_groups({ { "g", member_id("m2"), true, true, term(4) } }, revision_of(5), at(100));
  CHECK(fleet.commit_is_valid("g", member_id("m2"), at(100)));
  // m1 led before m2 and was cut off when it was replaced.
  CHECK_FALSE(fleet.commit_is_valid("g", member_id("m1"), at(100)));
  fleet.update_groups({ { "g", member_id("m3"), false, true, term(5) } }, revision_of(6), at(200));
  CHECK(fleet.commit_is_valid("g", member_id("m3"), at(200)));
  CHECK_FALSE(fleet.commit_is_valid("g", member_id("m1"), at(200)));
}

// Guards against writes through an instance that a replacement does not wait for: it knows the
// records, but is not registered.
TEST_CASE("records that are read without a registration are no evidence")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  fleet.update_members({ make_member("m1", "z", true), make_member("m2", "z", true) }, at(0));
  fleet.update_groups(
    { { "g", member_id("m2"), false, false, term(4) } }, revision_of(5), std::nullopt);
  REQUIRE(fleet.primary_of("g", at(100)));
  CHECK(fleet.primary_of("g", at(100))->member == member_id("m2"));
  CHECK_FALSE(fleet.primary_of("g", at(100))->usable);
  CHECK_FALSE(fleet.commit_is_valid("g", member_id("m2"), at(100)));
}

// Guards against a comparison that omits a member which runs but has no contact with the store,
// even if it had announced that it will leave: it acknowledges commits until it ends.
TEST_CASE("a member removed from the list may still hold commits for a while")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  auto leaving = make_member("m3", "z", false);
  leaving.draining = true;
  fleet.update_members({ make_member("m1", "z", true), make_member("m2", "z", false), leaving },
                       at(1000));
  fleet.update_members({ make_member("m1", "z", true) }, at(5000));
  CHECK(fleet.possible_commit_holders("g", at(6000)).size() == 3);
  CHECK(fleet.possible_commit_holders("g", at(36'000)).size() == 1);
  fleet.update_members({ make_member("m1", "z", true), make_member("m2", "z", false) }, at(7000));
  CHECK(fleet.possible_commit_holders("g", at(60'000)).size() == 2);
}

namespace {

group_record
record_in(std::uint64_t era,
          const std::string& primary,
          std::uint64_t in_term,
          bool changing = false)
{
  return { "g", member_id(primary), changing, false, term(in_term), store_era(era) };
}

}

// Guards against reads of a primary route at a replica, and writes at a former primary, after a
// drill: the copy that the store returned from names the primary of before a replacement, and its
// revisions pass those of the lost history (review/9).
TEST_CASE("a restored record replaces no record of a newer term")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  fleet.update_groups({ record_in(1, "m2", 4) }, { store_era(1), 50 }, at(1000));
  REQUIRE(fleet.primary_of("g", at(1000))->usable);

  CHECK(fleet.update_groups({ record_in(1, "m1", 3) }, { store_era(2), 60 }, at(2000)));
  CHECK(fleet.primary_of("g", at(2000))->member == member_id("m2"));
  CHECK_FALSE(fleet.commit_is_valid("g", member_id("m1"), at(2000)));
  // The evidence of before the drill still counts; the restored record is none.
  CHECK(fleet.primary_of("g", at(1000) + primary_use_limit)->usable);
  CHECK_FALSE(fleet.primary_of("g", at(1001) + primary_use_limit)->usable);
  CHECK_FALSE(fleet.commit_is_valid("g", member_id("m2"), at(1001) + commit_answer_limit));
  CHECK_FALSE(fleet.is_confirmed("g"));
  CHECK(fleet.records_ahead() == std::vector{ record_in(1, "m2", 4) });
  // The instance does not act on what it was told, so it must not acknowledge it.
  CHECK(fleet.applied_groups_version() == store_version(store_era(1), 50));

  fleet.update_groups({ record_in(2, "m2", 4) }, { store_era(2), 61 }, at(5000));
  CHECK(fleet.is_confirmed("g"));
  CHECK(fleet.primary_of("g", at(5000))->usable);
  CHECK(fleet.records_ahead().empty());
  CHECK(fleet.applied_groups_version() == store_version(store_era(2), 61));
}

// Guards against an instance that starts after a drill, knows only the restored record and uses its
// primary, which may have been replaced in the lost seconds.
TEST_CASE("a record of an earlier era is no evidence for an instance that knows nothing else")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  fleet.update_members({ make_member("m1", "z", true), make_member("m2", "z", true) }, at(0));
  fleet.update_groups({ record_in(1, "m1", 3) }, { store_era(2), 60 }, at(100));
  REQUIRE(fleet.primary_of("g", at(100)));
  CHECK_FALSE(fleet.primary_of("g", at(100))->usable);
  CHECK_FALSE(fleet.commit_is_valid("g", member_id("m1"), at(100)));
  // Neither is the members' own view of their roles, if the store may have lost a record.
  fleet_state without_record({ ms(4750), primary_use_limit, commit_answer_limit });
  without_record.update_members({ make_member("m1", "z", true) }, at(0));
  without_record.update_groups({}, { store_era(2), 60 }, at(100));
  CHECK_FALSE(without_record.primary_of("g", at(100))->usable);
  // Where the fleet records no primaries, none can be lost.
  fleet_state unrecorded({ ms(4750), primary_use_limit, commit_answer_limit }, ms(5000), false);
  unrecorded.update_members({ make_member("m1", "z", true) }, at(0));
  unrecorded.update_groups({}, { store_era(2), 60 }, at(100));
  CHECK(unrecorded.primary_of("g", at(100))->usable);
}

// Guards against an instance that missed a replacement before the drill and goes on at the former
// primary because its evidence was recent.
TEST_CASE("a later record that was restored ends the evidence for an earlier one")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  fleet.update_groups({ record_in(1, "m1", 3) }, { store_era(1), 40 }, at(1000));
  fleet.update_groups({ record_in(1, "m2", 4) }, { store_era(2), 30 }, at(1100));
  CHECK(fleet.primary_of("g", at(1100))->member == member_id("m2"));
  CHECK_FALSE(fleet.primary_of("g", at(1100))->usable);
  CHECK(fleet.records_ahead().empty());
}

// Guards against evidence that several drills in a row renew without any confirmation.
TEST_CASE("a series of drills does not renew the evidence for a primary")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  fleet.update_groups({ record_in(1, "m1", 3) }, { store_era(1), 40 }, at(1000));
  fleet.update_groups({ record_in(1, "m1", 3) }, { store_era(2), 30 }, at(2000));
  fleet.update_groups({ record_in(1, "m1", 3) }, { store_era(3), 30 }, at(2900));
  CHECK(fleet.primary_of("g", at(2400))->usable);
  CHECK_FALSE(fleet.primary_of("g", at(2900))->usable);
}

// Guards against a coordinator that acts on the restored record although another instance knows the
// replacement.
TEST_CASE("a later record of another instance is adopted")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  fleet.update_groups({ record_in(1, "m1", 3) }, { store_era(2), 30 }, at(1000));
  CHECK(fleet.adopt_records({ record_in(1, "m1", 2) }).empty());
  CHECK(fleet.adopt_records({ record_in(1, "m2", 4) }) == std::vector<std::string>{ "g" });
  CHECK(fleet.primary_of("g", at(1000))->member == member_id("m2"));
  CHECK_FALSE(fleet.is_confirmed("g"));
  // The store still has the restored record.
  fleet.update_groups({ record_in(1, "m1", 3) }, { store_era(2), 31 }, at(1100));
  CHECK(fleet.primary_of("g", at(1100))->member == member_id("m2"));
}

// Guards against a record of a former holder of the duty whose write takes effect seconds later, in
// the next era of the store, because its condition holds there by chance.
TEST_CASE("a record of an earlier era that is written late replaces no newer one")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  fleet.update_groups({ record_in(2, "m2", 4) }, { store_era(2), 60 }, at(1000));
  fleet.update_groups({ record_in(1, "m1", 3, true) }, { store_era(2), 61 }, at(1100));
  CHECK(fleet.primary_of("g", at(1100))->member == member_id("m2"));
  CHECK(fleet.primary_of("g", at(1000) + primary_use_limit)->usable);
  // The coordinator has to write the newer one again.
  CHECK_FALSE(fleet.is_confirmed("g"));
  fleet.update_groups({ record_in(2, "m2", 4) }, { store_era(2), 62 }, at(1200));
  CHECK(fleet.is_confirmed("g"));
}

// Guards against a holder of the duty that takes the members it has read so far for all that may
// hold commits, after it started anew or lost contact.
TEST_CASE(
  "all removals are known once the list was followed for as long as a removed member counts")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  CHECK_FALSE(fleet.knows_all_removals(at(100'000)));
  const auto read_list = [&](std::int64_t from, std::int64_t until) {
    for (auto time = from; time <= until; time += 1000) {
      fleet.update_members({ make_member("m1", "z", true) }, at(time));
    }
  };
  read_list(1000, 30'000);
  CHECK_FALSE(fleet.knows_all_removals(at(30'000)));
  read_list(31'000, 32'000);
  CHECK(fleet.knows_all_removals(at(32'000)));
  SUBCASE("the list is confirmed without being read")
  {
    for (std::int64_t time = 33'000; time < 45'000; time += 1000) {
      fleet.confirm_members(at(time));
    }
    read_list(45'000, 45'000);
    CHECK(fleet.knows_all_removals(at(45'000)));
  }
  SUBCASE("contact was lost")
  {
    read_list(40'000, 69'000);
    CHECK_FALSE(fleet.knows_all_removals(at(69'000)));
    read_list(70'000, 70'000);
    CHECK(fleet.knows_all_removals(at(70'000)));
  }
}

// Guards against a list of the first start that is taken for incomplete, and against removals of
// members that are back.
TEST_CASE("removals are merged with those of other instances")
{
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  fleet.assume_no_removals();
  fleet.update_members({ make_member("m1", "z", true), make_member("m2", "z", false) }, at(1000));
  CHECK(fleet.knows_all_removals(at(1000)));
  fleet.merge_removals({ { { member_id("m2"), "g", "10.0.0.1:2", at(900) },
                           { member_id("m3"), "g", "10.0.0.1:3", at(950) } },
                         std::nullopt });
  const auto removals = fleet.removals();
  REQUIRE(removals.members.size() == 1);
  CHECK(removals.members.front().id == member_id("m3"));
  CHECK(fleet.possible_commit_holders("g", at(1000)).size() == 3);
}
