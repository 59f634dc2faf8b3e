#include "Adapters/operator_text.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cctype>
#include <vector>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

constexpr std::string_view key_prefix = "pskey_";

std::string
format_cell(const json::value& value)
{
  if (value.is_string()) {
    return std::string(value.as_string());
  }
  return value.is_null() ? "-" : json::serialize(value);
}

bool
is_table(const json::value& value)
{
  if (!value.is_array() || value.as_array().empty()) {
    return false;
  }
  const auto& rows = value.as_array();
  return std::all_of(
    rows.begin(), rows.end(), [](const json::value& row) { return row.is_object(); });
}

std::string
render_table(const json::array& rows, std::size_t indent)
{
  std::vector<std::string> columns;
  for (const auto& row : rows) {
    for (const auto& field : row.as_object()) {
      const std::string name(field.key());
      if (std::find(columns.begin(), columns.end(), name) == columns.end()) {
        columns.push_back(name);
      }
    }
  }
  std::vector<std::vector<std::string>> lines{ columns };
  for (const auto& row : rows) {
    auto& cells = lines.emplace_back();
    for (const auto& name : columns) {
      const auto* value = row.as_object().if_contains(name);
      cells.push_back(value == nullptr ? "-" : format_cell(*value));
    }
  }
  std::string text;
  for (const auto& cells : lines) {
    std::string line(indent, ' ');
    for (std::size_t column = 0; column < columns.size(); ++column) {
      std::size_t width = 0;
      for (const auto& other : lines) {
        width = std::max(width, other[column].size());
      }
      line += cells[column];
      if (column + 1 < columns.size()) {
        line += std::string(width - cells[column].size() + 2, ' ');
      }
    }
    text += line + "\n";
  }
  return text;
}

std::string
render_list(const json::array& items)
{
  std::string text;
  for (const auto& item : items) {
    text += text.empty() ? "" : ", ";
    text += format_cell(item);
  }
  return text.empty() ? "none" : text;
}

}

std::string
render_fields(const json::object& fields,
              const std::set<std::string, std::less<>>& hidden,
              std::size_t indent)
{
  std::string text;
  const std::string margin(indent, ' ');
  for (const auto& field : fields) {
    const std::string name(field.key());
    const auto& value = field.value();
    if (hidden.contains(name)) {
      continue;
    }
    if (is_table(value)) {
      text += margin + name + ":\n" + render_table(value.as_array(), indent + 2);
    } else if (value.is_array()) {
      text += margin + name + ": " + render_list(value.as_array()) + "\n";
    } else if (value.is_object()) {
      text += margin + name + ":\n" + render_fields(value.as_object(), {}, indent + 2);
    } else {
      text += margin + name + ": " + format_cell(value) + "\n";
    }
  }
  return text;
}

std::string
redact_keys(std::string_view text)
{
  std::string redacted;
  while (true) {
    const auto start = text.find(key_prefix);
    if (start == std::string_view::npos) {
      redacted += text;
      return redacted;
    }
    redacted += text.substr(0, start);
    redacted += key_prefix;
    redacted += "...";
    text.remove_prefix(start + key_prefix.size());
    while (!text.empty() && (std::isalnum(static_cast<unsigned char>(text.front())) != 0 ||
                             text.front() == '_' || text.front() == '-')) {
      text.remove_prefix(1);
    }
  }
}

}
