#pragma once

#include "Proxy/caller_session.h"
#include "proxy_support.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonshelf::testing {

// A session on a connection pool whose connections open at once. Commands are kept until the test
// answers them or loses their connection.
class session_bench
{
public:
  struct sent_command
  {
    connection_number connection;
    member_command command;
    std::function<void(member_reply)> done;
  };

  explicit session_bench(const std::string& database, const std::string& key = "key-w")
    : configuration(make_configuration())
    , pool({ [this](const pooled_connection& connection, const listed_member&) {
              opening.push_back(connection.number);
              workspaces[connection.number] = connection.workspace;
              zones[connection.number] = connection.zone;
            },
             [this](connection_number number) { closed.push_back(number); },
             [this](const std::string&) { return current_primary; } },
           zone_id("z1"))
  {
    current_primary = group_primary{ member_id("m1"), true, std::nullopt };
    pool.set_members({ make_member("m1", "z1", true),
                       make_member("m2", "z2", false),
                       make_member("m3", "z3", false) },
                     now);
    session_hooks hooks;
    hooks.configuration = [this]() -> const configuration_index& { return configuration; };
    hooks.key_evidence_missing = [this] { return key_evidence_missing; };
    hooks.admit = [this](const workspace_id&,
                         const operation_urgency& urgency,
                         admission::handler done) -> std::optional<admission_number> {
      ++admitted;
      admission_urgency = urgency;
      if (admits_at_once) {
        done(refuse_for);
        return std::nullopt;
      }
      admissions.push_back(std::move(done));
      return admission_number(admitted);
    };
    hooks.cancel_admission = [this](admission_number number) {
      cancelled_admissions.push_back(number);
    };
    hooks.acquire = [this](connection_request request, auto granted, auto refused) {
      requests.push_back(request);
      return pool.acquire(std::move(request), std::move(granted), std::move(refused), now);
    };
    hooks.cancel = [this](request_number ticket) { pool.cancel(ticket); };
    hooks.release = [this](connection_number number, duration elapsed) {
      pool.release(number, elapsed, now);
    };
    hooks.send = [this](connection_number number, member_command command, auto done) {
      commands.push_back({ number, std::move(command), std::move(done) });
      if (on_send) {
        on_send(zones.at(number));
      }
    };
    hooks.evacuation_of = [this](const zone_id& zone) { return evacuations.deadlines(zone); };
    hooks.close_connection = [this](connection_number number) {
      closed.push_back(number);
      pool.on_connection_closed(number, false, now);
    };
    hooks.primary_of = [this](const std::string&) { return current_primary; };
    hooks.commit_is_valid = [this](const std::string&, const member_id&) { return commit_valid; };
    hooks.position_for_staleness = [this](const std::string&, duration) {
      return fresh ? std::optional(timed_position{ *fresh, now, {} }) : std::nullopt;
    };
    hooks.observe_lag = [](const member_id&, bool) {};
    hooks.observe_position =
      [this](const std::string&, const member_id&, const log_point& position, instant) {
        observed_positions.push_back(position);
      };
    hooks.answer = [this](const statement_answer& reply) { answers.push_back(reply); };
    hooks.now = [this] { return now; };
    hooks.log = [](const std::string&, const std::string&, const std::string&) {};
    session = std::make_unique<caller_session>(database_id(database), key, std::move(hooks));
  }

  void open_connections()
  {
    while (opens_at_once && open_next_connection()) {
    }
  }

  // Returns false if no connection is being opened.
  bool open_next_connection()
  {
    if (opening.empty()) {
      return false;
    }
    const auto number = opening.front();
    opening.pop_front();
    pool.on_connection_opened(number, now);
    return true;
  }

  // Returns false if no operation waits for its admission.
  bool run_admission()
  {
    if (admissions.empty()) {
      return false;
    }
    const auto done = std::move(admissions.front());
    admissions.pop_front();
    done(refuse_for);
    return true;
  }

  // Workspace in whose name the connection was opened.
  workspace_id workspace_of(connection_number number) const { return workspaces.at(number); }

  void submit(statement_kind kind,
              const std::string& text,
              const std::string& name = "",
              const std::string& argument = "",
              bool writes = false)
  {
    session->handle({ "id" + std::to_string(++last_id), kind, text, name, argument, writes });
    open_connections();
  }

  // Answers the oldest pending command.
  void reply(std::optional<statement_error> error,
             transaction_state state,
             std::optional<log_point> position = std::nullopt)
  {
    auto sent = std::move(commands.front());
    commands.pop_front();
    member_reply created;
    created.answer.error = error;
    created.answer.signature = "sig";
    created.answer.state = state;
    created.answer.position = position;
    created.sent = now;
    created.received = now + ms(5);
    sent.done(created);
    open_connections();
  }

  // Breaks the connection of the oldest command.
  void lose_connection()
  {
    const auto number = commands.front().connection;
    auto lost = std::exchange(commands, {});
    pool.on_connection_closed(number, false, now);
    for (auto& sent : lost) {
      member_reply created;
      created.lost = true;
      sent.done(created);
    }
    open_connections();
  }

  const member_command& command() const { return commands.front().command; }

  instant now = at(1000);
  configuration_index configuration;
  std::optional<group_primary> current_primary;
  std::optional<std::string> key_evidence_missing;
  std::optional<duration> refuse_for;
  bool commit_valid = true;
  std::optional<log_point> fresh = point(3, 10);
  int admitted = 0;
  // False if the test runs the admissions and opens the connections.
  bool admits_at_once = true;
  bool opens_at_once = true;
  std::deque<admission::handler> admissions;
  operation_urgency admission_urgency;
  std::vector<admission_number> cancelled_admissions;
  std::deque<connection_number> opening;
  std::map<connection_number, workspace_id> workspaces;
  std::map<connection_number, zone_id> zones;
  // Called with the zone of the member for each command.
  std::function<void(const zone_id&)> on_send;
  evacuated_zones evacuations{ ms(1000) };
  std::vector<connection_number> closed;
  std::deque<sent_command> commands;
  // Positions that the session took for the primary's.
  std::vector<log_point> observed_positions;
  std::vector<connection_request> requests;
  std::vector<statement_answer> answers;
  connection_pool pool;
  std::unique_ptr<caller_session> session;
  int last_id = 0;
};

}
