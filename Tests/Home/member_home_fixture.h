#pragma once

#include "Home/member_home.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmonshelf {

inline instant
at_ms(std::int64_t milliseconds)
{
  return instant(std::chrono::milliseconds(milliseconds));
}

inline duration
ms(std::int64_t milliseconds)
{
  return std::chrono::milliseconds(milliseconds);
}

// A member_home with recorded hook calls and a simple simulated member.
struct member_home_fixture
{
  struct sent_request
  {
    connection_number connection;
    backend_request request;
    bool ended = false;
  };

  instant now = at_ms(1000);
  std::vector<connection_number> connecting;
  std::set<connection_number> open;
  std::vector<sent_request> sends;
  std::vector<home_answer> answers;
  std::optional<term> primary = term(1);
  bool other_primary = false;
  bool majority = true;
  read_readiness readiness = read_readiness::ready;
  std::uint64_t position = 0;
  // Connections that no longer answer.
  std::set<connection_number> unresponsive;
  member_home home;

  explicit member_home_fixture(std::size_t slots)
    : home(options_with(slots), hooks())
  {
  }

  static member_home_options options_with(std::size_t slots)
  {
    member_home_options options;
    options.member = member_id("m1");
    options.slots = slots;
    options.pool.max_connections = slots + 1;
    options.transaction.instance = instance_id("entry-1");
    options.transaction.incarnation = incarnation_id(7);
    return options;
  }

  member_home_hooks hooks()
  {
    member_home_hooks calls;
    calls.open_connection = [this](auto number) { connecting.push_back(number); };
    calls.send = [this](auto number, auto request) { sends.push_back({ number, request }); };
    calls.close_connection = [this](auto number) {
      open.erase(number);
      std::erase(connecting, number);
    };
    calls.answer = [this](auto answer) { answers.push_back(std::move(answer)); };
    calls.current_term = [this] { return primary; };
    calls.other_primary = [this] { return other_primary; };
    calls.majority_holds = [this](log_point) { return majority; };
    calls.member_ready = [this](const auto&, auto, auto) { return readiness; };
    calls.random_bits = [] { return 42U; };
    return calls;
  }

  static home_request request(const std::string& id, operation kind, instant expires)
  {
    home_request made;
    made.id = request_id(id);
    made.workspace = workspace_id("w1");
    made.kind = kind;
    made.write = kind == operation::statement;
    made.text = "text of " + id;
    made.expires = expires;
    made.key_digest = sha256("key of w1");
    return made;
  }

  void submit(const std::string& id, operation kind, std::int64_t milliseconds)
  {
    home.submit(request(id, kind, now + ms(milliseconds)), now);
  }

  // Completes all connection attempts.
  void connect()
  {
    while (!connecting.empty()) {
      const auto number = connecting.front();
      connecting.erase(connecting.begin());
      open.insert(number);
      home.connected(number, true, now);
    }
  }

  sent_request* last_sent(const std::string& id)
  {
    for (auto item = sends.rbegin(); item != sends.rend(); ++item) {
      if (item->request.id.get() == id && !item->ended && open.contains(item->connection)) {
        return &*item;
      }
    }
    return nullptr;
  }

  std::size_t times_sent(const std::string& id) const
  {
    std::size_t count = 0;
    for (const auto& item : sends) {
      count += item.request.id.get() == id ? 1 : 0;
    }
    return count;
  }

  void answer(const std::string& id, result_code code = result_code::ok)
  {
    auto* item = last_sent(id);
    if (item == nullptr) {
      return;
    }
    item->ended = true;
    const auto number = item->connection;
    const log_point point{ item->request.in_term, log_position(++position) };
    home.backend_answered(
      number, { request_id(id), code, code == result_code::ok ? "rows of " + id : "", point }, now);
  }

  // Advances the time to `until` in ticks of 10 ms. At each tick, the member answers all requests
  // sent on responsive connections.
  void run(instant until)
  {
    while (now < until) {
      connect();
      for (std::size_t i = 0; i < sends.size(); ++i) {
        if (!sends[i].ended && !unresponsive.contains(sends[i].connection)) {
          answer(sends[i].request.id.get());
        }
      }
      now += ms(10);
      home.tick(now);
    }
  }

  std::vector<home_answer> answers_to(const std::string& id) const
  {
    std::vector<home_answer> found;
    for (const auto& item : answers) {
      if (item.id.get() == id) {
        found.push_back(item);
      }
    }
    return found;
  }
};

}
