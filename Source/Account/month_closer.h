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

// Closes each month once, by one conditional write an hour after its end. The first instance to
// write decides; all others find its document and leave it unchanged.
class month_closer
{
public:
  // `stagger` in [0, 1000) delays this instance within the spread.
  month_closer(const usage_settings& settings,
               table_hooks table,
               std::function<instant()> now,
               std::int64_t stagger);
  month_closer(const month_closer&) = delete;
  month_closer& operator=(const month_closer&) = delete;

  // `utc` is seconds since 1970. Closes the last month and, if it has rows, the one before.
  void tick(instant now, std::int64_t utc);

  // The stored account of a month, once this instance read or wrote it.
  const monthly_account* closed_account(const calendar_month& month) const;
  // Why the last attempt failed; empty after a success.
  const std::string& last_error() const { return last_error_; }

private:
  // What one attempt reads before it writes.
  struct attempt
  {
    calendar_month month;
    std::map<calendar_month, std::optional<monthly_account>> accounts;
    std::map<calendar_month, std::vector<table_row>> rows;
  };

  void start_attempt(const calendar_month& month, instant now);
  void run_next_step();
  void read_account(const calendar_month& month);
  void read_rows(const calendar_month& month);
  void write();
  void record_closed(const calendar_month& month, const table_row& row);
  void abort_attempt(const std::string& reason);
  template<typename answer>
  std::function<void(result<answer>)> attempt_callback(std::function<void(const answer&)> handle);

  usage_settings settings_;
  table_hooks table_;
  std::function<instant()> now_;
  std::int64_t stagger_;
  std::optional<attempt> attempt_;
  std::map<calendar_month, monthly_account> closed_;
  // Months without rows that need no account.
  std::set<calendar_month> empty_months_;
  std::string last_error_;
  instant call_started_{};
  instant next_attempt_at_ = instant::min();
  std::uint64_t last_call_ = 0;
  std::shared_ptr<month_closer*> lifetime_token_;
};

}
