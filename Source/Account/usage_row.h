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

// Names of counters. A refusal by code is counted under "refused." and the code's number.
namespace usage_counter {
inline constexpr std::string_view answered = "answered";
inline constexpr std::string_view unknown = "unknown";
inline constexpr std::string_view refused_inside_rate = "refused_inside_rate";
inline constexpr std::string_view statement_us = "statement_us";
// Admitted requests, and those of them that ended in any way. Their difference is the number of
// requests that a run may still count after its last mirror.
inline constexpr std::string_view admitted = "admitted";
inline constexpr std::string_view ended = "ended";
inline constexpr std::string_view refused_prefix = "refused.";

std::string
refused(result_code code);
}

// Largest number of requests that a run may have counted beyond its row.
struct usage_bound
{
  workspace_id workspace;
  std::uint64_t amount = 0;
  std::string cause;
  friend bool operator==(const usage_bound&, const usage_bound&) = default;
  friend bool operator<(const usage_bound& left, const usage_bound& right)
  {
    return std::tie(left.workspace.get(), left.cause, left.amount) <
           std::tie(right.workspace.get(), right.cause, right.amount);
  }
};

using usage_counters = std::map<workspace_id, std::map<std::string, std::uint64_t>>;

// Content of the row "usage/<month>/<incarnation>": what one run counted in one month. Values only
// rise, so that merging by maximum is safe in any order and any number of times.
class usage_row
{
public:
  static std::string prefix(const calendar_month& month);
  static std::string key(const calendar_month& month, incarnation_id incarnation);
  // The incarnation in a row's key as it is written there.
  static std::string_view incarnation_text(std::string_view key);

  // Empty text is the empty row. Fails with malformed_answer.
  static result<usage_row> parse(std::string_view text);
  std::string to_json() const;

  // Each value becomes the larger one. A closed row has no bounds: its run counted everything.
  void merge(const usage_row& other);
  // Raises a value to at least `value`.
  void raise_to(const workspace_id& workspace, const std::string& counter, std::uint64_t value);
  void add(const workspace_id& workspace, const std::string& counter, std::uint64_t amount);
  std::uint64_t value(const workspace_id& workspace, std::string_view counter) const;
  // Keeps the largest amount for each workspace and cause.
  void add_bound(const usage_bound& bound);
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
