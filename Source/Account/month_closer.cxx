#include "Account/month_closer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

constexpr std::int64_t stagger_parts = 1000;

}

month_closer::month_closer(const usage_settings& settings,
                           table_hooks table,
                           std::function<instant()> now,
                           std::int64_t stagger)
  : settings_(settings)
  , table_(std::move(table))
  , now_(std::move(now))
  , stagger_(std::clamp<std::int64_t>(stagger, 0, stagger_parts - 1))
  , alive_(std::make_shared<month_closer*>(this))
{
}

const account_month*
month_closer::closed(const calendar_month& month) const
{
  const auto found = closed_.find(month);
  return found == closed_.end() ? nullptr : &found->second;
}

void
month_closer::tick(instant now, std::int64_t utc)
{
  if (attempt_ && now - sent_ >= settings_.call_timeout) {
    give_up("no answer from the table");
  }
  if (attempt_ || now < due_) {
    return;
  }
  const auto delay = settings_.close_delay_s + settings_.close_spread_s * stagger_ / stagger_parts;
  const auto last = calendar_month::at(utc).plus(-1);
  // The earlier month comes first: its account is needed for the adjustments of the later one.
  for (const auto& month : { last.plus(-1), last }) {
    const bool over = utc >= month.end() + delay;
    if (over && !closed_.contains(month) && !skipped_.contains(month)) {
      begin(month, now);
      return;
    }
  }
}

void
month_closer::begin(const calendar_month& month, instant now)
{
  attempt_ = attempt{ month, {}, {} };
  due_ = now + settings_.write_interval;
  proceed();
}

void
month_closer::give_up(const std::string& reason)
{
  ++call_;
  problem_ = attempt_->month.text() + ": " + reason;
  attempt_.reset();
}

template<typename answer>
std::function<void(result<answer>)>
month_closer::guarded(std::function<void(const answer&)> handle)
{
  sent_ = now_();
  return [this, call = ++call_, handle = std::move(handle), alive = std::weak_ptr(alive_)](
           const result<answer>& received) {
    if (alive.expired() || call != call_) {
      return;
    }
    if (!received) {
      give_up(received.error().message);
      return;
    }
    handle(received.value());
  };
}

void
month_closer::proceed()
{
  // The month's own account is read first: most instances find it closed and need nothing more.
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
  table_.get(account_month::key(month), guarded<table_row>([this, month](const table_row& row) {
               if (row.revision == 0) {
                 attempt_->accounts[month] = std::nullopt;
                 proceed();
                 return;
               }
               if (month == attempt_->month) {
                 keep_closed(month, row);
                 return;
               }
               auto account = account_month::parse(row.value);
               if (!account) {
                 give_up(row.key + ": " + account.error().message);
                 return;
               }
               attempt_->accounts[month] = std::move(account).value();
               proceed();
             }));
}

void
month_closer::read_rows(const calendar_month& month)
{
  table_.list(usage_row::prefix(month),
              guarded<std::vector<table_row>>([this, month](const std::vector<table_row>& rows) {
                attempt_->rows[month] = rows;
                proceed();
              }));
}

void
month_closer::write()
{
  const auto month = attempt_->month;
  std::vector<account_month::month_rows> earlier;
  for (auto& [late, account] : attempt_->accounts) {
    if (late == month || !account) {
      continue;
    }
    account_month::month_rows entry{ late, attempt_->rows[late], {} };
    for (const auto& [other, closed] : attempt_->accounts) {
      if (other >= late && closed) {
        entry.closed.push_back(*closed);
      }
    }
    earlier.push_back(std::move(entry));
  }
  const auto built = account_month::build(month, attempt_->rows[month], earlier);
  if (!built) {
    give_up(built.error().message);
    return;
  }
  if (attempt_->rows[month].empty() && built.value().adjustments().empty()) {
    // A month without use has no account.
    skipped_.insert(month);
    problem_.clear();
    attempt_.reset();
    return;
  }
  auto text = built.value().to_json();
  table_.put(account_month::key(month),
             text,
             0,
             guarded<table_write>([this, month, text](const table_write& answer) {
               auto row = answer.row;
               if (answer.written) {
                 row.value = text;
               }
               keep_closed(month, row);
             }));
}

void
month_closer::keep_closed(const calendar_month& month, const table_row& row)
{
  auto account = account_month::parse(row.value);
  if (!account) {
    give_up(row.key + ": " + account.error().message);
    return;
  }
  closed_.insert_or_assign(month, std::move(account).value());
  problem_.clear();
  attempt_.reset();
}

}
