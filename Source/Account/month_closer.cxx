#include "Account/month_closer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

constexpr std::int64_t stagger_scale = 1000;

}

month_closer::month_closer(const usage_settings& settings,
                           table_hooks table,
                           std::function<instant()> now,
                           std::int64_t stagger)
  : settings_(settings)
  , table_(std::move(table))
  , now_(std::move(now))
  , stagger_(std::clamp<std::int64_t>(stagger, 0, stagger_scale - 1))
  , lifetime_token_(std::make_shared<month_closer*>(this))
{
}

const monthly_account*
month_closer::closed_account(const calendar_month& month) const
{
  const auto found = closed_.find(month);
  return found == closed_.end() ? nullptr : &found->second;
}

void
month_closer::tick(instant now, std::int64_t utc)
{
  if (attempt_ && now - call_started_ >= settings_.call_timeout) {
    abort_attempt("the table service did not respond before the call timeout");
  }
  if (attempt_ || now < next_attempt_at_) {
    return;
  }
  const auto delay = settings_.close_delay_s + settings_.close_spread_s * stagger_ / stagger_scale;
  const auto last = calendar_month::at(utc).plus(-1);
  // The earlier month is closed first because the adjustments of the later month need its account.
  for (const auto& month : { last.plus(-1), last }) {
    const bool over = utc >= month.end() + delay;
    if (over && !closed_.contains(month) && !empty_months_.contains(month)) {
      start_attempt(month, now);
      return;
    }
  }
}

void
month_closer::start_attempt(const calendar_month& month, instant now)
{
  attempt_ = attempt{ month, {}, {} };
  next_attempt_at_ = now + settings_.write_interval;
  run_next_step();
}

void
month_closer::abort_attempt(const std::string& reason)
{
  ++last_call_;
  last_error_ = attempt_->month.text() + ": " + reason;
  attempt_.reset();
}

template<typename answer>
std::function<void(result<answer>)>
month_closer::attempt_callback(std::function<void(const answer&)> handle)
{
  call_started_ = now_();
  return [this,
          call = ++last_call_,
          handle = std::move(handle),
          lifetime = std::weak_ptr(lifetime_token_)](const result<answer>& received) {
    if (lifetime.expired() || call != last_call_) {
      return;
    }
    if (!received) {
      abort_attempt(received.error().message);
      return;
    }
    handle(received.value());
  };
}

void
month_closer::run_next_step()
{
  // The account of the month itself is read first. Most instances find that it exists and are done.
  for (int back = 0; back <= settings_.adjusted_months; ++back) {
    const auto month = attempt_->month.plus(-back);
    if (!attempt_->accounts.contains(month)) {
      read_account(month);
      return;
    }
  }
  for (int back = 0; back <= settings_.adjusted_months; ++back) {
    const auto month = attempt_->month.plus(-back);
    const bool needed = back == 0 || attempt_->accounts.at(month).has_value();
    if (needed && !attempt_->rows.contains(month)) {
      read_rows(month);
      return;
    }
  }
  write();
}

void
month_closer::read_account(const calendar_month& month)
{
  table_.get(monthly_account::key(month),
             attempt_callback<table_row>([this, month](const table_row& row) {
               if (row.revision == 0) {
                 attempt_->accounts[month] = std::nullopt;
                 run_next_step();
                 return;
               }
               if (month == attempt_->month) {
                 record_closed(month, row);
                 return;
               }
               auto account = monthly_account::parse(row.value);
               if (!account) {
                 abort_attempt(row.key + ": " + account.error().message);
                 return;
               }
               attempt_->accounts[month] = std::move(account).value();
               run_next_step();
             }));
}

void
month_closer::read_rows(const calendar_month& month)
{
  table_.list(
    usage_row::prefix(month),
    attempt_callback<std::vector<table_row>>([this, month](const std::vector<table_row>& rows) {
      attempt_->rows[month] = rows;
      run_next_step();
    }));
}

void
month_closer::write()
{
  const auto month = attempt_->month;
  std::vector<monthly_account::month_rows> earlier;
  for (auto& [late, account] : attempt_->accounts) {
    if (late == month || !account) {
      continue;
    }
    monthly_account::month_rows entry{ late, attempt_->rows[late], {} };
    for (const auto& [other, closed] : attempt_->accounts) {
      if (other >= late && closed) {
        entry.closed_accounts.push_back(*closed);
      }
    }
    earlier.push_back(std::move(entry));
  }
  const auto built = monthly_account::build(month, attempt_->rows[month], earlier);
  if (!built) {
    abort_attempt(built.error().message);
    return;
  }
  if (attempt_->rows[month].empty() && built.value().adjustments().empty()) {
    // A month without usage gets no account.
    empty_months_.insert(month);
    last_error_.clear();
    attempt_.reset();
    return;
  }
  auto text = built.value().to_json();
  table_.put(monthly_account::key(month),
             text,
             0,
             attempt_callback<table_write>([this, month, text](const table_write& answer) {
               auto row = answer.row;
               if (answer.written) {
                 row.value = text;
               }
               record_closed(month, row);
             }));
}

void
month_closer::record_closed(const calendar_month& month, const table_row& row)
{
  auto account = monthly_account::parse(row.value);
  if (!account) {
    abort_attempt(row.key + ": " + account.error().message);
    return;
  }
  closed_.insert_or_assign(month, std::move(account).value());
  last_error_.clear();
  attempt_.reset();
}

}
