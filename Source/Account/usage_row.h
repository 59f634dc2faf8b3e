#pragma once

#include "Account/calendar.h"
#include "Base/ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace persimmonshelf {

// Names of the usage counters. Refused requests are counted by result code, as "refused.<number>".
namespace usage_counter {
inline constexpr std::string_view answered = "answered";
inline constexpr std::string_view unknown = "unknown";
inline constexpr std::string_view refused_inside_rate = "refused_inside_rate";
inline constexpr std::string_view statement_us = "statement_us";
// Admitted requests, and those of them that ended with any outcome. Their difference is the number
// of requests in progress, which an incarnation may still count after its last mirror.
inline constexpr std::string_view admitted = "admitted";
inline constexpr std::string_view ended = "ended";
inline constexpr std::string_view refused_prefix = "refused.";

// Name of the counter of requests that were refused with `code`.
std::string
refused(result_code code);
}

// Upper bound of the requests that an incarnation may have counted but that are missing from its
// row.
struct usage_bound
{
  workspace_id workspace;
  std::uint64_t amount = 0;
  // How the incarnation ended.
  std::string cause;
  friend bool operator==(const usage_bound&, const usage_bound&) = default;
  friend bool operator<(const usage_bound& left, const usage_bound& right)
  {
    return std::tie(left.workspace.get(), left.cause, left.amount) <
           std::tie(right.workspace.get(), right.cause, right.amount);
  }
};

using usage_counters = std::map<workspace_id, std::map<std::string, std::uint64_t>>;

// Content of the row "usage/<month>/<incarnation>": the counters of one incarnation in one month.
// Counters never decrease, so merging by maximum gives the same result in any order and any number
// of times.
class usage_row
{
public:
  // Common prefix of the keys of all rows of a month.
  static std::string prefix(const calendar_month& month);
  static std::string key(const calendar_month& month, incarnation_id incarnation);
  // Returns the incarnation id in a row's key, in hexadecimal as written there.
  static std::string_view incarnation_text(std::string_view key);

  // Parses a row's JSON; empty text gives an empty row. Fails with malformed_answer.
  static result<usage_row> parse(std::string_view text);
  std::string to_json() const;

  // Sets each counter to the larger of both values, and merges the bounds. If one of the rows is
  // closed, the result is closed and has no bounds, because its incarnation counted everything.
  void merge(const usage_row& other);
  // Sets a counter to `value` unless it is already larger.
  void raise_to(const workspace_id& workspace, const std::string& counter, std::uint64_t value);
  void add(const workspace_id& workspace, const std::string& counter, std::uint64_t amount);
  std::uint64_t value(const workspace_id& workspace, std::string_view counter) const;
  // Adds a bound, or raises the existing one of the same workspace and cause to its amount. Ignored
  // if the row is closed.
  void add_bound(const usage_bound& bound);
  // Marks the counters as complete and removes the bounds.
  void close();

  const usage_counters& counters() const { return counters_; }
  const std::vector<usage_bound>& bounds() const { return bounds_; }
  bool closed() const { return closed_; }

  friend bool operator==(const usage_row&, const usage_row&) = default;

private:
  usage_counters counters_;
  std::vector<usage_bound> bounds_;
  bool closed_ = false;
};

}
