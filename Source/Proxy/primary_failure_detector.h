#pragma once

#include "Proxy/coordinator_messages.h"

#include <map>
#include <optional>
#include <string>

namespace persimmonshelf {

// Why a primary should be replaced.
enum class replacement_reason : std::uint8_t
{
  none,
  // It announced that it will leave.
  leaving,
  // It is not in the members' list, or too many instances cannot reach it.
  lost,
};

// Decides from the reports of all instances and the members' list whether a group's primary has to
// be replaced. One instance that cannot reach it proves nothing; its own path may be cut.
class primary_failure_detector
{
public:
  void record_report(const instance_report& report, instant now);

  // `list_is_sound` is false while the list cannot be relied upon: entries that lapsed during an
  // outage of the store are back soon after its return.
  replacement_reason assess(const member_id& primary,
                            const std::vector<listed_member>& members,
                            bool list_is_sound,
                            instant now) const;

private:
  struct instance_observation
  {
    instant received_at{};
    std::map<member_id, duration> failing_for;
  };
  std::map<instance_id, instance_observation> observations_;
};

}
