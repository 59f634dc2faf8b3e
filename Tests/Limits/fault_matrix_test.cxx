#include <doctest/doctest.h>

#include "fleet.h"

#include <map>
#include <string>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

enum class step
{
  read,
  lower,
  write,
  confirm,
  raise,
  count,
};

enum class fault
{
  answer_lost,
  conflict,
  outage,
  pause,
  crash,
  count,
};

struct matrix_case
{
  step at;
  fault kind;
  const char* expected;
};

// One case for each step and fault. A holder that releases shares lowers its local share; one that
// claims shares writes, confirms and raises.
const matrix_case cases[] = {
  { step::read, fault::answer_lost, "the cycle ends and is repeated" },
  { step::read, fault::conflict, "the row changes after it was read, so the write fails" },
  { step::read, fault::outage, "the share is unchanged, the extra part expires" },
  { step::read, fault::pause, "a row that was read long ago does not raise the share" },
  { step::read, fault::crash, "the next run takes over the share" },
  { step::lower, fault::answer_lost, "the local share stays low until the row's revision changes" },
  { step::lower, fault::conflict, "the share that the row still holds is restored" },
  { step::lower, fault::outage, "the share stays low, whether the write took effect or not" },
  { step::lower, fault::pause, "the lowered share is not raised after the pause" },
  { step::lower, fault::crash, "the released part is unassigned or belongs to the next run" },
  { step::write, fault::answer_lost, "the higher share is usable after a read shows it" },
  { step::write, fault::conflict, "the share is not raised" },
  { step::write, fault::outage, "the share is not raised until a read shows it" },
  { step::write, fault::pause, "the share expires before the answer is handled" },
  { step::write, fault::crash, "the next run takes over the written share" },
  { step::confirm, fault::answer_lost, "the read of the next cycle confirms the share" },
  { step::confirm, fault::conflict, "the row changed again and still holds the share" },
  { step::confirm, fault::outage, "the share is raised only after the outage" },
  { step::confirm, fault::pause, "a late confirmation does not restore an expired share" },
  { step::confirm, fault::crash, "the next run takes over the confirmed share" },
  { step::raise, fault::answer_lost, "the confirmation never arrives, the call times out" },
  { step::raise, fault::conflict, "the row changes between the confirmation and the raise" },
  { step::raise, fault::outage, "the raised extra part expires, the base part stays" },
  { step::raise, fault::pause, "the raised extra part is reclaimed during the pause" },
  { step::raise, fault::crash, "the next run takes over the raised share" },
};

std::int64_t
share_in(const std::string& text, const instance_id& instance)
{
  const auto row = share_row::parse(text);
  const auto* entry = row ? row.value().find(instance) : nullptr;
  return entry == nullptr ? 0 : entry->total();
}

// Makes one holder run a cycle that releases or claims shares and injects the fault at the given
// step.
class matrix_run
{
public:
  explicit matrix_run(const matrix_case& chosen)
    : case_(chosen)
    , sut_(3, 3, settings(), { 60'000, 30'000 }, 7)
    , self_(*sut_.instances[0])
  {
  }

  void run()
  {
    sut_.run(20s);
    // For `lower` the tested holder has no demand and releases shares, otherwise it has most of the
    // demand and claims them.
    const bool releases = case_.at == step::lower;
    sut_.generate_load(
      70, { releases ? 0.0 : 8.0, releases ? 8.0 : 1.0, 1.0 }, sut_.loop.now() + 60s);
    sut_.inject = [this](auto& instance, call_kind kind, const auto& key, const auto& value) {
      return intercept(instance, kind, key, value);
    };
    sut_.run(25s);
    CHECK_MESSAGE(fault_injected_, "the fault was not reached");
    if (!self_.run->running) {
      sut_.start(self_);
    }
    sut_.run(40s);
    CHECK(sut_.violation == "");
    // The holder has recovered: its local share is the one in the row.
    const auto stored = share_in(sut_.table.read(key_).value, self_.identity.instance);
    CHECK(stored > 0);
    CHECK(self_.limiter->share_ppm(workspace, sut_.local_time(self_)) == stored);
    CHECK(sut_.usable_ppm() > 900'000);
  }

private:
  static share_settings settings()
  {
    share_settings made;
    made.extra_lease = 3s;
    made.base_lease = 60s;
    made.renew_interval = 500ms;
    made.retry_interval = 200ms;
    made.rebalance_interval = 500ms;
    made.lease_read_interval = 500ms;
    made.call_timeout = 700ms;
    made.row_read_bytes_per_second = 1'000'000;
    made.base_limit_ppm = 500'000;
    return made;
  }

  // The step to which the current call of the tested holder belongs; `count` if it changes no
  // share.
  step step_of(call_kind kind, const std::string& value)
  {
    if (kind == call_kind::get) {
      return std::exchange(raising_write_sent_, false) ? step::confirm : step::read;
    }
    const auto current = share_in(sut_.table.read(key_).value, self_.identity.instance);
    const auto requested = share_in(value, self_.identity.instance);
    raising_write_sent_ = requested > current;
    if (requested == current) {
      return step::count;
    }
    return requested < current ? step::lower : step::write;
  }

  std::optional<call_outcome> intercept(fleet::simulated_instance& instance,
                                        call_kind kind,
                                        const std::string& key,
                                        const std::string& value)
  {
    if (&instance != &self_ || key != key_) {
      return std::nullopt;
    }
    auto found = step_of(kind, value);
    const bool at_raise = case_.at == step::raise && found == step::confirm;
    if (fault_injected_ || (found != case_.at && !at_raise)) {
      return std::nullopt;
    }
    fault_injected_ = true;
    return apply(at_raise);
  }

  call_outcome apply(bool at_raise)
  {
    call_outcome outcome;
    const auto length = 8s;
    // After the call was served. The share is raised when the answer is delivered, 4 ms after the
    // call.
    const auto when = at_raise ? 3ms : case_.at == step::read ? 3ms : 1ms;
    switch (case_.kind) {
      case fault::answer_lost:
        outcome.fails = !at_raise;
        outcome.responded = !at_raise;
        break;
      case fault::conflict:
        sut_.loop.after(when, [this] {
          const auto row = sut_.table.read(key_);
          sut_.table.write(key_, row.value, row.revision);
        });
        break;
      case fault::outage:
        sut_.loop.after(at_raise ? 5ms : 0ms, [this] { sut_.outage = true; });
        sut_.loop.after(length, [this] { sut_.outage = false; });
        outcome.responded = at_raise;
        break;
      case fault::pause:
        sut_.loop.after(at_raise ? 5ms : 1ms, [=, this] { sut_.pause(self_, length); });
        break;
      case fault::crash:
        sut_.loop.after(at_raise ? 5ms : 1ms, [this] { sut_.kill(self_); });
        break;
      case fault::count:
        break;
    }
    return outcome;
  }

  matrix_case case_;
  fleet sut_;
  fleet::simulated_instance& self_;
  std::string key_ = share_row::key(workspace);
  bool raising_write_sent_ = false;
  bool fault_injected_ = false;
};

}

// Guards against a fault in any step of a share row update that leaves a local share above the one
// in the row or a cycle that never ends. Each combination of step and fault must have a case.
TEST_CASE("each step of a share row update handles each fault")
{
  std::map<std::pair<step, fault>, int> covered;
  for (const auto& each : cases) {
    CAPTURE(static_cast<int>(each.at));
    CAPTURE(static_cast<int>(each.kind));
    CAPTURE(each.expected);
    ++covered[{ each.at, each.kind }];
    matrix_run(each).run();
  }
  for (int at = 0; at < static_cast<int>(step::count); ++at) {
    for (int kind = 0; kind < static_cast<int>(fault::count); ++kind) {
      CAPTURE(at);
      CAPTURE(kind);
      CHECK(covered[{ static_cast<step>(at), static_cast<fault>(kind) }] == 1);
    }
  }
}
