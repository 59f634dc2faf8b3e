#include "Proxy/position_exchange.h"

namespace persimmonshelf {

void
observe_answer(const std::string& group,
               const timed_position& observed,
               const fleet_state& fleet,
               position_history& positions,
               instant now,
               const position_listener& listener)
{
  if (is_usable_primary(fleet.primary_of(group, now), observed.source.member)) {
    listener(group, observed, positions.observe(group, observed, now));
  }
}

void
observe_view(const fleet_view& view,
             const fleet_state& fleet,
             position_history& positions,
             instant now,
             const position_listener& listener)
{
  for (const auto& [group, position] : view.positions) {
    if (is_usable_primary(fleet.primary_of(group, now), position.source.member)) {
      const timed_position observed{ position.position,
                                     view.echo_clock - position.age,
                                     position.source };
      listener(group, observed, positions.observe(group, observed, now));
    }
  }
}

void
add_positions(const fleet_state& fleet, const position_history& positions, instance_report& report)
{
  for (const auto& group : fleet.configuration().configuration().groups) {
    if (const auto newest = positions.newest(group.name)) {
      report.positions[group.name] = *newest;
    }
  }
}

}
