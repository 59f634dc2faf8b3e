#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "simulated_fleet.h"

using namespace persimmonshelf;
using namespace std::chrono_literals;

namespace {

// What the operators were told, checked against the fleet after each tick.
class oracle
{
public:
  explicit oracle(simulated_fleet& fleet)
    : fleet_(fleet)
  {
  }

  void edit_config(simulated_fleet::instance& one)
  {
    publish(one, *one.config, "text " + std::to_string(edits_), {});
  }

  std::string give_key(simulated_fleet::instance& one)
  {
    const auto key = key_set::generate_key();
    auto changed = one.key_set;
    RC_ASSERT(changed.give(sha256(key), workspace_id("a"), ""));
    const config_version next(one.keys->version().get() + 1);
    publish(one, *one.keys, changed.text(next), {});
    given_.push_back(key);
    return key;
  }

  void revoke_key(simulated_fleet::instance& one, const std::string& key)
  {
    auto changed = one.key_set;
    if (!changed.revoke(key)) {
      return;
    }
    const config_version next(one.keys->version().get() + 1);
    publish(one, *one.keys, changed.text(next), key);
  }

  const std::vector<std::string>& given() const { return given_; }

  void check()
  {
    for (auto& one : revocations_) {
      for (auto& instance : fleet_.instances) {
        const bool holds = instance->keys->version() >= one.version;
        if (!one.accepted_at && holds &&
            instance->evidence->acknowledged(one.version, fleet_.now).accepted) {
          one.accepted_at = fleet_.now;
        }
      }
      if (one.accepted_at && fleet_.now > *one.accepted_at + key_evidence::limit) {
        for (auto& instance : fleet_.instances) {
          RC_ASSERT(!fleet_.accepts(*instance, one.key));
        }
      }
    }
    for (auto& instance : fleet_.instances) {
      RC_ASSERT(!instance->fell);
    }
  }

  // After all faults are gone and the fleet has settled.
  void check_settled()
  {
    for (const auto& edit_id : accepted_) {
      RC_ASSERT(times_written(edit_id) == 1);
    }
    const auto newest = document_row::parse(fleet_.table.current("config")).value().version.version;
    for (auto& instance : fleet_.instances) {
      RC_ASSERT(instance->config->version() == newest);
      RC_ASSERT(instance->evidence->may_accept(fleet_.now));
      for (const auto& one : revocations_) {
        RC_ASSERT(!fleet_.accepts(*instance, one.key));
      }
    }
  }

  std::size_t accepted_edits() const { return accepted_.size(); }
  std::size_t accepted_revocations() const
  {
    return static_cast<std::size_t>(
      std::count_if(revocations_.begin(), revocations_.end(), [](const auto& one) {
        return one.accepted_at.has_value();
      }));
  }

private:
  struct revocation
  {
    std::string key;
    config_version version;
    std::optional<instant> accepted_at;
  };

  void publish(simulated_fleet::instance& one,
               document& target,
               const std::string& content,
               const std::string& revoked_key)
  {
    const auto edit_id = "edit-" + std::to_string(++edits_);
    target.publish({ content, target.version(), "operator", edit_id, fleet_.now + 5s },
                   fleet_.now,
                   [this, edit_id, revoked_key](const result<document_version>& told) {
                     if (!told) {
                       return;
                     }
                     accepted_.push_back(edit_id);
                     if (!revoked_key.empty()) {
                       revocations_.push_back({ revoked_key, told.value().version, std::nullopt });
                     }
                   });
    fleet_.update(one);
  }

  int times_written(const std::string& edit_id) const
  {
    int times = 0;
    for (const auto& value : fleet_.table.written) {
      times += document_row::parse({ "", value, 1 }).value().version.edit_id == edit_id;
    }
    return times;
  }

  simulated_fleet& fleet_;
  int edits_ = 0;
  std::vector<std::string> accepted_;
  std::vector<std::string> given_;
  std::vector<revocation> revocations_;
};

enum class operation
{
  wait,
  wait_long,
  cut_pair,
  cut_off_zone,
  cut_platform,
  platform_outage,
  heal,
  restart,
  edit_config,
  give_key,
  revoke_key,
  faulty_calls,
  stall_connections,
  lose_list,
  outage_alone,
  split_and_revoke,
  count
};

struct fuzz_step
{
  int kind;
  unsigned first;
  unsigned second;
};

std::ostream&
operator<<(std::ostream& out, const fuzz_step& step)
{
  return out << "{" << step.kind << "," << step.first << "," << step.second << "}";
}

void
heal(simulated_fleet& fleet)
{
  fleet.cuts.clear();
  fleet.platform_cuts.clear();
  fleet.group.clear();
  fleet.group_delay = 0s;
  fleet.list_available = true;
  fleet.faulty_calls = 0;
}

// The dangerous case: a part of the fleet, in any zones, loses the platform and the other instances
// (or hears of them late) while a key is revoked on the other side. Instances that acknowledged may
// then restart into that part.
void
split_and_revoke(simulated_fleet& fleet, oracle& told, const fuzz_step& step)
{
  const auto check = [&] { told.check(); };
  std::vector<simulated_fleet::instance*> outside;
  for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
    auto& one = *fleet.instances[i];
    if ((step.first >> i & 1U) != 0) {
      fleet.group.insert(one.id);
    } else {
      outside.push_back(&one);
    }
  }
  fleet.group_delay = step.second % 4 == 0 ? 8s : 0s;
  fleet.run(std::chrono::milliseconds(step.second % 2000), check);
  if (outside.empty()) {
    return;
  }
  if (!told.given().empty()) {
    told.revoke_key(*outside[step.second % outside.size()], told.given().back());
  }
  fleet.run(3s, check);
  if (step.second % 4 == 1) {
    for (std::size_t i = 0; i < outside.size(); ++i) {
      if ((step.second >> (2 + i) & 1U) != 0) {
        fleet.group.insert(outside[i]->id);
        fleet.start(*outside[i]);
      }
    }
  }
  fleet.run(12s, check);
}

void
perform(simulated_fleet& fleet, oracle& told, const fuzz_step& step)
{
  const auto check = [&] { told.check(); };
  auto& one = *fleet.instances[step.first % fleet.instances.size()];
  const auto& zone = fleet.zones[step.first % fleet.zones.size()];
  const auto& other = fleet.zones[(step.first + 1 + step.second % 2) % fleet.zones.size()];
  switch (static_cast<operation>(step.kind)) {
    case operation::wait:
      return fleet.run(1s, check);
    case operation::wait_long:
      return fleet.run(6s, check);
    case operation::cut_pair:
      fleet.cuts.insert(std::minmax(zone, other));
      break;
    case operation::cut_off_zone:
      fleet.cut_off(zone);
      break;
    case operation::cut_platform:
      fleet.platform_cuts.insert(zone);
      break;
    case operation::platform_outage:
      fleet.platform_cuts.insert(fleet.zones.begin(), fleet.zones.end());
      break;
    case operation::heal:
      heal(fleet);
      break;
    case operation::restart:
      fleet.start(one);
      break;
    case operation::edit_config:
      told.edit_config(one);
      break;
    case operation::give_key:
      told.give_key(one);
      break;
    case operation::revoke_key:
      if (!told.given().empty()) {
        told.revoke_key(one, told.given()[step.second % told.given().size()]);
      }
      break;
    case operation::faulty_calls: {
      const fake_table::course courses[] = { fake_table::course::answer_lost,
                                             fake_table::course::silent,
                                             fake_table::course::slow };
      fleet.faulty_course = courses[step.second % 3];
      fleet.faulty_calls = 1 + static_cast<int>(step.first % 10);
      break;
    }
    case operation::stall_connections:
      fleet.stalled_until = fleet.now + std::chrono::seconds(1 + step.first % 12);
      break;
    case operation::lose_list:
      fleet.list_available = false;
      break;
    case operation::outage_alone:
      heal(fleet);
      fleet.run(25s, check);
      fleet.platform_cuts.insert(fleet.zones.begin(), fleet.zones.end());
      fleet.run(12s, [&] {
        told.check();
        for (auto& instance : fleet.instances) {
          RC_ASSERT(instance->evidence->may_accept(fleet.now));
        }
      });
      break;
    case operation::split_and_revoke:
      return split_and_revoke(fleet, told, step);
    case operation::count:
      break;
  }
  fleet.run(300ms, check);
}

}

// Guards the promises of section 7 of the design under any sequence of cuts, restarts, lost answers
// and delayed messages: versions never fall, accepted edits stay, revoked keys end within 5 s of
// the acceptance, and an outage of the platform alone refuses no key.
TEST_CASE("fuzz of a fleet in three zones")
{
  std::size_t edits = 0;
  std::size_t revocations = 0;
  const auto passed = rc::check("fleet", [&] {
    const auto per_zone = *rc::gen::inRange<std::size_t>(2, 4);
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto steps = *rc::gen::container<std::vector<fuzz_step>>(rc::gen::construct<fuzz_step>(
      rc::gen::weightedOneOf<int>(
        { { 3, rc::gen::inRange(0, static_cast<int>(operation::count)) },
          { 1, rc::gen::just(static_cast<int>(operation::give_key)) },
          { 1, rc::gen::just(static_cast<int>(operation::split_and_revoke)) } }),
      rc::gen::inRange(0U, 4096U),
      rc::gen::inRange(0U, 4096U)));
    simulated_fleet fleet(3, per_zone, seed);
    oracle told(fleet);
    fleet.run(8s);
    told.give_key(*fleet.instances[0]);
    fleet.run(5s);
    for (const auto& step : steps) {
      perform(fleet, told, step);
    }
    heal(fleet);
    fleet.run(40s, [&] { told.check(); });
    told.check_settled();
    edits += told.accepted_edits();
    revocations += told.accepted_revocations();
  });
  CHECK(passed);
  MESSAGE("accepted edits: ", edits, ", accepted revocations: ", revocations);
  // The run proves nothing if the faults let nothing through.
  CHECK(edits > 100);
  CHECK(revocations > 20);
}
