#include "Base/json_fields.h"

#include <boost/json/stream_parser.hpp>

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

json_fields::json_fields(const json::object& object, std::string place, result_code code)
  : object_(&object)
  , place_(std::move(place))
  , code_(code)
{
}

result<json_fields>
json_fields::create(const json::value& value, std::string place, result_code code)
{
  if (!value.is_object()) {
    return fail(code, place + ": expected an object");
  }
  return json_fields(value.as_object(), std::move(place), code);
}

error
json_fields::unexpected_value(std::string_view name, std::string_view expected) const
{
  return { code_, place_ + "." + std::string(name) + ": expected " + std::string(expected) };
}

const json::value*
json_fields::find(std::string_view name)
{
  requested_.emplace_back(name);
  return object_->if_contains(name);
}

result<std::string>
json_fields::text(std::string_view name)
{
  const auto* value = find(name);
  if (value == nullptr || !value->is_string()) {
    return unexpected_value(name, "a string");
  }
  return std::string(value->as_string());
}

result<std::string>
json_fields::text_or(std::string_view name, std::string fallback)
{
  if (!object_->contains(name)) {
    requested_.emplace_back(name);
    return fallback;
  }
  return text(name);
}

result<std::int64_t>
json_fields::integer(std::string_view name, std::int64_t low, std::int64_t high)
{
  const auto* value = find(name);
  const auto expected = "an integer from " + std::to_string(low) + " to " + std::to_string(high);
  if (value == nullptr || !value->is_int64()) {
    return unexpected_value(name, expected);
  }
  const auto number = value->as_int64();
  if (number < low || number > high) {
    return unexpected_value(name, expected + ", found " + std::to_string(number));
  }
  return number;
}

result<std::int64_t>
json_fields::integer_or(std::string_view name,
                        std::int64_t fallback,
                        std::int64_t low,
                        std::int64_t high)
{
  if (!object_->contains(name)) {
    requested_.emplace_back(name);
    return fallback;
  }
  return integer(name, low, high);
}

result<bool>
json_fields::boolean_or(std::string_view name, bool fallback)
{
  const auto* value = find(name);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_bool()) {
    return unexpected_value(name, "true or false");
  }
  return value->as_bool();
}

result<void>
json_fields::finish() const
{
  for (const auto& field : *object_) {
    if (std::find(requested_.begin(), requested_.end(), std::string(field.key())) ==
        requested_.end()) {
      return fail(code_, place_ + "." + std::string(field.key()) + ": unknown name");
    }
  }
  return success();
}

result<json::value>
parse_json(std::string_view text, result_code code)
{
  json::stream_parser parser;
  boost::system::error_code failure;
  const auto parsed = parser.write_some(text.data(), text.size(), failure);
  if (failure) {
    return fail(code, "invalid JSON at byte " + std::to_string(parsed) + ": " + failure.message());
  }
  const auto rest = text.find_first_not_of(" \t\r\n", parsed);
  parser.finish(failure);
  if (failure || rest != std::string_view::npos) {
    return fail(code,
                "invalid JSON at byte " + std::to_string(parsed) + ": incomplete or trailing text");
  }
  return parser.release();
}

}
