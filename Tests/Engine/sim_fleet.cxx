#include "sim_fleet.h"

#include "Control/document_row.h"
#include "Control/key_set.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace persimmonshelf::testing {

namespace {

const std::vector<std::string> zone_names = { "z1", "z2", "z3" };
// Time after the start of an instance before callers use it.
constexpr duration min_uptime = 2s;

std::string
document_text(std::uint64_t version, std::string content)
{
  document_row row;
  row.version = { config_version(version), "test", "edit-" + std::to_string(version) };
  row.content = std::move(content);
  return row.format();
}

}

std::string
member_address(const std::string& id)
{
  return "192.0.2." + id.substr(id.rfind('-') + 1) + ":5000";
}

std::string
config_text(const fleet_options& options)
{
  std::string members;
  for (std::size_t i = 0; i < zone_names.size(); ++i) {
    const auto id = "main-" + std::to_string(i + 1);
    members += std::string(i == 0 ? "" : ",") + R"({"name":")" + id + R"(","zone":")" +
               zone_names[i] + R"(","address":")" + member_address(id) + R"("})";
  }
  const auto limit = R"("rate":)" + std::to_string(options.rate) + R"(,"burst":)" +
                     std::to_string(options.burst) + "}";
  return R"({"workspaces":[{"name":"a",)" + limit + R"(,{"name":"b",)" + limit +
         R"(],"databases":[{"name":"main","slots":)" + std::to_string(options.slots) +
         R"(,"connections":60,"default_max_age_ms":)" + std::to_string(options.default_max_age_ms) +
         R"(,"members":[)" + members +
         R"(]}],"routes":[{"name":"orders","databases":["main"],"workspaces":["a","b"]},)"
         R"({"name":"status","databases":["main"],"open":true}]})";
}

sim_fleet::sim_fleet(fleet_options options)
  : random(options.seed)
  , table(loop)
  , group(loop, net, "main", zone_names, options.slots)
  , options_(options)
{
  loop.run_until(instant(100s));
  key_set keys;
  REQUIRE(keys.add(sha256(first_key), workspace_id("a"), ""));
  REQUIRE(keys.add(sha256(second_key), workspace_id("b"), ""));
  table.write("config", document_text(1, config_text(options)), 0);
  table.write("keys", document_text(1, keys.text(config_version(1))), 0);
  for (std::size_t i = 0; i < options.instances_per_zone; ++i) {
    for (const auto& zone : zone_names) {
      auto made = std::make_unique<sim_instance>();
      made->place = { zone + "-" + std::to_string(i + 1), zone };
      instances_[made->place.name] = std::move(made);
    }
  }
  for (const auto& [name, instance] : instances_) {
    start(name);
  }
  if (std::getenv("PERSIMMONSHELF_ENGINE_LOG") != nullptr) {
    log = [this](const std::string& text) {
      std::cout << loop.now().time_since_epoch() / 1ms << " " << text << "\n";
    };
  }
}

duration
sim_fleet::delay(const endpoint& from, const endpoint& to)
{
  const auto base = from.zone == to.zone ? 200us : 1200us;
  return base + std::chrono::microseconds(random() % 400);
}

void
sim_fleet::hold_until_heal(deferred call)
{
  if (chance(0.5)) {
    held_calls_.push_back(std::move(call));
  }
}

void
sim_fleet::heal()
{
  net.heal();
  for (auto& call : std::exchange(held_calls_, {})) {
    loop.after(std::chrono::microseconds(random() % 5000), std::move(call));
  }
}

void
sim_fleet::isolate_zone(const std::string& zone)
{
  for (const auto& other : zone_names) {
    if (other != zone) {
      net.cut(zone, other);
    }
  }
}

std::vector<std::string>
sim_fleet::routable_instances(const std::string& zone) const
{
  std::vector<std::string> found;
  for (const auto& [name, instance] : instances_) {
    const bool runs = instance->run && instance->run->running && !instance->run->paused &&
                      !instance->core->draining() && loop.now() - instance->started >= min_uptime;
    if (runs && (zone.empty() || instance->place.zone == zone)) {
      found.push_back(name);
    }
  }
  return found;
}

std::string
sim_fleet::home_of(const std::string& member)
{
  const auto zone = group.at(member).place.zone;
  std::map<std::string, int> votes;
  for (auto& [name, known] : instances_) {
    auto& instance = *known;
    if (!instance.run->running || instance.run->paused) {
      continue;
    }
    const auto home = instance.core->control().members().home_of(
      database_id("main"), zone_id(zone), now_of(instance));
    ++votes[home.get()];
  }
  return std::max_element(
           votes.begin(),
           votes.end(),
           [](const auto& left, const auto& right) { return left.second < right.second; })
    ->first;
}

engine_hooks
sim_fleet::make_hooks(sim_instance& instance)
{
  engine_hooks hooks;
  const auto run = instance.run;
  hooks.run_backend_command = [this, &instance](const backend_command& command) {
    run_backend_command(instance, command);
    return true;
  };
  hooks.send_peer =
    [this, &instance](const std::string& address, wire::envelope message, std::uint64_t id) {
      return send_peer(instance, address, std::move(message), id);
    };
  hooks.table =
    table.hooks(run, [this, &instance](call_kind kind, const std::string& key, const auto&) {
      if (!net.reaches(instance.place, platform_)) {
        call_outcome lost;
        lost.takes_effect = false;
        lost.fails = true;
        lost.response_delay = 2s;
        return lost;
      }
      return table_outcome ? table_outcome(kind, key) : call_outcome();
    });
  hooks.list_instances = [this, &instance, run](auto done) {
    if (!net.reaches(instance.place, platform_)) {
      loop.after(2s, [run, done] {
        run->deliver([done] { done(fail(result_code::platform_unavailable, "cut")); });
      });
      return;
    }
    std::vector<listed_instance> list;
    for (const auto& [name, other] : instances_) {
      list.push_back({ instance_id(name), zone_id(other->place.zone), name, false });
    }
    loop.after(3ms, [run, done, list] { run->deliver([done, list] { done(list); }); });
  };
  hooks.random_bits = [this] { return random(); };
  hooks.log = [this, &instance](const std::string& text) {
    if (log) {
      log(instance.place.name + ": " + text);
    }
  };
  hooks.request_ended = [](const request_end&) {};
  hooks.failed_over = [](const database_id&, const failover_durations&) {};
  hooks.utc = [this] { return 1'790'000'000 + loop.now().time_since_epoch() / 1s; };
  return hooks;
}

void
sim_fleet::start(const std::string& name)
{
  auto& instance = at(name);
  instance.run = std::make_shared<process>();
  instance.connections.clear();
  // A restarted instance may run on another machine with an unrelated clock.
  instance.offset = std::chrono::milliseconds(random() % 1'000'000'000);
  instance.incarnation = random();
  instance.started = loop.now();
  engine_settings settings;
  settings.instance = instance_id(name);
  settings.incarnation = incarnation_id(instance.incarnation);
  settings.zone = zone_id(instance.place.zone);
  settings.peer_address = name;
  settings.seed_peers = { "z1-1", "z2-1", "z3-1" };
  settings.session_secret = "secret";
  settings.start_sequence = static_cast<std::uint64_t>(loop.now().time_since_epoch() / 1ms);
  instance.operators.reset();
  instance.core = std::make_unique<engine>(settings, make_hooks(instance), now_of(instance));
  instance.operators = std::make_unique<operator_service>(*instance.core, [] {});
  loop.after(std::chrono::microseconds(random() % 10000),
             [this, &instance, run = instance.run] { tick(instance, run); });
}

void
sim_fleet::tick(sim_instance& instance, const std::shared_ptr<process>& run)
{
  if (!run->running) {
    return;
  }
  if (!run->paused) {
    instance.core->tick(now_of(instance));
    instance.operators->tick(now_of(instance));
  }
  loop.after(10ms, [this, &instance, run] { tick(instance, run); });
}

void
sim_fleet::kill(const std::string& name)
{
  auto& instance = at(name);
  instance.run->running = false;
  for (const auto& [number, open] : instance.connections) {
    close_at_member(instance.place, open);
  }
  instance.connections.clear();
  for (auto& record : records) {
    if (record->instance == name && !record->answer && !record->lost) {
      record->closed = true;
    }
  }
}

void
sim_fleet::pause(const std::string& name)
{
  at(name).run->paused = true;
  at(name).pauses.emplace_back(loop.now(), instant::max());
}

void
sim_fleet::resume(const std::string& name)
{
  at(name).pauses.back().second = loop.now();
  at(name).run->resume();
}

caller_request
sim_fleet::statement(bool write, std::string text, std::string session)
{
  caller_request request;
  request.route = route_id("orders");
  request.key = first_key;
  request.database = database_id("main");
  request.write = write;
  request.statement = std::move(text);
  request.session = std::move(session);
  return request;
}

void
sim_fleet::finish(call_record& record, const finished& done)
{
  record.ended = loop.now();
  if (log) {
    const auto& answer = record.answer;
    log(record.instance + ": \"" + record.text + "\" took " +
        std::to_string((record.ended - record.started) / 1ms) +
        " ms: " + (answer ? std::string(name_of(answer->code)) + " " + answer->message : "lost"));
  }
  if (done) {
    done(record);
  }
}

void
sim_fleet::submit(const std::string& name, caller_request request, finished done)
{
  records.push_back(std::make_unique<call_record>());
  auto& record = *records.back();
  record.text = request.statement;
  record.request = request;
  record.instance = name;
  record.started = loop.now();
  record.deadline = loop.now() + request.deadline.value_or(5s);
  auto& instance = at(name);
  if (!instance.run->running) {
    record.lost = record.closed = true;
    return finish(record, done);
  }
  loop.at(record.deadline + caller_give_up_delay, [this, &record, done] {
    if (!record.answer && !record.lost) {
      record.lost = true;
      finish(record, done);
    }
  });
  instance.run->deliver([this, &instance, &record, request, done] {
    instance.core->submit(
      request,
      [this, &record, done](caller_answer answer) {
        ++record.answers;
        if (record.answers > 1 || record.lost) {
          return;
        }
        record.answer = std::move(answer);
        // The caller's next step runs as a separate event, not inside a call of the engine.
        loop.after(0ms, [this, &record, done] { finish(record, done); });
      },
      now_of(instance));
  });
}

void
sim_fleet::command(const std::string& name,
                   const std::string& target,
                   const std::string& body,
                   std::function<void(operator_answer)> done)
{
  auto& instance = at(name);
  instance.operators->handle(
    { body.empty() ? "GET" : "POST", target, body }, std::move(done), now_of(instance));
}

}
