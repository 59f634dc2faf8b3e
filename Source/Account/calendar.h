#pragma once

#include "Base/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonshelf {

// A calendar month in UTC, written as "2026-12". Months compare in time order.
class calendar_month
{
public:
  // Month that contains the second `utc` after 1970-01-01T00:00:00Z; negative values are clamped
  // to 0.
  static calendar_month at(std::int64_t utc);
  // Fails with bad_request if the text is not a year from 1970 to 9999 and a month.
  static result<calendar_month> parse(std::string_view text);

  std::string text() const;
  // First second of the month and first second after it.
  std::int64_t begin() const;
  std::int64_t end() const { return plus(1).begin(); }
  // The month `count` months later; earlier if negative, but never before 1970-01.
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
