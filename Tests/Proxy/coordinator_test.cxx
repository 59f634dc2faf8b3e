#include <doctest/doctest.h>

#include "Proxy/coordinator.h"
#include "proxy_support.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

// A coordinator whose views are collected instead of sent.
struct coordinator_bench
{
  coordinator_bench()
    : fleet({ ms(4750), primary_use_limit, commit_answer_limit })
  {
    update_fleet(0);
    start_coordinator();
  }

  // Starts the coordinator of an instance that has just acquired the lease.
  void start_coordinator(fencing_token token = fencing_token(1))
  {
    coordinator::hooks callbacks;
    callbacks.now = [this] { return now; };
    callbacks.holds_lease = [this] { return lease_held; };
    callbacks.lease_version = [] { return revision_of(7); };
    callbacks.position_reported =
      [](const instance_id&, const std::string&, const timed_position&, auto) {};
    callbacks.removals_reported = [this](const removal_history& removals) {
      fleet.merge_removals(removals);
    };
    callbacks.plan = [this]() -> const carrier_plan& { return plan; };
    callbacks.record_plan = [this](const carrier_plan& next) { plan = next; };
    callbacks.send = [this](const std::string&, const fleet_view& view) { views.push_back(view); };
    callbacks.failover_hooks.now = callbacks.now;
    callbacks.failover_hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    subject = std::make_unique<coordinator>(
      instance_id("c"), "10.0.0.9:1", token, false, fleet, positions, std::move(callbacks));
    subject->set_registered_instances(registered);
  }

  void update_fleet(std::int64_t ms_now)
  {
    fleet.update_configuration(make_configuration(), at(ms_now));
    fleet.update_members({ make_member("m1", "z", true), make_member("m2", "z", false) },
                         at(ms_now));
    fleet.update_groups({}, revision_of(1), at(ms_now));
  }

  instance_report report(std::int64_t clock) const
  {
    instance_report created;
    created.instance = instance_id("a");
    created.incarnation = incarnation_id(1);
    created.clock = at(clock);
    created.grant_token = fencing_token(1);
    return created;
  }

  instant now = at(0);
  bool lease_held = true;
  std::map<instance_id, incarnation_id> registered{ { instance_id("a"), incarnation_id(1) } };
  fleet_state fleet;
  position_history positions;
  std::vector<fleet_view> views;
  carrier_plan plan;
  std::unique_ptr<coordinator> subject;
};

// A coordinator that replaces primaries of a group, and a store that keeps the group's record. m2
// leads and is lost; m1, which led before it, was cut off meanwhile and still calls itself primary.
struct replacement_bench
{
  replacement_bench()
    : fleet({ ms(4750), primary_use_limit, commit_answer_limit })
  {
    fleet.assume_no_removals();
    read_fleet();
    members["m1"] = { true, term(3), point(3, 50), term(0) };
    members["m2"] = { true, term(4), point(4, 60), term(0) };
    members["m3"] = { false, term(4), point(4, 60), term(0) };
    fleet.update_groups({ { "g", member_id("m2"), false, false, term(4) } }, revision, now);
  }

  void read_fleet()
  {
    fleet.update_configuration(make_configuration(), now);
    fleet.update_members(
      { make_member("m1", "z", true), make_member("m2", "z", true), make_member("m3", "z", false) },
      now);
  }

  // Starts the coordinator of an instance that has just acquired the lease.
  void take_over()
  {
    coordinator::hooks callbacks;
    callbacks.now = [this] { return now; };
    callbacks.holds_lease = [] { return true; };
    callbacks.lease_version = [] { return revision_of(7); };
    callbacks.position_reported =
      [](const instance_id&, const std::string&, const timed_position&, auto) {};
    callbacks.plan = [this]() -> const carrier_plan& { return plan; };
    callbacks.record_plan = [](const carrier_plan&) {};
    callbacks.records_reported = [this](const instance_id&, const auto& records) {
      records_reported(records);
    };
    callbacks.send = [](const std::string&, const fleet_view&) {};
    auto& failovers = callbacks.failover_hooks;
    failovers.now = callbacks.now;
    failovers.log = [](const std::string&, const std::string&, const std::string&) {};
    failovers.may_promote = [] { return true; };
    failovers.write_record = [this](const group_record& record, auto done) {
      revision = { revision.era(), revision.revision() + 1 };
      auto written = record;
      written.recorded_in = revision.era();
      fleet.update_groups({ written }, revision, now);
      done(true, revision);
    };
    failovers.send_command = [this](const member_id& id, const member_command& command, auto done) {
      commanded.insert(id.get());
      done(answer(id.get(), command));
    };
    failovers.promote = [this](const std::string&, const member_id& id, auto done) {
      promoted.push_back(id.get());
      auto newest = term(0);
      for (const auto& [name, status] : members) {
        newest = std::max(newest, status.newest_term);
      }
      members[id.get()].primary = true;
      members[id.get()].newest_term = term(newest.get() + 1);
      done(promote_outcome::accepted);
    };
    subject = std::make_unique<coordinator>(instance_id("c"),
                                            "10.0.0.9:1",
                                            fencing_token(2),
                                            replaces,
                                            fleet,
                                            positions,
                                            std::move(callbacks));
  }

  std::optional<member_status> answer(const std::string& name, const member_command& command)
  {
    if (unreachable.contains(name)) {
      return std::nullopt;
    }
    auto& status = members[name];
    if (command.kind == member_command::command_kind::demote &&
        command.above_term > status.newest_term) {
      status.primary = false;
    }
    return status;
  }

  // The store returns from a copy with this record, in the era after `revision`, and all processes
  // start anew.
  void restore(const group_record& record)
  {
    fleet = fleet_state({ ms(4750), primary_use_limit, commit_answer_limit });
    read_fleet();
    revision = { store_era(revision.era().get() + 1), revision.revision() + 1 };
    fleet.update_groups({ record }, revision, now);
  }

  // Lets time pass while the instances report which members they cannot reach.
  void run(std::int64_t for_ms)
  {
    for (std::int64_t time = 0; time < for_ms; time += 20) {
      now += ms(20);
      fleet.update_groups({}, revision, now);
      instance_report report;
      report.instance = instance_id("a");
      report.incarnation = incarnation_id(1);
      report.clock = now;
      report.groups_version = revision;
      for (const auto& [name, status] : members) {
        report.reachability.push_back(
          { member_id(name), unreachable.contains(name) ? ms(800) : ms(0) });
      }
      subject->handle_report(report);
      subject->tick(true);
    }
  }

  instant now = at(10'000);
  fleet_state fleet;
  position_history positions;
  carrier_plan plan;
  store_version revision = revision_of(4);
  std::map<std::string, member_status> members;
  std::set<std::string> unreachable{ "m2" };
  std::vector<std::string> promoted;
  // Members that were sent a command.
  std::set<std::string> commanded;
  bool replaces = true;
  std::function<void(const std::vector<group_record>&)> records_reported;
  std::unique_ptr<coordinator> subject;
};

}

// Guards against stale reads and commits at a former primary: it had been cut off when its
// successor was promoted, and a new coordinator, which knew no terms, took it for the successor of
// the next primary that failed.
TEST_CASE("a new coordinator does not take a former primary for the successor of a lost one")
{
  replacement_bench bench;
  bench.take_over();
  bench.run(4000);
  CHECK(bench.promoted == std::vector<std::string>{ "m3" });
  CHECK(bench.fleet.groups().at("g").primary == member_id("m3"));
  CHECK_FALSE(bench.fleet.groups().at("g").changing);
  CHECK_FALSE(bench.members["m1"].primary);
}

// Guards against stale reads: an instance that hears neither the coordinator nor the store uses the
// primary that it knows until its evidence expires, also if that one stepped down.
TEST_CASE("a leaving primary is not replaced before every instance confirmed it or cannot use it")
{
  for (const bool all_confirm : { true, false }) {
    CAPTURE(all_confirm);
    replacement_bench bench;
    bench.unreachable.clear();
    bench.take_over();
    std::map<instance_id, incarnation_id> registered{ { instance_id("a"), incarnation_id(1) } };
    if (!all_confirm) {
      registered[instance_id("b")] = incarnation_id(2);
    }
    bench.subject->set_registered_instances(registered);
    bench.run(3000);
    auto listed = bench.fleet.members();
    listed[1].draining = true;
    bench.fleet.update_members(listed, bench.now);
    bench.run(100);
    CHECK_FALSE(bench.members["m2"].primary);
    if (!all_confirm) {
      CHECK(bench.promoted.empty());
      CHECK(bench.fleet.groups().at("g").changing);
      bench.run(1400);
      CHECK(bench.promoted.empty());
      bench.run(800);
    }
    CHECK(bench.promoted == std::vector<std::string>{ "m3" });
    CHECK(bench.fleet.groups().at("g").primary == member_id("m3"));
  }
}

// Guards against a second promotion after the coordinator failed between the promotion and its
// record: the member that leads in the next term is the successor.
TEST_CASE("a new coordinator records a successor that was promoted but not recorded")
{
  replacement_bench bench;
  bench.members["m3"] = { true, term(5), point(5, 61), term(0) };
  bench.fleet.update_groups(
    { { "g", member_id("m2"), true, false, term(4) } }, bench.revision, bench.now);
  bench.take_over();
  bench.run(4000);
  CHECK(bench.promoted.empty());
  CHECK(bench.fleet.groups().at("g").primary == member_id("m3"));
  CHECK_FALSE(bench.fleet.groups().at("g").changing);
}

// Guards against a group without a primary: with a synchronous replica, a former primary that still
// calls itself primary holds commits too, and the one that could stop it cannot be reached.
TEST_CASE("a former primary steps down and is compared like a replica")
{
  replacement_bench bench;
  auto configuration = make_configuration(2);
  configuration.groups.front().sync_replicas = 1;
  bench.fleet.update_configuration(configuration, bench.now);
  bench.take_over();
  bench.run(4000);
  CHECK(bench.promoted == std::vector<std::string>{ "m3" });
  CHECK_FALSE(bench.members["m1"].primary);
}

// Guards against stale reads: a report that waited at a suspended coordinator was dated by its
// arrival, so its position was considered fresher than it was.
TEST_CASE("a position is dated by the view before its report, however late the report arrives")
{
  coordinator_bench bench;
  bench.now = at(1000);
  bench.subject->handle_report(bench.report(50'000));
  REQUIRE(bench.views.size() == 1);
  const auto view_clock = bench.views.back().clock;
  CHECK(view_clock == at(1000));

  // Created 10 ms after the view arrived; read by the coordinator 3 s later.
  auto late = bench.report(50'010);
  late.view = applied_view{ fencing_token(1), bench.views.back().view_number, view_clock, ms(10) };
  late.positions["g"] = observed(point(3, 40), at(50'005));
  bench.now = at(4000);
  bench.update_fleet(4000);
  bench.subject->handle_report(late);
  const auto& position = bench.views.back().positions.at("g");
  CHECK(position.position == point(3, 40));
  // The observation was made no earlier than 1005 ms on the coordinator's clock.
  CHECK(position.age >= ms(4000 - 1005));
}

// Guards against positions from an instance that has received no view from this coordinator yet:
// nothing limits the age of its report.
TEST_CASE("a position reported before the first view is not passed on")
{
  coordinator_bench bench;
  bench.now = at(1000);
  auto first = bench.report(50'000);
  first.positions["g"] = observed(point(3, 40), at(50'000));
  bench.subject->handle_report(first);
  CHECK_FALSE(bench.views.back().positions.contains("g"));
}

// Guards against stale reads that go on for as long as two clocks differ: a position dated after
// the coordinator's present hid every later one, and its age was passed on as zero.
TEST_CASE("a position dated after the coordinator's present is not passed on")
{
  coordinator_bench bench;
  bench.now = at(1000);
  bench.subject->handle_report(bench.report(50'000));
  auto ahead = bench.report(50'010);
  ahead.view = applied_view{ fencing_token(1), bench.views.back().view_number, at(90'000), ms(10) };
  ahead.positions["g"] = observed(point(3, 40), at(50'005));
  bench.subject->handle_report(ahead);
  CHECK_FALSE(bench.views.back().positions.contains("g"));

  auto sound = bench.report(50'020);
  sound.view = applied_view{ fencing_token(1), bench.views.back().view_number, at(1000), ms(0) };
  sound.positions["g"] = observed(point(3, 50), at(50'015));
  bench.subject->handle_report(sound);
  REQUIRE(bench.views.back().positions.contains("g"));
  CHECK(bench.views.back().positions.at("g").position == point(3, 50));
}

// Guards against stale reads: an instance that does not know yet that the primary was replaced
// reports what the former one answered.
TEST_CASE(
  "a position of a member that the coordinator does not take for the primary is not passed on")
{
  coordinator_bench bench;
  bench.now = at(1000);
  bench.subject->handle_report(bench.report(50'000));
  auto outdated = bench.report(50'010);
  outdated.view = applied_view{
    fencing_token(1), bench.views.back().view_number, bench.views.back().clock, ms(10)
  };
  outdated.positions["g"] = observed(point(3, 40), at(50'005));
  bench.now = at(1100);
  bench.fleet.update_groups(
    { { "g", member_id("m2"), false, false, term(4) } }, revision_of(2), at(1000));
  bench.subject->handle_report(outdated);
  CHECK_FALSE(bench.views.back().positions.contains("g"));
}

// Guards against refusals while the store is unavailable: reports relayed by several seeds arrived
// several times, and each copy took tokens that nobody received.
TEST_CASE("a report that arrives several times gets tokens once")
{
  coordinator_bench bench;
  bench.now = at(5000);
  bench.update_fleet(5000);
  bench.subject->handle_report(bench.report(50'000));
  bench.now = at(6000);
  bench.update_fleet(6000);
  auto asking = bench.report(51'000);
  asking.grant_number = bench.views.back().grant.number;
  asking.view = applied_view{
    fencing_token(1), bench.views.back().view_number, bench.views.back().clock, ms(0)
  };
  asking.waiting[workspace_id("w")] = 3;
  bench.subject->handle_report(asking);
  const auto answered = bench.views.size();
  for (int i = 0; i < 4; ++i) {
    bench.subject->handle_report(asking);
  }
  CHECK(bench.views.size() == answered);
}

// Guards against reads and writes at a former primary: a coordinator that had claimed the lease
// before it applied the group records confirmed that there were none, and its receivers used the
// first member that called itself primary.
TEST_CASE("a coordinator that has not read the group records confirms none")
{
  coordinator_bench bench;
  bench.fleet = fleet_state({ ms(4750), primary_use_limit, commit_answer_limit });
  bench.subject->handle_report(bench.report(1));
  REQUIRE(bench.views.size() == 1);
  CHECK_FALSE(bench.views.back().groups_age);
  bench.fleet.update_groups({}, revision_of(1), at(10));
  bench.subject->handle_report(bench.report(2));
  CHECK(bench.views.back().groups_age);
}

// Guards against instances that stay without evidence because their registration was lost.
TEST_CASE("a view states whether its receiver is registered in the store")
{
  coordinator_bench bench;
  bench.subject->handle_report(bench.report(1));
  CHECK(bench.views.back().registered);
  auto stranger = bench.report(1);
  stranger.instance = instance_id("b");
  bench.subject->handle_report(stranger);
  CHECK_FALSE(bench.views.back().registered);
}

// Large instances restart one after another, the coordinator among them. Guards against a new
// coordinator that removes carriers which are stopping or have not reported to it yet: the few that
// remain cannot serve the load.
TEST_CASE("a new coordinator keeps carriers that restart or have not reported yet")
{
  coordinator_bench bench;
  bench.plan.version = 1;
  for (const std::string name : { "a", "b", "d" }) {
    bench.plan.carriers.push_back(
      { instance_id(name), zone_id("z"), "10.0.0.1:1", 0.5, false, false });
  }
  const auto previous = bench.plan;
  const auto send_report = [&](const std::string& name, bool leaving) {
    auto sent_report = bench.report(bench.now.time_since_epoch().count() / 1000 + 1);
    sent_report.instance = instance_id(name);
    sent_report.zone = zone_id("z");
    sent_report.relay_address = "10.0.0.1:1";
    sent_report.capacity = 0.5;
    sent_report.leaving = leaving;
    bench.subject->handle_report(sent_report);
  };
  for (std::int64_t time = 0; time < 7900; time += 500) {
    bench.now = at(time);
    bench.update_fleet(time);
    send_report("a", false);
    if (time < 2000) {
      send_report("b", true);
    }
    bench.subject->tick(true);
    CHECK(bench.plan.carriers.size() == 3);
    for (const auto& entry : previous.carriers) {
      CHECK(bench.plan.carries(entry.instance));
    }
  }
  CHECK_FALSE(bench.plan.carriers.front().unavailable);
  CHECK(bench.plan.carriers.back().unavailable);
  for (std::int64_t time = 8000; time < 12000; time += 500) {
    bench.now = at(time);
    bench.update_fleet(time);
    send_report("a", false);
    bench.subject->tick(true);
  }
  CHECK(bench.plan.version > previous.version);
  CHECK(bench.plan.carries(instance_id("a")));
  CHECK_FALSE(bench.plan.carries(instance_id("b")));
  CHECK_FALSE(bench.plan.carries(instance_id("d")));
}

// Guards against carriers that are left out of the plan for a moment after a change of coordinator:
// a request for tokens that arrived before the first complete report made an entry without a time,
// and the carrier counted as gone. Its sessions moved, and it followed the new coordinator
// without a complete view.
TEST_CASE(
  "a carrier stays in the plan if its token request is the first that a coordinator receives")
{
  coordinator_bench bench;
  bench.plan.version = 3;
  bench.plan.carriers = {
    { instance_id("a"), zone_id("z"), "10.0.0.1:1", 0.5, false, false },
    { instance_id("b"), zone_id("z"), "10.0.0.2:1", 0.5, false, false },
  };
  // So late that an entry without a time counts as expired.
  bench.now = at(1'000'000);
  bench.update_fleet(1'000'000);
  bench.start_coordinator();
  bench.now = at(1'000'100);
  auto request = bench.report(50'000);
  request.tokens_only = true;
  bench.subject->handle_report(request);
  bench.subject->tick(true);
  CHECK(bench.plan.carries(instance_id("a")));
  CHECK(bench.plan.version == 3);
}

// Guards against limits that are exceeded after the first change of coordinator: an instance that
// had read the fleet's table before there was any coordinator took over from the first one as if no
// shares were in use.
TEST_CASE("only the fleet's first coordinator grants shares at once")
{
  for (const std::uint64_t token : { 1, 2 }) {
    coordinator_bench bench;
    bench.now = at(1000);
    bench.update_fleet(1000);
    // The others may hold all shares of an earlier coordinator and have not reported yet.
    for (const auto* name : { "b", "c", "d", "e" }) {
      bench.registered[instance_id(name)] = incarnation_id(1);
    }
    bench.start_coordinator(fencing_token(token));
    bench.subject->handle_report(bench.report(50'000));
    REQUIRE(bench.views.back().shares);
    const auto share = bench.views.back().shares->find(workspace_id("w"));
    const auto granted = share == bench.views.back().shares->end() ? 0 : share->second;
    CHECK((granted > 0) == (token == 1));
  }
}

namespace {

// The group of replacement_bench with one member in each zone; m2 leads and answers.
struct evacuation_replacement
{
  evacuation_replacement()
  {
    bench.unreachable.clear();
    bench.members["m1"].primary = false;
    list_members();
    bench.fleet.update_evacuations({ {}, revision_of(1), bench.now });
    bench.take_over();
    bench.run(500);
  }

  void list_members()
  {
    bench.fleet.update_members({ make_member("m1", "z1", leads("m1")),
                                 make_member("m2", "z2", leads("m2")),
                                 make_member("m3", "z3", leads("m3")) },
                               bench.now);
  }

  bool leads(const std::string& member) const { return bench.members.at(member).primary; }

  void evacuate(const std::set<zone_id>& zones)
  {
    bench.fleet.update_evacuations({ zones, revision_of(++revision), bench.now });
  }

  void run(std::int64_t for_ms)
  {
    for (std::int64_t time = 0; time < for_ms; time += 100) {
      bench.run(100);
      list_members();
    }
  }

  std::string primary() const { return bench.fleet.groups().at("g").primary.get(); }

  replacement_bench bench;
  std::uint64_t revision = 1;
};

}

// Guards against a group that stays without writes while a member outside the evacuated zones could
// lead, and against promotions into an evacuated zone.
TEST_CASE("a primary in an evacuated zone is replaced by a member in another zone")
{
  const zone_id z1("z1");
  const zone_id z2("z2");
  const zone_id z3("z3");
  evacuation_replacement group;
  SUBCASE("the most advanced member elsewhere leads, and keeps the lead after the end")
  {
    group.evacuate({ z2 });
    group.run(4000);
    CHECK(group.bench.promoted == std::vector<std::string>{ "m3" });
    group.evacuate({});
    group.run(4000);
    CHECK(group.primary() == "m3");
  }
  SUBCASE("the successor's zone is evacuated next")
  {
    group.evacuate({ z2 });
    group.run(4000);
    group.evacuate({ z2, z3 });
    group.run(6000);
    CHECK(group.bench.promoted == std::vector<std::string>{ "m3", "m1" });
    CHECK(group.primary() == "m1");
  }
  SUBCASE("the successor's zone is evacuated while the fence is waited for")
  {
    group.bench.subject->set_registered_instances({ { instance_id("b"), incarnation_id(2) } });
    group.evacuate({ z2 });
    group.run(1000);
    REQUIRE(group.bench.promoted.empty());
    group.evacuate({ z2, z3 });
    group.run(6000);
    CHECK(group.bench.promoted == std::vector<std::string>{ "m1" });
  }
  SUBCASE("no replacement if all zones are evacuated, also of a lost primary")
  {
    group.evacuate({ z1, z2, z3 });
    group.run(2000);
    group.bench.unreachable = { "m2" };
    group.run(4000);
    CHECK(group.bench.promoted.empty());
    CHECK_FALSE(group.bench.fleet.groups().at("g").changing);
  }
  SUBCASE("a lost primary is replaced by a member in an evacuated zone if nobody else answers")
  {
    group.evacuate({ z3 });
    group.bench.unreachable = { "m1", "m2" };
    group.run(4000);
    CHECK(group.primary() == "m3");
  }
}

// Guards against commands to a zone after the limit: a replacement that starts late does not ask
// the old primary.
TEST_CASE("a replacement sends no command to a zone after the limit if others may lead")
{
  for (const std::uint32_t sync_replicas : { 0U, 1U }) {
    for (const bool other_has_commits : { true, false }) {
      CAPTURE(sync_replicas);
      CAPTURE(other_has_commits);
      evacuation_replacement group;
      group.bench.replaces = false;
      group.bench.take_over();
      auto configuration = make_configuration(2);
      configuration.groups.front().sync_replicas = sync_replicas;
      group.bench.fleet.update_configuration(configuration, group.bench.now);
      group.bench.members["m3"].received = other_has_commits ? point(4, 60) : point(4, 59);
      group.evacuate({ zone_id("z2") });
      group.run(6000);
      group.bench.replaces = true;
      group.bench.take_over();
      group.bench.commanded.clear();
      group.run(6000);
      CHECK(group.primary() == "m3");
      CHECK_FALSE(group.bench.commanded.contains("m2"));
    }
  }
}

// Guards against a group that stays without a primary: its primary stepped down without a record,
// and was then listed as a replica like all others.
TEST_CASE("a group whose primary stepped down unrecorded gets a new one")
{
  replacement_bench bench;
  bench.unreachable.clear();
  bench.members["m1"].primary = false;
  bench.members["m2"].primary = false;
  bench.fleet = fleet_state({ ms(4750), primary_use_limit, commit_answer_limit });
  bench.fleet.update_configuration(make_configuration(), bench.now);
  const auto list = [&](bool m2_leads) {
    bench.fleet.update_members({ make_member("m1", "z1", false),
                                 make_member("m2", "z2", m2_leads),
                                 make_member("m3", "z3", false) },
                               bench.now);
  };
  const auto records = [&] { return bench.fleet.groups().size(); };
  bench.take_over();
  SUBCASE("after a while, the most advanced member leads")
  {
    bench.members["m1"].received = point(4, 59);
    list(true);
    bench.run(1000);
    list(false);
    bench.run(2800);
    CHECK(records() == 0);
    bench.run(2000);
    CHECK(bench.promoted == std::vector<std::string>{ "m3" });
    CHECK(bench.fleet.groups().at("g").primary == member_id("m3"));
  }
  SUBCASE("a member that leads already is recorded")
  {
    list(true);
    list(false);
    bench.members["m3"] = { true, term(5), point(5, 60), term(0) };
    bench.run(6000);
    CHECK(bench.promoted.empty());
    CHECK(bench.fleet.groups().at("g").primary == member_id("m3"));
  }
  SUBCASE("not while the fleet starts and the first primary is not listed yet")
  {
    list(false);
    bench.run(8000);
    CHECK(records() == 0);
    CHECK(bench.commanded.empty());
  }
  SUBCASE("not while all members are in evacuated zones")
  {
    list(true);
    list(false);
    bench.fleet.update_evacuations(
      { { zone_id("z1"), zone_id("z2"), zone_id("z3") }, revision_of(2), bench.now });
    bench.run(8000);
    CHECK(records() == 0);
  }
}

// Guards against views that end an evacuation: a coordinator without knowledge must not send an
// empty set as if it were one that it read.
TEST_CASE("views carry the evacuated zones with the age of the read")
{
  coordinator_bench bench;
  bench.subject->handle_report(bench.report(100));
  CHECK(bench.views.back().evacuations_version == store_version());
  bench.fleet.update_evacuations({ { zone_id("z") }, revision_of(7), at(0) });
  bench.now = at(300);
  bench.subject->send_views();
  CHECK(bench.views.back().evacuated_zones == std::set{ zone_id("z") });
  CHECK(bench.views.back().evacuations_version == revision_of(7));
  CHECK(bench.views.back().evacuations_age == ms(300));
}

// The lease of the coordinator ends while the store is down. Guards against refusals at instances
// that are all in contact with it, against granting the rate of an instance that may have another
// coordinator, and against grants before the end of the lease was noticed.
TEST_CASE("a coordinator without a lease serves the part that no other coordinator can grant")
{
  coordinator_bench bench;
  const workspace_id workspace("w");
  token_grant newest;
  // Tokens that `a` gets in the second second, with 200 waiting operations at each report. It
  // uses them at once.
  const auto tokens_after = [&](std::int64_t begin, bool b_reports) {
    double tokens = 0;
    for (std::int64_t time = begin; time < begin + 2000; time += 250) {
      bench.now = at(time);
      auto report = bench.report(time);
      report.view = applied_view{ fencing_token(1), 1, at(time), {} };
      if (b_reports) {
        auto other = report;
        other.instance = instance_id("b");
        bench.subject->handle_report(other);
      }
      report.grant_number = newest.number;
      report.used = newest.tokens;
      report.waiting[workspace] = 200;
      bench.subject->handle_report(report);
      newest = bench.views.back().grant;
      tokens += time < begin + 1000 ? 0 : newest.tokens[workspace];
    }
    return tokens;
  };
  REQUIRE(tokens_after(0, true) > 80);
  bench.lease_held = false;
  const auto sent = bench.views.size();
  auto request = bench.report(2000);
  request.tokens_only = true;
  bench.subject->handle_report(request);
  CHECK(bench.views.size() == sent);
  // One second at a rate of 100.
  CHECK(tokens_after(2250, true) > 80);
  CHECK(tokens_after(4250, false) < 50);
}

// Guards against a new primary that the fleet forgets after a drill and a start of all processes:
// only the members still know that it was promoted (review/9).
TEST_CASE("after a drill the member that leads in the newest term is recorded")
{
  replacement_bench bench;
  bench.unreachable.clear();
  // m3 was promoted in the lost seconds; m2, which the record names, goes on as a replica.
  bench.members["m1"].primary = false;
  bench.members["m2"] = { false, term(5), point(5, 70), term(0) };
  bench.members["m3"] = { true, term(5), point(5, 70), term(0) };
  bench.restore({ "g", member_id("m2"), false, false, term(4) });
  CHECK_FALSE(bench.fleet.primary_of("g", bench.now)->usable);
  bench.take_over();
  bench.run(1000);
  CHECK(bench.promoted.empty());
  REQUIRE(bench.fleet.is_confirmed("g"));
  CHECK(bench.fleet.primary_of("g", bench.now)->member == member_id("m3"));
  CHECK(bench.fleet.primary_of("g", bench.now)->usable);
  CHECK(bench.fleet.groups().at("g").primary_term == term(5));
}

// Guards against a former primary that is confirmed because the one that replaced it does not
// answer at once, and against a group that waits for ever for a member that ended.
TEST_CASE("after a drill a primary is confirmed once all members answered or had time to")
{
  replacement_bench bench;
  bench.unreachable = { "m3" };
  bench.members["m1"].primary = false;
  bench.restore({ "g", member_id("m2"), false, false, term(4) });
  bench.take_over();
  bench.run(2000);
  CHECK_FALSE(bench.fleet.is_confirmed("g"));
  SUBCASE("the silent member leads in a newer term")
  {
    bench.members["m3"] = { true, term(5), point(5, 70), term(0) };
    bench.unreachable.clear();
    bench.run(1000);
    CHECK(bench.fleet.primary_of("g", bench.now)->member == member_id("m3"));
  }
  SUBCASE("the silent member ended")
  {
    bench.run(2500);
    REQUIRE(bench.fleet.is_confirmed("g"));
    CHECK(bench.fleet.primary_of("g", bench.now)->member == member_id("m2"));
  }
  CHECK(bench.promoted.empty());
}

// Guards against a group without a primary after a drill at the same time as a crash of the
// primary.
TEST_CASE("a primary that cannot be confirmed after a drill is replaced")
{
  replacement_bench bench;
  bench.members["m1"].primary = false;
  bench.restore({ "g", member_id("m2"), false, false, term(4) });
  bench.take_over();
  for (int i = 0; i < 80 && bench.promoted.empty(); ++i) {
    bench.run(100);
  }
  bench.run(1000);
  REQUIRE(bench.promoted.size() == 1);
  REQUIRE(bench.fleet.is_confirmed("g"));
  CHECK(bench.fleet.primary_of("g", bench.now)->member == member_id(bench.promoted.front()));
}

// Guards against a replacement that a drill leaves unfinished: the restored record does not show
// it, but the coordinator or another instance knows it.
TEST_CASE("a replacement that a drill took back is recorded again and continued")
{
  replacement_bench bench;
  bench.members["m1"].primary = false;
  bench.restore({ "g", member_id("m2"), false, false, term(4) });
  bench.fleet.adopt_records({ { "g", member_id("m2"), true, false, term(4) } });
  bench.take_over();
  for (int i = 0; i < 40 && bench.promoted.empty(); ++i) {
    bench.run(100);
  }
  bench.run(1000);
  REQUIRE(bench.promoted.size() == 1);
  CHECK(bench.fleet.primary_of("g", bench.now)->member == member_id(bench.promoted.front()));
}

// Guards against knowledge of a replacement that stays with one instance after a drill.
TEST_CASE("the coordinator hears of records that are later than the store's")
{
  replacement_bench bench;
  std::vector<group_record> heard;
  bench.take_over();
  bench.records_reported = [&](const std::vector<group_record>& records) { heard = records; };
  instance_report report;
  report.instance = instance_id("b");
  report.incarnation = incarnation_id(1);
  report.clock = bench.now;
  report.records_ahead = { { "g", member_id("m3"), false, false, term(5), store_era(1) } };
  bench.subject->handle_report(report);
  CHECK(heard == report.records_ahead);
}

// Guards against lost commits: the coordinator was killed and started again while a replica that
// had left the list was running. The other instances still know of the replica (review/6).
TEST_CASE("a coordinator that started anew learns from reports which members left the list")
{
  coordinator_bench bench;
  bench.now = at(60'000);
  bench.fleet = fleet_state({ ms(4750), primary_use_limit, commit_answer_limit });
  bench.update_fleet(60'000);
  bench.start_coordinator(fencing_token(2));
  REQUIRE_FALSE(bench.fleet.knows_all_removals(bench.now));
  auto report = bench.report(100'000);
  report.removals.complete_since = at(65'000);
  report.removals.members = { { member_id("m3"), "g", "10.0.0.1:3", at(99'300) } };
  // Made before this coordinator read the list, so a member may have left in between.
  report.view = applied_view{ fencing_token(1), 7, at(59'000), ms(0) };
  bench.subject->handle_report(report);
  CHECK_FALSE(bench.fleet.knows_all_removals(bench.now));
  report.clock = at(100'250);
  report.view = applied_view{ fencing_token(2), 1, at(60'000), ms(0) };
  bench.subject->handle_report(report);
  CHECK(bench.fleet.knows_all_removals(bench.now));
  CHECK(bench.fleet.possible_commit_holders("g", bench.now).contains(member_id("m3")));
  // Forgotten 30 s after it left, as by the other instances.
  CHECK_FALSE(bench.fleet.possible_commit_holders("g", at(89'500)).contains(member_id("m3")));
}

// Guards against carriers on which the instances disagree: a drill took the newest plan back, and
// the coordinator knows only the one before.
TEST_CASE("a plan that the store lost is followed by a newer one")
{
  coordinator_bench bench;
  bench.plan.version = 3;
  bench.plan.carriers = { { instance_id("a"), zone_id("z"), "10.0.0.1:2", 1.0, false, false } };
  auto report = bench.report(100);
  report.relay_address = "10.0.0.1:2";
  report.zone = zone_id("z");
  report.capacity = 1;
  report.plan_version = 5;
  bench.now = at(1000);
  bench.subject->handle_report(report);
  bench.subject->tick(true);
  CHECK(bench.plan.version == 6);
  CHECK(bench.plan.carries(instance_id("a")));
  bench.now = at(2000);
  bench.subject->tick(true);
  CHECK(bench.plan.version == 6);
}
