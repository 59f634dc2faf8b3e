#include "sim_fleet.h"

#include <doctest/doctest.h>

namespace persimmonshelf::testing {

namespace {

constexpr duration connect_time = 12ms;

}

void
sim_fleet::kill_member(const std::string& id)
{
  group.kill(id);
  for (auto& [name, instance] : instances_) {
    for (auto open = instance->connections.begin(); open != instance->connections.end();) {
      if (open->second.member != id) {
        ++open;
        continue;
      }
      backend_event event;
      event.connection = open->first;
      event.kind =
        open->second.busy ? backend_event::event_type::failed : backend_event::event_type::closed;
      event.may_have_been_sent = true;
      event.reason = "reset";
      open = instance->connections.erase(open);
      if (net.reaches(instance->place, group.at(id).place)) {
        report(*instance, instance->run, event, 1ms);
      }
    }
  }
}

void
sim_fleet::report(sim_instance& instance,
                  const std::shared_ptr<process>& run,
                  backend_event event,
                  duration after)
{
  const auto shared = std::make_shared<backend_event>(std::move(event));
  loop.after(after, [this, &instance, run, shared] {
    run->deliver([this, &instance, shared] {
      instance.core->handle_backend_event(std::move(*shared), now_of(instance));
    });
  });
}

void
sim_fleet::run_backend_command(sim_instance& instance, const backend_command& command)
{
  switch (command.kind) {
    case backend_command::action::open:
      return open(instance, command);
    case backend_command::action::send:
      return send(instance, command);
    case backend_command::action::close:
      return close(instance, command.connection);
  }
}

void
sim_fleet::open(sim_instance& instance, const backend_command& command)
{
  std::string id;
  for (const auto& [name, member] : group.members()) {
    if (member_address(name) == command.address) {
      id = name;
    }
  }
  REQUIRE(!id.empty());
  backend_event event;
  event.connection = command.connection;
  event.kind = backend_event::event_type::connect_failed;
  event.reason = "no connection";
  if (!net.reaches(instance.place, group.at(id).place)) {
    return report(instance, instance.run, event, command.timeout);
  }
  if (!group.at(id).running) {
    return report(instance, instance.run, event, 2ms);
  }
  event.kind = backend_event::event_type::connected;
  instance.connections[command.connection] = {
    id, group.generation(id), next_connection_++, 0, false
  };
  report(instance, instance.run, event, connect_time);
}

void
sim_fleet::send(sim_instance& instance, const backend_command& command)
{
  backend_event event;
  event.connection = command.connection;
  event.kind = backend_event::event_type::failed;
  const auto found = instance.connections.find(command.connection);
  if (found == instance.connections.end()) {
    event.reason = "the connection is closed";
    return report(instance, instance.run, event, 0ms);
  }
  auto& used = found->second;
  used.busy = true;
  const auto sent = ++used.sent;
  const auto run = instance.run;
  // True while the request is neither answered nor abandoned.
  const auto open = [&instance, run, number = command.connection, sent] {
    const auto used_connection = instance.connections.find(number);
    return run->running && used_connection != instance.connections.end() &&
           used_connection->second.busy && used_connection->second.sent == sent;
  };
  event.may_have_been_sent = true;
  event.timed_out = true;
  event.reason = "no answer";
  loop.after(command.timeout, [this, &instance, run, open, event] {
    if (open()) {
      close(instance, event.connection);
      report(instance, run, event, 0ms);
    }
  });
  auto& member = group.at(used.member);
  const auto answered =
    [this, &instance, &member, run, open, number = command.connection](backend_reply reply) {
      const auto made = std::make_shared<backend_reply>(std::move(reply));
      loop.after(delay(member.place, instance.place),
                 [this, &instance, &member, run, open, number, made] {
                   if (!open() || !net.reaches(instance.place, member.place)) {
                     return;
                   }
                   instance.connections.at(number).busy = false;
                   backend_event answer;
                   answer.connection = number;
                   answer.kind = backend_event::event_type::answered;
                   answer.reply = std::move(*made);
                   report(instance, run, std::move(answer), 0ms);
                 });
    };
  const auto arrive = [this, &member, used, message = command.message, answered] {
    if (member.running && group.generation(used.member) == used.generation) {
      group.handle(used.member, used.connection, message, answered);
    }
  };
  loop.after(delay(instance.place, member.place), [this, &instance, &member, arrive] {
    if (net.reaches(instance.place, member.place)) {
      arrive();
    } else {
      hold_until_heal(arrive);
    }
  });
}

void
sim_fleet::close(sim_instance& instance, backend_connection_id number)
{
  const auto found = instance.connections.find(number);
  if (found != instance.connections.end()) {
    close_at_member(instance.place, found->second);
    instance.connections.erase(found);
  }
}

void
sim_fleet::close_at_member(const endpoint& from, const connection& closed)
{
  // An unreachable server closes the connection through its own keep-alive.
  const bool reached = net.reaches(from, group.at(closed.member).place);
  loop.after(reached ? 2ms : 5s, [this, closed] {
    if (group.generation(closed.member) == closed.generation) {
      group.connection_closed(closed.member, closed.connection);
    }
  });
}

void
sim_fleet::report_not_sent(sim_instance& from,
                           const std::shared_ptr<process>& run,
                           std::uint64_t id)
{
  loop.after(1ms, [this, &from, run, id] {
    run->deliver([this, &from, id] { from.core->handle_peer_not_sent(id, now_of(from)); });
  });
}

bool
sim_fleet::send_peer(sim_instance& from,
                     const std::string& to,
                     wire::envelope message,
                     std::uint64_t id)
{
  const auto found = instances_.find(to);
  if (found == instances_.end() || !found->second->run || !found->second->run->running) {
    report_not_sent(from, from.run, id);
    return true;
  }
  auto& target = *found->second;
  const auto text = std::make_shared<wire::envelope>(std::move(message));
  const auto arrive = [this, &target, text, run = target.run] {
    run->deliver(
      [this, &target, text] { target.core->handle_peer_message(*text, now_of(target)); });
  };
  if (!net.reaches(from.place, target.place)) {
    if (chance(0.3)) {
      report_not_sent(from, from.run, id);
    } else {
      hold_until_heal(arrive);
    }
    return true;
  }
  if (chance(loss)) {
    return true;
  }
  auto& last = last_arrival_[{ from.place.name, to }];
  last = std::max(last, loop.now() + delay(from.place, target.place));
  loop.at(last, [this, &from, &target, arrive] {
    if (net.reaches(from.place, target.place)) {
      arrive();
    } else {
      hold_until_heal(arrive);
    }
  });
  return true;
}

}
