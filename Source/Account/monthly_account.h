#pragma once

#include "Account/usage_row.h"
#include "Base/table.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace persimmonshelf {

// A bound in an account, with the run that it is about.
struct incarnation_bound
{
  std::string incarnation;
  usage_bound bound;
  friend bool operator==(const incarnation_bound&, const incarnation_bound&) = default;
  friend bool operator<(const incarnation_bound& left, const incarnation_bound& right)
  {
    return std::tie(left.incarnation, left.bound) < std::tie(right.incarnation, right.bound);
  }
};

// What was counted for an earlier month after that month had been closed.
struct account_adjustment
{
  calendar_month month;
  usage_counters counters;
  std::vector<incarnation_bound> bounds;
  friend bool operator==(const account_adjustment&, const account_adjustment&) = default;
};

// Account of one month: the sums of all usage rows, the bounds of runs that ended without closing,
// and adjustments of earlier months. Built from the same rows it is the same text on all instances.
class monthly_account
{
public:
  static std::string key(const calendar_month& month);

  // Rows of one month as read from the table.
  struct month_rows
  {
    calendar_month month;
    std::vector<table_row> rows;
    // Closed account of that month and, in time order, of those after it, if they exist.
    std::vector<monthly_account> closed_accounts;
  };

  // Builds the account of `month` from its rows. `earlier` are the months that are checked for late
  // counters. Fails with malformed_answer and the key of a row that can't be read.
  static result<monthly_account> build(const calendar_month& month,
                                       const std::vector<table_row>& rows,
                                       const std::vector<month_rows>& earlier);

  static result<monthly_account> parse(std::string_view text);
  std::string to_json() const;

  const calendar_month& month() const { return month_; }
  const usage_counters& counters() const { return counters_; }
  const std::vector<incarnation_bound>& bounds() const { return bounds_; }
  // Runs whose rows were neither closed nor bounded when the month was closed: what they counted
  // after their last write isn't known.
  const std::vector<std::string>& unfinished() const { return unfinished_; }
  const std::vector<account_adjustment>& adjustments() const { return adjustments_; }

  friend bool operator==(const monthly_account&, const monthly_account&) = default;

private:
  explicit monthly_account(const calendar_month& month)
    : month_(month)
  {
  }
  result<void> add_rows(const std::vector<table_row>& rows);
  static result<account_adjustment> compute_adjustment(const month_rows& late);

  calendar_month month_;
  usage_counters counters_;
  std::vector<incarnation_bound> bounds_;
  std::vector<std::string> unfinished_;
  std::vector<account_adjustment> adjustments_;
};

}
