#include <doctest/doctest.h>

#include <rapidcheck.h>

#include "../Support/fake_table.h"

#include "Account/month_closer.h"
#include "Account/usage_ledger.h"

#include <iostream>
#include <set>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

const workspace_id test_workspace{ "w" };
constexpr std::int64_t rate_milli = 20'000;
constexpr std::int64_t burst_milli = 10'000;

// Four ledgers that share one table and mirror to each other. `counted` is the oracle: the number
// of requests that all incarnations counted in each month.
class usage_fleet
{
public:
  struct node
  {
    std::shared_ptr<process> run = std::make_shared<process>();
    std::unique_ptr<usage_ledger> ledger;
    incarnation_id incarnation;
    instant started{};
    // Times of the last mirrors received from other incarnations.
    std::map<incarnation_id, instant> mirrors;
  };

  explicit usage_fleet(std::uint64_t seed)
    : table(loop)
    , random(seed)
    , nodes(4)
    , utc_start(calendar_month::parse("2026-12").value().begin() - 40)
  {
    for (auto& each : nodes) {
      start(each);
    }
    tick();
  }

  event_loop loop;
  fake_table table;
  std::mt19937_64 random;
  std::vector<node> nodes;
  std::int64_t utc_start;
  int lost_percent = 0;
  bool outage = false;
  bool requests_enabled = true;
  bool all_mirrors_lost = false;
  // For each ended incarnation, the incarnations that must write its rows.
  std::map<incarnation_id, std::set<incarnation_id>> pending_writers;
  std::map<std::string, std::uint64_t> counted;

  std::int64_t utc() const { return utc_start + loop.now().time_since_epoch().count() / 1'000'000; }

  table_hooks hooks(const std::shared_ptr<process>& run)
  {
    return table.hooks(run, [this](call_kind, const auto&, const auto&) {
      call_outcome outcome;
      outcome.request_delay = duration(random() % 20'000);
      const bool bad = outage || static_cast<int>(random() % 100) < lost_percent;
      outcome.takes_effect = !bad || random() % 3 == 0;
      outcome.responded = !bad || random() % 2 == 0;
      outcome.fails = bad;
      return outcome;
    });
  }

  void start(node& self)
  {
    self.run = std::make_shared<process>();
    self.incarnation = incarnation_id(random());
    self.started = loop.now();
    self.mirrors.clear();
    usage_settings settings;
    settings.write_interval = 500ms;
    settings.call_timeout = 300ms;
    self.ledger = std::make_unique<usage_ledger>(
      self.incarnation, settings, hooks(self.run), [this] { return loop.now(); }, utc());
  }

  // Kills the node's process and restarts it. The peers with a mirror of its counters are notified;
  // if there is none, one other node is.
  void kill(node& self)
  {
    // Unwritten counters of other incarnations are lost if no other peer has a mirror of them.
    const bool written = self.ledger->peers_written();
    for (auto& [ended, writers] : pending_writers) {
      const bool last = writers.erase(self.incarnation) > 0 && writers.empty();
      all_mirrors_lost = all_mirrors_lost || (last && !written);
    }
    const auto incarnation = self.incarnation;
    bool reported = false;
    const auto fail = [&](node& peer, instant since) {
      reported = true;
      pending_writers[incarnation].insert(peer.incarnation);
      peer.ledger->on_peer_failed(incarnation,
                                  { { test_workspace, rate_milli, burst_milli, 0 } },
                                  loop.now() - since,
                                  "killed");
    };
    for (auto& peer : nodes) {
      const auto mirror = peer.mirrors.find(incarnation);
      if (&peer != &self && mirror != peer.mirrors.end()) {
        fail(peer, mirror->second);
      }
    }
    if (!reported) {
      fail(&self == &nodes[0] ? nodes[1] : nodes[0], self.started);
    }
    self.run->running = false;
    start(self);
  }

  // Restarts the node gracefully, or as by kill() if its rows can't be handed over.
  void stop(node& self)
  {
    self.ledger->close();
    if (!self.ledger->peers_written() || mirror(self, true) == 0) {
      kill(self);
      return;
    }
    start(self);
  }

  // Counts one request if the share's rate and burst admit it.
  void request(node& self)
  {
    auto& bucket = tokens_[self.incarnation];
    const auto elapsed = (loop.now() - bucket.first).count();
    const auto filled = std::min(burst_milli, bucket.second + elapsed * rate_milli / 1'000'000);
    bucket = { loop.now(), bucket.first == instant{} ? burst_milli : filled };
    if (bucket.second < 1'000) {
      return;
    }
    bucket.second -= 1'000;
    const auto name = calendar_month::at(last_tick_utc_).text();
    self.ledger->count(test_workspace, usage_counter::admitted, 1);
    self.ledger->count(test_workspace, usage_counter::answered, 1);
    self.ledger->count(test_workspace, usage_counter::ended, 1);
    ++counted[name];
  }

  // Mirrors the node's counters to up to two peers; returns the number that received them.
  int mirror(node& self, bool closed)
  {
    int received = 0;
    const auto values = self.ledger->all_values();
    for (int i = 0; i < 2; ++i) {
      auto& peer = nodes[random() % nodes.size()];
      if (&peer == &self || static_cast<int>(random() % 100) < lost_percent) {
        continue;
      }
      ++received;
      peer.ledger->on_mirror(self.incarnation, values, closed);
      peer.mirrors[self.incarnation] = loop.now();
      if (closed) {
        pending_writers[self.incarnation].insert(peer.incarnation);
      }
      // A duplicate mirror and an outdated one must have no effect.
      peer.ledger->on_mirror(self.incarnation, values, false);
      peer.ledger->on_mirror(
        self.incarnation, { { "2026-12", test_workspace, "answered", 0 } }, false);
    }
    return received;
  }

  void run(duration length) { loop.run_until(loop.now() + length); }

private:
  void tick()
  {
    last_tick_utc_ = utc();
    for (auto& each : nodes) {
      each.ledger->tick(loop.now(), utc());
      for (auto n = random() % 4; requests_enabled && n > 0; --n) {
        request(each);
      }
      if (random() % 10 == 0) {
        mirror(each, false);
      }
    }
    loop.after(100ms, [this] { tick(); });
  }

  std::map<incarnation_id, std::pair<instant, std::int64_t>> tokens_;
  std::int64_t last_tick_utc_ = 0;
};

void
apply_step(usage_fleet& sut, int action, int argument)
{
  auto& node = sut.nodes[static_cast<std::size_t>(argument) % sut.nodes.size()];
  switch (action) {
    case 0:
      sut.kill(node);
      break;
    case 1:
      sut.stop(node);
      break;
    case 2:
      sut.outage = true;
      sut.loop.after(std::chrono::seconds(argument), [&sut] { sut.outage = false; });
      break;
    case 3:
      sut.lost_percent = argument * 4;
      break;
    default:
      break;
  }
}

std::uint64_t
answered_in(const usage_counters& counters)
{
  const auto found = counters.find(test_workspace);
  if (found == counters.end()) {
    return 0;
  }
  const auto value = found->second.find(std::string(usage_counter::answered));
  return value == found->second.end() ? 0 : value->second;
}

}

// Guards against usage that is lost, counted twice or outside its bounds if instances crash, writes
// are repeated or lost and the platform is unavailable around the end of a month.
TEST_CASE("accounts match the counted requests exactly or within their bounds")
{
  int exact = 0;
  int bounded = 0;
  int all_mirrors_lost = 0;
  auto params = rc::detail::configuration().testParams;
  params.maxSuccess = 300;
  const auto result = rc::detail::checkTestable(
    [&] {
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(rc::gen::tuple(
        rc::gen::inRange(0, 12), rc::gen::inRange(0, 16), rc::gen::inRange(0, 3000)));
      usage_fleet sut(seed);
      for (const auto& [action, argument, ms] : steps) {
        apply_step(sut, action, argument);
        sut.run(std::chrono::milliseconds(ms));
      }
      sut.outage = false;
      sut.lost_percent = 0;
      // Continue past the end of the first month, then stop all nodes gracefully.
      sut.run(std::max<duration>(10s, 50s - sut.loop.now().time_since_epoch()));
      for (auto& node : sut.nodes) {
        node.ledger->close();
      }
      sut.requests_enabled = false;
      sut.run(5s);
      for (const auto& [name, expected] : sut.counted) {
        const auto month = calendar_month::parse(name).value();
        const auto account =
          monthly_account::build(month, sut.table.list(usage_row::prefix(month)), {});
        RC_ASSERT(static_cast<bool>(account));
        const auto found = answered_in(account.value().counters());
        std::uint64_t total_bound = 0;
        for (const auto& bound : account.value().bounds()) {
          total_bound += bound.bound.amount;
        }
        RC_ASSERT(found <= expected);
        RC_ASSERT(sut.all_mirrors_lost || expected <= found + total_bound);
        all_mirrors_lost += sut.all_mirrors_lost;
        (total_bound == 0 ? exact : bounded) += !sut.all_mirrors_lost;
      }
    },
    rc::detail::TestMetadata{ "account", "account" },
    params);
  rc::detail::printResultMessage(result, std::cout);
  CHECK(result.is<rc::detail::SuccessResult>());
  MESSAGE("fuzz: ",
          exact,
          " months exact, ",
          bounded,
          " within bounds, ",
          all_mirrors_lost,
          " in cases where all mirrors of an incarnation were lost");
  CHECK(exact > 50);
  CHECK(bounded > 50);
}
