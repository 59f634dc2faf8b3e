#pragma once

#include "Base/error.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// Reads the fields of one JSON object and refuses the names that no one asked for. `place` names
// the object in error messages, such as "databases[2]".
class json_fields
{
public:
  // Fails with `code` if `value` is not an object.
  static result<json_fields> create(const boost::json::value& value,
                                    std::string place,
                                    result_code code);

  // The getters fail if the field is missing, of another type or outside the range.
  result<std::string> text(std::string_view name);
  result<std::string> text_or(std::string_view name, std::string fallback);
  result<std::int64_t> integer(std::string_view name, std::int64_t low, std::int64_t high);
  result<std::int64_t> integer_or(std::string_view name,
                                  std::int64_t fallback,
                                  std::int64_t low,
                                  std::int64_t high);
  result<bool> boolean_or(std::string_view name, bool fallback);

  // The field's value, or null if it is missing. Marks the name as known.
  const boost::json::value* find(std::string_view name);

  // Fails if the object has a field that no getter asked for.
  result<void> finish() const;

  const std::string& place() const { return place_; }

private:
  json_fields(const boost::json::object& object, std::string place, result_code code);
  error unexpected_value(std::string_view name, std::string_view expected) const;

  const boost::json::object* object_;
  std::string place_;
  result_code code_;
  std::vector<std::string> requested_;
};

// Parses JSON text; the error names the byte where parsing stopped.
result<boost::json::value>
parse_json(std::string_view text, result_code code);

}
