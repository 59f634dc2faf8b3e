#include <doctest/doctest.h>

#include "session_bench.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;
using command_kind = member_command::command_kind;

namespace {

constexpr std::string_view alphabet = "wrvnstpq";
constexpr int sequence_length = 6;

// A store with one evacuation row, a coordinator that reads it, and an instance with one session.
struct evacuation_bench
{
  evacuation_bench(const std::string& database, const std::string& evacuated, bool has_setting)
    : instance(database)
    , zone(evacuated)
  {
    if (has_setting) {
      // A command that precedes the transaction on a new connection.
      instance.submit(statement_kind::set, "SET s v", "s", "v");
    }
    instance.on_send = [this](const zone_id& sent_to) { check_send(sent_to); };
    read_store(instance.evacuations);
  }

  evacuation_evidence read() const
  {
    const auto zones = row ? std::set{ zone } : std::set<zone_id>();
    return { zones, revision_of(revision), instance.now };
  }

  void read_store(evacuated_zones& reader)
  {
    reader.update(read());
    if (&reader == &instance.evacuations) {
      instance.pool.set_evacuated_zones(instance.evacuations.zones(), instance.now);
    }
  }

  // A command may reach the zone unless the instance knows of the evacuation, and then only in a
  // transaction that was open before, within the limit from the acknowledgement.
  void check_send(const zone_id& sent_to)
  {
    if (sent_to != zone || !instance.evacuations.contains(zone)) {
      return;
    }
    const auto kind = instance.commands.back().command.kind;
    const bool begins = kind == command_kind::begin || kind == command_kind::begin_read;
    violated = violated || begins || (row && instance.now - written_at >= ms(1000));
  }

  void write_row(bool present)
  {
    row = present;
    ++revision;
    written_at = instance.now;
  }

  void tick()
  {
    instance.pool.tick(instance.now);
    instance.session->tick(instance.now);
    instance.open_connections();
  }

  // Answers the oldest command, or else sends the caller's next statement.
  void step_session()
  {
    std::erase_if(instance.commands, [this](const auto& sent) {
      return std::count(instance.closed.begin(), instance.closed.end(), sent.connection) > 0;
    });
    if (!instance.commands.empty()) {
      const bool ends = instance.command().kind == command_kind::rollback;
      instance.reply(std::nullopt, ends ? transaction_state::idle : transaction_state::open);
    } else if (instance.session->busy()) {
      tick();
    } else if (instance.session->state() == transaction_state::failed) {
      instance.submit(statement_kind::rollback, "ROLLBACK");
    } else {
      if (instance.session->state() == transaction_state::idle) {
        instance.submit(statement_kind::begin_read, "BEGIN READ");
      }
      instance.submit(statement_kind::read, "READ a");
    }
  }

  void step(char letter)
  {
    switch (letter) {
      case 'w':
        write_row(!row);
        break;
      case 'r':
        read_store(coordinator);
        break;
      case 'n':
        // A new coordinator has not read the table.
        coordinator = evacuated_zones(ms(1000));
        [[fallthrough]];
      case 'v':
        instance.evacuations.update(coordinator.evidence());
        instance.pool.set_evacuated_zones(instance.evacuations.zones(), instance.now);
        break;
      case 's':
        read_store(instance.evacuations);
        break;
      case 't':
        for (int i = 0; i < 4; ++i) {
          instance.now += ms(100);
          tick();
        }
        break;
      case 'p':
        // The process is suspended.
        instance.now += ms(1200);
        break;
      default:
        step_session();
    }
  }

  void run(std::string_view letters)
  {
    for (const char letter : letters) {
      step(letter);
    }
  }

  session_bench instance;
  zone_id zone;
  evacuated_zones coordinator{ ms(1000) };
  bool row = false;
  std::uint64_t revision = 1;
  instant written_at{};
  bool violated = false;
};

// The first violated property after the sequence; empty if all hold.
std::string
failure_of(const std::string& database,
           const std::string& zone,
           bool has_setting,
           const std::string& sequence)
{
  evacuation_bench bench(database, zone, has_setting);
  bench.run(sequence);
  const bool serves = database != "writes";
  if (!bench.row) {
    bench.write_row(true);
  }
  bench.run("sttt");
  if (bench.violated) {
    return "a command was sent to the evacuated zone";
  }
  if (!bench.instance.commands.empty() && bench.instance.command().kind == command_kind::rollback) {
    // Only a rollback without an answer may still hold a connection.
    bench.run("q");
  }
  if (bench.instance.pool.connections_to(bench.zone) > 0) {
    return "a connection to the evacuated zone remained";
  }
  bench.instance.answers.clear();
  bench.run("qqqqqq");
  const auto& answers = bench.instance.answers;
  const bool any_ran = std::any_of(answers.begin(), answers.end(), [](const auto& answer) {
    return !answer.error && answer.signature == "sig";
  });
  const bool any_busy = std::any_of(answers.begin(), answers.end(), [](const auto& answer) {
    return answer.error == statement_error::busy;
  });
  if (bench.violated || any_ran != serves || any_busy == serves) {
    return "a request was answered wrongly during the evacuation";
  }
  bench.write_row(false);
  bench.run("st");
  bool served = false;
  bench.instance.on_send = [&](const zone_id& sent_to) {
    served = served || serves || sent_to == bench.zone;
  };
  bench.run("qqqqqq");
  return served ? "" : "no work returned after the evacuation";
}

}

// Guards against requests to members of an evacuated zone later than the limit, in every order of
// changes of the row, reads, views, changes of the coordinator, suspensions and statements; and
// against members that stay unused after the end.
TEST_CASE("an evacuated zone gets no request after the limit, whatever happens in which order")
{
  std::size_t sequences = 1;
  for (int i = 0; i < sequence_length; ++i) {
    sequences *= alphabet.size();
  }
  // The primary m1 is in z1; bounded reads prefer the replica in z2.
  for (const auto& [database, zone, has_setting] : { std::tuple("writes", "z1", false),
                                                     std::tuple("writes", "z1", true),
                                                     std::tuple("stale", "z2", false) }) {
    std::size_t failed = 0;
    std::string shortest;
    for (std::size_t number = 0; number < sequences; ++number) {
      std::string sequence;
      for (std::size_t rest = number, i = 0; i < sequence_length; ++i, rest /= alphabet.size()) {
        sequence += alphabet[rest % alphabet.size()];
      }
      if (const auto failure = failure_of(database, zone, has_setting, sequence);
          !failure.empty()) {
        ++failed;
        shortest = shortest.empty() ? sequence + ": " + failure : shortest;
      }
    }
    CAPTURE(database);
    CAPTURE(shortest);
    CHECK(failed == 0);
  }
}

// Guards against an evacuation that is undone by a late view or by a coordinator without knowledge,
// and against deadlines that start when a delayed message arrives.
TEST_CASE("a set of evacuated zones is replaced only by a newer one")
{
  evacuated_zones zones(ms(1000));
  const std::set evacuated{ zone_id("z1") };
  CHECK(zones.update({ {}, revision_of(5), at(100) }) == false);
  CHECK(zones.update({ evacuated, revision_of(6), at(400) }));
  CHECK(zones.deadlines(zone_id("z1"))->transactions_end == at(800));
  CHECK(zones.deadlines(zone_id("z1"))->use_ends == at(1000));
  CHECK_FALSE(zones.update({ {}, revision_of(5), at(900) }));
  CHECK_FALSE(zones.update({ {}, revision_of(0), at(900) }));
  CHECK_FALSE(zones.update({ evacuated, revision_of(8), at(950) }));
  CHECK(zones.evidence().confirmed_at == at(950));
  CHECK(zones.use_ended(zone_id("z1"), at(1000)));
  CHECK(zones.update({ {}, revision_of(9), at(1100) }));
  CHECK_FALSE(zones.deadlines(zone_id("z1")));
}

// Guards against a slow statement that keeps a zone in use beyond the limit, and against one that
// is cut off although it may still end in time.
TEST_CASE("a statement in flight at an evacuated member ends at the limit at the latest")
{
  session_bench bench("writes");
  auto configuration = make_configuration();
  configuration.routes.front().statement_timeout = ms(5000);
  bench.configuration = configuration_index(configuration);
  const auto begin = bench.now;
  bench.evacuations.update({ {}, revision_of(1), begin });
  bench.submit(statement_kind::begin, "BEGIN");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.reply(std::nullopt, transaction_state::open);
  bench.evacuations.update({ { zone_id("z1") }, revision_of(2), begin + ms(100) });
  bench.pool.set_evacuated_zones(bench.evacuations.zones(), bench.now);
  bench.now = begin + ms(890);
  bench.session->tick(bench.now);
  CHECK(bench.answers.size() == 1);
  SUBCASE("its answer counts, and the transaction ends before the next statement")
  {
    bench.reply(std::nullopt, transaction_state::open);
    REQUIRE(bench.answers.size() == 2);
    CHECK_FALSE(bench.answers.back().error);
    bench.submit(statement_kind::commit, "COMMIT");
    CHECK(bench.answers.back().error == statement_error::aborted);
    CHECK(bench.command().kind == command_kind::rollback);
  }
  SUBCASE("it ends at the limit, without another message")
  {
    bench.now = begin + ms(900);
    bench.session->tick(bench.now);
    CHECK(bench.answers.back().error == statement_error::aborted);
    CHECK(bench.commands.size() == 1);
    CHECK(bench.pool.connections_to(zone_id("z1")) == 0);
  }
}
