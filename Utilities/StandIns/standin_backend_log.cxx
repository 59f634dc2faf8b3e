#include "StandIns/standin_backend_log.h"

#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <cstdint>
#include <cstdlib>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

void
standin_log::append(standin_entry entry)
{
  if (history_.empty() || history_.back().in_term != entry.at.in_term) {
    history_.push_back({ entry.at.in_term, entry.at.position });
  }
  apply(entry);
  entries_.push_back(std::move(entry));
}

void
standin_log::truncate_after(log_position position)
{
  if (position.get() >= entries_.size()) {
    return;
  }
  entries_.resize(position.get());
  while (!history_.empty() && history_.back().first_position > position) {
    history_.pop_back();
  }
  values_.clear();
  for (const auto& entry : entries_) {
    apply(entry);
  }
}

log_point
standin_log::last() const
{
  return entries_.empty() ? log_point{} : entries_.back().at;
}

term
standin_log::term_at(log_position position) const
{
  if (position.get() == 0 || position.get() > entries_.size()) {
    return {};
  }
  return at(position).at.in_term;
}

const standin_entry&
standin_log::at(log_position position) const
{
  return entries_.at(position.get() - 1);
}

void
standin_log::apply(std::optional<std::string>& value, const standin_change& change)
{
  if (change.operation == "PUT") {
    value = change.value;
    return;
  }
  if (change.operation == "APPEND") {
    value = value.value_or("") + change.value;
    return;
  }
  const auto amount = std::strtoll(change.value.c_str(), nullptr, 10);
  const auto sum = std::strtoll(value.value_or("0").c_str(), nullptr, 10) + amount;
  value = std::to_string(sum);
}

void
standin_log::apply(const standin_entry& entry)
{
  for (const auto& change : entry.changes) {
    std::optional<std::string> value;
    if (const auto found = values_.find(change.key); found != values_.end()) {
      value = found->second;
    }
    apply(value, change);
    values_[change.key] = *value;
  }
}

std::optional<std::string>
standin_log::value_with(const std::string& key, const std::vector<standin_change>& pending) const
{
  std::optional<std::string> value;
  if (const auto found = values_.find(key); found != values_.end()) {
    value = found->second;
  }
  for (const auto& change : pending) {
    if (change.key == key) {
      apply(value, change);
    }
  }
  return value;
}

json::object
to_json(const standin_entry& entry)
{
  json::array changes;
  for (const auto& change : entry.changes) {
    changes.push_back(json::array{ change.operation, change.key, change.value });
  }
  return { { "term", entry.at.in_term.get() },
           { "position", entry.at.position.get() },
           { "origin", entry.origin },
           { "request_id", entry.request_id },
           { "changes", std::move(changes) } };
}

std::optional<standin_entry>
entry_from_json(const json::value& value)
{
  try {
    standin_entry entry;
    entry.at.in_term = term(value.at("term").to_number<std::uint64_t>());
    entry.at.position = log_position(value.at("position").to_number<std::uint64_t>());
    entry.origin = json::value_to<std::string>(value.at("origin"));
    entry.request_id = json::value_to<std::string>(value.at("request_id"));
    for (const auto& change : value.at("changes").as_array()) {
      entry.changes.push_back({ json::value_to<std::string>(change.at(0)),
                                json::value_to<std::string>(change.at(1)),
                                json::value_to<std::string>(change.at(2)) });
    }
    return entry;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}
