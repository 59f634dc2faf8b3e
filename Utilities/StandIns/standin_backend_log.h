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

// One log entry. The first entry of a term has no change.
struct standin_entry
{
  log_point at;
  // Member that was the primary; a checker finds two primaries of one term by it.
  std::string origin;
  std::string request_id;
  std::vector<standin_change> changes;
  // When this member got the entry; not sent to others.
  std::chrono::steady_clock::time_point received;
};

struct standin_term_start
{
  term in_term;
  log_position first_position;
};

// The log of one member and the keys and values that it yields. Positions start at 1 without gaps.
class standin_log
{
public:
  using values = std::map<std::string, std::string, std::less<>>;

  // The entry's position must be the one after the last.
  void append(standin_entry entry);

  // Removes every entry after `position` and computes the values again.
  void truncate_after(log_position position);

  log_point last() const;

  // Term of the entry at a position; term 0 for position 0 and for positions after the end.
  term term_at(log_position position) const;
  const standin_entry& at(log_position position) const;

  // Where each term of the log starts, in order.
  const std::vector<standin_term_start>& history() const { return history_; }
  const values& state() const { return values_; }

  // The value of a key after `pending` on top of the log; none if the key does not exist.
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

// None if a field is missing or of another type.
std::optional<standin_entry>
entry_from_json(const boost::json::value& value);

}
