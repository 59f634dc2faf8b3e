#pragma once

#include "Proxy/coordinator_messages.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace persimmonshelf {

// Why a primary should be replaced.
enum class replacement_reason : std::uint8_t
{
  none,
  // The primary announced that it will leave.
  leaving,
  // The primary's zone is evacuated, and a member outside the evacuated zones may lead.
  evacuated,
  // The primary is not in the members' list, or too many instances cannot reach it.
  unreachable,
};

// Decides from the reports of all instances and the members' list whether a group's primary must be
// replaced. A single instance that cannot reach it is not enough, because its own network path may
// be broken.
class primary_failure_detector
{
public:
  void record_report(const instance_report& report, instant now);

  // `evacuated` are the members in evacuated zones; a planned replacement needs one elsewhere.
  // `list_is_reliable` is false while the list cannot be trusted: entries that expired during an
  // outage of the store reappear soon after it returns.
  replacement_reason assess(const member_id& primary,
                            const std::vector<listed_member>& members,
                            const std::set<member_id>& evacuated,
                            bool list_is_reliable,
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
