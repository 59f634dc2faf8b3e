#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "simulated_fleet.h"

using namespace persimmonshelf;
using namespace std::chrono_literals;

namespace {

using document_name = control_plane::document_name;

// Results reported to operators, checked against the fleet after each tick.
class oracle
{
public:
  explicit oracle(simulated_fleet& fleet)
    : fleet_(fleet)
  {
  }

  void edit_config(simulated_fleet::simulated_instance& instance)
  {
    publish(instance, document_name::config, fleet_.config_text(2 + edits_), {});
  }

  void add_key(simulated_fleet::simulated_instance& instance)
  {
    const auto key = key_set::generate_key();
    auto changed = instance.plane->keys();
    RC_ASSERT(changed.add(sha256(key), workspace_id("a"), ""));
    const config_version next(instance.plane->local_document(document_name::keys).version().get() +
                              1);
    publish(instance, document_name::keys, changed.text(next), {});
    added_keys_.push_back(key);
  }

  void revoke_key(simulated_fleet::simulated_instance& instance, const std::string& key)
  {
    auto changed = instance.plane->keys();
    if (!changed.revoke(key)) {
      return;
    }
    const config_version next(instance.plane->local_document(document_name::keys).version().get() +
                              1);
    publish(instance, document_name::keys, changed.text(next), key);
  }

  const std::vector<std::string>& added_keys() const { return added_keys_; }

  void check()
  {
    for (auto& revoked : revocations_) {
      for (auto& instance : fleet_.instances) {
        const bool holds =
          instance->plane->local_document(document_name::keys).version() >= revoked.version;
        if (!revoked.accepted_at && holds &&
            instance->plane->evidence().acknowledged(revoked.version, fleet_.now).accepted) {
          revoked.accepted_at = fleet_.now;
        }
      }
      if (revoked.accepted_at && fleet_.now > *revoked.accepted_at + key_evidence::limit) {
        for (auto& instance : fleet_.instances) {
          RC_ASSERT(!accepts(*instance, revoked.key));
        }
      }
    }
    for (auto& instance : fleet_.instances) {
      RC_ASSERT(!instance->version_decreased);
    }
  }

  // Called after all faults are removed and the fleet has converged.
  void check_settled()
  {
    for (const auto& edit_id : accepted_) {
      RC_ASSERT(times_written(edit_id) == 1);
    }
    const auto newest = document_row::parse(fleet_.table.current("config")).value().version.version;
    for (auto& instance : fleet_.instances) {
      RC_ASSERT(instance->plane->local_document(document_name::config).version() == newest);
      RC_ASSERT(fleet_.may_accept(*instance));
      for (const auto& revoked : revocations_) {
        RC_ASSERT(!accepts(*instance, revoked.key));
      }
    }
  }

  std::size_t accepted_edits() const { return accepted_.size(); }
  std::size_t accepted_revocations() const
  {
    return static_cast<std::size_t>(
      std::count_if(revocations_.begin(), revocations_.end(), [](const auto& revoked) {
        return revoked.accepted_at.has_value();
      }));
  }

private:
  bool accepts(simulated_fleet::simulated_instance& instance, const std::string& key)
  {
    return instance.plane->find_key(key, fleet_.now).has_value();
  }

  struct revocation
  {
    std::string key;
    config_version version;
    std::optional<instant> accepted_at;
  };

  void publish(simulated_fleet::simulated_instance& instance,
               document_name target,
               const std::string& content,
               const std::string& revoked_key)
  {
    const auto edit_id = "edit-" + std::to_string(++edits_);
    const document_edit edit{ content,
                              instance.plane->local_document(target).version(),
                              "operator",
                              edit_id,
                              fleet_.now + 5s };
    instance.plane->publish(
      target,
      edit,
      fleet_.now,
      [this, edit_id, revoked_key](const result<document_version>& outcome) {
        if (!outcome) {
          return;
        }
        accepted_.push_back(edit_id);
        if (!revoked_key.empty()) {
          revocations_.push_back({ revoked_key, outcome.value().version, std::nullopt });
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
  std::vector<std::string> added_keys_;
  std::vector<revocation> revocations_;
};

struct fuzz_step
{
  // Index into `operations`.
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
  fleet.zone_partitions.clear();
  fleet.platform_partitions.clear();
  fleet.isolated_instances.clear();
  fleet.isolated_delay = 0s;
  fleet.list_available = true;
  fleet.faulty_calls = 0;
}

simulated_fleet::simulated_instance&
pick(simulated_fleet& fleet, const fuzz_step& step)
{
  return *fleet.instances[step.first % fleet.instances.size()];
}

// An outage of the platform alone must not reject any key.
void
platform_outage(simulated_fleet& fleet, oracle& checker, const fuzz_step&)
{
  heal(fleet);
  fleet.run(25s, [&] { checker.check(); });
  fleet.platform_partitions.insert(fleet.zones.begin(), fleet.zones.end());
  fleet.run(12s, [&] {
    checker.check();
    for (auto& instance : fleet.instances) {
      RC_ASSERT(fleet.may_accept(*instance));
    }
  });
}

// Critical case: a part of the fleet, in any zones, loses the platform and the other instances (or
// receives their messages late) while a key is revoked on the other side. Instances that
// acknowledged the revocation may then restart in the isolated part.
void
partition_and_revoke(simulated_fleet& fleet, oracle& checker, const fuzz_step& step)
{
  const auto check = [&] { checker.check(); };
  std::vector<simulated_fleet::simulated_instance*> outside;
  for (std::size_t i = 0; i < fleet.instances.size(); ++i) {
    auto& instance = *fleet.instances[i];
    if ((step.first >> i & 1U) != 0) {
      fleet.isolated_instances.insert(instance.id);
    } else {
      outside.push_back(&instance);
    }
  }
  fleet.isolated_delay = step.second % 4 == 0 ? 8s : 0s;
  fleet.run(std::chrono::milliseconds(step.second % 2000), check);
  if (outside.empty()) {
    return;
  }
  checker.revoke_key(*outside[step.second % outside.size()], checker.added_keys().back());
  fleet.run(3s, check);
  if (step.second % 4 == 1) {
    for (std::size_t i = 0; i < outside.size(); ++i) {
      if ((step.second >> (2 + i) & 1U) != 0) {
        fleet.isolated_instances.insert(outside[i]->id);
        fleet.start(*outside[i]);
      }
    }
  }
  fleet.run(12s, check);
}

// Each step also runs the fleet for 300 ms afterwards.
const std::vector<std::function<void(simulated_fleet&, oracle&, const fuzz_step&)>> operations = {
  partition_and_revoke,
  [](auto& fleet, auto& checker, const auto& step) { checker.add_key(pick(fleet, step)); },
  [](auto& fleet, auto& checker, const auto& step) {
    fleet.run(std::chrono::seconds(1 + step.second % 6), [&] { checker.check(); });
  },
  [](auto& fleet, auto&, const auto& step) {
    const auto& other = fleet.zones[(step.first + 1 + step.second % 2) % 3];
    fleet.zone_partitions.insert(std::minmax(fleet.zones[step.first % 3], other));
  },
  [](auto& fleet, auto&, const auto& step) { fleet.isolate_zone(fleet.zones[step.first % 3]); },
  [](auto& fleet, auto&, const auto& step) {
    fleet.platform_partitions.insert(fleet.zones[step.first % 3]);
  },
  [](auto& fleet, auto&, const auto&) {
    fleet.platform_partitions.insert(fleet.zones.begin(), fleet.zones.end());
  },
  [](auto& fleet, auto&, const auto&) { heal(fleet); },
  [](auto& fleet, auto&, const auto& step) { fleet.start(pick(fleet, step)); },
  [](auto& fleet, auto& checker, const auto& step) { checker.edit_config(pick(fleet, step)); },
  [](auto& fleet, auto& checker, const auto& step) {
    checker.revoke_key(pick(fleet, step),
                       checker.added_keys()[step.second % checker.added_keys().size()]);
  },
  [](auto& fleet, auto&, const auto& step) {
    using call_outcome = fake_table::call_outcome;
    const call_outcome outcomes[] = { call_outcome::response_lost,
                                      call_outcome::silent,
                                      call_outcome::slow };
    fleet.faulty_outcome = outcomes[step.second % 3];
    fleet.faulty_calls = 1 + static_cast<int>(step.first % 10);
  },
  [](auto& fleet, auto&, const auto& step) {
    fleet.stalled_until = fleet.now + std::chrono::seconds(1 + step.first % 12);
  },
  [](auto& fleet, auto&, const auto&) { fleet.list_available = false; },
  platform_outage,
};

}

// Checks the guarantees of section 7 of the design under any sequence of partitions, restarts, lost
// responses and delayed messages: versions never decrease, accepted edits are kept, revoked keys
// are rejected within 5 s of the acceptance, and an outage of the platform alone rejects no key.
TEST_CASE("fuzz of a fleet in three zones")
{
  std::size_t edits = 0;
  std::size_t revocations = 0;
  const auto passed = rc::check("fleet", [&] {
    const auto per_zone = *rc::gen::inRange<std::size_t>(2, 4);
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto steps = *rc::gen::container<std::vector<fuzz_step>>(rc::gen::construct<fuzz_step>(
      // The first two operations are weighted higher, because most of the others act on their
      // results.
      rc::gen::weightedOneOf<std::size_t>(
        { { 3, rc::gen::inRange<std::size_t>(0, operations.size()) },
          { 2, rc::gen::inRange<std::size_t>(0, 2) } }),
      rc::gen::inRange(0U, 4096U),
      rc::gen::inRange(0U, 4096U)));
    simulated_fleet fleet(3, per_zone, seed);
    oracle checker(fleet);
    fleet.run(8s);
    checker.add_key(*fleet.instances[0]);
    fleet.run(5s);
    for (const auto& step : steps) {
      operations[step.kind](fleet, checker, step);
      fleet.run(300ms, [&] { checker.check(); });
    }
    heal(fleet);
    fleet.run(40s, [&] { checker.check(); });
    checker.check_settled();
    edits += checker.accepted_edits();
    revocations += checker.accepted_revocations();
  });
  CHECK(passed);
  MESSAGE("accepted edits: ", edits, ", accepted revocations: ", revocations);
  // Without enough accepted edits and revocations, the run would not test the guarantees.
  CHECK(edits > 100);
  CHECK(revocations > 20);
}
