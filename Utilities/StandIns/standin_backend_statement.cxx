#include "StandIns/standin_backend_statement.h"

#include <boost/json/object.hpp>

#include <charconv>
#include <set>
#include <string_view>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

struct statement_parts
{
  std::string verb;
  std::string key;
  std::string rest;
};

statement_parts
split(std::string_view text)
{
  const auto take = [&text] {
    const auto end = std::min(text.find(' '), text.size());
    std::string word(text.substr(0, end));
    text.remove_prefix(std::min(text.size(), end + 1));
    return word;
  };
  statement_parts parts;
  parts.verb = take();
  parts.key = take();
  parts.rest = std::string(text);
  return parts;
}

bool
is_integer(const std::string& text)
{
  long long number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc{} && parsed.ptr == end;
}

json::object
row(const std::string& key, const std::string& value)
{
  return { { "key", key }, { "value", value } };
}

}

std::string
check_statement(const std::string& text, bool write)
{
  const auto parts = split(text);
  const bool changes = parts.verb == "PUT" || parts.verb == "ADD" || parts.verb == "APPEND";
  if (!changes && parts.verb != "GET" && parts.verb != "SLEEP" && parts.verb != "SCAN") {
    return "unknown statement: " + parts.verb;
  }
  if (parts.key.empty() && parts.verb != "SCAN") {
    return parts.verb + ": an operand is missing";
  }
  if (changes && !write) {
    return parts.verb + ": not allowed in a read";
  }
  if (!changes && !parts.rest.empty()) {
    return parts.verb + ": too many operands";
  }
  if (parts.verb == "ADD" && !is_integer(parts.rest)) {
    return "ADD: not an integer: " + parts.rest;
  }
  if (parts.verb == "SLEEP" && (!is_integer(parts.key) || parts.key.front() == '-')) {
    return "SLEEP: not a number of milliseconds: " + parts.key;
  }
  return {};
}

std::chrono::milliseconds
sleep_duration(const std::string& text)
{
  const auto parts = split(text);
  long long number = 0;
  if (parts.verb == "SLEEP") {
    std::from_chars(parts.key.data(), parts.key.data() + parts.key.size(), number);
  }
  return std::chrono::milliseconds(number);
}

standin_statement_outcome
standin_statement_run(const std::string& text,
                      const standin_log& log,
                      std::vector<standin_change>& pending)
{
  const auto parts = split(text);
  if (parts.verb == "SLEEP") {
    return {};
  }
  if (parts.verb == "SCAN") {
    std::set<std::string> keys;
    for (auto next = log.state().lower_bound(parts.key);
         next != log.state().end() && next->first.starts_with(parts.key);
         ++next) {
      keys.insert(next->first);
    }
    for (const auto& change : pending) {
      if (change.key.starts_with(parts.key)) {
        keys.insert(change.key);
      }
    }
    json::array rows;
    for (const auto& key : keys) {
      rows.push_back(row(key, log.value_with(key, pending).value_or("")));
    }
    return { std::move(rows), {} };
  }
  const auto value = log.value_with(parts.key, pending);
  if (parts.verb == "GET") {
    return { value ? json::array{ row(parts.key, *value) } : json::array{}, {} };
  }
  if (parts.verb == "ADD" && value && !is_integer(*value)) {
    return { {}, "ADD: the value of " + parts.key + " is not an integer" };
  }
  pending.push_back({ parts.verb, parts.key, parts.rest });
  if (parts.verb == "ADD") {
    const auto sum = log.value_with(parts.key, pending).value_or("");
    return { json::array{ row(parts.key, sum) }, {} };
  }
  return {};
}

}
