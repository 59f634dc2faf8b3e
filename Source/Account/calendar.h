#pragma once

#include "Base/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonshelf {

// A calendar month in UTC, written as "2026-12". Comparison is chronological.
class calendar_month
{
public:
  // Returns the month that contains the Unix time `utc` in seconds. Negative times count as 0.
  static calendar_month at(std::int64_t utc);
  // Parses "YYYY-MM" with a year from 1970 to 9999. Fails with bad_request for any other text.
  static result<calendar_month> parse(std::string_view text);

  std::string text() const;
  // Unix times in seconds: the first second of the month, and the first second after it.
  std::int64_t begin() const;
  std::int64_t end() const { return plus(1).begin(); }
  // Returns the month `count` months later, or earlier if `count` is negative. Clamped to 1970-01.
  calendar_month plus(int count) const;

  friend bool operator==(const calendar_month&, const calendar_month&) = default;
  friend auto operator<=>(const calendar_month& left, const calendar_month& right)
  {
    return left.index_ <=> right.index_;
  }

private:
  explicit calendar_month(int index)
    : index_(index)
  {
  }

  // Months since 1970-01.
  int index_ = 0;
};

}
