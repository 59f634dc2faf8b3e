#include "Base/state_chart.h"

#include "Base/json_fields.h"

#include <boost/json/array.hpp>
#include <boost/outcome/try.hpp>

#include <utility>

namespace persimmonshelf {

namespace {

auto
invalid(const std::string& place, const std::string& reason)
{
  return fail(result_code::chart_invalid, place + ": " + reason);
}

// Reads a list of values. A missing list is empty.
result<boost::json::array>
read_list(json_fields& fields, std::string_view name)
{
  const auto* value = fields.find(name);
  if (value == nullptr) {
    return boost::json::array{};
  }
  if (!value->is_array()) {
    return invalid(fields.place() + "." + std::string(name), "must be a list");
  }
  return value->get_array();
}

// Reads a list of strings. A missing list is empty.
result<std::vector<std::string>>
read_names(json_fields& fields, std::string_view name)
{
  BOOST_OUTCOME_TRY(const auto values, read_list(fields, name));
  std::vector<std::string> names;
  for (const auto& value : values) {
    if (!value.is_string()) {
      return invalid(fields.place() + "." + std::string(name), "must be a list of names");
    }
    names.emplace_back(value.get_string().c_str());
  }
  return names;
}

}

// Parses a chart from JSON and validates it.
class state_chart::reader
{
public:
  explicit reader(state_chart& chart)
    : chart_(chart)
  {
  }

  result<void> read(std::string_view text)
  {
    BOOST_OUTCOME_TRY(const auto root, parse_json(text, result_code::chart_invalid));
    BOOST_OUTCOME_TRY(auto fields, json_fields::create(root, "chart", result_code::chart_invalid));
    BOOST_OUTCOME_TRY(chart_.name_, fields.text("name"));
    BOOST_OUTCOME_TRY(chart_.state_, fields.text("initial"));
    BOOST_OUTCOME_TRY(const auto events, read_names(fields, "events"));
    for (const auto& event : events) {
      if (!chart_.events_.insert(event).second) {
        return invalid(chart_.name_ + ".events", "event " + event + " is listed twice");
      }
    }
    BOOST_OUTCOME_TRY(const auto states, read_list(fields, "states"));
    BOOST_OUTCOME_TRY(fields.finish());
    for (std::size_t i = 0; i < states.size(); ++i) {
      const auto place = chart_.name_ + ".states[" + std::to_string(i) + "]";
      BOOST_OUTCOME_TRY(read_state(states[i], place));
    }
    return check();
  }

private:
  result<void> read_state(const boost::json::value& value, const std::string& place)
  {
    BOOST_OUTCOME_TRY(auto fields, json_fields::create(value, place, result_code::chart_invalid));
    BOOST_OUTCOME_TRY(const auto name, fields.text("name"));
    const auto [entry, added] = chart_.states_.try_emplace(name);
    if (!added) {
      return invalid(place, "state " + name + " is listed twice");
    }
    auto& state = entry->second;
    BOOST_OUTCOME_TRY(const auto ignored, read_names(fields, "ignore"));
    for (const auto& event : ignored) {
      if (!state.ignored.insert(event).second) {
        return invalid(place, "event " + event + " is ignored twice");
      }
    }
    BOOST_OUTCOME_TRY(const auto transitions, read_list(fields, "on"));
    BOOST_OUTCOME_TRY(fields.finish());
    for (std::size_t i = 0; i < transitions.size(); ++i) {
      BOOST_OUTCOME_TRY(
        read_transition(transitions[i], place + ".on[" + std::to_string(i) + "]", state));
    }
    return success();
  }

  static result<void> read_transition(const boost::json::value& value,
                                      const std::string& place,
                                      chart_state& state)
  {
    BOOST_OUTCOME_TRY(auto fields, json_fields::create(value, place, result_code::chart_invalid));
    BOOST_OUTCOME_TRY(const auto event, fields.text("event"));
    transition read;
    if (fields.find("target") != nullptr) {
      BOOST_OUTCOME_TRY(read.target, fields.text("target"));
    }
    BOOST_OUTCOME_TRY(read.actions, read_names(fields, "actions"));
    BOOST_OUTCOME_TRY(fields.finish());
    if (!state.on.emplace(event, std::move(read)).second) {
      return invalid(place, "event " + event + " is handled twice");
    }
    return success();
  }

  result<void> check() const
  {
    if (!chart_.states_.contains(chart_.state_)) {
      return invalid(chart_.name_ + ".initial", "unknown state " + chart_.state_);
    }
    for (const auto& [name, state] : chart_.states_) {
      BOOST_OUTCOME_TRY(check_state(chart_.name_ + "." + name, state));
    }
    std::set<std::string> reached;
    std::vector<std::string> pending = { chart_.state_ };
    while (!pending.empty()) {
      const auto name = pending.back();
      pending.pop_back();
      if (!reached.insert(name).second) {
        continue;
      }
      for (const auto& [event, next] : chart_.states_.at(name).on) {
        if (next.target) {
          pending.push_back(*next.target);
        }
      }
    }
    for (const auto& [name, state] : chart_.states_) {
      if (!reached.contains(name)) {
        return invalid(chart_.name_ + "." + name, "the state is unreachable");
      }
    }
    return success();
  }

  result<void> check_state(const std::string& place, const chart_state& state) const
  {
    for (const auto& event : chart_.events_) {
      if (!state.on.contains(event) && !state.ignored.contains(event)) {
        return invalid(place, "event " + event + " is neither handled nor ignored");
      }
    }
    for (const auto& event : state.ignored) {
      if (!chart_.events_.contains(event)) {
        return invalid(place, "unknown event " + event);
      }
      if (state.on.contains(event)) {
        return invalid(place, "event " + event + " is both handled and ignored");
      }
    }
    for (const auto& [event, next] : state.on) {
      if (!chart_.events_.contains(event)) {
        return invalid(place, "unknown event " + event);
      }
      auto where = place;
      where.append(".").append(event);
      if (next.target && !chart_.states_.contains(*next.target)) {
        return invalid(where, "unknown target state " + *next.target);
      }
      for (const auto& action : next.actions) {
        const auto found = chart_.actions_.find(action);
        if (found == chart_.actions_.end() || !found->second) {
          return invalid(where, "unknown action " + action);
        }
      }
    }
    return success();
  }

  state_chart& chart_;
};

result<state_chart>
state_chart::create(std::string_view text, std::map<std::string, std::function<void()>> actions)
{
  state_chart chart;
  chart.actions_ = std::move(actions);
  BOOST_OUTCOME_TRY(reader(chart).read(text));
  return chart;
}

result<void>
state_chart::handle(std::string_view event)
{
  if (!events_.contains(event)) {
    return fail(result_code::internal_error,
                name_ + "." + state_ + ": unknown event " + std::string(event));
  }
  queued_.emplace_back(event);
  if (running_) {
    return success();
  }
  running_ = true;
  while (!queued_.empty()) {
    const auto next = std::move(queued_.front());
    queued_.pop_front();
    const auto& on = states_.at(state_).on;
    const auto found = on.find(next);
    if (found == on.end()) {
      continue;
    }
    for (const auto& action : found->second.actions) {
      actions_.at(action)();
    }
    if (found->second.target) {
      state_ = *found->second.target;
    }
  }
  running_ = false;
  return success();
}

}
