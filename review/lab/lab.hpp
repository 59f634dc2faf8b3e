// Stand-ins of the review: the platform's store and its promotion call, database members that speak
// the line protocol, callers, and the proxies as child processes. All listen on loopback addresses.
#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using asio::awaitable;
using asio::use_awaitable;
using clock_type = std::chrono::steady_clock;
using ms = std::chrono::milliseconds;
using std::string;

inline std::vector<string>
split(const string& text, std::size_t limit = 100)
{
  std::vector<string> words;
  std::size_t begin = 0;
  while (words.size() + 1 < limit) {
    const auto end = text.find(' ', begin);
    if (end == string::npos) {
      break;
    }
    words.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  words.push_back(text.substr(begin));
  return words;
}

inline string
base64(const string& in)
{
  static const char* set = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  string out;
  unsigned value = 0;
  int bits = -6;
  for (unsigned char c : in) {
    value = (value << 8) + c;
    bits += 8;
    while (bits >= 0) {
      out.push_back(set[(value >> bits) & 63]);
      bits -= 6;
    }
  }
  if (bits > -6) {
    out.push_back(set[((value << 8) >> (bits + 8)) & 63]);
  }
  while (out.size() % 4) {
    out.push_back('=');
  }
  return out;
}

// Time, record file and timers of one run.
struct world
{
  explicit world(const string& record_path)
    : record(record_path)
    , began(clock_type::now())
  {
  }
  asio::io_context io{ 1 };
  std::ofstream record;
  clock_type::time_point began;

  double now() const { return std::chrono::duration<double>(clock_type::now() - began).count(); }
  void note(const string& text)
  {
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%8.3f ", now());
    record << stamp << text << std::endl;
  }
  awaitable<void> sleep(int milliseconds)
  {
    asio::steady_timer timer(io, ms(milliseconds));
    co_await timer.async_wait(use_awaitable);
  }
  awaitable<void> until(double second)
  {
    const auto left = second - now();
    if (left > 0) {
      co_await sleep(static_cast<int>(left * 1000));
    }
  }
  template<typename task>
  void spawn(task&& run)
  {
    asio::co_spawn(io, std::forward<task>(run), [this](std::exception_ptr failure) {
      if (failure) {
        try {
          std::rethrow_exception(failure);
        } catch (const boost::system::system_error&) {
          // A connection ended.
        } catch (const std::exception& error) {
          note(string("STAND-IN FAILED ") + error.what());
        }
      }
    });
  }
};

// HTTP requests of the form that the proxies send.
struct http_call
{
  string method, path, body;
  std::map<string, string> query, headers;
};

inline awaitable<std::optional<http_call>>
read_call(tcp::socket& socket, string& buffer)
{
  boost::system::error_code failure;
  while (buffer.find("\r\n\r\n") == string::npos) {
    char chunk[4096];
    const auto n = co_await socket.async_read_some(
      asio::buffer(chunk), asio::redirect_error(use_awaitable, failure));
    if (failure) {
      co_return std::nullopt;
    }
    buffer.append(chunk, n);
  }
  const auto head_end = buffer.find("\r\n\r\n");
  std::istringstream head(buffer.substr(0, head_end));
  buffer.erase(0, head_end + 4);
  http_call call;
  string line, target;
  std::getline(head, line);
  std::istringstream(line) >> call.method >> target;
  std::size_t length = 0;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const auto colon = line.find(':');
    string name = line.substr(0, colon);
    for (auto& c : name) {
      c = static_cast<char>(std::tolower(c));
    }
    call.headers[name] = colon == string::npos ? "" : line.substr(line.find_first_not_of(' ', colon + 1));
  }
  if (call.headers.contains("content-length")) {
    length = std::stoul(call.headers["content-length"]);
  }
  while (buffer.size() < length) {
    char chunk[4096];
    const auto n = co_await socket.async_read_some(
      asio::buffer(chunk), asio::redirect_error(use_awaitable, failure));
    if (failure) {
      co_return std::nullopt;
    }
    buffer.append(chunk, n);
  }
  call.body = buffer.substr(0, length);
  buffer.erase(0, length);
  const auto mark = target.find('?');
  call.path = target.substr(0, mark);
  if (mark != string::npos) {
    std::istringstream pairs(target.substr(mark + 1));
    for (string pair; std::getline(pairs, pair, '&');) {
      const auto equals = pair.find('=');
      call.query[pair.substr(0, equals)] = equals == string::npos ? "" : pair.substr(equals + 1);
    }
  }
  co_return call;
}

inline awaitable<void>
write_answer(tcp::socket& socket, int status, string body)
{
  const string text = "HTTP/1.1 " + std::to_string(status) +
                      " -\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body;
  co_await asio::async_write(socket, asio::buffer(text), use_awaitable);
}

// The platform's metadata store, form "table".
class store
{
public:
  store(world& w, const tcp::endpoint& at)
    : world_(w)
    , acceptor_(w.io, at)
  {
    world_.spawn(accept());
  }

  void put(const string& table, const string& key, const string& value)
  {
    rows_[{ table, key }] = { value, ++version_, false };
    wake();
  }
  void drop(const string& table, const string& key)
  {
    if (const auto found = rows_.find({ table, key }); found != rows_.end() && !found->second.gone) {
      found->second = { "", ++version_, true };
      wake();
    }
  }
  // Value of a row as it was put; empty if there is none.
  string get(const string& table, const string& key) const
  {
    const auto found = rows_.find({ table, key });
    return found == rows_.end() || found->second.gone ? "" : found->second.value;
  }

private:
  struct row
  {
    string value;
    std::uint64_t version = 0;
    bool gone = false;
    bool encoded = false;
  };

  void wake()
  {
    for (auto* timer : waiting_) {
      timer->cancel();
    }
  }
  json::object answer() const
  {
    return { { "ver", version_ }, { "now_ms", static_cast<std::uint64_t>(world_.now() * 1000) } };
  }
  static json::object show(const std::pair<string, string>& id, const row& r)
  {
    json::object o{ { "table", id.first }, { "part", "" }, { "key", id.second }, { "ver", r.version } };
    if (r.gone) {
      o["deleted"] = true;
    } else {
      o["value"] = r.encoded ? r.value : base64(r.value);
    }
    return o;
  }
  awaitable<void> accept()
  {
    for (;;) {
      auto socket = co_await acceptor_.async_accept(use_awaitable);
      socket.set_option(tcp::no_delay(true));
      world_.spawn(serve(std::move(socket)));
    }
  }
  awaitable<void> serve(tcp::socket socket)
  {
    string buffer;
    for (;;) {
      auto call = co_await read_call(socket, buffer);
      if (!call) {
        co_return;
      }
      co_await world_.sleep(4);
      if (call->path == "/rows-tx") {
        co_await transact(socket, *call);
      } else if (call->path == "/rows-get") {
        auto o = answer();
        json::array rows;
        for (const auto& [id, r] : rows_) {
          if (id.first == call->query["table"] && !r.gone && id.second >= call->query["from"]) {
            rows.push_back(show(id, r));
          }
        }
        o["rows"] = rows;
        o["has_more"] = false;
        const string text = json::serialize(o);
        co_await write_answer(socket, 200, text);
      } else if (call->path == "/rows-feed") {
        co_await feed(socket, *call);
      } else {
        co_await write_answer(socket, 404, "{}");
      }
    }
  }
  awaitable<void> transact(tcp::socket& socket, const http_call& call)
  {
    const auto body = json::parse(call.body).as_object();
    const auto list = [&](const char* name) {
      const auto* found = body.if_contains(name);
      return found != nullptr && found->is_array() ? found->as_array() : json::array();
    };
    const auto id_of = [](const json::value& v) {
      return std::pair<string, string>(string(v.at("table").as_string()), string(v.at("key").as_string()));
    };
    bool holds = true;
    json::array current;
    for (const auto& condition : list("expected_rev")) {
      const auto id = id_of(condition);
      const auto found = rows_.find(id);
      const bool exists = found != rows_.end() && !found->second.gone;
      const auto version = exists ? found->second.version : 0;
      holds = holds && condition.at("ver").to_number<std::uint64_t>() == version;
      if (exists) {
        current.push_back(show(id, found->second));
      }
    }
    if (!holds) {
      auto o = answer();
      o["rows"] = current;
      const string text = json::serialize(o);
        co_await write_answer(socket, 412, text);
      co_return;
    }
    ++version_;
    for (const auto& put : list("puts")) {
      rows_[id_of(put)] = { string(put.at("value").as_string()), version_, false, true };
    }
    for (const auto& gone : list("remove")) {
      if (const auto found = rows_.find(id_of(gone)); found != rows_.end() && !found->second.gone) {
        found->second = { "", version_, true };
      }
    }
    wake();
    const string text = json::serialize(answer());
    co_await write_answer(socket, 200, text);
  }
  awaitable<void> feed(tcp::socket& socket, http_call& call)
  {
    const auto after = std::stoull(call.query["after"]);
    const auto deadline = clock_type::now() + ms(std::stoi(call.query["wait_ms"]));
    for (;;) {
      std::map<std::uint64_t, json::array> changed;
      for (const auto& [id, r] : rows_) {
        if (id.first == call.query["table"] && r.version > after) {
          changed[r.version].push_back(show(id, r));
        }
      }
      if (!changed.empty() || clock_type::now() >= deadline) {
        auto o = answer();
        json::array rows;
        for (auto& [version, entries] : changed) {
          rows.insert(rows.end(), entries.begin(), entries.end());
        }
        o["rows"] = rows;
        const string text = json::serialize(o);
        co_await write_answer(socket, 200, text);
        co_return;
      }
      asio::steady_timer timer(world_.io, deadline);
      waiting_.insert(&timer);
      boost::system::error_code ignored;
      co_await timer.async_wait(asio::redirect_error(use_awaitable, ignored));
      waiting_.erase(&timer);
    }
  }

  world& world_;
  tcp::acceptor acceptor_;
  std::map<std::pair<string, string>, row> rows_;
  std::uint64_t version_ = 100;
  std::set<asio::steady_timer*> waiting_;
};

struct entry
{
  std::uint64_t in_term = 0, number = 0;
  // Ids of the writes in this commit.
  std::vector<string> writes;
  std::map<string, string> items;
};

class member;

// One replicated group. Replication, promotion and the loss of the lead follow PROTOCOL.md.
struct group
{
  string name;
  int sync_replicas = 0;
  std::vector<member*> members;
};

// One database member.
class member
{
public:
  member(world& w, group& g, store& s, string id, const tcp::endpoint& at, string zone, bool primary)
    : id(std::move(id))
    , zone(std::move(zone))
    , primary(primary)
    , at(at)
    , world_(w)
    , group_(g)
    , store_(s)
  {
    group_.members.push_back(this);
    for (std::uint64_t n = 1; n <= 100; ++n) {
      log.push_back({ 1, n, {}, {} });
    }
    begin();
    world_.spawn(report());
    world_.spawn(follow());
  }

  const string id;
  const string zone;
  bool primary;
  const tcp::endpoint at;
  std::uint64_t in_term = 1;
  std::uint64_t paused_term = 0;
  std::vector<entry> log;
  bool up = true;
  // Receives nothing from its primary.
  bool deaf = false;
  bool draining = false;
  // Partitioned with its zone: silent to all, and receives nothing.
  bool cut = false;
  // Reports in the store are made only while this holds.
  bool registered = true;
  int work_ms = 3;
  // Called for each read, write or commit that runs, with the name that START gave.
  std::function<void(const string& tenant, const string& query, const string& text)> on_run;
  // Rows of a read; without it the newest value of the item.
  std::function<std::vector<string>(const string& item)> on_read;
  // Called for each commit of writes, with the id of the last statement.
  std::function<void(const string& query)> on_commit;

  void begin()
  {
    acceptor_.emplace(world_.io);
    acceptor_->open(at.protocol());
    acceptor_->set_option(tcp::acceptor::reuse_address(true));
    acceptor_->bind(at);
    acceptor_->listen();
    up = true;
    world_.spawn(accept());
  }
  // The process ends: connections are reset and the port is closed. The log is kept.
  void crash()
  {
    up = false;
    world_.note("member " + id + " crashes at " + position());
    boost::system::error_code ignored;
    acceptor_->close(ignored);
    for (auto* socket : sockets_) {
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    world_.spawn(expire());
  }
  // Comes back with its log, as a replica if another member was promoted meanwhile.
  void restart()
  {
    for (const auto* other : group_.members) {
      if (other != this && other->in_term > in_term) {
        primary = false;
      }
    }
    paused_term = 0;
    begin();
    world_.note("member " + id + " is back as " + (primary ? "primary" : "replica"));
    publish();
  }
  // Begins and ends a partition from all others, the store included.
  void cut_off()
  {
    cut = true;
    registered = false;
    world_.note("member " + id + " is cut off at " + position());
    world_.spawn(expire());
  }
  void reconnect()
  {
    cut = false;
    registered = true;
    world_.note("member " + id + " can be reached again, as " + (primary ? "primary" : "replica"));
    publish();
  }
  string position() const
  {
    return std::to_string(log.back().in_term) + "." + std::to_string(log.back().number);
  }
  bool holds(const string& query) const
  {
    for (const auto& e : log) {
      for (const auto& w : e.writes) {
        if (w == query) {
          return true;
        }
      }
    }
    return false;
  }
  void lead(std::uint64_t next)
  {
    in_term = next;
    primary = true;
    paused_term = 0;
    world_.note("member " + id + " leads term " + std::to_string(next) + " with " + position());
    publish();
    for (auto* other : group_.members) {
      if (other != this && other->primary) {
        world_.spawn(step_down(*other));
      }
    }
  }
  void publish()
  {
    if (!registered || !up) {
      return;
    }
    std::ostringstream row;
    row << R"({"service":")" << group_.name << R"(","address":")" << at.address().to_string() << ":" << at.port()
        << R"(","zone":")" << zone << R"(","version":"v1","slots":3,"state":")" << (draining ? "draining" : "ready")
        << R"(","warmup_left_ms":0,"db_role":")" << (primary ? "primary" : "replica") << R"(","born":1764900000000,"seq":)"
        << ++seq_ << "}";
    store_.put("servers", id, row.str());
  }

private:
  struct session
  {
    string tenant;
    char state = 'I';
    bool read_only = false;
    std::vector<string> writes;
    std::map<string, string> items;
    std::map<string, string> prepared;
  };

  // The old primary continues until a second after it can reach the new one.
  awaitable<void> step_down(member& old)
  {
    int reachable_ms = 0;
    while (old.primary && old.in_term < in_term && reachable_ms < 1000) {
      co_await world_.sleep(10);
      reachable_ms = old.up && !old.cut && up && !cut && primary ? reachable_ms + 10 : 0;
    }
    if (old.primary && old.in_term < in_term) {
      old.primary = false;
      world_.note("member " + old.id + " reaches the new primary and follows");
      old.publish();
    }
  }
  awaitable<void> expire()
  {
    co_await world_.sleep(3600);
    if (!up || cut) {
      store_.drop("servers", id);
    }
  }
  awaitable<void> report()
  {
    for (;;) {
      publish();
      co_await world_.sleep(1200);
    }
  }
  member* leader() const
  {
    member* best = nullptr;
    for (auto* other : group_.members) {
      if (other->up && !other->cut && other->primary && (best == nullptr || other->in_term > best->in_term)) {
        best = other;
      }
    }
    return best;
  }
  // A replica receives the entries of its primary.
  awaitable<void> follow()
  {
    for (;;) {
      co_await world_.sleep(2);
      auto* from = leader();
      if (!up || cut || primary || deaf || from == nullptr || from == this || paused_term > from->in_term) {
        continue;
      }
      in_term = std::max(in_term, from->in_term);
      std::size_t same = 0;
      while (same < log.size() && same < from->log.size() && log[same].in_term == from->log[same].in_term &&
             log[same].number == from->log[same].number) {
        ++same;
      }
      log.resize(same);
      log.insert(log.end(), from->log.begin() + static_cast<std::ptrdiff_t>(same), from->log.end());
    }
  }
  // What arrives during a partition is held up.
  awaitable<void> until_reachable()
  {
    while (cut && up) {
      co_await world_.sleep(5);
    }
  }
  awaitable<void> accept()
  {
    for (;;) {
      boost::system::error_code failure;
      auto socket = co_await acceptor_->async_accept(asio::redirect_error(use_awaitable, failure));
      if (failure) {
        co_return;
      }
      socket.set_option(tcp::no_delay(true));
      world_.spawn(serve(std::move(socket)));
    }
  }
  awaitable<void> serve(tcp::socket socket)
  {
    struct listed
    {
      std::set<tcp::socket*>& all;
      tcp::socket* one;
      listed(std::set<tcp::socket*>& a, tcp::socket* o)
        : all(a)
        , one(o)
      {
        all.insert(one);
      }
      ~listed() { all.erase(one); }
    } entry_of(sockets_, &socket);
    string buffer;
    session current;
    const auto read_line = [&]() -> awaitable<std::optional<string>> {
      boost::system::error_code failure;
      const auto n = co_await asio::async_read_until(
        socket, asio::dynamic_buffer(buffer), "\r\n", asio::redirect_error(use_awaitable, failure));
      if (failure) {
        co_return std::nullopt;
      }
      string line = buffer.substr(0, n - 2);
      buffer.erase(0, n);
      co_return line;
    };
    const auto first = co_await read_line();
    if (!first) {
      co_return;
    }
    co_await until_reachable();
    co_await world_.sleep(12);
    const auto start = split(*first);
    if (start.size() < 3 || start[0] != "START" || start[1] != group_.name || (start.size() > 3 && start[3] != id)) {
      const string refusal = "ERROR MISROUTED " + id + "\r\n";
      co_await asio::async_write(socket, asio::buffer(refusal), use_awaitable);
      co_return;
    }
    current.tenant = start[2];
    const string welcome = "READY I " + position() + "\r\n";
    co_await asio::async_write(socket, asio::buffer(welcome), use_awaitable);
    for (;;) {
      const auto line = co_await read_line();
      if (!line || !up || line->rfind("QUERY ", 0) != 0) {
        co_return;
      }
      co_await until_reachable();
      const auto words = split(*line, 3);
      const string text = words.size() > 2 ? words[2] : "";
      string answer = co_await run(current, words[1], text);
      if (!up) {
        co_return;
      }
      co_await until_reachable();
      answer += string("READY ") + current.state + " " + position() + "\r\n";
      co_await asio::async_write(socket, asio::buffer(answer), use_awaitable);
    }
  }
  string row() const
  {
    return "ROW " + string(primary ? "primary " : "replica ") + std::to_string(in_term) + " " + position() + " " +
           std::to_string(paused_term) + " 0 0 0\r\nDONE -\r\n";
  }
  string fail(session& s, const string& code)
  {
    s.state = s.state == 'I' ? 'I' : 'E';
    return "ERROR " + code + " " + id + "\r\n";
  }
  awaitable<bool> commit(const std::vector<string>& writes, const std::map<string, string>& items)
  {
    const auto number = log.back().number + 1;
    const auto made_in = in_term;
    log.push_back({ made_in, number, writes, items });
    const auto received = [&] {
      int count = 0;
      for (const auto* other : group_.members) {
        if (other != this && other->up && !other->cut && other->log.back().in_term == made_in && other->log.back().number >= number) {
          ++count;
        }
      }
      return count;
    };
    while (up && primary && received() < group_.sync_replicas) {
      co_await world_.sleep(1);
    }
    co_return up && primary;
  }
  awaitable<string> run(session& s, string query, string full)
  {
    string text = full;
    if (text.rfind("AFTER ", 0) == 0) {
      const auto words = split(text, 3);
      const auto dot = words[1].find('.');
      const auto t = std::stoull(words[1].substr(0, dot));
      const auto n = std::stoull(words[1].substr(dot + 1));
      const bool has = n <= log.size() && n > 0 && log[n - 1].in_term == t;
      if (!has) {
        co_return fail(s, "LAGGING");
      }
      text = words[2];
    }
    auto words = split(text);
    if (text == "STATUS") {
      co_return row();
    }
    if (words[0] == "PAUSE") {
      if (std::stoull(words[1]) > in_term && !primary) {
        paused_term = std::stoull(words[1]);
      }
      co_return row();
    }
    if (words[0] == "RESUME") {
      paused_term = 0;
      co_return row();
    }
    if (words[0] == "DEMOTE") {
      if (primary && in_term < std::stoull(words[1])) {
        primary = false;
        publish();
      }
      co_return row();
    }
    if (text == "RESET") {
      s.prepared.clear();
      co_return "DONE -\r\n";
    }
    if (words[0] == "SET") {
      co_return "DONE -\r\n";
    }
    if (words[0] == "PREPARE") {
      s.prepared[words[1]] = words[2];
      co_return "DONE -\r\n";
    }
    if (text == "ROLLBACK") {
      s.state = 'I';
      s.writes.clear();
      s.items.clear();
      co_return "DONE -\r\n";
    }
    if (text == "BEGIN" || text == "BEGIN READ") {
      if (text == "BEGIN" && !primary) {
        co_return fail(s, "READONLY");
      }
      s.state = 'T';
      s.read_only = text == "BEGIN READ";
      co_return "DONE -\r\n";
    }
    if (s.state == 'E') {
      co_return fail(s, "MALFORMED");
    }
    co_await world_.sleep(work_ms);
    if (words[0] == "EXECUTE") {
      const auto found = s.prepared.find(words[1]);
      if (found == s.prepared.end()) {
        co_return fail(s, "NOSTMT");
      }
      words.erase(words.begin() + 1);
      words[0] = found->second;
    }
    const bool done_writing = s.state == 'T' && text == "COMMIT" && s.writes.empty();
    if (!primary && ((words[0] == "WRITE") || (s.state == 'T' && !s.read_only && !done_writing))) {
      co_return fail(s, "READONLY");
    }
    if (on_run) {
      on_run(s.tenant, query, text);
    }
    if (words[0] == "READ" && on_read) {
      string rows;
      for (const auto& value : on_read(words[1])) {
        rows += "ROW " + value + "\r\n";
      }
      co_return rows + "DONE " + signature(query) + "\r\n";
    }
    if (words[0] == "READ") {
      string value = "-";
      for (const auto& e : log) {
        if (const auto found = e.items.find(words[1]); found != e.items.end()) {
          value = found->second;
        }
      }
      co_return "ROW " + value + "\r\nDONE " + signature(query) + "\r\n";
    }
    if (words[0] == "WRITE") {
      s.writes.push_back(query);
      s.items[words[1]] = words.size() > 2 ? words[2] : "";
      if (s.state == 'T') {
        co_return "DONE " + signature(query) + "\r\n";
      }
    }
    const auto writes = std::exchange(s.writes, {});
    const auto items = std::exchange(s.items, {});
    s.state = 'I';
    if (!writes.empty()) {
      const bool committed = co_await commit(writes, items);
      if (!committed) {
        co_return fail(s, "FAILED");
      }
      if (on_commit) {
        on_commit(query);
      }
    }
    world_.note("run " + query + " at " + id + " committed " + position());
    co_return "DONE " + signature(query) + "\r\n";
  }
  string signature(const string& query) const { return "sig." + id + "." + query; }

  world& world_;
  group& group_;
  store& store_;
  std::optional<tcp::acceptor> acceptor_;
  std::set<tcp::socket*> sockets_;
  std::uint64_t seq_ = 0;
};

// The platform's promotion call.
class promotion_api
{
public:
  promotion_api(world& w, const tcp::endpoint& at, std::vector<group*> groups)
    : world_(w)
    , acceptor_(w.io, at)
    , groups_(std::move(groups))
  {
    world_.spawn(accept());
  }
  // Called when a promotion takes effect, before the member leads.
  std::function<void(group&, member&)> on_promoted;
  // Name in the newest call.
  string last_holder;

private:
  awaitable<void> accept()
  {
    for (;;) {
      auto socket = co_await acceptor_.async_accept(use_awaitable);
      world_.spawn(serve(std::move(socket)));
    }
  }
  awaitable<void> serve(tcp::socket socket)
  {
    string buffer;
    for (;;) {
      auto call = co_await read_call(socket, buffer);
      if (!call) {
        co_return;
      }
      const auto body = json::parse(call->body).as_object();
      const string service(body.at("service").as_string());
      const string id(body.at("id").as_string());
      last_holder = call->headers["lease-holder"];
      world_.note("promote " + id + " asked by " + call->headers["lease-holder"] + " with fence " +
                  call->headers["fencing-token"]);
      member* chosen = nullptr;
      group* of = nullptr;
      for (auto* g : groups_) {
        for (auto* m : g->members) {
          if (g->name == service && m->id == id) {
            chosen = m;
            of = g;
          }
        }
      }
      co_await world_.sleep(4);
      if (chosen == nullptr || !chosen->up) {
        co_await write_answer(socket, 409, "{}");
        continue;
      }
      if (!chosen->primary) {
        world_.spawn(take_effect(*of, *chosen));
      }
      co_await write_answer(socket, 200, "{}");
    }
  }
  awaitable<void> take_effect(group& g, member& m)
  {
    co_await world_.sleep(600);
    if (!m.up) {
      co_return;
    }
    std::uint64_t newest = 0;
    for (const auto* other : g.members) {
      newest = std::max(newest, other->in_term);
    }
    if (on_promoted) {
      on_promoted(g, m);
    }
    m.lead(newest + 1);
  }

  world& world_;
  tcp::acceptor acceptor_;
  std::vector<group*> groups_;
};

// Ports that are free on the loopback address now.
inline std::uint16_t
free_ports(asio::io_context& io, int count, const std::vector<string>& addresses)
{
  for (unsigned base = 20000 + static_cast<unsigned>(getpid()) % 9000; base < 32000; base += 37) {
    try {
      std::list<tcp::acceptor> tried;
      for (const auto& address : addresses) {
        for (int i = 0; i < count; ++i) {
          tried.emplace_back(io,
                             tcp::endpoint(asio::ip::make_address(address), static_cast<std::uint16_t>(base + i)),
                             false);
        }
      }
      return static_cast<std::uint16_t>(base);
    } catch (const boost::system::system_error&) {
      continue;
    }
  }
  throw std::runtime_error("no free ports");
}

// One proxy process, started with the command of the deploy file.
class proxy
{
public:
  proxy(world& w,
        const string& folder,
        const string& name,
        const string& zone,
        const string& ip,
        std::uint16_t base,
        const std::vector<string>& seeds,
        const string& store_address,
        const string& duties_address)
    : name(name)
    , callers(asio::ip::make_address(ip), base)
    , readiness(asio::ip::make_address(ip), static_cast<std::uint16_t>(base + 1))
    , world_(w)
    , settings_(folder + "/" + name + ".json")
    , output_(folder + "/" + name + ".log")
  {
    json::array seed_list;
    for (const auto& seed : seeds) {
      seed_list.push_back(json::value(seed + ":" + std::to_string(base + 2)));
    }
    const auto address = [&](int offset) { return ip + ":" + std::to_string(base + offset); };
    const json::object settings{
      { "instance", name },
      { "zone", zone },
      { "seeds", seed_list },
      { "listen",
        json::object{ { "callers", address(0) },
                      { "readiness", address(1) },
                      { "relay", address(2) },
                      { "peers", address(3) },
                      { "metrics", address(4) } } },
      { "store", json::object{ { "address", store_address } } },
      { "duties", json::object{ { "address", duties_address }, { "lists", json::array{ "promote" } } } },
      { "key_revocation_ms", 5000 },
      { "stop_grace_s", 6 },
      { "configuration_limit_ms", 3000 },
      { "rate_tolerance", json::object{ { "window_s", 5 }, { "operations", 20 }, { "fraction", 0.1 } } },
      { "processor_cores", 0.17 },
      { "first_start", true }
    };
    std::ofstream(settings_) << json::serialize(settings) << "\n";
  }
  ~proxy()
  {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
  }

  const string name;
  const tcp::endpoint callers;
  const tcp::endpoint readiness;

  void start()
  {
    world_.note("start " + name);
    pid_ = ::fork();
    if (pid_ == 0) {
      const int out = ::open(output_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      ::dup2(out, 1);
      ::dup2(out, 2);
      // The process ends with the case, however that ends.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int none = ::open("/dev/null", O_RDONLY);
      ::dup2(none, 0);
      for (int handle = 3; handle < 1024; ++handle) {
        ::close(handle);
      }
      ::setenv("PERSIMMONSHELF_NODE_FILE", settings_.c_str(), 1);
      ::execl("target/Source/persimmonshelf-proxy", "persimmonshelf-proxy", "run", static_cast<char*>(nullptr));
      ::_exit(127);
    }
  }
  void signal(int number)
  {
    world_.note("signal " + std::to_string(number) + " to " + name);
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  // Kills the process and waits for its end.
  void kill()
  {
    signal(SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  // Status with which the process ended by itself; empty while it runs.
  std::optional<int> ended()
  {
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = 0;
      return status;
    }
    return std::nullopt;
  }
  bool holds_lease(const store& from) const;

private:
  world& world_;
  string settings_;
  string output_;
  pid_t pid_ = 0;
};

// Times at which callers sent their statements, by id.
inline std::map<string, double>&
sent_times()
{
  static std::map<string, double> times;
  return times;
}

// One session of a caller.
class caller
{
public:
  caller(world& w, string label)
    : label(std::move(label))
    , world_(w)
    , socket_(w.io)
  {
  }
  struct answer
  {
    // "DONE", the code of an error, or "CLOSED".
    string outcome = "CLOSED";
    string signature;
    std::vector<string> rows;
    string ready;
    bool success() const { return outcome == "DONE"; }
  };

  const string label;
  string last_id;

  // Empty if the session began; otherwise the error.
  awaitable<string> open(tcp::endpoint to, string database, string key)
  {
    boost::system::error_code failure;
    close();
    buffer_.clear();
    socket_ = tcp::socket(world_.io);
    co_await socket_.async_connect(to, asio::redirect_error(use_awaitable, failure));
    if (failure) {
      co_return "CLOSED";
    }
    socket_.set_option(tcp::no_delay(true));
    const string start = "START " + database + " " + key + "\r\n";
    co_await asio::async_write(socket_, asio::buffer(start), asio::redirect_error(use_awaitable, failure));
    const auto line = co_await read_line(2000);
    if (!line) {
      close();
      co_return "CLOSED";
    }
    co_return line->rfind("READY", 0) == 0 ? "" : split(*line)[1];
  }
  awaitable<answer> query(string text, int limit_ms = 3000)
  {
    static std::uint64_t next = 0x5c0e7a21d9400000ULL + static_cast<std::uint64_t>(getpid()) * 65536;
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++next));
    last_id = id;
    sent_times()[last_id] = world_.now();
    world_.note(label + " sends " + last_id + " " + text);
    answer result;
    boost::system::error_code failure;
    const string message = "QUERY " + last_id + " " + text + "\r\n";
    co_await asio::async_write(socket_, asio::buffer(message), asio::redirect_error(use_awaitable, failure));
    for (;;) {
      std::optional<string> line;
      if (!failure) {
        line = co_await read_line(limit_ms);
      }
      if (!line) {
        result.outcome = "CLOSED";
        close();
        break;
      }
      const auto words = split(*line, 3);
      if (words[0] == "ROW") {
        result.rows.push_back(line->substr(4));
      } else if (words[0] == "DONE") {
        result.outcome = "DONE";
        result.signature = words[1];
      } else if (words[0] == "ERROR") {
        result.outcome = words[1];
      } else if (words[0] == "READY") {
        result.ready = line->substr(6);
        break;
      }
    }
    world_.note(label + " gets  " + last_id + " " + result.outcome + " " + result.signature +
                (result.rows.empty() ? "" : " row " + result.rows.front()));
    co_return result;
  }
  void close()
  {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }
  bool is_open() const { return socket_.is_open(); }

private:
  awaitable<std::optional<string>> read_line(int limit_ms)
  {
    asio::steady_timer timer(world_.io, ms(limit_ms));
    bool late = false;
    timer.async_wait([this, &late](const boost::system::error_code& cancelled) {
      if (!cancelled) {
        late = true;
        boost::system::error_code ignored;
        socket_.cancel(ignored);
      }
    });
    boost::system::error_code failure;
    const auto n = co_await asio::async_read_until(
      socket_, asio::dynamic_buffer(buffer_), "\r\n", asio::redirect_error(use_awaitable, failure));
    timer.cancel();
    if (failure) {
      co_return std::nullopt;
    }
    string line = buffer_.substr(0, n - 2);
    buffer_.erase(0, n);
    co_return line;
  }

  world& world_;
  tcp::socket socket_;
  string buffer_;
};

// A small deployment: three proxies in three zones and one group of three members.
class deployment
{
public:
  // Settings of the case.
  struct options
  {
    int sync_replicas = 0;
    // Routes as JSON, without the service.
    std::vector<json::object> routes;
  };
  deployment(const string& record_path, options chosen)
    : options_(std::move(chosen))
    , w(record_path)
    , folder_(make_folder())
    , base_(free_ports(w.io, 6, { "127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.2.1", "127.0.2.2", "127.0.2.3", "127.0.3.1" }))
    , data(w, at("127.0.3.1", 0))
    , promotions(w, at("127.0.3.1", 1), { &databases })
  {
    databases.name = "svc1";
    databases.sync_replicas = options_.sync_replicas;
    for (int i = 0; i < 3; ++i) {
      const string n = std::to_string(i + 1);
      members.push_back(std::make_unique<member>(
        w, databases, data, "i-m" + n, at("127.0.2." + n, 0), "zone-" + n, i == 0));
    }
    for (int i = 0; i < 3; ++i) {
      const string n = std::to_string(i + 1);
      const std::vector<string> seeds{ "127.0.1.1", "127.0.1.2", "127.0.1.3" };
      proxies.push_back(std::make_unique<proxy>(w,
                                                folder_,
                                                "front-" + n,
                                                "zone-" + n,
                                                "127.0.1." + n,
                                                base_,
                                                seeds,
                                                "127.0.3.1:" + std::to_string(base_),
                                                "127.0.3.1:" + std::to_string(base_ + 1)));
    }
  }
  // Ends the proxies and removes their folder.
  void end()
  {
    proxies.clear();
    if (std::getenv("KEEP") == nullptr) {
      [[maybe_unused]] const int ignored = std::system(("rm -r '" + folder_ + "'").c_str());
    }
  }

  void configure(int version, const std::map<string, std::vector<string>>& tenants)
  {
    json::array routes;
    for (auto route : options_.routes) {
      route["service"] = databases.name;
      routes.push_back(route);
    }
    json::array owners;
    for (const auto& [tenant, keys] : tenants) {
      json::array list;
      for (const auto& key : keys) {
        list.push_back(json::value(key));
      }
      owners.push_back(json::object{
        { "name", tenant }, { "api_keys", list }, { "priority", 1 }, { "rate_per_s", 500 }, { "burst", 500 } });
    }
    const json::object config{
      { "version", version },
      { "routes", routes },
      { "services",
        json::array{ json::object{ { "name", databases.name },
                                   { "health_path", "/health" },
                                   { "max_conns", 54 },
                                   { "protocol", "h1" },
                                   { "tls", false },
                                   { "sync_replicas", options_.sync_replicas } } } },
      { "limits", json::object{ { "tx_idle_ms", 3000 } } },
      { "tenants", owners }
    };
    data.put("op", "config", json::serialize(config));
    w.note("configuration " + std::to_string(version) + " acknowledged by the store");
  }
  void start()
  {
    for (auto& p : proxies) {
      p->start();
    }
  }
  // Runs until the task ends; false if it could not run.
  bool run(awaitable<void> task)
  {
    bool ok = true;
    asio::co_spawn(w.io, std::move(task), [&](std::exception_ptr failure) {
      if (failure) {
        try {
          std::rethrow_exception(failure);
        } catch (const std::exception& error) {
          w.note(string("the case could not run: ") + error.what());
        }
        ok = false;
      }
      w.io.stop();
    });
    w.io.run();
    return ok;
  }
  // Name of the instance that holds the coordinator row.
  string coordinator() const
  {
    const auto row = data.get("persimmonshelf", "coordinator");
    return row;
  }

private:
  tcp::endpoint at(const string& ip, int offset) const
  {
    return { asio::ip::make_address(ip), static_cast<std::uint16_t>(base_ + offset) };
  }
  static string make_folder()
  {
    char name[] = "/tmp/review-XXXXXX";
    return ::mkdtemp(name);
  }

  options options_;

public:
  world w;

private:
  string folder_;
  std::uint16_t base_;

public:
  store data;
  group databases;
  promotion_api promotions;
  std::vector<std::unique_ptr<member>> members;
  std::vector<std::unique_ptr<proxy>> proxies;
};

inline bool
trouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || string(value) != "0";
}

inline json::object
route(const string& name, const string& database, const string& kind, bool open_to_all)
{
  return { { "name", name },
           { "host", database },
           { "prefix", "/" },
           { "kind", kind },
           { "timeout_ms", 800 },
           { "target_latency_ms", 250 },
           { "priority", 1 },
           { "max_attempts", 2 },
           { "max_staleness_ms", 2500 },
           { "public", open_to_all } };
}

// Ends all processes and this one. Exit code of a case: 1 if the rule was broken, 0 if it held, 2 if
// the case could not run.
[[noreturn]] inline void
conclude(deployment& d, bool ran, std::size_t violations, const string& what)
{
  const int code = ran ? (violations > 0 ? 1 : 0) : 2;
  d.end();
  d.w.note("result " + std::to_string(code) + ": " + (ran ? std::to_string(violations) + " " + what : "the case could not run"));
  std::cout << "result " << code << ": " << violations << " " << what << std::endl;
  // Suspended coroutines still refer to the stand-ins, so nothing is destroyed.
  std::_Exit(code);
}

}
