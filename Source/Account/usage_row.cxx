#include "Account/usage_row.h"

#include "Base/json_fields.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

constexpr std::int64_t max_counter = std::numeric_limits<std::int64_t>::max();

error
malformed(const std::string& detail)
{
  return { result_code::malformed_answer, "usage row" + detail };
}

bool
read_value(const json::value& value, std::uint64_t& out)
{
  if (!value.is_int64() || value.as_int64() < 0) {
    return false;
  }
  out = static_cast<std::uint64_t>(value.as_int64());
  return true;
}

result<usage_bound>
read_bound(const json::value& value)
{
  auto fields = json_fields::create(value, "usage row.bounds[]", result_code::malformed_answer);
  if (!fields) {
    return fields.error();
  }
  auto workspace = fields.value().text("workspace");
  auto amount = fields.value().integer("amount", 0, max_counter);
  auto cause = fields.value().text("cause");
  if (!workspace || !amount || !cause) {
    return malformed(".bounds[]: expected workspace, amount and cause");
  }
  return usage_bound{ workspace_id(std::move(workspace).value()),
                      static_cast<std::uint64_t>(amount.value()),
                      std::move(cause).value() };
}

}

std::string
usage_counter::refused(result_code code)
{
  return std::string(refused_prefix) + std::to_string(static_cast<int>(code));
}

std::string
usage_row::prefix(const calendar_month& month)
{
  return "usage/" + month.text() + "/";
}

std::string
usage_row::key(const calendar_month& month, incarnation_id incarnation)
{
  char digits[17] = {};
  std::to_chars(digits, digits + 16, incarnation.get(), 16);
  return prefix(month) + digits;
}

std::string_view
usage_row::incarnation_text(std::string_view key)
{
  return key.substr(key.rfind('/') + 1);
}

result<usage_row>
usage_row::parse(std::string_view text)
{
  usage_row row;
  if (text.empty()) {
    return row;
  }
  const auto parsed = parse_json(text, result_code::malformed_answer);
  if (!parsed) {
    return parsed.error();
  }
  auto fields = json_fields::create(parsed.value(), "usage row", result_code::malformed_answer);
  if (!fields) {
    return fields.error();
  }
  const auto closed = fields.value().boolean_or("closed", false);
  const auto* workspaces = fields.value().find("workspaces");
  const auto* bounds = fields.value().find("bounds");
  if (!closed || workspaces == nullptr || !workspaces->is_object() || bounds == nullptr ||
      !bounds->is_array()) {
    return malformed(": expected closed, workspaces and bounds");
  }
  for (const auto& [workspace, counters] : workspaces->as_object()) {
    if (!counters.is_object()) {
      return malformed(".workspaces." + std::string(workspace) + ": expected an object");
    }
    for (const auto& [name, value] : counters.as_object()) {
      std::uint64_t number = 0;
      if (!read_value(value, number)) {
        return malformed(".workspaces." + std::string(workspace) + "." + std::string(name) +
                         ": expected a non-negative integer");
      }
      row.raise_to(workspace_id(std::string(workspace)), std::string(name), number);
    }
  }
  for (const auto& item : bounds->as_array()) {
    const auto bound = read_bound(item);
    if (!bound) {
      return bound.error();
    }
    row.add_bound(bound.value());
  }
  row.closed_ = closed.value();
  return row;
}

std::string
usage_row::to_json() const
{
  json::object workspaces;
  for (const auto& [workspace, counters] : counters_) {
    json::object values;
    for (const auto& [name, value] : counters) {
      values[name] = value;
    }
    workspaces[workspace.get()] = std::move(values);
  }
  json::array bounds;
  for (const auto& bound : bounds_) {
    bounds.push_back(json::object{ { "workspace", bound.workspace.get() },
                                   { "amount", bound.amount },
                                   { "cause", bound.cause } });
  }
  return json::serialize(json::object{ { "closed", closed_ },
                                       { "workspaces", std::move(workspaces) },
                                       { "bounds", std::move(bounds) } });
}

void
usage_row::merge(const usage_row& other)
{
  for (const auto& [workspace, counters] : other.counters_) {
    for (const auto& [name, value] : counters) {
      raise_to(workspace, name, value);
    }
  }
  for (const auto& bound : other.bounds_) {
    add_bound(bound);
  }
  if (other.closed_) {
    close();
  }
}

void
usage_row::raise_to(const workspace_id& workspace, const std::string& counter, std::uint64_t value)
{
  auto& current = counters_[workspace][counter];
  current = std::max(current, std::min<std::uint64_t>(value, max_counter));
}

void
usage_row::add(const workspace_id& workspace, const std::string& counter, std::uint64_t amount)
{
  counters_[workspace][counter] += amount;
}

std::uint64_t
usage_row::value(const workspace_id& workspace, std::string_view counter) const
{
  const auto counters = counters_.find(workspace);
  if (counters == counters_.end()) {
    return 0;
  }
  const auto found = counters->second.find(std::string(counter));
  return found == counters->second.end() ? 0 : found->second;
}

void
usage_row::add_bound(const usage_bound& bound)
{
  if (closed_) {
    return;
  }
  for (auto& existing : bounds_) {
    if (existing.workspace == bound.workspace && existing.cause == bound.cause) {
      existing.amount = std::max(existing.amount, bound.amount);
      return;
    }
  }
  bounds_.push_back(bound);
  std::sort(bounds_.begin(), bounds_.end());
}

void
usage_row::close()
{
  closed_ = true;
  bounds_.clear();
}

}
