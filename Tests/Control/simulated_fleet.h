#pragma once

#include "Control/control_plane.h"
#include "fake_table.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>

namespace persimmonshelf {

using namespace std::chrono_literals;
using std::chrono::seconds, std::chrono::milliseconds, std::chrono::microseconds;

// Simulates a fleet of instances in several zones, which run the control logic in simulated time.
// They are connected as the engine connects them. Zones can be partitioned from each other and from
// the platform.
class simulated_fleet
{
public:
  struct simulated_instance
  {
    instance_id id;
    zone_id zone;
    duration phase{ 0 };
    std::unique_ptr<control_plane> plane;
    config_version key_version;
    // When each configuration version came into force in this incarnation.
    std::vector<std::pair<std::uint64_t, instant>> config_history;
    bool version_decreased = false;
    std::uint64_t bytes_sent = 0;
  };

  simulated_fleet(std::size_t zone_count, std::size_t per_zone, std::uint64_t seed)
    : random_(seed)
  {
    table.fault = [this](const std::string& client, bool) { return outcome_for(client); };
    for (std::size_t zone = 0; zone < zone_count; ++zone) {
      zones.emplace_back("z" + std::to_string(zone));
    }
    for (std::size_t i = 0; i < zone_count * per_zone; ++i) {
      auto& instance = instances.emplace_back(std::make_unique<simulated_instance>());
      instance->zone = zones[i % zone_count];
      instance->id = instance_id("i" + std::to_string(i));
      instance->phase = milliseconds(random_() % 1000);
      by_name_[instance->id] = instance.get();
    }
    const document_row keys{ { config_version(1), "o", "k" },
                             key_set().text(config_version(1)),
                             {} };
    table.write("keys", keys.format(), 0);
    const document_row config{ { config_version(1), "o", "c" }, config_text(1), {} };
    table.write("config", config.format(), 0);
    for (auto& instance : instances) {
      start(*instance);
    }
  }

  // Returns a configuration with one member in each zone. `number` makes its content unique.
  std::string config_text(std::size_t number) const
  {
    std::string members;
    for (const auto& zone : zones) {
      members += (members.empty() ? "" : ",") + (R"({"name":"m)" + zone.get()) + R"(","zone":")" +
                 zone.get() + R"(","address":"192.0.2.1:)" + std::to_string(members.size() + 1) +
                 "\"}";
    }
    return R"({"workspaces":[],"routes":[],"databases":[{"name":"d","slots":1,"connections":9,"members":[)" +
           members + R"(]}],"settings":{"queue_per_workspace":)" + std::to_string(number) + "}}";
  }

  // Restarts the daemon without any state of its previous run.
  void start(simulated_instance& instance)
  {
    instance.key_version = {};
    instance.config_history.clear();
    const auto clock_ms = static_cast<std::uint64_t>(now.time_since_epoch().count()) / 1000;
    const membership::identity self{ instance.id,
                                     incarnation_id(random_()),
                                     instance.zone,
                                     "192.0.2.1:" + instance.id.get(),
                                     clock_ms };
    instance.plane = std::make_unique<control_plane>(self, hooks_for(instance), now);
    if (list_available && platform_reachable(instance)) {
      instance.plane->apply_platform_list(list(), now);
    }
  }

  void run(duration time, const std::function<void()>& after_tick = {})
  {
    for (const auto end = now + time; now < end;) {
      now += tick;
      table.run(now);
      while (!messages_in_transit_.empty() && messages_in_transit_.begin()->first <= now) {
        const auto deliver = std::move(messages_in_transit_.begin()->second);
        messages_in_transit_.erase(messages_in_transit_.begin());
        deliver();
      }
      for (auto& instance : instances) {
        step(*instance);
      }
      if (after_tick) {
        after_tick();
      }
    }
  }

  bool may_accept(simulated_instance& instance)
  {
    return instance.plane->find_key("", now).error().code != result_code::key_evidence_stale;
  }

  std::vector<listed_instance> list() const
  {
    std::vector<listed_instance> lines;
    for (const auto& instance : instances) {
      lines.push_back({ instance->id, instance->zone, "192.0.2.1:" + instance->id.get(), false });
    }
    return lines;
  }

  bool connected(const simulated_instance& left, const simulated_instance& right) const
  {
    const bool split = isolated_instances.count(left.id) != isolated_instances.count(right.id) &&
                       isolated_delay == duration(0);
    return !split && (left.zone == right.zone ||
                      zone_partitions.count(std::minmax(left.zone, right.zone)) == 0);
  }
  bool platform_reachable(const simulated_instance& instance) const
  {
    return platform_partitions.count(instance.zone) == 0 &&
           isolated_instances.count(instance.id) == 0;
  }
  void isolate_zone(const zone_id& zone)
  {
    for (const auto& other : zones) {
      if (other != zone) {
        zone_partitions.insert(std::minmax(zone, other));
      }
    }
  }

  // Time between two steps of an instance.
  duration tick = milliseconds(50);
  instant now{ 1h };
  fake_table table;
  std::vector<zone_id> zones;
  std::vector<std::unique_ptr<simulated_instance>> instances;
  std::set<std::pair<zone_id, zone_id>> zone_partitions;
  std::set<zone_id> platform_partitions;
  // Instances that cannot reach the platform. They cannot reach the other instances either, unless
  // `isolated_delay` is set: messages to and from them are then only delayed by that time.
  std::set<instance_id> isolated_instances;
  duration isolated_delay{ 0 };
  bool list_available = true;
  // Number of next table calls that fail, and how they fail.
  int faulty_calls = 0;
  fake_table::call_outcome faulty_outcome = fake_table::call_outcome::normal;
  // Messages sent before this time are delivered no earlier than this time.
  instant stalled_until;

private:
  fake_table::call_outcome outcome_for(const std::string& client)
  {
    if (!platform_reachable(*by_name_[instance_id(client)])) {
      return fake_table::call_outcome::unavailable;
    }
    if (faulty_calls > 0) {
      --faulty_calls;
      return faulty_outcome;
    }
    return fake_table::call_outcome::normal;
  }

  control_plane::hooks hooks_for(simulated_instance& instance)
  {
    control_plane::hooks hooks;
    hooks.table = table.hooks(instance.id.get());
    hooks.random = [this](std::uint64_t bound) { return random_() % bound; };
    hooks.send = [this, &instance](const instance_id& target, const heartbeat& message) {
      instance.bytes_sent += size_of(message);
      auto& to = *by_name_[target];
      send(instance, to, [this, &instance, &to, message] {
        to.plane->receive(instance.id, message, now);
      });
    };
    hooks.fetch = [this, &instance](const instance_id& holder,
                                    control_plane::document_name wanted) {
      auto& source = *by_name_[holder];
      send(instance, source, [this, &instance, &source, wanted] {
        const auto& found = source.plane->local_document(wanted);
        send(source,
             instance,
             [this, &instance, wanted, version = found.version(), text = found.content()] {
               (void)instance.plane->offer(wanted, version, text, now);
             });
      });
    };
    hooks.config_in_force = [this, &instance](config_version version, const auto&) {
      instance.version_decreased =
        instance.version_decreased ||
        (!instance.config_history.empty() && version.get() <= instance.config_history.back().first);
      instance.config_history.emplace_back(version.get(), now);
    };
    hooks.keys_in_force = [&instance](config_version version, const auto&) {
      instance.version_decreased = instance.version_decreased || version <= instance.key_version;
      instance.key_version = version;
    };
    return hooks;
  }

  void step(simulated_instance& instance)
  {
    if (now.time_since_epoch() % seconds(5) < tick && list_available &&
        platform_reachable(instance)) {
      instance.plane->apply_platform_list(list(), now);
    }
    if (now.time_since_epoch() > instance.phase + 1h) {
      instance.plane->step(now);
    }
  }

  // Encoded size in bytes, estimated from the field types in peer.proto.
  static std::uint64_t size_of(const heartbeat& message)
  {
    std::uint64_t size = 50;
    for (const auto& entry : message.entries) {
      size += 36 + entry.instance.get().size() + entry.zone.get().size() + entry.address.size();
    }
    return size + message.zones.size() * 26;
  }

  void send(const simulated_instance& from,
            const simulated_instance& to,
            std::function<void()> deliver)
  {
    if (!connected(from, to)) {
      return;
    }
    duration delay = microseconds(500 + random_() % 2500);
    if (isolated_instances.count(from.id) + isolated_instances.count(to.id) > 0) {
      delay += isolated_delay;
    }
    messages_in_transit_.emplace(std::max(now + delay, stalled_until), [this, &from, &to, deliver] {
      if (connected(from, to)) {
        deliver();
      }
    });
  }

  std::mt19937_64 random_;
  std::map<instance_id, simulated_instance*> by_name_;
  std::multimap<instant, std::function<void()>> messages_in_transit_;
};

}
