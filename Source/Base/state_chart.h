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

// A state machine that is read from JSON, validated and then interpreted. The chart defines the
// transition and the actions of each event in each state. Conditions and timers are implemented by
// the code that raises the events.
//
// {"name", "initial", "events": [...],
//  "states": [{"name", "ignore": [event...],
//              "on": [{"event", "target", "actions": [...]}]}]}
//
// Without "target", the state does not change. Actions run in order, before the state changes.
class state_chart
{
public:
  // Parses and validates a chart. Fails with chart_invalid, stating the place, if the text has
  // another form, a name is unknown or listed twice, a state is not reachable from the initial one,
  // or a state neither handles nor ignores an event.
  static result<state_chart> create(std::string_view text,
                                    std::map<std::string, std::function<void()>> actions);

  // Processes the event to completion. An event raised by an action is queued and processed after
  // the current one. Fails with internal_error if the chart does not list the event.
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
