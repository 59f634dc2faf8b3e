#include "sim_session.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

// Ends all network and member faults and waits until the fleet has recovered.
void
end_faults(sim_fleet& fleet)
{
  fleet.heal();
  for (auto& [id, member] : fleet.group.members()) {
    fleet.group.start(id);
    member->lag = 2ms;
  }
  fleet.run(10s);
}

}

// Guards against requests that are lost, repeated or reported with a wrong outcome when the home of
// the primary is killed, restarted or paused. Covers requests that are queued, sent, waiting for
// replication and in a transaction.
TEST_CASE("home of the primary is killed, restarted at once or paused")
{
  struct loss_of_home
  {
    const char* name;
    duration downtime;
    bool paused;
  };
  const std::vector<loss_of_home> kinds = { { "killed", 8s, false },
                                            { "restarted at once", 20ms, false },
                                            { "paused", 8s, true },
                                            { "paused briefly", 2s, true } };
  for (const auto& kind : kinds) {
    std::map<std::string, std::size_t> failures;
    duration longest{};
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      CAPTURE(kind.name);
      CAPTURE(seed);
      sim_fleet fleet({ .seed = seed, .slots = 2 });
      fleet.group.at("main-2").lag = 15ms;
      fleet.group.at("main-3").lag = 40ms;
      fleet.run(6s);
      sim_session_group plain(
        fleet, 8, { .name = "p", .reads = 1, .pause = 5ms, .transactions = 15 });
      sim_session_group repeated(
        fleet, 4, { .name = "r", .reads = 1, .pause = 5ms, .idempotent = true });
      fleet.run(3s);
      const auto home = fleet.home_of("main-1");
      const auto from = fleet.loop.now();
      kind.paused ? fleet.pause(home) : fleet.kill(home);
      fleet.run(kind.downtime);
      kind.paused ? fleet.resume(home) : fleet.start(home);
      fleet.run(15s);
      longest = std::max({ longest,
                           plain.longest_gap(from, fleet.loop.now()),
                           repeated.longest_gap(from, fleet.loop.now()) });
      plain.stop();
      repeated.stop();
      end_faults(fleet);
      fleet.verify();
      for (const auto& [name, count] : plain.failures()) {
        failures[name] += count;
      }
    }
    CHECK(longest <= 13s);
    std::cout << "home " << kind.name << ": longest gap " << longest / 1ms << " ms, failures "
              << describe(failures) << "\n";
  }
}

// Guards against a home that rejects all requests for a member assigned to it again because a
// transaction from its earlier assignment is still open.
TEST_CASE("home is assigned a member again while an old transaction is open")
{
  sim_fleet fleet({ .seed = 5 });
  fleet.run(6s);
  const auto first = fleet.home_of("main-1");
  fleet.kill(first);
  fleet.run(7s);
  const auto second = fleet.home_of("main-1");
  REQUIRE(second != first);
  transaction_id open;
  const auto begin = [&] {
    auto request = sim_fleet::statement(false, {});
    request.operation = caller_operation::begin;
    fleet.submit("z2-1", request, [&](const call_record& record) {
      REQUIRE(record.answer);
      CHECK(record.answer->message == "");
      open = record.answer->transaction;
    });
    fleet.run(500ms);
  };
  begin();
  fleet.start(first);
  fleet.run(2s);
  REQUIRE(fleet.home_of("main-1") == first);
  fleet.kill(first);
  // Statements keep the transaction from reaching its idle timeout.
  for (int i = 0; i < 8; ++i) {
    auto request = sim_fleet::statement(true, "PUT t " + std::to_string(i));
    request.transaction = open;
    fleet.submit("z2-1", request, {});
    fleet.run(1s);
  }
  std::string outcome = "none";
  fleet.submit("z2-1", sim_fleet::statement(true, "PUT k 1"), [&](const call_record& record) {
    outcome = record.answer ? std::string(name_of(record.answer->code)) : "lost";
  });
  fleet.run(6s);
  CHECK(outcome == "ok");
}

// Guards against acknowledged writes that are missing after a failover, and against long periods in
// which no write succeeds.
TEST_CASE("writes succeed again after the primary is lost")
{
  const std::vector<std::string> losses = { "killed", "zone isolated", "member isolated" };
  std::map<std::string, std::vector<duration>> gaps;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const auto& loss = losses[seed % losses.size()];
    CAPTURE(loss);
    CAPTURE(seed);
    sim_fleet fleet({ .seed = seed, .instances_per_zone = 1 });
    fleet.group.at("main-2").lag = std::chrono::milliseconds(1 + fleet.random() % 50);
    fleet.group.at("main-3").lag = std::chrono::milliseconds(1 + fleet.random() % 50);
    fleet.run(5s);
    const session_options options{ .name = "any", .reads = 0, .pause = 30ms, .deadline = 2s };
    auto elsewhere = options;
    elsewhere.name = "other";
    elsewhere.zone = "z2";
    sim_session_group any(fleet, 4, options);
    sim_session_group other(fleet, 4, elsewhere);
    fleet.run(1s + std::chrono::milliseconds(fleet.random() % 1000));
    const auto from = fleet.loop.now();
    if (loss == "killed") {
      fleet.kill_member("main-1");
    } else if (loss == "zone isolated") {
      fleet.isolate_zone("z1");
    } else {
      fleet.net.cut("main-1", "z2");
      fleet.net.cut("main-1", "z3");
    }
    fleet.run(14s);
    const auto gap =
      std::min(any.longest_gap(from, fleet.loop.now()), other.longest_gap(from, fleet.loop.now()));
    CHECK(gap <= 13s);
    gaps[loss].push_back(gap);
    any.stop();
    other.stop();
    end_faults(fleet);
    fleet.verify();
  }
  for (auto& [loss, lengths] : gaps) {
    std::sort(lengths.begin(), lengths.end());
    const auto at = [&](std::size_t percent) {
      return lengths[std::min(lengths.size() - 1, lengths.size() * percent / 100)] / 1ms;
    };
    std::cout << "primary " << loss << ": gap over " << lengths.size() << " seeds median " << at(50)
              << " ms, p99 " << at(99) << " ms, largest " << lengths.back() / 1ms << " ms\n";
  }
}
