#pragma once

#include "Proxy/coordinator_messages.h"
#include "Proxy/fleet_state.h"
#include "Proxy/position_history.h"

#include <functional>
#include <string>

namespace persimmonshelf {

// Called with each position that an instance learns, and what became of it.
using position_listener =
  std::function<void(const std::string& group, const timed_position&, observation_outcome)>;

// Records the position in an answer of a member, if the member is the group's primary. Times are on
// the clock of the instance that received the answer.
void
observe_answer(const std::string& group,
               const timed_position& observed,
               const fleet_state& fleet,
               position_history& positions,
               instant now,
               const position_listener& listener);

// Records the positions of a complete view that answers a report of this instance.
void
observe_view(const fleet_view& view,
             const fleet_state& fleet,
             position_history& positions,
             instant now,
             const position_listener& listener);

// Adds the newest known position of each group to a report of this instance.
void
add_positions(const fleet_state& fleet, const position_history& positions, instance_report& report);

}
