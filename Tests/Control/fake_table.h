#pragma once

#include "Base/instant.h"
#include "Base/table.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace persimmonshelf {

// Fake of the platform's table in simulated time. `fault` determines the outcome of each call.
class fake_table
{
public:
  enum class call_outcome
  {
    normal,
    // Takes effect but reports a failure.
    response_lost,
    // Takes effect and never reports.
    silent,
    // Fails without effect.
    unavailable,
    // Takes effect, but reports only after the document counts the call as lost.
    slow,
  };

  std::map<std::string, table_row> rows;
  // All written values, in order.
  std::vector<std::string> written;
  std::function<call_outcome(const std::string& client, bool is_write)> fault;

  table_hooks hooks(const std::string& client)
  {
    table_hooks hooks;
    hooks.get = [this, client](std::string key, auto report) {
      schedule(client, false, [this, key, report](bool failed, bool responded) {
        const auto row = current(key);
        if (responded) {
          later_.emplace(now_ + delay, [row, failed, report] {
            failed ? report(unavailable_error()) : report(row);
          });
        }
      });
    };
    hooks.put = [this,
                 client](std::string key, std::string value, std::uint64_t revision, auto report) {
      schedule(client, true, [this, key, value, revision, report](bool failed, bool responded) {
        const auto response = write(key, value, revision);
        if (responded) {
          later_.emplace(now_ + delay, [response, failed, report] {
            failed ? report(unavailable_error()) : report(response);
          });
        }
      });
    };
    return hooks;
  }

  table_write write(const std::string& key, const std::string& value, std::uint64_t revision)
  {
    auto row = current(key);
    if (row.revision != revision) {
      return { false, row };
    }
    row.value = value;
    ++row.revision;
    rows[key] = row;
    written.push_back(value);
    return { true, row };
  }

  table_row current(const std::string& key)
  {
    const auto found = rows.find(key);
    return found == rows.end() ? table_row{ key, "", 0 } : found->second;
  }

  // Runs the callbacks that are due at `now`.
  void run(instant now)
  {
    while (!later_.empty() && later_.begin()->first <= now) {
      const auto call = later_.begin()->second;
      now_ = std::max(now_, later_.begin()->first);
      later_.erase(later_.begin());
      call();
    }
    now_ = now;
  }

private:
  static error unavailable_error() { return { result_code::platform_unavailable, "no response" }; }

  template<typename effect>
  void schedule(const std::string& client, bool is_write, effect apply)
  {
    const auto outcome = fault ? fault(client, is_write) : call_outcome::normal;
    if (outcome == call_outcome::unavailable) {
      // The caller gets the same error as from a call whose response was lost.
      later_.emplace(now_ + delay, [this, apply] { fail_only(apply); });
      return;
    }
    const auto wait = outcome == call_outcome::slow ? slow_delay : delay;
    later_.emplace(now_ + wait, [apply, outcome] {
      apply(outcome == call_outcome::response_lost, outcome != call_outcome::silent);
    });
  }
  template<typename effect>
  void fail_only(effect apply)
  {
    const auto kept_rows = rows;
    const auto kept_log = written;
    apply(true, true);
    rows = kept_rows;
    written = kept_log;
  }

  static constexpr duration delay = std::chrono::milliseconds(5);
  static constexpr duration slow_delay = std::chrono::milliseconds(1300);
  instant now_;
  std::multimap<instant, std::function<void()>> later_;
};

}
