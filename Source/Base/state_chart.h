#pragma once

#include "Base/error.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// A state chart read from JSON, checked as a whole and then interpreted. Conditions and timers stay
// in the code that raises the events; the chart decides what an event does in each state.
//
// {"name", "initial", "events": [...],
//  "states": [{"name", "ignore": [event...],
//              "on": [{"event", "target", "actions": [...]}]}]}
//
// "target" may be left out; the state then stays. Actions run in order, before the state changes.
class state_chart
{
public:
  // Fails with chart_invalid and the place for text that is not of this form, names that are
  // unknown or listed twice, states that no path from the initial one reaches, and events that a
  // state neither handles nor ignores.
  static result<state_chart> create(std::string_view text,
                                    std::map<std::string, std::function<void()>> actions);

  // Runs the event to completion. An event raised by an action runs after the current one. Fails
  // with internal_error if the chart does not list the event.
  result<void> handle(std::string_view event);

  const std::string& state() const { return state_; }

private:
  struct transition
  {
    std::optional<std::string> target;
    std::vector<std::string> actions;
  };
  struct chart_state
  {
    std::map<std::string, transition, std::less<>> on;
    std::set<std::string, std::less<>> ignored;
  };
  class reader;

  state_chart() = default;

  std::string name_;
  std::string state_;
  std::set<std::string, std::less<>> events_;
  std::map<std::string, chart_state, std::less<>> states_;
  std::map<std::string, std::function<void()>> actions_;
  std::deque<std::string> queued_;
  bool running_ = false;
};

}
