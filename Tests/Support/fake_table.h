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

// Runs events in the order of one true time, which no tested object sees.
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

// One run of a program: it may be paused, which delays what it receives, or dead.
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

// What happens to one call.
struct call_outcome
{
  duration out = 2ms;
  duration back = 2ms;
  bool takes_effect = true;
  bool answered = true;
  // The call is answered by a failure, whether it took effect or not.
  bool fails = false;
};

// The platform's table with calls that may be late, lost, or effective with the answer lost.
class fake_table
{
public:
  using fate_hook =
    std::function<call_outcome(call_kind, const std::string& key, const std::string&)>;

  explicit fake_table(event_loop& loop)
    : loop_(loop)
  {
  }

  std::map<std::string, table_row> rows;

  // `owner` outlives the hooks' callers; `fate` decides each call of this owner.
  table_hooks hooks(std::shared_ptr<process> owner, fate_hook fate)
  {
    table_hooks made;
    made.get = [=, this](std::string key, auto done) {
      call<table_row>(
        owner, fate(call_kind::get, key, ""), [=, this] { return read(key); }, done);
    };
    made.put = [=, this](std::string key, std::string value, std::uint64_t revision, auto done) {
      call<table_write>(
        owner,
        fate(call_kind::put, key, value),
        [=, this] { return write(key, value, revision); },
        done);
    };
    made.list = [=, this](std::string prefix, auto done) {
      call<std::vector<table_row>>(
        owner, fate(call_kind::list, prefix, ""), [=, this] { return list(prefix); }, done);
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
            call_outcome fate,
            std::function<answer()> run,
            std::function<void(result<answer>)> done)
  {
    loop_.after(fate.out, [=, this] {
      answer made{};
      if (fate.takes_effect) {
        made = run();
      }
      if (!fate.answered) {
        return;
      }
      loop_.after(fate.back, [=] {
        owner->deliver([=] {
          if (fate.fails || !fate.takes_effect) {
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
