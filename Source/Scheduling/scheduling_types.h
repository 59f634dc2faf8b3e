#pragma once

#include "Base/ids.h"
#include "Base/instant.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace persimmonshelf {

using request_number = strong<struct request_number_tag, std::uint64_t>;
using connection_number = strong<struct connection_number_tag, std::uint64_t>;

// Class of a waiting request. Lower values are more urgent; the route decides before the workspace.
struct request_class
{
  std::uint32_t route_priority = 0;
  std::uint32_t workspace_priority = 0;

  friend auto operator<=>(const request_class&, const request_class&) = default;
};

// Which members of the group may serve a request. Requests of one workspace with the same
// requirement can use the same connections.
struct connection_requirement
{
  bool needs_primary = false;
  std::optional<member_id> excluded_member;

  friend auto operator<=>(const connection_requirement&, const connection_requirement&) = default;
};

// One request that waits for a connection to a member of its group.
struct queued_request
{
  request_number number;
  request_class priority;
  workspace_id workspace;
  connection_requirement requirement;
  instant target{};
  instant expiry{};
  instant arrived{};
};

}
