#include "Account/calendar.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>

namespace persimmonshelf {

namespace {

constexpr int first_year = 1970;
constexpr int months_per_year = 12;
constexpr std::size_t max_quoted_bytes = 20;

bool
parse_digits(std::string_view text, int& value)
{
  const auto end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  return parsed.ec == std::errc{} && parsed.ptr == end;
}

}

calendar_month
calendar_month::at(std::int64_t utc)
{
  const std::chrono::sys_seconds point{ std::chrono::seconds(std::max<std::int64_t>(0, utc)) };
  const std::chrono::year_month_day date{ std::chrono::floor<std::chrono::days>(point) };
  const auto month = static_cast<unsigned>(date.month());
  return calendar_month((static_cast<int>(date.year()) - first_year) * months_per_year +
                        static_cast<int>(month) - 1);
}

result<calendar_month>
calendar_month::parse(std::string_view text)
{
  int year = 0;
  int month = 0;
  const bool shaped = text.size() == 7 && text[4] == '-' && parse_digits(text.substr(0, 4), year) &&
                      parse_digits(text.substr(5), month);
  if (!shaped || year < first_year || month < 1 || month > months_per_year) {
    return fail(result_code::bad_request,
                "month: expected YYYY-MM, found " + std::string(text.substr(0, max_quoted_bytes)));
  }
  return calendar_month((year - first_year) * months_per_year + month - 1);
}

std::string
calendar_month::text() const
{
  char buffer[16] = {};
  std::snprintf(buffer,
                sizeof buffer,
                "%04d-%02d",
                first_year + index_ / months_per_year,
                index_ % months_per_year + 1);
  return buffer;
}

std::int64_t
calendar_month::begin() const
{
  const auto date = std::chrono::year(first_year + index_ / months_per_year) /
                    std::chrono::month(static_cast<unsigned>(index_ % months_per_year) + 1) / 1;
  return std::chrono::sys_seconds(std::chrono::sys_days(date)).time_since_epoch().count();
}

calendar_month
calendar_month::plus(int count) const
{
  return calendar_month(std::max(0, index_ + count));
}

}
