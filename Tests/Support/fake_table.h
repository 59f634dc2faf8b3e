#pragma once

#include "Base/instant.h"
#include "Base/table.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace persimmonshelf::testing {

using namespace std::chrono_literals;

// Runs events in the order of one global time that the tested objects cannot read.
class event_loop
{
public:
  instant now() const { return now_; }
  void at(instant when, std::function<void()> run)
  {
    events_.push({ std::max(when, now_), next_++, std::move(run) });
  }
  void after(duration delay, std::function<void()> run) { at(now_ + delay, std::move(run)); }
  void run_until(instant end)
  {
    while (!events_.empty() && events_.top().when <= end) {
      auto next = std::move(const_cast<event&>(events_.top()));
      events_.pop();
      now_ = next.when;
      next.run();
    }
    now_ = end;
  }

private:
  struct event
  {
    instant when;
    std::uint64_t number;
    std::function<void()> run;
    bool operator<(const event& other) const
    {
      return std::pair(when, number) > std::pair(other.when, other.number);
    }
  };
  instant now_{};
  std::uint64_t next_ = 0;
  std::priority_queue<event> events_;
};

// One run of a program. While it is paused, received calls are queued; after it ended, they are
// dropped.
struct process
{
  bool running = true;
  bool paused = false;
  std::vector<std::function<void()>> inbox;

  void deliver(std::function<void()> run)
  {
    if (!running) {
      return;
    }
    if (paused) {
      inbox.push_back(std::move(run));
      return;
    }
    run();
  }
  void resume()
  {
    paused = false;
    for (auto& run : std::exchange(inbox, {})) {
      deliver(std::move(run));
    }
  }
};

enum class call_kind
{
  get,
  put,
  list,
};

// Outcome of one call.
struct call_outcome
{
  duration request_delay = 2ms;
  duration response_delay = 2ms;
  bool takes_effect = true;
  bool responded = true;
  // True if the response is a failure, whether or not the call took effect.
  bool fails = false;
};

// Fake of the platform's table. Calls may be late or lost, or take effect although the response is
// lost.
class fake_table
{
public:
  using outcome_hook =
    std::function<call_outcome(call_kind, const std::string& key, const std::string&)>;

  explicit fake_table(event_loop& loop)
    : loop_(loop)
  {
  }

  std::map<std::string, table_row> rows;

  // `owner` must outlive the callers of the hooks. `outcome` determines the outcome of each call of
  // this owner.
  table_hooks hooks(std::shared_ptr<process> owner, outcome_hook outcome)
  {
    table_hooks made;
    made.get = [=, this](std::string key, auto done) {
      call<table_row>(
        owner, outcome(call_kind::get, key, ""), [=, this] { return read(key); }, done);
    };
    made.put = [=, this](std::string key, std::string value, std::uint64_t revision, auto done) {
      call<table_write>(
        owner,
        outcome(call_kind::put, key, value),
        [=, this] { return write(key, value, revision); },
        done);
    };
    made.list = [=, this](std::string prefix, auto done) {
      call<std::vector<table_row>>(
        owner, outcome(call_kind::list, prefix, ""), [=, this] { return list(prefix); }, done);
    };
    return made;
  }

  table_row read(const std::string& key) const
  {
    const auto found = rows.find(key);
    return found == rows.end() ? table_row{ key, "", 0 } : found->second;
  }
  table_write write(const std::string& key, const std::string& value, std::uint64_t revision)
  {
    const auto present = read(key);
    if (present.revision != revision) {
      return { false, present };
    }
    rows[key] = { key, value, ++revisions_ };
    return { true, { key, "", revisions_ } };
  }
  std::vector<table_row> list(const std::string& prefix) const
  {
    std::vector<table_row> found;
    for (auto row = rows.lower_bound(prefix); row != rows.end() && row->first.starts_with(prefix);
         ++row) {
      found.push_back(row->second);
    }
    return found;
  }

private:
  template<typename answer>
  void call(std::shared_ptr<process> owner,
            call_outcome outcome,
            std::function<answer()> run,
            std::function<void(result<answer>)> done)
  {
    loop_.after(outcome.request_delay, [=, this] {
      answer made{};
      if (outcome.takes_effect) {
        made = run();
      }
      if (!outcome.responded) {
        return;
      }
      loop_.after(outcome.response_delay, [=] {
        owner->deliver([=] {
          if (outcome.fails || !outcome.takes_effect) {
            done(fail(result_code::platform_unavailable, "table: no connection"));
            return;
          }
          done(made);
        });
      });
    });
  }

  event_loop& loop_;
  std::uint64_t revisions_ = 0;
};

}
