#include <doctest/doctest.h>

#include "Proxy/failover.h"
#include "Proxy/fence.h"
#include "Proxy/primary_failure_detector.h"
#include "Proxy/store_contact_tracker.h"
#include "proxy_support.h"

#include <deque>
#include <map>
#include <memory>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;
using command_kind = member_command::command_kind;

namespace {

// A group of members for the failover. Any call can be made to fail.
struct failover_bench
{
  failover_bench()
  {
    members["m1"] = { true, term(3), point(3, 50), term(0) };
    members["m2"] = { false, term(3), point(3, 48), term(0) };
    members["m3"] = { false, term(3), point(3, 50), term(0) };
    failover::hooks callbacks;
    callbacks.now = [this] { return now; };
    callbacks.write_record = [this](const group_record& record, auto done) {
      if (!store_answers) {
        done(false, {});
        return;
      }
      records.push_back(record);
      done(true, revision_of(10 + records.size()));
    };
    callbacks.send_command = [this](const member_id& id, const member_command& command, auto done) {
      commands.emplace_back(id, command.kind);
      done(answer(id.get(), command));
    };
    callbacks.promote = [this](const std::string&, const member_id& id, auto done) {
      promoted.push_back(id);
      const auto outcome =
        promote_answers.empty() ? promote_outcome::accepted : promote_answers.front();
      if (!promote_answers.empty()) {
        promote_answers.pop_front();
      }
      if (promote_is_pending) {
        return;
      }
      if (outcome != promote_outcome::refused && !promote_is_lost) {
        for (auto& [name, status] : members) {
          status.primary = name == id.get() || (unreachable.contains(name) && status.primary);
        }
        members[id.get()].newest_term = term(4);
      }
      done(outcome);
    };
    callbacks.may_promote = [this] { return lease; };
    callbacks.fence_complete = [this](const store_version&, instant) { return fenced; };
    callbacks.log = [this](const std::string&, const std::string& event, const std::string&) {
      logged.insert(event);
    };
    auto created = failover::create("g", std::move(callbacks));
    REQUIRE(created);
    group_failover = std::move(created.value());
    set_members({ "m1", "m2", "m3" });
  }

  void set_members(const std::vector<std::string>& names, std::uint32_t sync_replicas = 0)
  {
    std::vector<listed_member> listed;
    for (const auto& name : names) {
      listed.push_back(make_member(name, "z", name == "m1"));
      listed.back().draining = draining.contains(name);
    }
    std::map<member_id, std::string> holders = removed;
    for (auto& member : listed) {
      member.address = "10.0.0.1:" + member.id.get();
      holders.emplace(member.id, member.address);
    }
    group_failover->set_members(listed, sync_replicas, { holders, holders_are_complete });
  }

  std::optional<member_status> answer(const std::string& name, const member_command& command)
  {
    if (unreachable.contains(name)) {
      return std::nullopt;
    }
    auto& status = members[name];
    if (command.kind == command_kind::demote && command.above_term > status.newest_term) {
      status.primary = false;
    }
    return status;
  }

  // Starts the replacement of m1, which leads in term 3.
  void start(replacement_reason reason)
  {
    group_failover->start({ "g", member_id("m1"), false, false, term(3) }, reason);
  }

  void run(std::int64_t for_ms)
  {
    for (std::int64_t time = 0; time < for_ms; time += 20) {
      now += ms(20);
      group_failover->tick();
    }
  }

  instant now = at(1000);
  std::map<std::string, member_status> members;
  std::set<std::string> unreachable;
  std::set<std::string> draining;
  std::map<member_id, std::string> removed;
  bool holders_are_complete = true;
  std::vector<group_record> records;
  std::vector<std::pair<member_id, command_kind>> commands;
  std::set<std::string> logged;
  std::vector<member_id> promoted;
  std::deque<promote_outcome> promote_answers;
  bool promote_is_lost = false;
  // The platform has not answered yet.
  bool promote_is_pending = false;
  bool store_answers = true;
  bool lease = true;
  bool fenced = false;
  std::unique_ptr<failover> group_failover;
};

}

// Guards against lost commits during planned maintenance: the leaving primary steps down first, and
// a replica with every commit takes over at once if all instances confirmed the record.
TEST_CASE("a leaving primary steps down before the most advanced replica is promoted")
{
  failover_bench bench;
  bench.fenced = true;
  bench.start(replacement_reason::leaving);
  bench.run(200);
  REQUIRE(bench.promoted.size() == 1);
  CHECK(bench.promoted[0] == member_id("m3"));
  REQUIRE(bench.records.size() == 2);
  CHECK(bench.records[0].changing);
  CHECK(bench.records[0].stepped_down);
  CHECK_FALSE(bench.records[1].changing);
  CHECK(bench.records[1].primary == member_id("m3"));
}

// Guards against stale reads: an instance that was out of touch went on reading at a primary that
// had stepped down, while its successor already acknowledged newer commits.
TEST_CASE("a primary that stepped down is replaced only when the fence is complete")
{
  for (const std::string way : { "leaving", "unreachable", "resumed", "taken over" }) {
    for (const std::uint32_t sync_replicas : { 0U, 1U }) {
      CAPTURE(way);
      CAPTURE(sync_replicas);
      failover_bench bench;
      bench.set_members({ "m1", "m2", "m3" }, sync_replicas);
      bench.promote_answers = { promote_outcome::refused };
      if (way == "resumed") {
        bench.group_failover->resume({ "g", member_id("m1"), true, true, term(3) },
                                     revision_of(12));
      } else {
        bench.start(way == "unreachable" ? replacement_reason::unreachable
                                         : replacement_reason::leaving);
      }
      bench.run(1000);
      if (way == "taken over") {
        bench.group_failover->duty_lost();
        bench.group_failover->resume(bench.records.back(), revision_of(12));
      }
      bench.run(2000);
      CHECK_FALSE(bench.members["m1"].primary);
      CHECK(bench.promoted.empty());
      // The members were compared meanwhile.
      bench.fenced = true;
      bench.run(20);
      REQUIRE_FALSE(bench.promoted.empty());
      CHECK(bench.promoted[0] == member_id("m3"));
      bench.run(300);
      CHECK(bench.members[bench.promoted.back().get()].primary);
      CHECK_FALSE(bench.group_failover->in_progress());
    }
  }
}

// Guards against promotion calls beyond the platform's limit: the pause between two questions to
// the chosen member went on after the fence was complete, and its end repeated the call in flight.
TEST_CASE("a member is promoted by one call after the fence was waited for")
{
  failover_bench bench;
  bench.promote_is_pending = true;
  bench.start(replacement_reason::leaving);
  bench.run(200);
  CHECK(bench.promoted.empty());
  bench.fenced = true;
  bench.run(1000);
  CHECK(bench.promoted.size() == 1);
}

// Guards against lost commits: the member that was chosen while instances were waited for restarted
// without its log before it was promoted.
TEST_CASE("a chosen member that lost its log while the fence was waited for is not promoted")
{
  failover_bench bench;
  bench.members["m2"].received = point(3, 50);
  bench.set_members({ "m1", "m2", "m3" }, 1);
  bench.start(replacement_reason::leaving);
  bench.run(200);
  CHECK(bench.promoted.empty());
  bench.members["m2"].received = point(0, 0);
  bench.run(200);
  bench.fenced = true;
  bench.run(200);
  CHECK(bench.promoted == std::vector<member_id>{ member_id("m3") });
}

// Guards against lost commits and promotions of members that are leaving: a replica that had caught
// up in time was passed over because it did not answer when the fence was complete.
TEST_CASE("a replica that caught up in time stays chosen while the fence is waited for")
{
  for (const std::uint32_t sync_replicas : { 0U, 1U }) {
    CAPTURE(sync_replicas);
    failover_bench bench;
    bench.draining = { "m1" };
    bench.set_members({ "m1", "m2", "m3" }, sync_replicas);
    bench.start(replacement_reason::leaving);
    bench.run(1000);
    CHECK(bench.promoted.empty());
    bench.unreachable = { "m3" };
    bench.run(1100);
    bench.fenced = true;
    bench.run(200);
    CHECK(bench.promoted == std::vector<member_id>{ member_id("m3") });
  }
}

// Guards against two primaries: until the fence is complete, an unreachable primary may still
// acknowledge commits through instances that reach it.
TEST_CASE("an unreachable primary is replaced only when the fence is complete")
{
  failover_bench bench;
  bench.unreachable = { "m1" };
  bench.start(replacement_reason::unreachable);
  bench.run(3000);
  CHECK(bench.promoted.empty());
  bench.fenced = true;
  bench.run(200);
  REQUIRE(bench.promoted.size() == 1);
  CHECK(bench.promoted[0] == member_id("m3"));
  bool paused_before = false;
  for (const auto& [id, kind] : bench.commands) {
    paused_before = paused_before || kind == command_kind::pause;
  }
  CHECK(paused_before);
}

// Guards against lost commits with synchronous replicas: a replica that does not answer may be the
// only one with a commit.
TEST_CASE("with synchronous replicas all replicas are compared")
{
  failover_bench bench;
  bench.set_members({ "m1", "m2", "m3" }, 1);
  bench.unreachable = { "m1", "m3" };
  bench.fenced = true;
  bench.start(replacement_reason::unreachable);
  bench.run(3000);
  CHECK(bench.promoted.empty());
  bench.unreachable = { "m1" };
  bench.run(200);
  REQUIRE(bench.promoted.size() == 1);
  CHECK(bench.promoted[0] == member_id("m3"));
}

// Guards against lost commits with a synchronous replica: it was partitioned together with the
// primary and was removed from the members' list before the comparison.
TEST_CASE("with synchronous replicas a replica removed from the list is waited for")
{
  failover_bench bench;
  bench.removed = { { member_id("m3"), "10.0.0.1:m3" } };
  bench.set_members({ "m1", "m2" }, 1);
  bench.unreachable = { "m1", "m3" };
  bench.fenced = true;
  bench.start(replacement_reason::unreachable);
  bench.run(3000);
  CHECK(bench.promoted.empty());
  bench.removed.clear();
  bench.unreachable = { "m1" };
  bench.set_members({ "m1", "m2", "m3" }, 1);
  bench.run(300);
  REQUIRE(bench.promoted.size() == 1);
  CHECK(bench.promoted[0] == member_id("m3"));
}

// Guards against lost commits with a synchronous replica: the coordinator had started anew and did
// not know that a replica had left the list, which alone had received the last commits (review/6).
TEST_CASE("with synchronous replicas nobody is promoted while removed members may be unknown")
{
  for (const std::uint32_t sync_replicas : { 0U, 1U }) {
    CAPTURE(sync_replicas);
    failover_bench bench;
    bench.holders_are_complete = false;
    bench.set_members({ "m1", "m2" }, sync_replicas);
    bench.unreachable = { "m1" };
    bench.fenced = true;
    bench.start(replacement_reason::unreachable);
    bench.run(3000);
    CHECK(bench.promoted.size() == (sync_replicas == 0 ? 1 : 0));
    bench.holders_are_complete = true;
    bench.set_members({ "m1", "m2" }, sync_replicas);
    bench.run(300);
    CHECK(bench.promoted.size() == 1);
  }
}

// Guards against a group that stays without a primary although its former one, which has every
// commit, stepped down.
TEST_CASE("a primary that steps down shows which commits there are")
{
  failover_bench bench;
  bench.holders_are_complete = false;
  bench.members["m2"].received = point(3, 50);
  bench.set_members({ "m1", "m2", "m3" }, 1);
  bench.fenced = true;
  bench.start(replacement_reason::leaving);
  bench.run(500);
  CHECK(bench.promoted.size() == 1);
}

// Guards against a group that stays without a primary because a member left as planned: the next
// member at its address has its log.
TEST_CASE("the next member at a removed member's address answers for it")
{
  failover_bench bench;
  bench.removed = { { member_id("m0"), "10.0.0.1:m3" } };
  bench.set_members({ "m1", "m2", "m3" }, 1);
  bench.unreachable = { "m1" };
  bench.fenced = true;
  bench.start(replacement_reason::unreachable);
  bench.run(300);
  CHECK(bench.promoted.size() == 1);
}

// Guards against lost commits with a synchronous replica: the replica that had received them was
// about to leave, and the other one, which had received nothing for a while, was promoted.
TEST_CASE("with synchronous replicas a draining replica is promoted if only it has every commit")
{
  failover_bench bench;
  bench.members["m2"].received = point(3, 50);
  bench.members["m3"].received = point(3, 20);
  bench.draining = { "m2" };
  bench.set_members({ "m1", "m2", "m3" }, 1);
  bench.unreachable = { "m1" };
  bench.fenced = true;
  bench.start(replacement_reason::unreachable);
  bench.run(200);
  CHECK(bench.promoted == std::vector<member_id>{ member_id("m2") });
}

// Guards against a needless second replacement: a draining member is promoted only if no other has
// every commit, and without synchronous replicas never.
TEST_CASE("a draining replica is not promoted if another one has every commit")
{
  for (const std::uint32_t sync_replicas : { 0U, 1U }) {
    CAPTURE(sync_replicas);
    failover_bench bench;
    bench.members["m2"].received = point(3, sync_replicas == 0 ? 51 : 50);
    bench.draining = { "m2" };
    bench.set_members({ "m1", "m2", "m3" }, sync_replicas);
    bench.unreachable = { "m1" };
    bench.fenced = true;
    bench.start(replacement_reason::unreachable);
    bench.run(200);
    CHECK(bench.promoted == std::vector<member_id>{ member_id("m3") });
  }
}

// Guards against lost commits with a synchronous replica: the platform refused to promote the only
// one that had received them, and the next one in line was promoted.
TEST_CASE("with synchronous replicas a refused holder of commits is asked again")
{
  failover_bench bench;
  bench.members["m2"].received = point(3, 20);
  bench.set_members({ "m1", "m2", "m3" }, 1);
  bench.unreachable = { "m1" };
  bench.fenced = true;
  bench.promote_answers = { promote_outcome::refused, promote_outcome::refused };
  bench.start(replacement_reason::unreachable);
  bench.run(1000);
  CHECK(bench.promoted ==
        std::vector<member_id>{ member_id("m3"), member_id("m3"), member_id("m3") });
  CHECK(bench.logged.contains("waiting"));
}

// Guards against lost commits with a synchronous replica: the primary had stepped down and left,
// the coordinator that knew its last position failed, and the next one did not wait for the replica
// that had it.
TEST_CASE("a resumed planned replacement waits for every replica if the last position is unknown")
{
  failover_bench bench;
  bench.members["m2"].received = point(3, 20);
  bench.set_members({ "m1", "m2", "m3" }, 1);
  bench.unreachable = { "m1", "m3" };
  bench.fenced = true;
  bench.group_failover->resume({ "g", member_id("m1"), true, true, term(3) }, revision_of(12));
  bench.run(3000);
  CHECK(bench.promoted.empty());
  bench.unreachable = { "m1" };
  bench.run(300);
  CHECK(bench.promoted == std::vector<member_id>{ member_id("m3") });
}

// Guards against a group that stays without a primary: the old one had stepped down and left with
// an entry that no replica received, and that was therefore never acknowledged.
TEST_CASE("an entry that only a primary without answer received is not waited for")
{
  failover_bench bench;
  bench.members["m1"].received = point(3, 51);
  bench.draining = { "m1" };
  bench.set_members({ "m1", "m2", "m3" }, 1);
  bench.fenced = true;
  bench.start(replacement_reason::leaving);
  bench.unreachable = { "m1" };
  bench.run(1400);
  CHECK(bench.promoted.empty());
  bench.run(1000);
  CHECK(bench.promoted == std::vector<member_id>{ member_id("m3") });
}

// Guards against lost commits in a planned replacement with a synchronous replica: replicas that
// receive nothing cannot catch up, so the primary that is leaving takes over again for a while.
TEST_CASE("a primary that stepped down leads again if no replica catches up")
{
  failover_bench bench;
  bench.members["m1"].received = point(3, 51);
  bench.draining = { "m1" };
  bench.set_members({ "m1", "m2", "m3" }, 1);
  bench.fenced = true;
  bench.start(replacement_reason::leaving);
  bench.run(2500);
  CHECK(bench.promoted == std::vector<member_id>{ member_id("m1") });
  CHECK_FALSE(bench.group_failover->in_progress());
  // The next attempt is not made at once, because each stops the writes for a while.
  bench.start(replacement_reason::leaving);
  CHECK_FALSE(bench.group_failover->in_progress());
  bench.start(replacement_reason::unreachable);
  CHECK(bench.group_failover->in_progress());
}

// Guards against a group that stays without a primary: the only replica with every commit does not
// come back, but the old primary does.
TEST_CASE("with synchronous replicas the old primary may return while a replica is waited for")
{
  failover_bench bench;
  bench.members["m2"].received = point(3, 20);
  bench.set_members({ "m1", "m2", "m3" }, 1);
  bench.unreachable = { "m1", "m3" };
  bench.fenced = true;
  bench.start(replacement_reason::unreachable);
  bench.run(3000);
  CHECK(bench.promoted.empty());
  bench.unreachable = { "m3" };
  bench.run(500);
  CHECK(bench.promoted == std::vector<member_id>{ member_id("m1") });
  CHECK_FALSE(bench.group_failover->in_progress());
}

// Guards against a second promotion at another member because an answer was lost.
TEST_CASE("a promotion without an answer is checked before anything else is tried")
{
  failover_bench bench;
  bench.fenced = true;
  bench.unreachable = { "m1" };
  bench.promote_answers = { promote_outcome::unanswered };
  bench.start(replacement_reason::unreachable);
  bench.run(400);
  CHECK(bench.promoted.size() == 1);
  CHECK(bench.records.back().primary == member_id("m3"));
}

// Guards against a group without a primary because a promotion call had no effect.
TEST_CASE("a promotion that did not happen is retried")
{
  failover_bench bench;
  bench.fenced = true;
  bench.unreachable = { "m1" };
  bench.promote_answers = { promote_outcome::unanswered };
  bench.promote_is_lost = true;
  bench.start(replacement_reason::unreachable);
  bench.run(400);
  CHECK(bench.promoted.size() == 1);
  bench.promote_is_lost = false;
  bench.run(3500);
  CHECK(bench.promoted.size() == 2);
  CHECK(bench.records.back().primary == bench.promoted.back());
  CHECK_FALSE(bench.records.back().changing);
}

// Guards against a failover that stops because the platform refuses to promote one member.
TEST_CASE("a member that is not running is skipped")
{
  failover_bench bench;
  bench.fenced = true;
  bench.unreachable = { "m1" };
  bench.promote_answers = { promote_outcome::refused };
  bench.start(replacement_reason::unreachable);
  bench.run(400);
  REQUIRE(bench.promoted.size() == 2);
  CHECK(bench.promoted[1] == member_id("m2"));
}

// Guards against promotion calls that are sent without a lease.
TEST_CASE("nothing is promoted without a lease")
{
  failover_bench bench;
  bench.fenced = true;
  bench.lease = false;
  bench.unreachable = { "m1" };
  bench.start(replacement_reason::unreachable);
  bench.run(2000);
  CHECK(bench.promoted.empty());
}

// Guards against a group without a primary: the coordinator may fail at any step, and the next one
// has only the record. Covers each step at which the first coordinator can fail.
TEST_CASE("a replacement that one coordinator began is finished by the next one")
{
  for (int steps = 0; steps < 6; ++steps) {
    CAPTURE(steps);
    failover_bench bench;
    bench.unreachable = { "m1" };
    bench.start(replacement_reason::unreachable);
    bench.fenced = steps > 1;
    bench.run(20 * steps);
    bench.group_failover->duty_lost();
    bench.fenced = true;
    REQUIRE_FALSE(bench.records.empty());
    const auto record = bench.records.back();
    if (!record.changing) {
      continue;
    }
    bench.group_failover->resume(record, revision_of(12));
    bench.run(600);
    CHECK_FALSE(bench.records.back().changing);
    CHECK(bench.members[bench.records.back().primary.get()].primary);
  }
}

// Guards against a promotion that is not recorded: while the store does not write the record of the
// replacement, nothing is promoted and the failover ends.
TEST_CASE("a replacement ends if the store does not record it")
{
  failover_bench bench;
  bench.start(replacement_reason::leaving);
  bench.run(0);
  CHECK(bench.records.size() >= 1);
  failover_bench down;
  down.store_answers = false;
  down.start(replacement_reason::unreachable);
  down.run(200);
  CHECK(down.promoted.empty());
  CHECK_FALSE(down.group_failover->in_progress());
}

// Guards against a group without a primary: the record of a primary that had stepped down was
// refused because another write of the lease was in flight, and the replacement was given up.
TEST_CASE("the record of a primary that stepped down is written again until the lease is lost")
{
  for (const bool lease_lost : { false, true }) {
    CAPTURE(lease_lost);
    failover_bench bench;
    bench.fenced = true;
    bench.store_answers = false;
    bench.start(replacement_reason::leaving);
    bench.run(500);
    REQUIRE_FALSE(bench.members["m1"].primary);
    CHECK(bench.group_failover->in_progress());
    if (lease_lost) {
      bench.group_failover->duty_lost();
      CHECK_FALSE(bench.group_failover->in_progress());
    }
    bench.store_answers = true;
    bench.run(500);
    CHECK(bench.promoted.size() == (lease_lost ? 0 : 1));
    CHECK(bench.records.size() == (lease_lost ? 0 : 2));
  }
}

// Guards against a promotion while an instance that did not report may still pass on commits.
TEST_CASE("the fence waits for every registered instance or until its evidence expires")
{
  fence commit_fence(at(0));
  commit_fence.set_registered_instances(
    { { instance_id("a"), incarnation_id(1) }, { instance_id("b"), incarnation_id(2) } }, at(0));
  instance_report report;
  report.instance = instance_id("a");
  report.incarnation = incarnation_id(1);
  report.groups_version = revision_of(20);
  commit_fence.record_report(report);
  const auto recorded = at(10'000);
  CHECK_FALSE(commit_fence.is_complete(revision_of(20), recorded, recorded + ms(100)));
  report.instance = instance_id("b");
  report.incarnation = incarnation_id(2);
  report.groups_version = revision_of(19);
  commit_fence.record_report(report);
  CHECK_FALSE(commit_fence.is_complete(revision_of(20), recorded, recorded + ms(100)));
  report.groups_version = revision_of(20);
  commit_fence.record_report(report);
  CHECK(commit_fence.is_complete(revision_of(20), recorded, recorded + ms(100)));
  // Without confirmations the fence is complete when the evidence expires.
  CHECK_FALSE(commit_fence.is_complete(revision_of(21), recorded, recorded + commit_answer_limit));
  CHECK(
    commit_fence.is_complete(revision_of(21), recorded, recorded + commit_answer_limit + ms(200)));
}

// Guards against early promotions by a new coordinator, which does not know the instances that the
// previous one removed from the register.
TEST_CASE("a new coordinator does not rely on the register at first")
{
  fence commit_fence(at(10'000));
  commit_fence.set_registered_instances({}, at(10'000));
  CHECK_FALSE(commit_fence.is_complete(revision_of(5), at(10'100), at(10'200)));
}

// Guards against replacements at the end of a zone's partition: instances that regained contact
// still reported members that they could not reach during it. A change of coordinator is short and
// hides no failures.
TEST_CASE("failures from before an instance regained contact do not count")
{
  store_contact_tracker tracker;
  for (std::int64_t time = 0; time <= 1000; time += 250) {
    tracker.record_contact(at(time));
  }
  CHECK(tracker.attributable_failure(ms(300), at(1100)) == ms(300));
  // Partitioned from 1.0 s to 6.0 s.
  tracker.record_contact(at(6000));
  CHECK(tracker.attributable_failure(ms(4800), at(6000)) == ms(0));
  CHECK(tracker.attributable_failure(ms(5200), at(6400)) == ms(0));
  // The failure continues while the instance is in contact.
  for (std::int64_t time = 6250; time <= 7500; time += 250) {
    tracker.record_contact(at(time));
  }
  CHECK(tracker.attributable_failure(ms(6300), at(7500)) == ms(800));
  // The coordinator is lost, and the store is read directly 1.2 s later.
  tracker.record_contact(at(8700));
  CHECK(tracker.attributable_failure(ms(900), at(8700)) == ms(900));
}

// Guards against a replacement because the network path of a single instance is broken.
TEST_CASE("one instance of many cannot cause a replacement")
{
  primary_failure_detector detector;
  const std::vector<listed_member> members{ make_member("m1", "z", true) };
  for (std::int64_t time = 0; time <= 4000; time += 250) {
    for (int i = 0; i < 10; ++i) {
      instance_report report;
      report.instance = instance_id("i" + std::to_string(i));
      report.view_age = ms(100);
      report.reachability.push_back({ member_id("m1"), i == 0 ? ms(time) : ms(0) });
      detector.record_report(report, at(time));
    }
  }
  CHECK(detector.assess(member_id("m1"), members, {}, true, at(4000)) == replacement_reason::none);
  CHECK(detector.assess(member_id("m1"), {}, {}, false, at(4000)) == replacement_reason::none);
  CHECK(detector.assess(member_id("m1"), {}, {}, true, at(4000)) ==
        replacement_reason::unreachable);
}
