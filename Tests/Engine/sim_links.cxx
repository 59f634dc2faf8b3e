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
  for (auto& [name, one] : nodes_) {
    for (auto open = one->links.begin(); open != one->links.end();) {
      if (open->second.member != id) {
        ++open;
        continue;
      }
      backend_event event;
      event.link = open->first;
      event.kind =
        open->second.busy ? backend_event::happening::failed : backend_event::happening::closed;
      event.may_have_been_sent = true;
      event.reason = "reset";
      open = one->links.erase(open);
      if (net.reaches(one->place, group.at(id).place)) {
        report(*one, one->run, event, 1ms);
      }
    }
  }
}

void
sim_fleet::report(node& one,
                  const std::shared_ptr<process>& run,
                  backend_event event,
                  duration after)
{
  const auto shared = std::make_shared<backend_event>(std::move(event));
  loop.after(after, [this, &one, run, shared] {
    run->deliver(
      [this, &one, shared] { one.core->backend_happened(std::move(*shared), now_of(one)); });
  });
}

void
sim_fleet::backend(node& one, const backend_command& command)
{
  switch (command.kind) {
    case backend_command::action::open:
      return open(one, command);
    case backend_command::action::send:
      return send(one, command);
    case backend_command::action::close:
      return close(one, command.link);
  }
}

void
sim_fleet::open(node& one, const backend_command& command)
{
  std::string id;
  for (const auto& [name, member] : group.members()) {
    if (member_address(name) == command.address) {
      id = name;
    }
  }
  REQUIRE(!id.empty());
  backend_event event;
  event.link = command.link;
  event.kind = backend_event::happening::connect_failed;
  event.reason = "no connection";
  if (!net.reaches(one.place, group.at(id).place)) {
    return report(one, one.run, event, command.timeout);
  }
  if (!group.at(id).alive) {
    return report(one, one.run, event, 2ms);
  }
  event.kind = backend_event::happening::connected;
  one.links[command.link] = { id, group.generation(id), next_connection_++, 0, false };
  report(one, one.run, event, connect_time);
}

void
sim_fleet::send(node& one, const backend_command& command)
{
  backend_event event;
  event.link = command.link;
  event.kind = backend_event::happening::failed;
  const auto found = one.links.find(command.link);
  if (found == one.links.end()) {
    event.reason = "the connection is closed";
    return report(one, one.run, event, 0ms);
  }
  auto& used = found->second;
  used.busy = true;
  const auto sent = ++used.sent;
  const auto run = one.run;
  // True while the exchange was neither answered nor given up.
  const auto open = [&one, run, number = command.link, sent] {
    const auto used_link = one.links.find(number);
    return run->running && used_link != one.links.end() && used_link->second.busy &&
           used_link->second.sent == sent;
  };
  event.may_have_been_sent = true;
  event.overdue = true;
  event.reason = "no answer";
  loop.after(command.timeout, [this, &one, run, open, event] {
    if (open()) {
      close(one, event.link);
      report(one, run, event, 0ms);
    }
  });
  auto& member = group.at(used.member);
  const auto answered =
    [this, &one, &member, run, open, number = command.link](backend_reply reply) {
      const auto made = std::make_shared<backend_reply>(std::move(reply));
      loop.after(delay(member.place, one.place), [this, &one, &member, run, open, number, made] {
        if (!open() || !net.reaches(one.place, member.place)) {
          return;
        }
        one.links.at(number).busy = false;
        backend_event answer;
        answer.link = number;
        answer.kind = backend_event::happening::answered;
        answer.reply = std::move(*made);
        report(one, run, std::move(answer), 0ms);
      });
    };
  const auto arrive = [this, &member, used, message = command.message, answered] {
    if (member.alive && group.generation(used.member) == used.generation) {
      group.handle(used.member, used.connection, message, answered);
    }
  };
  loop.after(delay(one.place, member.place), [this, &one, &member, arrive] {
    if (net.reaches(one.place, member.place)) {
      arrive();
    } else {
      hold(arrive);
    }
  });
}

void
sim_fleet::close(node& one, link_number number)
{
  const auto found = one.links.find(number);
  if (found != one.links.end()) {
    close_at_member(one.place, found->second);
    one.links.erase(found);
  }
}

void
sim_fleet::close_at_member(const endpoint& from, const link& closed)
{
  // A server that is not reached ends the connection by its own keep-alive.
  const bool reached = net.reaches(from, group.at(closed.member).place);
  loop.after(reached ? 2ms : 5s, [this, closed] {
    if (group.generation(closed.member) == closed.generation) {
      group.connection_closed(closed.member, closed.connection);
    }
  });
}

void
sim_fleet::refuse_peer(node& from, const std::shared_ptr<process>& run, std::uint64_t id)
{
  loop.after(1ms, [this, &from, run, id] {
    run->deliver([this, &from, id] { from.core->peer_refused(id, now_of(from)); });
  });
}

bool
sim_fleet::send_peer(node& from, const std::string& to, wire::envelope message, std::uint64_t id)
{
  const auto found = nodes_.find(to);
  if (found == nodes_.end() || !found->second->run || !found->second->run->running) {
    refuse_peer(from, from.run, id);
    return true;
  }
  auto& target = *found->second;
  const auto text = std::make_shared<wire::envelope>(std::move(message));
  const auto arrive = [this, &target, text, run = target.run] {
    run->deliver([this, &target, text] { target.core->peer_message(*text, now_of(target)); });
  };
  if (!net.reaches(from.place, target.place)) {
    if (chance(0.3)) {
      refuse_peer(from, from.run, id);
    } else {
      hold(arrive);
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
      hold(arrive);
    }
  });
  return true;
}

}
