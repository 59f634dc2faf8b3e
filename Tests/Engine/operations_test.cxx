#include "sim_session.h"

#include <doctest/doctest.h>

#include <iostream>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

// Guards against a planned stop that interrupts requests or transactions or reports a wrong
// outcome.
TEST_CASE("planned stop of each instance in turn under load")
{
  sim_fleet fleet({ .seed = 41 });
  fleet.run(8s);
  sim_session_group callers(
    fleet, 10, { .name = "s", .reads = 2, .pause = 5ms, .transactions = 20 });
  fleet.run(2s);
  for (auto& [name, instance] : fleet.instances()) {
    CAPTURE(name);
    const auto from = fleet.loop.now();
    instance->core->drain(from + instance->offset);
    while (!instance->core->drained() && fleet.loop.now() < from + 40s) {
      fleet.run(50ms);
    }
    CHECK(instance->core->drained());
    fleet.kill(name);
    fleet.run(1s);
    fleet.start(name);
    fleet.run(6s);
  }
  callers.stop();
  fleet.run(6s);
  fleet.verify();
  CHECK(describe(callers.failures()) == "none");
  CHECK(callers.sum(&sim_session::lost_transactions) == 0);
}

// Guards against more than burst + rate * w admissions in a window of length w over all instances
// while one instance is killed and restarted.
TEST_CASE("rate limit holds over all instances while one is killed and restarted")
{
  constexpr std::int64_t rate = 50;
  constexpr std::int64_t burst = 20;
  for (std::uint64_t seed = 51; seed <= 53; ++seed) {
    CAPTURE(seed);
    sim_fleet fleet({ .seed = seed, .rate = rate, .burst = burst });
    fleet.run(10s);
    const auto from = fleet.loop.now();
    for (int i = 0; i < 6000; ++i) {
      if (i == 1500 || i == 3000) {
        fleet.kill("z2-1");
      }
      if (i == 2000 || i == 3010) {
        fleet.start("z2-1");
      }
      const auto names = fleet.routable_instances();
      fleet.submit(names[fleet.random() % names.size()], sim_fleet::statement(false, "GET k"), {});
      fleet.run(10ms);
    }
    fleet.run(6s);
    std::vector<instant> admitted;
    for (const auto& record : fleet.records) {
      const bool refused = !record->answer || record->answer->code == result_code::rate_exceeded ||
                           record->answer->code == result_code::rate_share_unavailable ||
                           record->answer->code == result_code::key_evidence_stale ||
                           record->answer->code == result_code::no_configuration;
      if (!refused) {
        admitted.push_back(record->started);
      }
    }
    // A request that waits for a borrowed token is admitted at most this long after its start.
    constexpr duration wait = 70ms;
    std::size_t worst = 0;
    for (std::size_t i = 0; i < admitted.size(); ++i) {
      for (std::size_t j = i; j < admitted.size(); ++j) {
        const auto window = admitted[j] - admitted[i] + wait;
        const auto allowed = burst * 1'000'000 + rate * window.count();
        if (static_cast<std::int64_t>(j - i + 1) * 1'000'000 > allowed) {
          worst = std::max(worst, j - i + 1);
        }
      }
    }
    CHECK(worst == 0);
    const auto length = (fleet.loop.now() - 6s - from) / 1ms;
    std::cout << "rate: admitted " << admitted.size() << " in " << length << " ms of "
              << burst + rate * length / 1000 << " allowed; " << describe(fleet.end_codes())
              << "\n";
    CHECK(admitted.size() * 1000 > static_cast<std::size_t>(rate * length) * 7 / 10);
  }
}

// Guards against new requests for a member that is leaving, and against writes that stop when the
// leaving member is the primary.
TEST_CASE("leaving member receives no new requests")
{
  for (const std::string leaving : { "main-2", "main-1" }) {
    CAPTURE(leaving);
    sim_fleet fleet({ .seed = 61 });
    fleet.run(8s);
    sim_session_group callers(
      fleet, 8, { .name = "s", .reads = 3, .pause = 5ms, .transactions = 10 });
    fleet.run(2s);
    fleet.group.set_leaving(leaving);
    const auto from = fleet.loop.now();
    fleet.run(20s);
    auto& member = fleet.group.at(leaving);
    CHECK(member.last_new_work <= member.leaving_since + 2s);
    CHECK(callers.longest_gap(from, fleet.loop.now()) <= 13s);
    callers.stop();
    fleet.run(7s);
    fleet.verify();
    std::cout << "leaving " << leaving << ": last new work after "
              << (member.last_new_work - from) / 1ms << " ms, write gap "
              << callers.longest_gap(from, from + 20s) / 1ms << " ms, failures "
              << describe(callers.failures()) << "\n";
  }
}

// Guards against a configuration edit that is lost, applied twice or reported wrongly when two
// operators edit concurrently or the answer of the table service is lost.
TEST_CASE("concurrent edits and an edit whose answer is lost")
{
  sim_fleet fleet({ .seed = 71 });
  fleet.run(8s);
  const auto edit = [&](const std::string& instance, int rate, int expected) {
    const auto answer = std::make_shared<operator_answer>();
    const auto content = config_text({ .rate = rate });
    boost::json::object body{ { "content", content }, { "expect", expected } };
    fleet.command(instance,
                  "/v1/config",
                  boost::json::serialize(body),
                  [answer](operator_answer got) { *answer = std::move(got); });
    return answer;
  };
  const auto rates = [&] {
    std::set<std::int64_t> seen;
    for (auto& [name, instance] : fleet.instances()) {
      seen.insert(instance->core->control().config().find_workspace(workspace_id("a"))->rate);
    }
    return seen;
  };
  const auto first = edit("z1-1", 111, 1);
  const auto second = edit("z3-2", 222, 1);
  fleet.run(4s);
  const bool first_won = first->body.find("accepted") != std::string::npos;
  CHECK(first->body.find("accepted") != second->body.find("accepted"));
  const auto& lost = first_won ? second : first;
  CHECK(lost->status == 409);
  CHECK(lost->body.find(first_won ? "-> 111" : "-> 222") != std::string::npos);
  CHECK(rates() == std::set<std::int64_t>{ first_won ? 111 : 222 });

  int puts = 0;
  fleet.table_outcome = [&](call_kind kind, const std::string& key) {
    call_outcome outcome;
    if (kind == call_kind::put && key == "config" && ++puts == 1) {
      outcome.fails = true;
      outcome.response_delay = 2s;
    }
    return outcome;
  };
  const auto third = edit("z2-1", 333, 2);
  fleet.run(8s);
  CHECK(third->body.find("accepted") != std::string::npos);
  CHECK(rates() == std::set<std::int64_t>{ 333 });
  for (auto& [name, instance] : fleet.instances()) {
    CHECK(instance->core->control().config_document().version() == config_version(3));
  }
}
