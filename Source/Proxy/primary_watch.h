#pragma once

#include "Proxy/fleet_exchange.h"

#include <map>
#include <optional>
#include <string>

namespace persimmonshelf {

// Why a primary should be replaced.
enum class primary_trouble : std::uint8_t
{
  none,
  // It announced that it will leave.
  leaving,
  // It is not in the members' list, or too many instances cannot reach it.
  lost,
};

// Decides from the reports of all instances and the members' list whether a group's primary has to
// be replaced. One instance that cannot reach it proves nothing; its own path may be cut.
class primary_watch
{
public:
  void report(const instance_report& report, instant now);

  // `list_is_sound` is false while the list cannot be relied upon: entries that lapsed during an
  // outage of the store are back soon after its return.
  primary_trouble judge(const member_id& primary,
                        const std::vector<listed_member>& members,
                        bool list_is_sound,
                        instant now) const;

private:
  struct instance_opinion
  {
    instant heard{};
    std::map<member_id, duration> failing;
  };
  std::map<instance_id, instance_opinion> opinions_;
};

}
