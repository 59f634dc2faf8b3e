#pragma once

#include "Base/ids.h"
#include "Base/instant.h"
#include "Proxy/member_session.h"
#include "Scheduling/scheduling_types.h"

#include <cstdint>
#include <string>

namespace persimmonshelf {

// One connection to a member.
struct pooled_connection
{
  enum class connection_state : std::uint8_t
  {
    opening,
    idle,
    in_use,
    // The connection is closed; a session may still hold the object.
    closed,
  };
  connection_number number;
  member_id member;
  std::string group;
  // Zone of the member when the connection was opened.
  zone_id zone;
  workspace_id workspace;
  connection_state state = connection_state::opening;
  // What the member keeps for the connection.
  member_session kept;
  instant state_changed_at{};
};

}
