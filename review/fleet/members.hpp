// Stand-in of the services: members of replicated databases that speak the line protocol.
#pragma once

#include "store.hpp"

#include <algorithm>
#include <optional>

namespace fleet_case {

struct entry
{
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  std::string item;
  std::string data;
  clock::time_point committed_at;
};

// A statement that a member ran.
struct run
{
  long long at = 0;
  std::string member;
  std::string id;
  std::string text;
  // Number of the newest commit in the log that the statement ran on.
  std::uint64_t term = 0;
  std::uint64_t number = 0;
};

struct member
{
  std::string id;
  std::string service;
  std::string address;
  std::string zone;
  bool primary = false;
  bool listed = false;
  bool draining = false;
  bool down = false;
  bool paused = false;
  // Added to the time by which all replicas are behind.
  milliseconds extra_lag{ 0 };
  std::uint64_t term = 1;
  std::uint64_t held = 0;
  std::uint64_t seq = 0;
  long long born = 0;
  std::vector<entry> log;
  std::optional<clock::time_point> outranked_since;
  clock::time_point next_beat;
  // Time at which the store accepted that the member is draining.
  std::optional<long long> drain_acknowledged_at;
  std::unique_ptr<tcp::acceptor> acceptor;
  std::set<std::shared_ptr<tcp::socket>> sockets;
};

class members
{
public:
  // With `sync`, a commit is acknowledged once one replica has received it.
  members(asio::io_context& context, store& rows, record& lines, milliseconds lag, bool sync)
    : context_(context)
    , store_(rows)
    , record_(lines)
    , lag_(lag)
    , sync_(sync)
  {
    asio::co_spawn(context_, work(), asio::detached);
  }

  member& add(const std::string& id,
              const std::string& service,
              const std::string& address,
              unsigned short port,
              const std::string& zone,
              bool primary)
  {
    auto created = std::make_unique<member>();
    created->id = id;
    created->service = service;
    created->address = address + ":" + std::to_string(port);
    created->zone = zone;
    created->primary = primary;
    created->listed = true;
    created->born = std::chrono::duration_cast<milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
    created->acceptor = std::make_unique<tcp::acceptor>(listen_on(context_, address, port));
    auto& added = *created;
    all_.push_back(std::move(created));
    asio::co_spawn(context_, accept(added), asio::detached);
    beat(added);
    return added;
  }

  member* find(const std::string& id)
  {
    for (const auto& one : all_) {
      if (one->id == id) {
        return one.get();
      }
    }
    return nullptr;
  }

  member* primary_of(const std::string& service)
  {
    member* best = nullptr;
    for (const auto& one : all_) {
      if (one->service == service && one->primary && !one->down &&
          (best == nullptr || one->term > best->term)) {
        best = one.get();
      }
    }
    return best;
  }

  // A planned shutdown: the member reports that it is draining and serves on.
  void drain(member& leaving)
  {
    leaving.draining = true;
    beat(leaving);
    record_("member " + leaving.id + " is draining" +
            (leaving.drain_acknowledged_at ? ", acknowledged" : ", the store is away"));
  }

  // The end of a drained member.
  void leave(member& leaving)
  {
    leaving.down = true;
    leaving.listed = false;
    error_code ignored;
    leaving.acceptor->close(ignored);
    close_all(leaving);
    store_.remove("servers", leaving.id);
    record_("member " + leaving.id + " left");
  }

  // The member is partitioned from the store, and from nothing else. Its entry is removed after
  // three check-in intervals of silence.
  asio::awaitable<void> cut_from_store(member& silent, milliseconds time)
  {
    record_("member " + silent.id + " is partitioned from the store");
    silent.listed = false;
    const auto healed_at = clock::now() + time;
    // `next_beat` is one interval after the last check-in.
    asio::steady_timer timer(context_, silent.next_beat + milliseconds(2400));
    co_await timer.async_wait(asio::use_awaitable);
    store_.remove("servers", silent.id);
    record_("the entry of " + silent.id + " expired");
    timer.expires_at(healed_at);
    co_await timer.async_wait(asio::use_awaitable);
    silent.listed = true;
    beat(silent);
    record_("member " + silent.id + " reaches the store again, as " +
            (silent.primary ? "primary" : "replica"));
  }

  // The process of the member is gone until back() is called.
  void crash(member& lost)
  {
    lost.down = true;
    close_all(lost);
    record_("member " + lost.id + " crashed");
  }

  void back(member& returning)
  {
    returning.down = false;
    returning.paused = false;
    const auto* leader = primary_of(returning.service);
    if (leader != nullptr && leader != &returning && leader->term > returning.term) {
      returning.primary = false;
    }
    returning.born += 1;
    returning.seq = 0;
    beat(returning);
    record_("member " + returning.id + " is back as " +
            (returning.primary ? "primary" : "replica"));
  }

  // The platform's promotion. Returns false if the member isn't running.
  bool promote(const std::string& service, const std::string& id)
  {
    auto* chosen = find(id);
    if (chosen == nullptr || chosen->down || chosen->service != service) {
      return false;
    }
    if (primary_of(service) != chosen) {
      asio::co_spawn(context_, take_lead(*chosen), asio::detached);
    }
    return true;
  }

  // Writes the rows of all members again, after the store lost some of them.
  void write_again()
  {
    for (const auto& one : all_) {
      if (one->listed && !one->down) {
        beat(*one);
      }
    }
  }

  const std::vector<run>& runs() const { return runs_; }

private:
  struct session
  {
    char state = 'I';
    std::vector<std::pair<std::string, std::string>> writes;
    std::map<std::string, std::pair<bool, std::string>> prepared;
  };

  static std::string position_of(const member& one)
  {
    return one.log.empty() ? "1.0"
                           : std::to_string(one.log.back().term) + "." +
                               std::to_string(one.log.back().number);
  }

  static std::string take_word(std::string& rest)
  {
    const auto end = rest.find(' ');
    auto word = rest.substr(0, end);
    rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
    return word;
  }

  static bool has_position(const member& one, const std::string& text)
  {
    const auto dot = text.find('.');
    const auto term = std::stoull(text.substr(0, dot));
    const auto number = std::stoull(text.substr(dot + 1));
    if (number == 0) {
      return true;
    }
    return one.log.size() >= number && one.log[number - 1].term == term;
  }

  void close_all(member& one)
  {
    for (const auto& socket : one.sockets) {
      error_code ignored;
      socket->close(ignored);
    }
  }

  void beat(member& one)
  {
    if (!one.listed) {
      return;
    }
    one.next_beat = clock::now() + milliseconds(1200);
    const json::object row{ { "service", one.service },
                            { "address", one.address },
                            { "zone", one.zone },
                            { "version", "v1" },
                            { "slots", 3 },
                            { "state", one.draining ? "draining" : "ready" },
                            { "warmup_left_ms", 0 },
                            { "db_role", one.primary ? "primary" : "replica" },
                            { "seq", ++one.seq },
                            { "born", one.born } };
    if (store_.put("servers", one.id, json::serialize(row)) && one.draining &&
        !one.drain_acknowledged_at) {
      one.drain_acknowledged_at = now_ms();
    }
  }

  asio::awaitable<void> take_lead(member& chosen)
  {
    asio::steady_timer timer(context_, milliseconds(600));
    co_await timer.async_wait(asio::use_awaitable);
    if (chosen.down) {
      co_return;
    }
    std::uint64_t newest = 0;
    for (const auto& one : all_) {
      if (one->service == chosen.service) {
        newest = std::max(newest, one->term);
        // A promote ends the pause of a replica.
        one->paused = false;
      }
    }
    chosen.term = newest + 1;
    chosen.primary = true;
    record_("member " + chosen.id + " leads " + chosen.service + " in term " +
            std::to_string(chosen.term) + " from " + position_of(chosen));
    beat(chosen);
  }

  // Replication, the end of outranked primaries, and check-ins.
  asio::awaitable<void> work()
  {
    asio::steady_timer timer(context_);
    for (;;) {
      const auto now = clock::now();
      for (const auto& one : all_) {
        if (one->down) {
          continue;
        }
        if (one->listed && now >= one->next_beat) {
          beat(*one);
        }
        replicate(*one, now);
      }
      timer.expires_after(milliseconds(2));
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  void replicate(member& one, clock::time_point now)
  {
    const auto* leader = primary_of(one.service);
    if (leader == nullptr || leader == &one || leader->term < one.term) {
      return;
    }
    if (one.primary) {
      if (!one.outranked_since) {
        one.outranked_since = now;
      }
      if (now - *one.outranked_since < milliseconds(1000)) {
        return;
      }
      one.primary = false;
      beat(one);
    }
    one.outranked_since.reset();
    if (one.paused) {
      return;
    }
    one.term = leader->term;
    std::size_t same = std::min(one.log.size(), leader->log.size());
    while (same > 0 && one.log[same - 1].term != leader->log[same - 1].term) {
      --same;
    }
    one.log.resize(same);
    while (one.log.size() < leader->log.size() &&
           leader->log[one.log.size()].committed_at + lag_ + one.extra_lag <= now) {
      one.log.push_back(leader->log[one.log.size()]);
    }
  }

  // True if a replica has received the primary's first `count` commits.
  bool is_received(const member& primary, std::size_t count) const
  {
    return std::any_of(all_.begin(), all_.end(), [&](const auto& one) {
      return one.get() != &primary && !one->down && one->service == primary.service &&
             one->term == primary.term && one->log.size() >= count;
    });
  }

  asio::awaitable<void> accept(member& one)
  {
    for (;;) {
      error_code failure;
      auto socket = std::make_shared<tcp::socket>(
        co_await one.acceptor->async_accept(asio::redirect_error(asio::use_awaitable, failure)));
      if (failure) {
        co_return;
      }
      if (one.down) {
        socket->set_option(asio::socket_base::linger(true, 0), failure);
        socket->close(failure);
        continue;
      }
      one.sockets.insert(socket);
      asio::co_spawn(context_, serve(one, socket), asio::detached);
    }
  }

  asio::awaitable<void> serve(member& one, std::shared_ptr<tcp::socket> socket)
  {
    error_code failure;
    socket->set_option(tcp::no_delay(true), failure);
    std::string buffer;
    session current;
    bool started = false;
    asio::steady_timer timer(context_);
    for (;;) {
      const auto length = co_await asio::async_read_until(
        *socket,
        asio::dynamic_buffer(buffer),
        "\r\n",
        asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        break;
      }
      auto rest = buffer.substr(0, length - 2);
      buffer.erase(0, length);
      const auto word = take_word(rest);
      std::string answer;
      if (!started) {
        const auto service = take_word(rest);
        take_word(rest);
        started = word == "START" && service == one.service && (rest.empty() || rest == one.id);
        // A new connection takes 12 ms.
        timer.expires_after(milliseconds(12));
        co_await timer.async_wait(asio::use_awaitable);
        answer = started ? "READY I " + position_of(one) + "\r\n"
                         : "ERROR MISROUTED " + one.id + "\r\n";
      } else if (word == "QUERY") {
        const auto id = take_word(rest);
        timer.expires_after(milliseconds(2));
        co_await timer.async_wait(asio::use_awaitable);
        if (one.down) {
          break;
        }
        const auto commits_before = one.log.size();
        answer = execute(one, current, id, rest);
        const auto commits = one.log.size();
        // The time limit is the longest one of a requester.
        for (int tries = 0; sync_ && commits > commits_before && !one.down && tries < 4000 &&
                            !is_received(one, commits);
             ++tries) {
          timer.expires_after(milliseconds(1));
          co_await timer.async_wait(asio::use_awaitable);
        }
        if (one.down || (sync_ && commits > commits_before && !is_received(one, commits))) {
          break;
        }
        answer += std::string("READY ") + current.state + " " + position_of(one) + "\r\n";
      } else {
        break;
      }
      co_await asio::async_write(
        *socket, asio::buffer(answer), asio::redirect_error(asio::use_awaitable, failure));
      if (failure || !started) {
        break;
      }
    }
    socket->close(failure);
    one.sockets.erase(socket);
  }

  std::string done(member& one) { return "DONE " + one.id + "." + std::to_string(++signatures_) + "\r\n"; }

  std::string error(session& current, const char* code, const member& one)
  {
    if (current.state == 'T') {
      current.state = 'E';
    }
    return std::string("ERROR ") + code + " " + one.id + "\r\n";
  }

  void note(member& one, const std::string& id, const std::string& text)
  {
    const std::uint64_t number = one.log.size();
    const std::uint64_t term = one.log.empty() ? 1 : one.log.back().term;
    runs_.push_back({ now_ms(), one.id, id, text, term, number });
    record_("run " + one.id + " " + id + " " + text + " on " + position_of(one));
  }

  std::string execute(member& one, session& current, const std::string& id, std::string text)
  {
    auto rest = text;
    auto word = take_word(rest);
    if (word == "AFTER") {
      const auto position = take_word(rest);
      text = rest;
      word = take_word(rest);
      if (!has_position(one, position)) {
        return error(current, "LAGGING", one);
      }
    }
    if (current.state == 'E' && word != "ROLLBACK" && word != "COMMIT") {
      return error(current, "MALFORMED", one);
    }
    if (word == "RESET") {
      current.prepared.clear();
      return "DONE -\r\n";
    }
    if (word == "SET" || word == "DEALLOC") {
      return "DONE -\r\n";
    }
    if (word == "PREPARE") {
      const auto name = take_word(rest);
      const bool writes = take_word(rest) == "WRITE";
      current.prepared[name] = { writes, rest };
      return "DONE -\r\n";
    }
    if (word == "STATUS" || word == "PAUSE" || word == "DEMOTE" || word == "RESUME") {
      const auto term = rest.empty() ? 0 : std::stoull(rest);
      if (word == "DEMOTE" && one.primary && term > one.term) {
        one.primary = false;
        record_("member " + one.id + " is demoted");
        beat(one);
      }
      if (word == "PAUSE" && !one.primary && term > one.term) {
        one.paused = true;
        one.held = std::max<std::uint64_t>(one.held, term);
      }
      if (word == "RESUME") {
        one.paused = false;
      }
      return std::string("ROW ") + (one.primary ? "primary " : "replica ") +
             std::to_string(one.term) + " " + position_of(one) + " " + std::to_string(one.held) +
             " 0 0 " + std::to_string(one.sockets.size()) + "\r\nDONE -\r\n";
    }
    if (word == "BEGIN") {
      if (rest != "READ" && !one.primary) {
        return error(current, "READONLY", one);
      }
      current.state = 'T';
      current.writes.clear();
      return "DONE -\r\n";
    }
    if (word == "ROLLBACK") {
      current.state = 'I';
      current.writes.clear();
      return "DONE -\r\n";
    }
    if (word == "COMMIT") {
      const bool failed = current.state == 'E';
      current.state = 'I';
      if (failed) {
        return "DONE -\r\n";
      }
      if (!current.writes.empty() && !one.primary) {
        return error(current, "READONLY", one);
      }
      note(one, id, text);
      for (const auto& [item, data] : std::exchange(current.writes, {})) {
        one.log.push_back({ one.term, one.log.size() + 1, item, data, clock::now() });
      }
      return done(one);
    }
    if (word == "READ") {
      note(one, id, text);
      for (auto found = one.log.rbegin(); found != one.log.rend(); ++found) {
        if (found->item == rest) {
          return "ROW " + found->data + "\r\n" + done(one);
        }
      }
      return done(one);
    }
    if (word == "WRITE") {
      if (!one.primary) {
        return error(current, "READONLY", one);
      }
      note(one, id, text);
      const auto item = take_word(rest);
      if (current.state == 'T') {
        current.writes.emplace_back(item, rest);
      } else {
        one.log.push_back({ one.term, one.log.size() + 1, item, rest, clock::now() });
      }
      return done(one);
    }
    return error(current, "MALFORMED", one);
  }

  asio::io_context& context_;
  store& store_;
  record& record_;
  milliseconds lag_;
  bool sync_ = false;
  std::vector<std::unique_ptr<member>> all_;
  std::vector<run> runs_;
  std::uint64_t signatures_ = 0;
};

}
