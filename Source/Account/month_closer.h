#pragma once

#include "Account/monthly_account.h"
#include "Account/usage_writer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace persimmonshelf {

// Closes each month by writing its account once, an hour after the end of the month. The write is
// conditional: the first instance to write it determines the account, and all others read it and
// leave it unchanged.
class month_closer
{
public:
  // `stagger` delays this instance by that many thousandths of `close_spread_s`. Clamped to 0..999.
  month_closer(const usage_settings& settings,
               table_hooks table,
               std::function<instant()> now,
               std::int64_t stagger);
  month_closer(const month_closer&) = delete;
  month_closer& operator=(const month_closer&) = delete;

  // Closes the previous month and the month before it, if this is due and not yet done. A month
  // without usage rows and adjustments gets no account. `utc` is the Unix time in seconds.
  void tick(instant now, std::int64_t utc);

  // The stored account of a month, or null if this instance has neither read nor written it.
  const monthly_account* closed_account(const calendar_month& month) const;
  // Why the last attempt failed; empty after a success.
  const std::string& last_error() const { return last_error_; }

private:
  // The accounts and usage rows that an attempt reads before it writes.
  struct attempt
  {
    calendar_month month;
    // Accounts read so far; nullopt for a month that has none.
    std::map<calendar_month, std::optional<monthly_account>> accounts;
    std::map<calendar_month, std::vector<table_row>> rows;
  };

  void start_attempt(const calendar_month& month, instant now);
  // Reads the next missing account or row list; writes the account once nothing is missing.
  void run_next_step();
  void read_account(const calendar_month& month);
  void read_rows(const calendar_month& month);
  void write();
  void record_closed(const calendar_month& month, const table_row& row);
  void abort_attempt(const std::string& reason);
  // Wraps the handler of a table call. Responses to calls of earlier attempts are ignored; an error
  // aborts the attempt.
  template<typename answer>
  std::function<void(result<answer>)> attempt_callback(std::function<void(const answer&)> handle);

  usage_settings settings_;
  table_hooks table_;
  std::function<instant()> now_;
  std::int64_t stagger_;
  std::optional<attempt> attempt_;
  std::map<calendar_month, monthly_account> closed_;
  // Months that need no account because they have neither usage rows nor adjustments.
  std::set<calendar_month> empty_months_;
  std::string last_error_;
  instant call_started_{};
  instant next_attempt_at_ = instant::min();
  // Number of the last table call; responses to earlier calls are ignored.
  std::uint64_t last_call_ = 0;
  // Callbacks hold a weak pointer to it, which expires with this object.
  std::shared_ptr<month_closer*> lifetime_token_;
};

}
