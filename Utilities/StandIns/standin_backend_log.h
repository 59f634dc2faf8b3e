#pragma once

#include "Base/ids.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// One change of one key: "PUT", "ADD" or "APPEND" with its operand.
struct standin_change
{
  std::string operation;
  std::string key;
  std::string value;

  friend bool operator==(const standin_change&, const standin_change&) = default;
};

// One log entry. The first entry of a term has no changes.
struct standin_entry
{
  log_point at;
  // Primary that wrote the entry. Checks use it to detect two primaries in the same term.
  std::string origin;
  std::string request_id;
  std::vector<standin_change> changes;
  // Time at which this member received the entry; not replicated.
  std::chrono::steady_clock::time_point received;
};

struct standin_term_start
{
  term in_term;
  log_position first_position;
};

// Log of one member and the key-value state that results from applying it. Positions start at 1 and
// have no gaps.
class standin_log
{
public:
  using values = std::map<std::string, std::string, std::less<>>;

  // Appends an entry. Its position must directly follow the last one.
  void append(standin_entry entry);

  // Removes every entry after `position` and rebuilds the values.
  void truncate_after(log_position position);

  log_point last() const;

  // Term of the entry at a position; term 0 for position 0 and for positions after the end.
  term term_at(log_position position) const;
  const standin_entry& at(log_position position) const;

  // First position of each term in the log, in ascending order.
  const std::vector<standin_term_start>& history() const { return history_; }
  const values& state() const { return values_; }

  // Value of a key after applying `pending` to the state of the log; none if the key does not
  // exist.
  std::optional<std::string> value_with(const std::string& key,
                                        const std::vector<standin_change>& pending) const;

private:
  static void apply(std::optional<std::string>& value, const standin_change& change);
  void apply(const standin_entry& entry);

  std::vector<standin_entry> entries_;
  std::vector<standin_term_start> history_;
  values values_;
};

boost::json::object
to_json(const standin_entry& entry);

// Returns none if a field is missing or has the wrong type.
std::optional<standin_entry>
entry_from_json(const boost::json::value& value);

}
