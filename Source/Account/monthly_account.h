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

// A bound on uncounted requests, with the incarnation that it applies to.
struct incarnation_bound
{
  // Incarnation id in hexadecimal, as in the key of its usage row.
  std::string incarnation;
  usage_bound bound;
  friend bool operator==(const incarnation_bound&, const incarnation_bound&) = default;
  friend bool operator<(const incarnation_bound& left, const incarnation_bound& right)
  {
    return std::tie(left.incarnation, left.bound) < std::tie(right.incarnation, right.bound);
  }
};

// Usage of an earlier month that was recorded after that month had been closed.
struct account_adjustment
{
  calendar_month month;
  usage_counters counters;
  std::vector<incarnation_bound> bounds;
  friend bool operator==(const account_adjustment&, const account_adjustment&) = default;
};

// Account of one month: the sums of all usage rows, the bounds of incarnations that ended without
// closing their rows, and adjustments of earlier months. Every instance builds identical text from
// the same rows.
class monthly_account
{
public:
  // Key of the month's account in the table service.
  static std::string key(const calendar_month& month);

  // Usage rows of one month, as read from the table service.
  struct month_rows
  {
    calendar_month month;
    std::vector<table_row> rows;
    // The closed accounts of this month and of later months, in chronological order. Months without
    // a closed account are left out.
    std::vector<monthly_account> closed_accounts;
  };

  // Builds the account of `month` from its rows. `earlier` lists the closed months that are checked
  // for usage recorded after their closing. If a row can't be parsed, fails with malformed_answer
  // and the row's key.
  static result<monthly_account> build(const calendar_month& month,
                                       const std::vector<table_row>& rows,
                                       const std::vector<month_rows>& earlier);

  static result<monthly_account> parse(std::string_view text);
  std::string to_json() const;

  const calendar_month& month() const { return month_; }
  const usage_counters& counters() const { return counters_; }
  const std::vector<incarnation_bound>& bounds() const { return bounds_; }
  // Incarnations whose rows were neither closed nor bounded when the account was built. Their usage
  // after their last write is unknown.
  const std::vector<std::string>& unfinished() const { return unfinished_; }
  const std::vector<account_adjustment>& adjustments() const { return adjustments_; }

  friend bool operator==(const monthly_account&, const monthly_account&) = default;

private:
  explicit monthly_account(const calendar_month& month)
    : month_(month)
  {
  }
  result<void> add_rows(const std::vector<table_row>& rows);
  // Returns the usage in the month's rows that none of its closed accounts includes.
  static result<account_adjustment> compute_adjustment(const month_rows& late);

  calendar_month month_;
  usage_counters counters_;
  std::vector<incarnation_bound> bounds_;
  std::vector<std::string> unfinished_;
  std::vector<account_adjustment> adjustments_;
};

}
