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

// Instances in zones that run the control logic in simulated time, wired as the engine wires it,
// with cuts between zones and to the platform.
class simulated_fleet
{
public:
  struct instance
  {
    instance_id id;
    zone_id zone;
    duration phase{ 0 };
    std::unique_ptr<control_plane> plane;
    config_version key_version;
    // When each version of the configuration came into force in this incarnation.
    std::vector<std::pair<std::uint64_t, instant>> config_history;
    bool fell = false;
    std::uint64_t bytes_sent = 0;
  };

  simulated_fleet(std::size_t zone_count, std::size_t per_zone, std::uint64_t seed)
    : random_(seed)
  {
    table.fault = [this](const std::string& client, bool) { return course_for(client); };
    for (std::size_t zone = 0; zone < zone_count; ++zone) {
      zones.emplace_back("z" + std::to_string(zone));
    }
    for (std::size_t i = 0; i < zone_count * per_zone; ++i) {
      auto& one = instances.emplace_back(std::make_unique<instance>());
      one->zone = zones[i % zone_count];
      one->id = instance_id("i" + std::to_string(i));
      one->phase = milliseconds(random_() % 1000);
      by_name_[one->id] = one.get();
    }
    const document_row keys{ { config_version(1), "o", "k" },
                             key_set().text(config_version(1)),
                             {} };
    table.write("keys", keys.format(), 0);
    const document_row config{ { config_version(1), "o", "c" }, config_text(1), {} };
    table.write("config", config.format(), 0);
    for (auto& one : instances) {
      start(*one);
    }
  }

  // A configuration with a member in each zone that differs by `number`.
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

  // A new run of the daemon: all that the former one knew is gone.
  void start(instance& one)
  {
    one.key_version = {};
    one.config_history.clear();
    const auto clock_ms = static_cast<std::uint64_t>(now.time_since_epoch().count()) / 1000;
    const membership::identity self{
      one.id, incarnation_id(random_()), one.zone, "192.0.2.1:" + one.id.get(), clock_ms
    };
    one.plane = std::make_unique<control_plane>(self, hooks_for(one), now);
    if (list_available && platform_reachable(one)) {
      one.plane->apply_platform_list(list(), now);
    }
  }

  void run(duration time, const std::function<void()>& after_tick = {})
  {
    for (const auto end = now + time; now < end;) {
      now += tick;
      table.run(now);
      while (!mail_.empty() && mail_.begin()->first <= now) {
        const auto deliver = std::move(mail_.begin()->second);
        mail_.erase(mail_.begin());
        deliver();
      }
      for (auto& one : instances) {
        step(*one);
      }
      if (after_tick) {
        after_tick();
      }
    }
  }

  bool may_accept(instance& one)
  {
    return one.plane->find_key("", now).error().code != result_code::key_evidence_stale;
  }

  std::vector<listed_instance> list() const
  {
    std::vector<listed_instance> lines;
    for (const auto& one : instances) {
      lines.push_back({ one->id, one->zone, "192.0.2.1:" + one->id.get(), false });
    }
    return lines;
  }

  bool connected(const instance& left, const instance& right) const
  {
    const bool split = group.count(left.id) != group.count(right.id) && group_delay == duration(0);
    return !split &&
           (left.zone == right.zone || cuts.count(std::minmax(left.zone, right.zone)) == 0);
  }
  bool platform_reachable(const instance& one) const
  {
    return platform_cuts.count(one.zone) == 0 && group.count(one.id) == 0;
  }
  void cut_off(const zone_id& zone)
  {
    for (const auto& other : zones) {
      if (other != zone) {
        cuts.insert(std::minmax(zone, other));
      }
    }
  }

  // Time between two steps of an instance.
  duration tick = milliseconds(50);
  instant now{ 1h };
  fake_table table;
  std::vector<zone_id> zones;
  std::vector<std::unique_ptr<instance>> instances;
  std::set<std::pair<zone_id, zone_id>> cuts;
  std::set<zone_id> platform_cuts;
  // Instances without the platform, and without the other instances unless messages to and from
  // them only take `group_delay`.
  std::set<instance_id> group;
  duration group_delay{ 0 };
  bool list_available = true;
  // Table calls still to go wrong, and how.
  int faulty_calls = 0;
  fake_table::course faulty_course = fake_table::course::normal;
  // Messages sent before this time stay in the connection until then.
  instant stalled_until;

private:
  fake_table::course course_for(const std::string& client)
  {
    if (!platform_reachable(*by_name_[instance_id(client)])) {
      return fake_table::course::down;
    }
    if (faulty_calls > 0) {
      --faulty_calls;
      return faulty_course;
    }
    return fake_table::course::normal;
  }

  control_plane::hooks hooks_for(instance& one)
  {
    control_plane::hooks hooks;
    hooks.table = table.hooks(one.id.get());
    hooks.random = [this](std::uint64_t bound) { return random_() % bound; };
    hooks.send = [this, &one](const instance_id& target, const heartbeat& beat) {
      one.bytes_sent += size_of(beat);
      auto& to = *by_name_[target];
      send(one, to, [this, &one, &to, beat] { to.plane->receive(one.id, beat, now); });
    };
    hooks.fetch = [this, &one](const instance_id& holder, control_plane::document_name wanted) {
      auto& source = *by_name_[holder];
      send(one, source, [this, &one, &source, wanted] {
        const auto& found = source.plane->local_document(wanted);
        send(source, one, [this, &one, wanted, version = found.version(), text = found.content()] {
          (void)one.plane->offer(wanted, version, text, now);
        });
      });
    };
    hooks.config_in_force = [this, &one](config_version version, const auto&) {
      one.fell = one.fell ||
                 (!one.config_history.empty() && version.get() <= one.config_history.back().first);
      one.config_history.emplace_back(version.get(), now);
    };
    hooks.keys_in_force = [&one](config_version version, const auto&) {
      one.fell = one.fell || version <= one.key_version;
      one.key_version = version;
    };
    return hooks;
  }

  void step(instance& one)
  {
    if (now.time_since_epoch() % seconds(5) < tick && list_available && platform_reachable(one)) {
      one.plane->apply_platform_list(list(), now);
    }
    if (now.time_since_epoch() > one.phase + 1h) {
      one.plane->step(now);
    }
  }

  // Encoded size, estimated from the field types in peer.proto.
  static std::uint64_t size_of(const heartbeat& beat)
  {
    std::uint64_t size = 50;
    for (const auto& entry : beat.entries) {
      size += 36 + entry.instance.get().size() + entry.zone.get().size() + entry.address.size();
    }
    return size + beat.zones.size() * 26;
  }

  void send(const instance& from, const instance& to, std::function<void()> deliver)
  {
    if (!connected(from, to)) {
      return;
    }
    duration delay = microseconds(500 + random_() % 2500);
    if (group.count(from.id) + group.count(to.id) > 0) {
      delay += group_delay;
    }
    mail_.emplace(std::max(now + delay, stalled_until), [this, &from, &to, deliver] {
      if (connected(from, to)) {
        deliver();
      }
    });
  }

  std::mt19937_64 random_;
  std::map<instance_id, instance*> by_name_;
  std::multimap<instant, std::function<void()>> mail_;
};

}
