#pragma once

#include "Checks/check_types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>

namespace persimmonshelf::checks {

namespace asio = boost::asio;

inline constexpr int request_deadline_ms = 4000;
inline constexpr std::chrono::seconds connect_timeout{ 1 };
inline constexpr std::chrono::seconds answer_timeout{ 15 };

// One session: writes increasing numbers under its own key, reads them through randomly chosen
// instances, and writes pairs of equal values in transactions.
class session : public std::enable_shared_from_this<session>
{
public:
  session(asio::io_context& context,
          const options& settings,
          int number,
          unsigned seed,
          totals& results)
    : context_(context)
    , settings_(settings)
    , number_(number)
    , random_(seed)
    , results_(results)
    , timer_(context)
  {
  }

  void start() { next_operation(); }
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
      connect_timeout,
      [self = shared_from_this(), connection, request, done](const std::string& reason) {
        if (!reason.empty()) {
          // The instance is not reachable. Nothing was sent, so the session continues, possibly
          // with another instance.
          self->pause([self] { self->next_operation(); });
          return;
        }
        connection->send(
          request,
          answer_timeout,
          [self, connection, done](const http_failure* failure, const http_response& response) {
            connection->close();
            self->handle_response(failure, response, done);
          });
      });
  }

  void handle_response(const http_failure* failure,
                       const http_response& response,
                       const handler& done)
  {
    if (failure != nullptr) {
      ++results_.lost_answers;
      lost_answer_ = true;
      done(nullptr);
      return;
    }
    boost::system::error_code ignored;
    const auto value = json::parse(response.body, ignored);
    if (!value.is_object()) {
      violation("the answer is not a complete JSON object: " + response.body);
      done(nullptr);
      return;
    }
    const auto& fields = value.as_object();
    if (const auto token = string_field(fields, "session"); !token.empty()) {
      token_ = token;
    }
    if (const auto outcome = string_field(fields, "outcome"); outcome != "done") {
      ++results_.codes[outcome + " " + string_field(fields, "name")];
    }
    done(&fields);
  }

  void violation(const std::string& text)
  {
    results_.violations.push_back("session " + std::to_string(number_) + ": " + text);
  }

  void pause(std::function<void()> then)
  {
    timer_.expires_after(settings_.think_time);
    timer_.async_wait([then = std::move(then)](boost::system::error_code failure) {
      if (!failure) {
        then();
      }
    });
  }

  void next_operation()
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

  static reported_outcome outcome_of(const json::object* answer)
  {
    if (answer == nullptr) {
      return reported_outcome::unknown;
    }
    const auto outcome = string_field(*answer, "outcome");
    if (outcome == "done") {
      return reported_outcome::done;
    }
    return outcome == "not_run" ? reported_outcome::not_run : reported_outcome::unknown;
  }

  void count_outcome(reported_outcome answer)
  {
    results_.refused += answer == reported_outcome::not_run ? 1 : 0;
    results_.unknown += answer == reported_outcome::unknown ? 1 : 0;
  }

  void write()
  {
    const auto value = next_value_++;
    writes_[value] = {};
    ++results_.writes;
    call("statement",
         { { "statement", "PUT " + key() + " " + std::to_string(value) },
           { "kind", "write" },
           { "deadline_ms", request_deadline_ms } },
         [self = shared_from_this(), value](const json::object* answer) {
           auto& record = self->writes_[value];
           record.outcome = outcome_of(answer);
           record.request = answer == nullptr ? "" : string_field(*answer, "request_id");
           self->count_outcome(record.outcome);
           if (record.outcome == reported_outcome::done) {
             self->acknowledged_ = std::max(self->acknowledged_, value);
           }
           self->pause([self] { self->next_operation(); });
         });
  }

  void read()
  {
    ++results_.reads;
    json::object body{ { "statement", "GET " + key() },
                       { "kind", "read" },
                       { "deadline_ms", request_deadline_ms },
                       { "after_lost_answer", lost_answer_ } };
    call("statement", std::move(body), [self = shared_from_this()](const json::object* answer) {
      const auto outcome = outcome_of(answer);
      self->count_outcome(outcome);
      if (outcome == reported_outcome::done) {
        self->check_read(*answer);
      }
      self->pause([self] { self->next_operation(); });
    });
  }

  void check_read(const json::object& answer)
  {
    const auto* replica = answer.if_contains("from_replica");
    results_.replica_reads +=
      replica != nullptr && replica->is_bool() && replica->as_bool() ? 1 : 0;
    const auto* rows = answer.if_contains("rows");
    std::uint64_t seen = 0;
    if (rows != nullptr && rows->is_array() && !rows->as_array().empty()) {
      const auto& row = rows->as_array().front().as_object();
      if (string_field(row, "key") != key()) {
        violation("read of " + key() + " returned key " + string_field(row, "key"));
        return;
      }
      seen = std::strtoull(string_field(row, "value").c_str(), nullptr, 10);
    }
    if (seen < acknowledged_) {
      violation("request " + string_field(answer, "request_id") + " read " + std::to_string(seen) +
                " after write " + std::to_string(acknowledged_) + " was acknowledged");
    }
    if (seen < last_seen_) {
      violation("request " + string_field(answer, "request_id") + " read " + std::to_string(seen) +
                " after an earlier read of " + std::to_string(last_seen_));
    }
    last_seen_ = std::max(last_seen_, seen);
  }

  void begin()
  {
    ++results_.transactions;
    call("begin",
         { { "deadline_ms", request_deadline_ms } },
         [self = shared_from_this()](const json::object* answer) {
           if (outcome_of(answer) != reported_outcome::done) {
             self->count_outcome(outcome_of(answer));
             self->pause([self] { self->next_operation(); });
             return;
           }
           self->continue_transaction(string_field(*answer, "transaction"), 0);
         });
  }

  void continue_transaction(const std::string& transaction, int step)
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
           { "deadline_ms", request_deadline_ms } },
         [self = shared_from_this(), transaction, step](const json::object* answer) {
           if (outcome_of(answer) != reported_outcome::done) {
             self->count_outcome(outcome_of(answer));
             self->roll_back(transaction);
             return;
           }
           self->continue_transaction(transaction, step + 1);
         });
  }

  void roll_back(const std::string& transaction)
  {
    call("rollback",
         { { "transaction", transaction }, { "deadline_ms", request_deadline_ms } },
         [self = shared_from_this()](const json::object*) {
           self->pause([self] { self->next_operation(); });
         });
  }

  void commit(const std::string& transaction)
  {
    const auto value = next_value_++;
    pairs_[value] = {};
    call("commit",
         { { "transaction", transaction }, { "deadline_ms", request_deadline_ms } },
         [self = shared_from_this(), value](const json::object* answer) {
           auto& record = self->pairs_[value];
           record.outcome = outcome_of(answer);
           record.request = answer == nullptr ? "" : string_field(*answer, "request_id");
           self->count_outcome(record.outcome);
           self->pause([self] { self->next_operation(); });
         });
  }

  asio::io_context& context_;
  const options& settings_;
  int number_;
  std::mt19937 random_;
  totals& results_;
  asio::steady_timer timer_;
  std::string token_;
  bool lost_answer_ = false;
  std::uint64_t next_value_ = 1;
  std::uint64_t acknowledged_ = 0;
  std::uint64_t last_seen_ = 0;
  std::map<std::uint64_t, write_record> writes_;
  std::map<std::uint64_t, write_record> pairs_;
};

}
