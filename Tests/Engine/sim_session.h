#pragma once

#include "sim_fleet.h"

#include <doctest/doctest.h>

namespace persimmonshelf::testing {

struct session_options
{
  std::string name = {};
  // Number of reads for each write.
  unsigned reads = 2;
  duration pause = 20ms;
  duration deadline = 5s;
  // Percentage of the steps that run a transaction of two writes.
  unsigned transactions = 0;
  // Zone of the instances to use; all zones if empty.
  std::string zone = {};
  std::string key = first_key;
  bool idempotent = false;
};

// A caller that writes increasing numbers to its own key and reads them back through varying
// instances. Checks each read against the writes that were acknowledged before it.
class sim_session
{
public:
  sim_session(sim_fleet& fleet, session_options options)
    : fleet_(fleet)
    , options_(std::move(options))
    , until_(instant::max())
  {
    fleet_.loop.after(std::chrono::microseconds(fleet_.random() % 20000), [this] { step(); });
  }

  void stop() { until_ = fleet_.loop.now(); }

  std::size_t reads = 0;
  std::size_t replica_reads = 0;
  // Number of reads that a replica could have served, because it had all acknowledged writes of the
  // session.
  std::size_t possible_reads = 0;
  std::size_t writes = 0;
  std::size_t lost_transactions = 0;
  std::vector<instant> acknowledged;
  // Number of requests that did not succeed, by result code.
  std::map<std::string, std::size_t> failures;

private:
  std::string pick()
  {
    const auto names = fleet_.routable_instances(options_.zone);
    return names.empty() ? std::string() : names[fleet_.random() % names.size()];
  }

  void step()
  {
    if (fleet_.loop.now() >= until_) {
      return;
    }
    const auto name = pick();
    if (name.empty()) {
      return next();
    }
    ++steps_;
    if (fleet_.random() % 100 < options_.transactions) {
      return begin(name);
    }
    if (steps_ % (options_.reads + 1) == 0) {
      return write(name);
    }
    read(name);
  }

  void next()
  {
    fleet_.loop.after(options_.pause, [this] { step(); });
  }

  caller_request make(bool write, std::string text)
  {
    auto request = sim_fleet::statement(write, std::move(text), token_);
    request.deadline = options_.deadline;
    request.key = options_.key;
    request.idempotent = options_.idempotent && write;
    return request;
  }

  // Stores the session token of an answer, or records that the answer was lost.
  void record_answer(const call_record& record)
  {
    if (!record.answer) {
      lost_answer_ = true;
      ++failures["answer lost"];
      return;
    }
    if (!record.answer->session.empty()) {
      token_ = record.answer->session;
    }
    if (record.answer->code != result_code::ok) {
      ++failures[std::string(name_of(record.answer->code))];
    }
  }

  static bool succeeded(const call_record& record)
  {
    return record.answer && record.answer->outcome == run_outcome::done &&
           record.answer->code == result_code::ok;
  }

  void write(const std::string& name)
  {
    const auto number = ++issued_;
    auto request = make(true, "PUT " + options_.name + " " + std::to_string(number));
    fleet_.submit(name, request, [this, number](const call_record& record) {
      record_answer(record);
      if (succeeded(record)) {
        ++writes;
        confirmed_ = number;
        acknowledged.push_back(fleet_.loop.now());
      }
      next();
    });
  }

  bool replica_could_serve() const
  {
    for (const auto& [id, member] : fleet_.group.members()) {
      const auto value = member->server->log().value_with(options_.name, {});
      const auto held = value ? std::stoull(*value) : 0;
      if (member->running && !member->server->is_primary() && held >= confirmed_) {
        return true;
      }
    }
    return false;
  }

  void read(const std::string& name)
  {
    auto request = make(false, "GET " + options_.name);
    request.after_lost_answer = std::exchange(lost_answer_, false);
    const auto expected = confirmed_;
    const bool possible = replica_could_serve();
    fleet_.submit(name, request, [this, expected, possible](const call_record& record) {
      record_answer(record);
      if (succeeded(record)) {
        const auto value = value_of(record.answer->rows);
        CAPTURE(options_.name);
        CAPTURE(record.instance);
        CAPTURE(record.answer->request.get());
        CHECK_MESSAGE(value >= expected, "a read did not return the session's own write");
        CHECK(value <= issued_);
        ++reads;
        possible_reads += possible ? 1 : 0;
        replica_reads += record.answer->from_replica ? 1 : 0;
      }
      next();
    });
  }

  void begin(const std::string& name)
  {
    auto request = make(false, {});
    request.operation = caller_operation::begin;
    fleet_.submit(name, request, [this](const call_record& record) {
      record_answer(record);
      if (!succeeded(record)) {
        return next();
      }
      transaction_ = record.answer->transaction;
      statement(2);
    });
  }

  void statement(unsigned left)
  {
    const auto name = pick();
    if (name.empty()) {
      ++lost_transactions;
      return next();
    }
    const auto number = ++issued_;
    auto request = make(left > 0, "PUT " + options_.name + " " + std::to_string(number));
    request.idempotent = false;
    request.transaction = transaction_;
    if (left == 0) {
      --issued_;
      request.operation = caller_operation::commit;
      request.statement.clear();
    }
    fleet_.submit(name, request, [this, left, number](const call_record& record) {
      record_answer(record);
      if (!succeeded(record)) {
        ++lost_transactions;
        return roll_back();
      }
      if (left > 0) {
        return fleet_.loop.after(5ms, [this, left] { statement(left - 1); });
      }
      confirmed_ = number - 1;
      ++writes;
      next();
    });
  }

  // Without a rollback, an abandoned transaction holds a slot until its idle timeout.
  void roll_back()
  {
    const auto name = pick();
    if (name.empty()) {
      return next();
    }
    auto request = make(false, {});
    request.operation = caller_operation::rollback;
    request.transaction = transaction_;
    fleet_.submit(name, request, [this](const call_record&) { next(); });
  }

  static std::uint64_t value_of(const std::string& rows)
  {
    const auto list = boost::json::parse(rows).as_array();
    return list.empty() ? 0 : std::stoull(std::string(list[0].at("value").as_string()));
  }

  sim_fleet& fleet_;
  session_options options_;
  instant until_;
  std::string token_;
  transaction_id transaction_;
  std::uint64_t steps_ = 0;
  std::uint64_t issued_ = 0;
  std::uint64_t confirmed_ = 0;
  bool lost_answer_ = false;
};

// A number of sessions with the same options, and the sums of their counters.
struct sim_session_group
{
  std::vector<std::unique_ptr<sim_session>> sessions;

  sim_session_group(sim_fleet& fleet, std::size_t count, session_options options)
  {
    const auto name = options.name;
    for (std::size_t i = 0; i < count; ++i) {
      options.name = name + std::to_string(i);
      sessions.push_back(std::make_unique<sim_session>(fleet, options));
    }
  }
  void stop()
  {
    for (auto& session : sessions) {
      session->stop();
    }
  }
  std::size_t sum(std::size_t sim_session::*field) const
  {
    std::size_t total = 0;
    for (const auto& session : sessions) {
      total += (*session).*field;
    }
    return total;
  }
  std::map<std::string, std::size_t> failures() const
  {
    std::map<std::string, std::size_t> total;
    for (const auto& session : sessions) {
      for (const auto& [name, count] : session->failures) {
        total[name] += count;
      }
    }
    return total;
  }
  // Returns the longest time without an acknowledged write between two instants.
  duration longest_gap(instant from, instant to) const
  {
    std::vector<instant> times = { from, to };
    for (const auto& session : sessions) {
      for (const auto at : session->acknowledged) {
        if (at > from && at < to) {
          times.push_back(at);
        }
      }
    }
    std::sort(times.begin(), times.end());
    duration longest{};
    for (std::size_t i = 1; i < times.size(); ++i) {
      longest = std::max(longest, times[i] - times[i - 1]);
    }
    return longest;
  }
};

std::string
describe(const std::map<std::string, std::size_t>& counts);

}
