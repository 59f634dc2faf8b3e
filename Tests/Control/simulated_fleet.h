#pragma once

#include "Control/document.h"
#include "Control/key_evidence.h"
#include "Control/key_set.h"
#include "Control/membership.h"
#include "Control/rendezvous.h"
#include "fake_table.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>

// Instances in zones that run the control logic in simulated time, wired as the engine wires it,
// with cuts between zones and to the platform.
class simulated_fleet
{
public:
  using instant = persimmonshelf::instant;
  using duration = persimmonshelf::duration;

  struct instance
  {
    persimmonshelf::instance_id id;
    persimmonshelf::zone_id zone;
    std::uint64_t incarnation = 0;
    duration phase{ 0 };
    std::unique_ptr<persimmonshelf::membership> members;
    std::unique_ptr<persimmonshelf::key_evidence> evidence;
    std::unique_ptr<persimmonshelf::document> config;
    std::unique_ptr<persimmonshelf::document> keys;
    persimmonshelf::key_set key_set;
    persimmonshelf::config_version key_version;
    // When each version of the configuration came into force in this incarnation.
    std::vector<std::pair<std::uint64_t, instant>> config_history;
    std::optional<instant> fetch_sent_at;
    bool is_poller = false;
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
      one->id = persimmonshelf::instance_id("i" + std::to_string(i));
      one->phase = std::chrono::milliseconds(random_() % 1000);
      by_name_[one->id] = one.get();
    }
    for (auto& one : instances) {
      start(*one);
    }
  }

  // A new run of the daemon: all that the former one knew is gone.
  void start(instance& one)
  {
    using namespace persimmonshelf;
    one.incarnation = random_();
    one.key_set = {};
    one.key_version = {};
    one.config_history.clear();
    one.members = std::make_unique<membership>(
      membership::identity{ one.id,
                            incarnation_id(one.incarnation),
                            one.zone,
                            "192.0.2.1:" + one.id.get(),
                            static_cast<std::uint64_t>(now.time_since_epoch().count()) / 1000 },
      [this](std::uint64_t bound) { return random_() % bound; });
    one.evidence = std::make_unique<key_evidence>(*one.members, now);
    one.evidence->set_zones(zones);
    one.config = std::make_unique<document>("config", hooks_for(one, false));
    one.keys = std::make_unique<document>("keys", hooks_for(one, true));
    if (list_available && platform_reachable(one)) {
      one.members->apply_platform_list(list(), now);
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

  bool accepts(instance& one, const std::string& key)
  {
    return one.evidence->may_accept(now) && one.key_set.find(key) != nullptr;
  }

  // Brings the engine's copy of the own state up to date; called after each change.
  void update(instance& one)
  {
    one.members->set_own_state({ false,
                                 one.config->version(),
                                 one.evidence->asserted_version(now),
                                 one.evidence->table_read_at(now),
                                 one.evidence->wants_news(now) },
                               now);
  }

  std::vector<persimmonshelf::listed_instance> list() const
  {
    std::vector<persimmonshelf::listed_instance> lines;
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
  void cut_off(const persimmonshelf::zone_id& zone)
  {
    for (const auto& other : zones) {
      if (other != zone) {
        cuts.insert(std::minmax(zone, other));
      }
    }
  }

  // Time between two steps of an instance.
  duration tick = std::chrono::milliseconds(50);
  instant now{ std::chrono::hours(1) };
  fake_table table;
  std::vector<persimmonshelf::zone_id> zones;
  std::vector<std::unique_ptr<instance>> instances;
  std::set<std::pair<persimmonshelf::zone_id, persimmonshelf::zone_id>> cuts;
  std::set<persimmonshelf::zone_id> platform_cuts;
  // Instances without the platform, and without the other instances unless messages to and from
  // them only take `group_delay`.
  std::set<persimmonshelf::instance_id> group;
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
    if (!platform_reachable(*by_name_[persimmonshelf::instance_id(client)])) {
      return fake_table::course::down;
    }
    if (faulty_calls > 0) {
      --faulty_calls;
      return faulty_course;
    }
    return fake_table::course::normal;
  }

  persimmonshelf::document::hooks hooks_for(instance& one, bool is_keys)
  {
    using namespace persimmonshelf;
    document::hooks hooks;
    hooks.table = table.hooks(one.id.get());
    hooks.check = [is_keys](const std::string& content) -> result<void> {
      if (is_keys) {
        const auto parsed = key_set::parse(content);
        if (!parsed) {
          return parsed.error();
        }
      }
      return success();
    };
    hooks.in_force = [this, &one, is_keys](config_version version, const std::string& content) {
      if (is_keys) {
        one.fell = one.fell || version <= one.key_version;
        one.key_set = key_set::parse(content).value();
        one.key_version = version;
        one.evidence->hold(version);
        return;
      }
      one.fell = one.fell ||
                 (!one.config_history.empty() && version.get() <= one.config_history.back().first);
      one.config_history.emplace_back(version.get(), now);
    };
    hooks.is_poller = [&one] { return one.is_poller; };
    if (is_keys) {
      hooks.table_read = [&one](config_version version, instant sent_at) {
        one.evidence->table_read(version, sent_at);
      };
    }
    return hooks;
  }

  void choose_poller(instance& one)
  {
    std::vector<std::string> names;
    for (const auto& name : one.members->live(one.zone, now)) {
      names.push_back(name.get());
    }
    const auto chosen = persimmonshelf::rendezvous::rank(one.zone.get(), names, 2);
    one.is_poller = std::find(chosen.begin(), chosen.end(), one.id.get()) != chosen.end();
  }

  void step(instance& one)
  {
    using namespace persimmonshelf;
    if (now.time_since_epoch() % std::chrono::seconds(1) < tick) {
      choose_poller(one);
    }
    one.config->poll(now);
    one.keys->poll(now);
    const auto fresh = one.members->youngest_table_read(one.keys->version());
    if (fresh) {
      one.keys->heard_fresh(*fresh);
      one.config->heard_fresh(*fresh);
    }
    update(one);
    fetch(one);
    if (now.time_since_epoch() % std::chrono::seconds(5) < tick && list_available &&
        platform_reachable(one)) {
      one.members->apply_platform_list(list(), now);
    }
    if (now.time_since_epoch() > one.phase && one.members->heartbeat_due(now)) {
      for (const auto& target : one.members->heartbeat_targets(now)) {
        send_heartbeat(one, target.instance);
      }
    }
  }

  void fetch(instance& one)
  {
    if (one.fetch_sent_at && now - *one.fetch_sent_at < std::chrono::milliseconds(300)) {
      return;
    }
    for (const bool is_keys : { false, true }) {
      const auto& copy = is_keys ? one.keys : one.config;
      const auto holder = is_keys ? one.members->newer_keys(copy->version(), now)
                                  : one.members->newer_config(copy->version(), now);
      if (!holder) {
        continue;
      }
      one.fetch_sent_at = now;
      auto& source = *by_name_[holder->instance];
      send(one, source, [this, &one, &source, is_keys] {
        const auto& found = is_keys ? source.keys : source.config;
        send(source, one, [&one, is_keys, version = found->version(), text = found->content()] {
          (void)(is_keys ? one.keys : one.config)->offer(version, text);
        });
      });
    }
  }

  void send_heartbeat(instance& from, const persimmonshelf::instance_id& target)
  {
    auto& to = *by_name_[target];
    const auto beat = from.members->make_heartbeat(target, now);
    from.bytes_sent += size_of(beat);
    send(from, to, [this, &from, &to, beat] {
      if (to.members->receive(from.id, beat, now)) {
        send_heartbeat(to, from.id);
      }
    });
  }

  // Encoded size, estimated from the field types in peer.proto.
  static std::uint64_t size_of(const persimmonshelf::heartbeat& beat)
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
    duration delay = std::chrono::microseconds(500 + random_() % 2500);
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
  std::map<persimmonshelf::instance_id, instance*> by_name_;
  std::multimap<instant, std::function<void()>> mail_;
};
