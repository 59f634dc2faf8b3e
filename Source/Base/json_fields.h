#pragma once

#include "Base/error.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// Reads the fields of a JSON object and rejects objects with unknown fields. `place` is the path of
// the object in error messages, such as "databases[2]".
class json_fields
{
public:
  // Fails if `value` is not an object. This and all later errors have the code `code`.
  static result<json_fields> create(const boost::json::value& value,
                                    std::string place,
                                    result_code code);

  // The getters fail if the field is missing, has another type or is outside [low, high]. Those
  // with the suffix _or return `fallback` if the field is missing.
  result<std::string> text(std::string_view name);
  result<std::string> text_or(std::string_view name, std::string fallback);
  result<std::int64_t> integer(std::string_view name, std::int64_t low, std::int64_t high);
  result<std::int64_t> integer_or(std::string_view name,
                                  std::int64_t fallback,
                                  std::int64_t low,
                                  std::int64_t high);
  result<bool> boolean_or(std::string_view name, bool fallback);

  // Returns the field's value, or null if it is missing. finish() then accepts the field.
  const boost::json::value* find(std::string_view name);

  // Fails if the object has a field that was not requested by find() or a getter.
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

// Parses JSON text. The error has the code `code` and states the byte where parsing stopped.
result<boost::json::value>
parse_json(std::string_view text, result_code code);

}
