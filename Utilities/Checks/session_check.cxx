// Runs sessions of callers against a fleet while a script injects faults, then compares every
// answer with the logs of the backend servers. It asserts what callers were told, not how long it
// took.

#include "Base/json_fields.h"
#include "Net/http_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <docopt/docopt.h>

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace {

using namespace persimmonshelf;
namespace asio = boost::asio;
namespace json = boost::json;

constexpr const char* usage =
  R"(session_check: checks what callers are told against the backend servers' logs.

Usage:
  session_check --callers=LIST --members=LIST --key-file=FILE --database=NAME
                [--sessions=N] [--seconds=N] [--seed=N] [--think-ms=N]
  session_check (-h | --help)

Options:
  --callers=LIST    Caller addresses of the instances, comma separated.
  --members=LIST    Addresses of the database's members, comma separated.
  --key-file=FILE   File with the workspace key.
  --database=NAME   Database to use.
  --sessions=N      Concurrent sessions [default: 12].
  --seconds=N       Length of the run [default: 20].
  --seed=N          Seed of the sessions' choices [default: 1].
  --think-ms=N      Pause of a session between requests [default: 20].
)";

// What a session was told about one write.
enum class told
{
  done,
  not_run,
  unknown,
};

struct write_record
{
  told answer = told::unknown;
  std::string request;
};

struct totals
{
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t replica_reads = 0;
  std::uint64_t transactions = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t lost_answers = 0;
  // Answers that were not done, by outcome and name of the code.
  std::map<std::string, std::uint64_t> codes;
  std::vector<std::string> violations;
};

std::vector<std::string>
split(const std::string& list)
{
  std::vector<std::string> parts;
  std::istringstream text(list);
  for (std::string part; std::getline(text, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

struct options
{
  std::vector<tcp_address> callers;
  std::string key;
  std::string database;
  std::chrono::steady_clock::time_point end;
  std::chrono::milliseconds think{ 20 };
};

std::string
text_of(const json::object& fields, std::string_view name)
{
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

// One session: writes rising numbers under its own key, reads them through other instances, and
// writes pairs in transactions.
class session : public std::enable_shared_from_this<session>
{
public:
  session(asio::io_context& context,
          const options& settings,
          int number,
          unsigned seed,
          totals& sum)
    : context_(context)
    , settings_(settings)
    , number_(number)
    , random_(seed)
    , sum_(sum)
    , timer_(context)
  {
  }

  void start() { next(); }
  const std::map<std::uint64_t, write_record>& writes() const { return writes_; }
  const std::map<std::uint64_t, write_record>& pairs() const { return pairs_; }
  std::string key() const { return "session" + std::to_string(number_); }

private:
  using handler = std::function<void(const json::object*)>;

  void call(const std::string& operation, json::object body, const handler& done)
  {
    const auto& address = settings_.callers[random_() % settings_.callers.size()];
    auto connection = http_connection::create(context_);
    http_request request;
    request.method = "POST";
    request.target = "/v1/routes/shop/" + operation;
    request.authorization = "Bearer " + settings_.key;
    body["database"] = settings_.database;
    if (!token_.empty()) {
      body["session"] = token_;
    }
    request.body = json::serialize(body);
    connection->connect(
      address,
      std::chrono::seconds(1),
      [self = shared_from_this(), connection, request, done](const std::string& reason) {
        if (!reason.empty()) {
          // No instance there: nothing was sent, so the caller tries another one.
          self->pause([self] { self->next(); });
          return;
        }
        connection->send(
          request,
          std::chrono::seconds(15),
          [self, connection, done](const http_failure* failure, const http_response& response) {
            connection->close();
            self->answered(failure, response, done);
          });
      });
  }

  void answered(const http_failure* failure, const http_response& response, const handler& done)
  {
    if (failure != nullptr) {
      ++sum_.lost_answers;
      lost_answer_ = true;
      done(nullptr);
      return;
    }
    boost::system::error_code ignored;
    const auto value = json::parse(response.body, ignored);
    if (!value.is_object()) {
      violation("an answer is not a whole JSON object: " + response.body);
      done(nullptr);
      return;
    }
    const auto& fields = value.as_object();
    if (const auto token = text_of(fields, "session"); !token.empty()) {
      token_ = token;
    }
    if (const auto outcome = text_of(fields, "outcome"); outcome != "done") {
      ++sum_.codes[outcome + " " + text_of(fields, "name")];
    }
    done(&fields);
  }

  void violation(const std::string& text)
  {
    sum_.violations.push_back("session " + std::to_string(number_) + ": " + text);
  }

  void pause(std::function<void()> then)
  {
    timer_.expires_after(settings_.think);
    timer_.async_wait([then = std::move(then)](boost::system::error_code failure) {
      if (!failure) {
        then();
      }
    });
  }

  void next()
  {
    if (std::chrono::steady_clock::now() >= settings_.end) {
      return;
    }
    const auto choice = random_() % 10;
    if (choice < 4) {
      write();
    } else if (choice < 9) {
      read();
    } else {
      begin();
    }
  }

  static told told_of(const json::object* answer)
  {
    if (answer == nullptr) {
      return told::unknown;
    }
    const auto outcome = text_of(*answer, "outcome");
    if (outcome == "done") {
      return told::done;
    }
    return outcome == "not_run" ? told::not_run : told::unknown;
  }

  void count(told answer)
  {
    sum_.refused += answer == told::not_run ? 1 : 0;
    sum_.unknown += answer == told::unknown ? 1 : 0;
  }

  void write()
  {
    const auto value = next_value_++;
    writes_[value] = {};
    ++sum_.writes;
    call("statement",
         { { "statement", "PUT " + key() + " " + std::to_string(value) },
           { "kind", "write" },
           { "deadline_ms", 4000 } },
         [self = shared_from_this(), value](const json::object* answer) {
           auto& record = self->writes_[value];
           record.answer = told_of(answer);
           record.request = answer == nullptr ? "" : text_of(*answer, "request_id");
           self->count(record.answer);
           if (record.answer == told::done) {
             self->acknowledged_ = std::max(self->acknowledged_, value);
           }
           self->pause([self] { self->next(); });
         });
  }

  void read()
  {
    ++sum_.reads;
    json::object body{ { "statement", "GET " + key() },
                       { "kind", "read" },
                       { "deadline_ms", 4000 },
                       { "after_lost_answer", lost_answer_ } };
    call("statement", std::move(body), [self = shared_from_this()](const json::object* answer) {
      const auto outcome = told_of(answer);
      self->count(outcome);
      if (outcome == told::done) {
        self->check_read(*answer);
      }
      self->pause([self] { self->next(); });
    });
  }

  void check_read(const json::object& answer)
  {
    const auto* replica = answer.if_contains("from_replica");
    sum_.replica_reads += replica != nullptr && replica->is_bool() && replica->as_bool() ? 1 : 0;
    const auto* rows = answer.if_contains("rows");
    std::uint64_t seen = 0;
    if (rows != nullptr && rows->is_array() && !rows->as_array().empty()) {
      const auto& row = rows->as_array().front().as_object();
      if (text_of(row, "key") != key()) {
        violation("read of " + key() + " answered with key " + text_of(row, "key"));
        return;
      }
      seen = std::strtoull(text_of(row, "value").c_str(), nullptr, 10);
    }
    if (seen < acknowledged_) {
      violation("request " + text_of(answer, "request_id") + " read " + std::to_string(seen) +
                " after write " + std::to_string(acknowledged_) + " was acknowledged");
    }
    if (seen < last_seen_) {
      violation("request " + text_of(answer, "request_id") + " read " + std::to_string(seen) +
                " after a read of " + std::to_string(last_seen_));
    }
    last_seen_ = std::max(last_seen_, seen);
  }

  void begin()
  {
    ++sum_.transactions;
    call("begin",
         { { "deadline_ms", 4000 } },
         [self = shared_from_this()](const json::object* answer) {
           if (told_of(answer) != told::done) {
             self->count(told_of(answer));
             self->pause([self] { self->next(); });
             return;
           }
           self->in_transaction(text_of(*answer, "transaction"), 0);
         });
  }

  void in_transaction(const std::string& transaction, int step)
  {
    if (step == 2) {
      commit(transaction);
      return;
    }
    const auto value = next_value_;
    const auto name = key() + (step == 0 ? "left" : "right");
    call("statement",
         { { "statement", "PUT " + name + " " + std::to_string(value) },
           { "kind", "write" },
           { "transaction", transaction },
           { "deadline_ms", 4000 } },
         [self = shared_from_this(), transaction, step](const json::object* answer) {
           if (told_of(answer) != told::done) {
             self->count(told_of(answer));
             self->roll_back(transaction);
             return;
           }
           self->in_transaction(transaction, step + 1);
         });
  }

  void roll_back(const std::string& transaction)
  {
    call(
      "rollback",
      { { "transaction", transaction }, { "deadline_ms", 4000 } },
      [self = shared_from_this()](const json::object*) { self->pause([self] { self->next(); }); });
  }

  void commit(const std::string& transaction)
  {
    const auto value = next_value_++;
    pairs_[value] = {};
    call("commit",
         { { "transaction", transaction }, { "deadline_ms", 4000 } },
         [self = shared_from_this(), value](const json::object* answer) {
           auto& record = self->pairs_[value];
           record.answer = told_of(answer);
           record.request = answer == nullptr ? "" : text_of(*answer, "request_id");
           self->count(record.answer);
           self->pause([self] { self->next(); });
         });
  }

  asio::io_context& context_;
  const options& settings_;
  int number_;
  std::mt19937 random_;
  totals& sum_;
  asio::steady_timer timer_;
  std::string token_;
  bool lost_answer_ = false;
  std::uint64_t next_value_ = 1;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t last_seen_ = 0;
  std::map<std::uint64_t, write_record> writes_;
  std::map<std::uint64_t, write_record> pairs_;
};

// Changes of one log by key: how often each value was written.
struct log_contents
{
  std::uint64_t last_term = 0;
  std::uint64_t position = 0;
  std::map<std::string, std::map<std::uint64_t, int>> values;
  // Entries of a transaction hold both halves of a pair.
  std::set<std::string> split_pairs;
};

bool
get(const tcp_address& address, const std::string& target, json::object& body)
{
  asio::io_context context;
  auto connection = http_connection::create(context, 256 << 20);
  bool got = false;
  connection->connect(address, std::chrono::seconds(2), [&](const std::string& reason) {
    if (!reason.empty()) {
      return;
    }
    http_request request;
    request.method = "GET";
    request.target = target;
    connection->send(request,
                     std::chrono::seconds(20),
                     [&](const http_failure* failure, const http_response& response) {
                       if (failure == nullptr) {
                         boost::system::error_code ignored;
                         const auto value = json::parse(response.body, ignored);
                         if (value.is_object()) {
                           body = value.as_object();
                           got = true;
                         }
                       }
                       connection->close();
                     });
  });
  context.run();
  return got;
}

bool
read_log(const tcp_address& address, log_contents& log)
{
  json::object body;
  if (!get(address, "/control/log?from=1", body) || !body.contains("entries")) {
    return false;
  }
  for (const auto& item : body.at("entries").as_array()) {
    log.last_term = item.at("term").to_number<std::uint64_t>();
    log.position = item.at("position").to_number<std::uint64_t>();
    std::map<std::string, std::uint64_t> pair;
    for (const auto& change : item.at("changes").as_array()) {
      const std::string key(change.at(1).as_string());
      const auto value = std::strtoull(change.at(2).as_string().c_str(), nullptr, 10);
      ++log.values[key][value];
      pair[key] = value;
    }
    for (const auto& [key, value] : pair) {
      const auto left = key.rfind("left");
      if (left != std::string::npos && pair[key.substr(0, left) + "right"] != value) {
        log.split_pairs.insert(key + "=" + std::to_string(value));
      }
    }
  }
  return true;
}

void
check_writes(const std::map<std::uint64_t, write_record>& writes,
             const std::string& key,
             const log_contents& log,
             totals& sum)
{
  const auto found = log.values.find(key);
  for (const auto& [value, record] : writes) {
    int times = 0;
    if (found != log.values.end()) {
      const auto count = found->second.find(value);
      times = count == found->second.end() ? 0 : count->second;
    }
    const auto what = key + "=" + std::to_string(value) + " (request " + record.request + ")";
    if (record.answer == told::done && times != 1) {
      sum.violations.push_back("acknowledged write " + what + " is in the log " +
                               std::to_string(times) + " times");
    }
    if (record.answer == told::not_run && times != 0) {
      sum.violations.push_back("write " + what + " was reported as not run but is in the log");
    }
    if (times > 1) {
      sum.violations.push_back("write " + what + " ran " + std::to_string(times) + " times");
    }
  }
}

}

int
main(int argc, char** argv)
{
  const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true, "");
  options settings;
  for (const auto& text : split(arguments.at("--callers").asString())) {
    tcp_address address;
    if (!parse_address(text, address)) {
      std::cerr << "session_check: --callers: expected IP:PORT, found " << text << "\n";
      return 2;
    }
    settings.callers.push_back(address);
  }
  std::ifstream key_file(arguments.at("--key-file").asString());
  std::getline(key_file, settings.key);
  settings.database = arguments.at("--database").asString();
  settings.think = std::chrono::milliseconds(arguments.at("--think-ms").asLong());
  settings.end =
    std::chrono::steady_clock::now() + std::chrono::seconds(arguments.at("--seconds").asLong());

  totals sum;
  asio::io_context context;
  std::vector<std::shared_ptr<session>> sessions;
  const auto seed = static_cast<unsigned>(arguments.at("--seed").asLong());
  for (int i = 0; i < arguments.at("--sessions").asLong(); ++i) {
    sessions.push_back(
      std::make_shared<session>(context, settings, i, seed * 1000 + static_cast<unsigned>(i), sum));
    sessions.back()->start();
  }
  context.run();

  log_contents newest;
  for (const auto& text : split(arguments.at("--members").asString())) {
    tcp_address address;
    log_contents log;
    if (parse_address(text, address) && read_log(address, log) &&
        std::tie(log.last_term, log.position) >= std::tie(newest.last_term, newest.position)) {
      newest = std::move(log);
    }
  }
  for (const auto& checked : sessions) {
    check_writes(checked->writes(), checked->key(), newest, sum);
    check_writes(checked->pairs(), checked->key() + "left", newest, sum);
    check_writes(checked->pairs(), checked->key() + "right", newest, sum);
  }
  for (const auto& pair : newest.split_pairs) {
    sum.violations.push_back("transaction with " + pair + " is in the log in part");
  }
  std::cout << "writes " << sum.writes << ", reads " << sum.reads << " (" << sum.replica_reads
            << " by replicas), transactions " << sum.transactions << ", not run " << sum.refused
            << ", unknown " << sum.unknown << ", lost answers " << sum.lost_answers
            << ", log entries " << newest.position << ", last term " << newest.last_term << "\n";
  for (const auto& [code, count] : sum.codes) {
    std::cout << code << ": " << count << "\n";
  }
  for (const auto& text : sum.violations) {
    std::cout << "violation: " << text << "\n";
  }
  std::cout << (sum.violations.empty() ? "no violation" : "violations found") << "\n";
  return sum.violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
