#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "simulated_fleet.h"

using namespace persimmonshelf;
using namespace std::chrono_literals;

namespace {

using document_name = control_plane::document_name;

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
    publish(one, document_name::config, fleet_.config_text(2 + edits_), {});
  }

  void give_key(simulated_fleet::instance& one)
  {
    const auto key = key_set::generate_key();
    auto changed = one.plane->keys();
    RC_ASSERT(changed.add(sha256(key), workspace_id("a"), ""));
    const config_version next(one.plane->local_document(document_name::keys).version().get() + 1);
    publish(one, document_name::keys, changed.text(next), {});
    given_.push_back(key);
  }

  void revoke_key(simulated_fleet::instance& one, const std::string& key)
  {
    auto changed = one.plane->keys();
    if (!changed.revoke(key)) {
      return;
    }
    const config_version next(one.plane->local_document(document_name::keys).version().get() + 1);
    publish(one, document_name::keys, changed.text(next), key);
  }

  const std::vector<std::string>& given() const { return given_; }

  void check()
  {
    for (auto& one : revocations_) {
      for (auto& instance : fleet_.instances) {
        const bool holds =
          instance->plane->local_document(document_name::keys).version() >= one.version;
        if (!one.accepted_at && holds &&
            instance->plane->evidence().acknowledged(one.version, fleet_.now).accepted) {
          one.accepted_at = fleet_.now;
        }
      }
      if (one.accepted_at && fleet_.now > *one.accepted_at + key_evidence::limit) {
        for (auto& instance : fleet_.instances) {
          RC_ASSERT(!accepts(*instance, one.key));
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
      RC_ASSERT(instance->plane->local_document(document_name::config).version() == newest);
      RC_ASSERT(fleet_.may_accept(*instance));
      for (const auto& one : revocations_) {
        RC_ASSERT(!accepts(*instance, one.key));
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
  bool accepts(simulated_fleet::instance& one, const std::string& key)
  {
    return one.plane->find_key(key, fleet_.now).has_value();
  }

  struct revocation
  {
    std::string key;
    config_version version;
    std::optional<instant> accepted_at;
  };

  void publish(simulated_fleet::instance& one,
               document_name target,
               const std::string& content,
               const std::string& revoked_key)
  {
    const auto edit_id = "edit-" + std::to_string(++edits_);
    const document_edit edit{
      content, one.plane->local_document(target).version(), "operator", edit_id, fleet_.now + 5s
    };
    one.plane->publish(
      target, edit, fleet_.now, [this, edit_id, revoked_key](const result<document_version>& told) {
        if (!told) {
          return;
        }
        accepted_.push_back(edit_id);
        if (!revoked_key.empty()) {
          revocations_.push_back({ revoked_key, told.value().version, std::nullopt });
        }
      });
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
  std::size_t edits_ = 0;
  std::vector<std::string> accepted_;
  std::vector<std::string> given_;
  std::vector<revocation> revocations_;
};

struct fuzz_step
{
  // Position in `operations`.
  std::size_t kind;
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

simulated_fleet::instance&
pick(simulated_fleet& fleet, const fuzz_step& step)
{
  return *fleet.instances[step.first % fleet.instances.size()];
}

// An outage of the platform in an otherwise healthy fleet refuses no key.
void
outage_alone(simulated_fleet& fleet, oracle& told, const fuzz_step&)
{
  heal(fleet);
  fleet.run(25s, [&] { told.check(); });
  fleet.platform_cuts.insert(fleet.zones.begin(), fleet.zones.end());
  fleet.run(12s, [&] {
    told.check();
    for (auto& instance : fleet.instances) {
      RC_ASSERT(fleet.may_accept(*instance));
    }
  });
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
  told.revoke_key(*outside[step.second % outside.size()], told.given().back());
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

// Everything but a wait takes 300 ms more.
const std::vector<std::function<void(simulated_fleet&, oracle&, const fuzz_step&)>> operations = {
  split_and_revoke,
  [](auto& fleet, auto& told, const auto& step) { told.give_key(pick(fleet, step)); },
  [](auto& fleet, auto& told, const auto& step) {
    fleet.run(std::chrono::seconds(1 + step.second % 6), [&] { told.check(); });
  },
  [](auto& fleet, auto&, const auto& step) {
    const auto& other = fleet.zones[(step.first + 1 + step.second % 2) % 3];
    fleet.cuts.insert(std::minmax(fleet.zones[step.first % 3], other));
  },
  [](auto& fleet, auto&, const auto& step) { fleet.cut_off(fleet.zones[step.first % 3]); },
  [](auto& fleet, auto&, const auto& step) {
    fleet.platform_cuts.insert(fleet.zones[step.first % 3]);
  },
  [](auto& fleet, auto&, const auto&) {
    fleet.platform_cuts.insert(fleet.zones.begin(), fleet.zones.end());
  },
  [](auto& fleet, auto&, const auto&) { heal(fleet); },
  [](auto& fleet, auto&, const auto& step) { fleet.start(pick(fleet, step)); },
  [](auto& fleet, auto& told, const auto& step) { told.edit_config(pick(fleet, step)); },
  [](auto& fleet, auto& told, const auto& step) {
    told.revoke_key(pick(fleet, step), told.given()[step.second % told.given().size()]);
  },
  [](auto& fleet, auto&, const auto& step) {
    using course = fake_table::course;
    const course courses[] = { course::answer_lost, course::silent, course::slow };
    fleet.faulty_course = courses[step.second % 3];
    fleet.faulty_calls = 1 + static_cast<int>(step.first % 10);
  },
  [](auto& fleet, auto&, const auto& step) {
    fleet.stalled_until = fleet.now + std::chrono::seconds(1 + step.first % 12);
  },
  [](auto& fleet, auto&, const auto&) { fleet.list_available = false; },
  outage_alone,
};

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
      // The first two operations are what most others act on, so they come more often.
      rc::gen::weightedOneOf<std::size_t>(
        { { 3, rc::gen::inRange<std::size_t>(0, operations.size()) },
          { 2, rc::gen::inRange<std::size_t>(0, 2) } }),
      rc::gen::inRange(0U, 4096U),
      rc::gen::inRange(0U, 4096U)));
    simulated_fleet fleet(3, per_zone, seed);
    oracle told(fleet);
    fleet.run(8s);
    told.give_key(*fleet.instances[0]);
    fleet.run(5s);
    for (const auto& step : steps) {
      operations[step.kind](fleet, told, step);
      fleet.run(300ms, [&] { told.check(); });
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
