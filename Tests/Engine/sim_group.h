#pragma once

#include "../Support/fake_table.h"
#include "Engine/backend_connection.h"
#include "StandIns/standin_backend_member.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmonshelf::testing {

// A sender or receiver of messages: an instance, a member or the platform.
struct endpoint
{
  std::string name;
  std::string zone;
};

// Records which endpoints can reach each other. A cut separates two endpoints or zones.
class network
{
public:
  void cut(const std::string& left, const std::string& right) { cuts_.insert(pair(left, right)); }
  void heal(const std::string& left, const std::string& right) { cuts_.erase(pair(left, right)); }
  void heal() { cuts_.clear(); }
  bool healthy() const { return cuts_.empty(); }
  bool reaches(const endpoint& left, const endpoint& right) const
  {
    for (const auto& from : { left.name, left.zone }) {
      for (const auto& to : { right.name, right.zone }) {
        if (cuts_.contains(pair(from, to))) {
          return false;
        }
      }
    }
    return true;
  }

private:
  static std::pair<std::string, std::string> pair(std::string left, std::string right)
  {
    return left < right ? std::pair(left, right) : std::pair(right, left);
  }
  std::set<std::pair<std::string, std::string>> cuts_;
};

// The backend servers of one database: stand-in members behind simulated connections, with
// asynchronous replication.
class sim_group
{
public:
  struct member
  {
    endpoint place;
    std::unique_ptr<standin_member> server;
    bool running = true;
    // Replication delay of a log entry to this member.
    duration lag = 2ms;
    // Next position to send, by sender.
    std::map<std::string, std::uint64_t> next;
    std::map<std::uint64_t, instant> written;
    std::vector<std::function<bool()>> watchers;
    instant last_new_work{};
    instant leaving_since{};
  };

  sim_group(event_loop& loop,
            network& net,
            std::string name,
            const std::vector<std::string>& zones,
            std::size_t slots)
    : loop_(loop)
    , net_(net)
  {
    for (std::size_t i = 0; i < zones.size(); ++i) {
      const auto id = name + "-" + std::to_string(i + 1);
      auto made = std::make_unique<member>();
      auto* raw = made.get();
      made->place = { id, zones[i] };
      made->server = std::make_unique<standin_member>(id, slots, [this, raw] { changed(*raw); });
      members_[id] = std::move(made);
    }
    members_.begin()->second->server->start_as_primary();
    replicate();
  }

  member& at(const std::string& id) { return *members_.at(id); }
  std::map<std::string, std::unique_ptr<member>>& members() { return members_; }

  // Returns the running primary of the highest term, or null during a failover.
  member* primary()
  {
    member* best = nullptr;
    for (auto& [id, target] : members_) {
      const bool better = best == nullptr || target->server->promised() > best->server->promised();
      if (target->running && target->server->is_primary() && better) {
        best = target.get();
      }
    }
    return best;
  }

  void kill(const std::string& id)
  {
    at(id).running = false;
    at(id).watchers.clear();
    at(id).server->restart();
    ++generation_[id];
  }
  void start(const std::string& id) { at(id).running = true; }
  std::uint64_t generation(const std::string& id) { return generation_[id]; }

  void set_leaving(const std::string& id)
  {
    at(id).leaving_since = loop_.now();
    at(id).server->set_leaving(true);
  }

  // Runs a request of a connection and answers later, unless the member is killed first.
  void handle(const std::string& id,
              std::uint64_t connection,
              const backend_message& message,
              std::function<void(backend_reply)> answer)
  {
    std::visit([&](const auto& request) { run(at(id), connection, request, std::move(answer)); },
               message);
  }

  void connection_closed(const std::string& id, std::uint64_t connection)
  {
    at(id).server->connection_closed(connection);
  }

  // Number of times that a request ran, over all members and attempts.
  std::uint64_t runs(const std::string& request) const
  {
    std::uint64_t sum = 0;
    for (const auto& [id, target] : members_) {
      const auto& all = target->server->runs();
      for (auto found = all.lower_bound(request + "#");
           found != all.end() && found->first.starts_with(request + "#");
           ++found) {
        sum += found->second;
      }
    }
    return sum;
  }

  // Time of the first log entry of each request on any member.
  std::map<std::string, instant> first_written;

private:
  member_report report(const member& target) const
  {
    const auto& server = *target.server;
    member_report made;
    made.member = member_id(server.name());
    made.promised = server.promised();
    made.last = server.log().last();
    made.primary = server.is_primary();
    made.leaving = server.is_leaving();
    for (const auto& start : server.log().history()) {
      made.history.push_back({ start.in_term, start.first_position });
    }
    return made;
  }

  void changed(member& target)
  {
    const auto last = target.server->log().last().position.get();
    target.written.try_emplace(last, loop_.now());
    for (auto& watcher : std::exchange(target.watchers, {})) {
      if (!watcher()) {
        target.watchers.push_back(std::move(watcher));
      }
    }
  }

  using answer_hook = std::function<void(backend_reply)>;

  void run(member& target, std::uint64_t, const watch_request& asked, answer_hook answer)
  {
    const auto done = std::make_shared<bool>(false);
    const auto respond = [this, &target, done, answer](bool now) {
      if (!*done && now) {
        *done = true;
        answer(report(target));
      }
      return *done;
    };
    const auto waits = [&target, after = asked.after] {
      return target.server->log().last().position > after;
    };
    if (!respond(waits())) {
      target.watchers.push_back([respond, waits] { return respond(waits()); });
      loop_.after(asked.wait, [respond] { respond(true); });
    }
  }
  void run(member& target, std::uint64_t, const fence_request& asked, answer_hook answer)
  {
    const bool granted = target.server->fence(asked.in_term, asked.candidate);
    answer(fence_reply{ granted, target.server->promised(), target.server->log().last() });
  }
  void run(member& target, std::uint64_t, const promote_request& asked, answer_hook answer)
  {
    const auto refusal = target.server->promote(asked.in_term, asked.candidate);
    answer(role_change_reply{ refusal == standin_refusal::none, target.server->promised() });
  }
  void run(member& target, std::uint64_t, const follow_request& asked, answer_hook answer)
  {
    const auto refusal = target.server->follow(asked.in_term);
    answer(role_change_reply{ refusal == standin_refusal::none, target.server->promised() });
  }

  static result_code code_of(standin_refusal refusal)
  {
    switch (refusal) {
      case standin_refusal::none:
        return result_code::ok;
      case standin_refusal::busy:
      case standin_refusal::leaving:
        return result_code::backend_busy;
      case standin_refusal::wrong_term:
        return result_code::backend_wrong_term;
      case standin_refusal::not_primary:
        return result_code::backend_not_primary;
      default:
        return result_code::statement_failed;
    }
  }

  void run(member& target,
           std::uint64_t connection,
           const backend_request& asked,
           const answer_hook& answer)
  {
    backend_answer made;
    made.id = asked.id;
    if (asked.kind == operation::probe) {
      made.code = result_code::ok;
      return answer(made);
    }
    standin_call call;
    call.connection = connection;
    call.operation = static_cast<standin_operation>(asked.kind);
    call.request_id = asked.id.get();
    call.in_term = asked.in_term;
    call.write = asked.write;
    call.text = asked.text;
    auto admitted = target.server->admit(call);
    if (admitted.refusal != standin_refusal::none) {
      made.code = code_of(admitted.refusal);
      return answer(made);
    }
    if (!call.in_transaction) {
      target.last_new_work = loop_.now();
    }
    loop_.after(service_time, [this, &target, call, made, answer]() mutable {
      // An admitted statement completes on the server even if its connection closes.
      const auto before = target.server->log().last();
      const auto outcome = target.server->execute(call);
      if (target.server->log().last() != before) {
        first_written.try_emplace(call.request_id.substr(0, call.request_id.rfind('#')),
                                  loop_.now());
      }
      made.code = code_of(outcome.refusal);
      made.point = outcome.at;
      made.rows = boost::json::serialize(outcome.rows);
      answer(made);
    });
  }

  void replicate()
  {
    for (auto& [from, sender] : members_) {
      for (auto& [to, receiver] : members_) {
        if (from != to && sender->running && receiver->running && sender->server->is_primary() &&
            net_.reaches(sender->place, receiver->place)) {
          send_entries(*sender, *receiver);
        }
      }
    }
    loop_.after(2ms, [this] { replicate(); });
  }

  void send_entries(member& sender, member& receiver)
  {
    const auto& log = sender.server->log();
    auto& next = receiver.next[sender.place.name];
    const auto in_term = sender.server->promised();
    next = std::clamp<std::uint64_t>(next, 1, log.last().position.get() + 1);
    standin_append append;
    append.in_term = in_term;
    append.origin = sender.place.name;
    append.previous = { log.term_at(log_position(next - 1)), log_position(next - 1) };
    for (auto at = next; at <= log.last().position.get(); ++at) {
      const auto written = sender.written.find(at);
      if (written != sender.written.end() && loop_.now() - written->second < receiver.lag) {
        break;
      }
      append.entries.push_back(log.at(log_position(at)));
    }
    while (!append.entries.empty() && append.entries.back().at.in_term != in_term) {
      append.entries.pop_back();
    }
    const auto outcome = receiver.server->accept(append);
    if (outcome.refusal == standin_refusal::none || outcome.refusal == standin_refusal::mismatch) {
      next = outcome.matched.get() + 1;
    }
  }

  static constexpr duration service_time = 1ms;
  event_loop& loop_;
  network& net_;
  std::map<std::string, std::unique_ptr<member>> members_;
  std::map<std::string, std::uint64_t> generation_;
};

}
