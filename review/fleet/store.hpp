// Stand-in of the platform: the metadata store with its drill (return from an older copy), and the
// API of the singleton duties.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <sys/socket.h>

#include <chrono>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace fleet_case {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline clock::time_point
start_of_case()
{
  static const auto started = clock::now();
  return started;
}

inline long long
now_ms()
{
  return std::chrono::duration_cast<milliseconds>(clock::now() - start_of_case()).count();
}

// What was sent, answered and run, one line each.
class record
{
public:
  explicit record(const std::string& path)
    : file_(path, std::ios::trunc)
  {
  }
  void operator()(const std::string& text) { file_ << now_ms() << " " << text << std::endl; }

private:
  std::ofstream file_;
};

inline std::string
encode_base64(const std::string& text)
{
  static const char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    unsigned block = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      block = block << 8 | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k > text.size() ? '=' : letters[block >> (18 - 6 * k) & 63];
    }
  }
  return out;
}

inline std::string
decode_base64(const std::string& text)
{
  std::string out;
  unsigned block = 0;
  int bits = 0;
  for (const char letter : text) {
    int value = 0;
    if (letter >= 'A' && letter <= 'Z') {
      value = letter - 'A';
    } else if (letter >= 'a' && letter <= 'z') {
      value = letter - 'a' + 26;
    } else if (letter >= '0' && letter <= '9') {
      value = letter - '0' + 52;
    } else if (letter == '+' || letter == '/') {
      value = letter == '+' ? 62 : 63;
    } else {
      break;
    }
    block = (block << 6 | static_cast<unsigned>(value)) & 0xffffff;
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(block >> bits & 255);
    }
  }
  return out;
}

inline tcp::acceptor
listen_on(asio::io_context& context, const std::string& address, unsigned short port, int backlog = 512)
{
  tcp::acceptor acceptor(context);
  const tcp::endpoint endpoint(asio::ip::make_address(address), port);
  acceptor.open(endpoint.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen(backlog);
  return acceptor;
}

using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

class store
{
public:
  store(asio::io_context& context, const std::string& address, unsigned short port, record& lines)
    : context_(context)
    , acceptor_(listen_on(context, address, port))
    , record_(lines)
  {
    asio::co_spawn(context_, accept(), asio::detached);
    asio::co_spawn(context_, keep_copies(), asio::detached);
  }

  // Writes of the operator and of the members, which reach the store inside this process.
  bool put(const std::string& table, const std::string& key, const std::string& value)
  {
    if (down_) {
      return false;
    }
    rows_[{ table, key }] = { encode_base64(value), ++version_, false };
    wake();
    return true;
  }

  void remove(const std::string& table, const std::string& key)
  {
    const auto found = rows_.find({ table, key });
    if (!down_ && found != rows_.end() && !found->second.removed) {
      found->second = { {}, ++version_, true };
      wake();
    }
  }

  // Value of a row of the system; empty if there is none.
  std::string value(const std::string& table, const std::string& key) const
  {
    const auto found = rows_.find({ table, key });
    return found == rows_.end() ? std::string() : decode_base64(found->second.value);
  }

  bool is_down() const { return down_; }
  std::uint64_t version() const { return version_; }

  // The drill: the store is away, and then comes back from the newest copy made no later than
  // `copied_at`. Its era rises by one.
  asio::awaitable<void> drill(clock::time_point copied_at, milliseconds away)
  {
    down_ = true;
    for (const auto& socket : sockets_) {
      error_code ignored;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    wake();
    record_("drill: store away at version " + std::to_string(version_));
    asio::steady_timer timer(context_, away);
    co_await timer.async_wait(asio::use_awaitable);
    const copy* chosen = &copies_.front();
    for (const auto& entry : copies_) {
      if (entry.made_at <= copied_at) {
        chosen = &entry;
      }
    }
    const auto age = std::chrono::duration_cast<milliseconds>(clock::now() - chosen->made_at);
    rows_ = chosen->rows;
    version_ = chosen->version;
    ++era_;
    down_ = false;
    record_("drill: store back in era " + std::to_string(era_) + " at version " +
            std::to_string(version_) + ", from a copy made " + std::to_string(age.count()) +
            " ms ago");
  }

private:
  struct row
  {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
  };
  using row_table = std::map<std::pair<std::string, std::string>, row>;
  struct copy
  {
    clock::time_point made_at;
    row_table rows;
    std::uint64_t version = 0;
  };

  void wake()
  {
    for (const auto& timer : std::exchange(waiting_, {})) {
      timer->cancel();
    }
  }

  asio::awaitable<void> keep_copies()
  {
    asio::steady_timer timer(context_);
    for (;;) {
      if (!down_) {
        copies_.push_back({ clock::now(), rows_, version_ });
        while (copies_.size() > 400) {
          copies_.pop_front();
        }
      }
      timer.expires_after(milliseconds(100));
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  asio::awaitable<void> accept()
  {
    for (;;) {
      error_code failure;
      auto socket = std::make_shared<tcp::socket>(
        co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, failure)));
      if (failure) {
        continue;
      }
      if (down_) {
        socket->set_option(asio::socket_base::linger(true, 0), failure);
        socket->close(failure);
        continue;
      }
      sockets_.insert(socket);
      asio::co_spawn(context_, serve(socket), asio::detached);
    }
  }

  asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
  {
    error_code failure;
    socket->set_option(tcp::no_delay(true), failure);
    beast::flat_buffer buffer;
    for (;;) {
      request received;
      co_await http::async_read(
        *socket, buffer, received, asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        break;
      }
      const auto era = era_;
      // An answer takes 4 ms.
      asio::steady_timer pause(context_, milliseconds(4));
      co_await pause.async_wait(asio::use_awaitable);
      if (down_ || era != era_) {
        break;
      }
      auto answer = co_await handle(received);
      if (down_ || era != era_) {
        break;
      }
      answer.version(11);
      answer.set(http::field::content_type, "application/json");
      answer.set("Store-Era", std::to_string(era_));
      answer.keep_alive(true);
      answer.prepare_payload();
      co_await http::async_write(
        *socket, answer, asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        break;
      }
    }
    socket->close(failure);
    sockets_.erase(socket);
  }

  static std::string decode_percent(const std::string& text)
  {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += text[i];
      }
    }
    return out;
  }

  static std::map<std::string, std::string> query_of(const std::string& target)
  {
    std::map<std::string, std::string> fields;
    auto begin = target.find('?');
    while (begin != std::string::npos) {
      const auto end = target.find('&', ++begin);
      const auto field = target.substr(begin, end == std::string::npos ? end : end - begin);
      const auto equals = field.find('=');
      if (equals != std::string::npos) {
        fields[field.substr(0, equals)] = decode_percent(field.substr(equals + 1));
      }
      begin = end;
    }
    return fields;
  }

  response answer_with(http::status status, json::object body)
  {
    body["ver"] = version_;
    body["now_ms"] = now_ms();
    response answer;
    answer.result(status);
    answer.body() = json::serialize(body);
    return answer;
  }

  json::object describe(const std::pair<std::string, std::string>& id, const row& entry) const
  {
    json::object out{
      { "table", id.first }, { "part", "" }, { "key", id.second }, { "ver", entry.version }
    };
    if (entry.removed) {
      out["deleted"] = true;
    } else {
      out["value"] = entry.value;
    }
    return out;
  }

  asio::awaitable<response> handle(const request& received)
  {
    const std::string target(received.target());
    const auto path = target.substr(0, target.find('?'));
    auto query = query_of(target);
    if (received.method() == http::verb::post && path == "/rows-tx") {
      co_return transact(json::parse(received.body()).as_object());
    }
    if (path == "/rows-get") {
      json::array rows;
      const std::size_t limit =
        query.contains("limit") ? std::stoull(query["limit"]) : std::size_t{ 500 };
      bool more = false;
      for (const auto& [id, entry] : rows_) {
        if (id.first != query["table"] || entry.removed || id.second < query["from"]) {
          continue;
        }
        if (rows.size() >= limit) {
          more = true;
          break;
        }
        rows.push_back(describe(id, entry));
      }
      co_return answer_with(http::status::ok, { { "rows", std::move(rows) }, { "has_more", more } });
    }
    if (path == "/rows-feed") {
      const auto after = std::stoull(query["after"]);
      const auto until = clock::now() + milliseconds(std::stoll(query["wait_ms"]));
      const auto era = era_;
      for (;;) {
        // A read from a version that the store doesn't have.
        if (after > version_) {
          co_return answer_with(http::status::gone, {});
        }
        json::array rows;
        for (const auto& [id, entry] : rows_) {
          if (id.first == query["table"] && entry.version > after) {
            rows.push_back(describe(id, entry));
          }
        }
        if (!rows.empty() || clock::now() >= until || down_ || era != era_) {
          co_return answer_with(http::status::ok, { { "rows", std::move(rows) } });
        }
        const auto timer = std::make_shared<asio::steady_timer>(context_, until);
        waiting_.push_back(timer);
        error_code ignored;
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      }
    }
    co_return answer_with(http::status::not_found, {});
  }

  response transact(const json::object& call)
  {
    const auto id_of = [](const json::value& entry) {
      return std::pair(std::string(entry.at("table").as_string()),
                       std::string(entry.at("key").as_string()));
    };
    bool holds = true;
    json::array present;
    for (const auto& condition : call.at("expected_rev").as_array()) {
      const auto found = rows_.find(id_of(condition));
      const bool exists = found != rows_.end() && !found->second.removed;
      const auto version = exists ? found->second.version : 0;
      holds = holds && condition.at("ver").to_number<std::uint64_t>() == version;
      if (exists) {
        present.push_back(describe(found->first, found->second));
      }
    }
    if (!holds) {
      return answer_with(http::status::precondition_failed, { { "rows", std::move(present) } });
    }
    ++version_;
    for (const auto& put : call.at("puts").as_array()) {
      rows_[id_of(put)] = { std::string(put.at("value").as_string()), version_, false };
    }
    for (const auto& removal : call.at("remove").as_array()) {
      const auto found = rows_.find(id_of(removal));
      if (found != rows_.end()) {
        found->second = { {}, version_, true };
      }
    }
    wake();
    return answer_with(http::status::ok, {});
  }

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  record& record_;
  row_table rows_;
  std::uint64_t version_ = 0;
  std::uint64_t era_ = 1;
  bool down_ = false;
  std::deque<copy> copies_;
  std::set<std::shared_ptr<tcp::socket>> sockets_;
  std::vector<std::shared_ptr<asio::steady_timer>> waiting_;
};

// One call of POST /promote as the platform saw it.
struct promotion
{
  long long at = 0;
  std::string holder;
  std::uint64_t token = 0;
  std::string service;
  std::string id;
};

// The platform's API of the singleton duties. It doesn't check fences (`fencing_enforced` false).
class duty_api
{
public:
  using promote_handler = std::function<bool(const std::string& service, const std::string& id)>;

  duty_api(asio::io_context& context,
           const std::string& address,
           unsigned short port,
           record& lines,
           promote_handler promote)
    : context_(context)
    , endpoint_(asio::ip::make_address(address), port)
    , acceptor_(listen_on(context, address, port, 0))
    , record_(lines)
    , promote_(std::move(promote))
  {
    asio::co_spawn(context_, accept(), asio::detached);
  }

  const std::vector<promotion>& calls() const { return calls_; }

  // Cut off: nothing answers, not even a connection attempt. Connections of its own fill the queue
  // of connections that were not accepted, so the kernel drops all others.
  void cut()
  {
    cut_ = true;
    record_("duty API cut off");
    for (int i = 0; i < 3; ++i) {
      fillers_.push_back(std::make_unique<tcp::socket>(context_));
      fillers_.back()->async_connect(endpoint_, [](error_code) {});
    }
  }

  void heal()
  {
    cut_ = false;
    record_("duty API reachable again");
    for (auto& filler : fillers_) {
      error_code ignored;
      filler->close(ignored);
    }
    fillers_.clear();
  }

private:
  asio::awaitable<void> accept()
  {
    asio::steady_timer timer(context_);
    acceptor_.non_blocking(true);
    for (;;) {
      if (!cut_) {
        error_code failure;
        tcp::socket socket(context_);
        acceptor_.accept(socket, failure);
        if (!failure) {
          asio::co_spawn(context_, serve(std::move(socket)), asio::detached);
          continue;
        }
      }
      timer.expires_after(milliseconds(2));
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  asio::awaitable<void> serve(tcp::socket socket)
  {
    error_code failure;
    beast::flat_buffer buffer;
    for (;;) {
      request received;
      co_await http::async_read(
        socket, buffer, received, asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return;
      }
      response answer;
      answer.result(http::status::not_found);
      if (received.method() == http::verb::post && received.target() == "/promote") {
        const auto body = json::parse(received.body()).as_object();
        promotion call{ now_ms(),
                        std::string(received["Lease-Holder"]),
                        std::stoull(std::string(received["Fencing-Token"])),
                        std::string(body.at("service").as_string()),
                        std::string(body.at("id").as_string()) };
        calls_.push_back(call);
        record_("promote " + call.service + " " + call.id + " Lease-Holder " + call.holder +
                " Fencing-Token " + std::to_string(call.token));
        answer.result(promote_(call.service, call.id) ? http::status::ok : http::status::conflict);
      }
      answer.version(11);
      answer.keep_alive(true);
      answer.body() = "{}";
      answer.prepare_payload();
      co_await http::async_write(
        socket, answer, asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return;
      }
    }
  }

  asio::io_context& context_;
  tcp::endpoint endpoint_;
  tcp::acceptor acceptor_;
  record& record_;
  promote_handler promote_;
  bool cut_ = false;
  std::vector<std::unique_ptr<tcp::socket>> fillers_;
  std::vector<promotion> calls_;
};

}
