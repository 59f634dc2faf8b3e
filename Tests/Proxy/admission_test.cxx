#include <doctest/doctest.h>

#include "Proxy/admission.h"
#include "Proxy/rate_share_allocator.h"
#include "Proxy/token_pool.h"
#include "Proxy/token_wait_summary.h"
#include "proxy_support.h"
#include "session_bench.h"

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

const workspace_id workspace("w");

// Instances whose operations wait for tokens, and the coordinator's pool. Messages take no time.
struct admission_bench
{
  struct instance
  {
    explicit instance(admission_bench& bench)
      : gate(
          limiter,
          [this] { wants_tokens = true; },
          [&bench](const token_wait& wait) { bench.waits.record(wait); })
    {
    }

    instance_id name;
    rate_limiter limiter{ { std::chrono::seconds(5), 20, 0.1 } };
    bool wants_tokens = false;
    admission gate;
  };

  admission_bench(double limit, std::size_t count)
    : rate(limit)
    , shares(true, at(0))
  {
    shares.set_workspaces({ make_workspace("w", rate, rate / 2) });
    for (std::size_t i = 0; i < count; ++i) {
      auto& created = *instances.emplace_back(std::make_unique<instance>(*this));
      created.name = instance_id("i" + std::to_string(i));
      created.limiter.set_workspaces({ make_workspace("w", rate, rate / 2) }, at(0));
    }
  }

  // The coordinator answers a report of the instance.
  void exchange(instance& from, instant now)
  {
    instance_report report;
    report.instance = from.name;
    report.incarnation = incarnation_id(1);
    report.clock = now;
    report.view = applied_view{ fencing_token(1), ++reports, now, {} };
    report.grant_token = fencing_token(1);
    report.grant_number = from.limiter.grant_number();
    report.shares = from.limiter.shares();
    report.shares_view = { fencing_token(1), reports };
    report.demands = from.limiter.demands(now);
    report.waiting_by_priority = from.gate.waiting_counts();
    report.waiting = total_waiting(report.waiting_by_priority);
    report.used = from.limiter.usage_for_report(report.waiting, now);
    shares.record_report(report, fencing_token(1), now);
    from.limiter.set_shares(
      shares.grant_shares(from.name, reports, now), now + share_lifetime, now);
    pool.set_workspaces({ make_workspace("w", rate, rate / 2) }, now);
    pool.set_fraction(workspace, shares.pool_fraction(workspace, now), now);
    from.limiter.apply_grant(
      pool.answer(report, fencing_token(1), shares.granted_shares(from.name), reports, now),
      now,
      now);
    from.gate.on_tokens_granted(now);
  }

  void step(std::int64_t time)
  {
    for (std::size_t i = 0; i < instances.size(); ++i) {
      auto& each = *instances[i];
      const bool reports_now = time % 250 == static_cast<std::int64_t>(i) * 10;
      if (answers && (reports_now || std::exchange(each.wants_tokens, false))) {
        exchange(each, at(time));
      }
      if (time % 20 == 0) {
        each.gate.tick(at(time));
      }
    }
  }

  double rate;
  bool answers = true;
  rate_share_allocator shares;
  token_pool pool;
  token_wait_summary waits;
  std::uint64_t reports = 0;
  std::vector<std::unique_ptr<instance>> instances;
};

// Most operations that ran in any five seconds.
std::size_t
most_in_window(std::vector<std::int64_t> times)
{
  std::sort(times.begin(), times.end());
  std::size_t most = 0;
  for (std::size_t first = 0, next = 0; next < times.size(); ++next) {
    while (times[next] - times[first] >= 5000) {
      ++first;
    }
    most = std::max(most, next - first + 1);
  }
  return most;
}

// A gate without tokens whose last request was not met, at 100 tokens a second.
struct exhausted_gate
{
  exhausted_gate()
    : gate(limiter, [this] { ++requests; })
  {
    limiter.set_workspaces({ make_workspace("w", 100, 50), make_workspace("other", 100, 50) },
                           at(0));
    limiter.set_shares({ { workspace, full_rate_share } }, at(100'000), at(0));
    refuse_grant(0);
  }

  // The coordinator's answer to a report with one waiting operation: no token.
  void refuse_grant(std::int64_t time)
  {
    limiter.usage_for_report({ { workspace, 1 } }, at(time));
    limiter.apply_grant({ ++grants, at(time), {} }, at(time), at(time));
  }

  void grant(double tokens, std::int64_t time)
  {
    limiter.usage_for_report(total_waiting(gate.waiting_counts()), at(time));
    limiter.apply_grant({ ++grants, at(time), { { workspace, tokens } } }, at(time), at(time));
    gate.on_tokens_granted(at(time));
  }

  std::optional<admission_number> admit(const std::string& name,
                                        std::uint32_t priority,
                                        std::int64_t target_ms,
                                        std::int64_t time)
  {
    return gate.admit(workspace,
                      [this, name](std::optional<duration> refused) {
                        (refused ? refusals : admitted).push_back(name);
                        delays.push_back(refused.value_or(duration::zero()));
                      },
                      at(time),
                      { priority, ms(target_ms) });
  }

  rate_limiter limiter;
  int requests = 0;
  std::uint64_t grants = 0;
  std::vector<std::string> admitted;
  std::vector<std::string> refusals;
  std::vector<duration> delays;
  admission gate;
};

}

// Guards against a less urgent operation that takes the token of a waiting more urgent one, also if
// it arrived earlier or arrives when the token does.
TEST_CASE("tokens go to the most urgent route first, then by target time")
{
  exhausted_gate bench;
  bench.admit("late", 1, 900, 1);
  bench.admit("early", 1, 500, 2);
  bench.admit("urgent", 0, 800, 3);
  bench.grant(1, 10);
  CHECK(bench.admitted == std::vector<std::string>{ "urgent" });
  bench.admit("newest", 2, 900, 11);
  bench.grant(2, 20);
  CHECK(bench.admitted == std::vector<std::string>{ "urgent", "early", "late" });
  CHECK(bench.refusals.empty());
}

// Guards against operations that wait in vain although it is known that their token comes too late,
// and against callers who are all told the same time.
TEST_CASE("an operation whose token is due after its target is refused at once")
{
  exhausted_gate bench;
  for (int i = 0; i < 30; ++i) {
    bench.admit("waiting", 1, 200, 1);
  }
  // About 18 tokens are due within the target less the margin to run.
  REQUIRE(bench.refusals.size() > 8);
  CHECK(bench.refusals.size() < 16);
  for (std::size_t i = 1; i < bench.delays.size(); ++i) {
    CHECK(bench.delays[i] - bench.delays[i - 1] >= ms(9));
  }
  // Those that were refused before are less urgent and do not delay this one.
  bench.admit("urgent", 0, 0, 1);
  REQUIRE(bench.refusals.back() == "urgent");
  CHECK(bench.delays.back() < ms(50));
}

// Guards against a statement that expired, or whose caller left, and still takes a token.
TEST_CASE("a cancelled operation gives its place back and takes no token")
{
  exhausted_gate bench;
  const auto first = bench.admit("first", 0, 500, 1);
  bench.admit("second", 0, 600, 1);
  REQUIRE(first);
  bench.gate.cancel(*first, at(5));
  CHECK(total_waiting(bench.gate.waiting_counts()).at(workspace) == 1);
  bench.grant(1, 10);
  CHECK(bench.admitted == std::vector<std::string>{ "second" });
  CHECK(bench.refusals.empty());
  CHECK(bench.gate.waiting_counts().empty());
}

// Guards against a queue that grows without bound, and against a full one that refuses the urgent.
TEST_CASE("the queue is bounded and keeps the most urgent operations")
{
  exhausted_gate bench;
  for (std::size_t i = 0; i < max_waiting_operations + 10; ++i) {
    bench.admit("less urgent", 1, 100'000, 1);
  }
  CHECK(total_waiting(bench.gate.waiting_counts()).at(workspace) == max_waiting_operations);
  CHECK(bench.refusals.size() == 10);
  CHECK(bench.admit("urgent", 0, 100'000, 1));
  CHECK(bench.refusals == std::vector<std::string>(11, "less urgent"));
  // Another workspace is below its rate and waits for an answer of the pool.
  CHECK(bench.gate.admit(
    workspace_id("other"), [](std::optional<duration>) {}, at(1)));
  CHECK(bench.refusals == std::vector<std::string>(12, "less urgent"));
}

// One workspace at three times its rate, with three kinds of routes of which the first two need 90%
// of it. Guards against refusals of urgent operations while less urgent ones run, and against more
// operations than the rate allows.
TEST_CASE("urgent routes are served while a workspace is at several times its rate")
{
  constexpr double rate = 100;
  for (const std::size_t count : { 1, 3 }) {
    CAPTURE(count);
    admission_bench bench(rate, count);
    std::mt19937 random(1);
    // Priorities 0, 1 and 2.
    constexpr std::array<std::uint32_t, 3> arrivals_per_s{ 30, 60, 210 };
    constexpr std::array<std::int64_t, 3> targets_ms{ 200, 400, 1000 };
    std::array<int, 3> attempted{};
    std::array<int, 3> served{};
    std::vector<std::int64_t> runs;
    int late = 0;
    std::int64_t time = 0;
    for (; time < 20'000; time += 5) {
      for (std::uint32_t kind = 0; kind < 3; ++kind) {
        if (time < 2000 || random() % 200 >= arrivals_per_s[kind]) {
          continue;
        }
        auto& chosen = *bench.instances[random() % count];
        const bool measured = time >= 5000;
        attempted[kind] += measured ? 1 : 0;
        chosen.gate.admit(workspace,
                          [&, kind, measured, arrived = time](std::optional<duration> refused) {
                            if (!refused) {
                              served[kind] += measured ? 1 : 0;
                              late += time - arrived > targets_ms[kind] ? 1 : 0;
                              runs.push_back(time);
                            }
                          },
                          at(time),
                          { kind, ms(targets_ms[kind]) });
      }
      bench.step(time);
    }
    CAPTURE(attempted[0]);
    CAPTURE(served[0]);
    CAPTURE(attempted[1]);
    CAPTURE(served[1]);
    CAPTURE(attempted[2]);
    CAPTURE(served[2]);
    CHECK(late == 0);
    CHECK(served[0] * 100 >= attempted[0] * 99);
    CHECK(served[1] * 100 >= attempted[1] * 90);
    const double used = (served[0] + served[1] + served[2]) / (15 * rate);
    CHECK(used > 0.95);
    CHECK(static_cast<double>(most_in_window(runs)) <= (rate * 5 + rate / 2) * 1.1 + 20);
  }
}

// One instance takes the whole rate, another one runs an urgent operation now and then. Guards
// against refusing these by a forecast that knows only how few tokens the instance took lately.
TEST_CASE("urgent operations of an idle instance wait for the next tokens of the pool")
{
  admission_bench bench(20, 2);
  int attempted = 0;
  int served = 0;
  for (std::int64_t time = 0; time < 20'000; time += 5) {
    if (time >= 2000 && time % 15 == 0) {
      bench.instances[0]->gate.admit(
        workspace, [](std::optional<duration>) {}, at(time), { 2, ms(1000) });
    }
    // Two operations at once every second.
    for (int i = 0; i < 2 && time >= 5000 && time % 1000 == 130; ++i) {
      ++attempted;
      bench.instances[1]->gate.admit(
        workspace,
        [&](std::optional<duration> refused) { served += refused ? 0 : 1; },
        at(time),
        { 0, ms(250) });
    }
    bench.step(time);
  }
  REQUIRE(attempted == 30);
  CHECK(served >= 29);
}

// The coordinator answers no more. Guards against urgent operations that are refused while less
// urgent ones use the share, and against operations that wait past their targets.
TEST_CASE("without answers of the coordinator the most urgent operations use the share")
{
  admission_bench bench(100, 1);
  std::mt19937 random(1);
  std::array<int, 2> served{};
  std::array<int, 2> attempted{};
  for (std::int64_t time = 0; time < 6000; time += 5) {
    bench.answers = time < 3000;
    for (std::uint32_t kind = 0; kind < 2; ++kind) {
      // 20 urgent operations a second and 200 others, with a share of a third of 100.
      if (time < 1000 || random() % 200 >= (kind == 0 ? 20U : 200U)) {
        continue;
      }
      const bool measured = time >= 4000;
      attempted[kind] += measured ? 1 : 0;
      bench.instances[0]->gate.admit(workspace,
                                     [&, kind, time, measured](std::optional<duration> refused) {
                                       served[kind] += !refused && measured ? 1 : 0;
                                     },
                                     at(time),
                                     { kind, ms(300) });
    }
    bench.step(time);
  }
  const auto entry = bench.waits.take().at(workspace);
  REQUIRE(attempted[0] > 20);
  CHECK(served[0] * 100 >= attempted[0] * 95);
  CHECK(served[1] > 0);
  CHECK(entry.longest_wait <= ms(300));
}

// Guards against a statement that ended while it waited for a token and leaves its wait behind,
// which would take a token for nobody.
TEST_CASE("a statement that ends while it waits for a token cancels its wait")
{
  enum class ending : std::uint8_t
  {
    expiry,
    giving_up,
    disconnect,
  };
  for (const auto how : { ending::expiry, ending::giving_up, ending::disconnect }) {
    session_bench bench("writes");
    bench.admits_at_once = false;
    REQUIRE_FALSE(bench.session->check_start());
    bench.submit(statement_kind::read, "READ 1");
    CHECK(bench.admission_urgency.target_latency == ms(200));
    if (how == ending::expiry) {
      bench.session->tick(bench.now + ms(800));
    } else if (how == ending::giving_up) {
      bench.session->give_up();
    } else {
      bench.session->disconnect();
    }
    CHECK(bench.cancelled_admissions == std::vector<admission_number>{ admission_number(1) });
    CHECK(bench.answers.size() == (how == ending::disconnect ? 0 : 1));
  }
}
