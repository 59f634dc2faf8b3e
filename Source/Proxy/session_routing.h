#pragma once

#include "Base/ids.h"
#include "Proxy/carriers.h"
#include "Proxy/fleet_configuration.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// Connections of a member that are kept free for restarted instances, because the connections of a
// killed instance count until the member drops them.
inline constexpr std::uint32_t reserved_connections = 2;

// Connections of a member that the carriers share.
std::uint32_t
usable_connections(std::uint32_t connections);

// What decides which carrier of a zone runs a session. A connection to a member serves one
// workspace, so the sessions of a workspace are kept together, which also keeps the workspace's
// rate limit in few parts.
struct routing_key
{
  // Empty if the database is unknown.
  std::string group;
  // Empty if the key belongs to no workspace.
  workspace_id workspace;

  friend bool operator==(const routing_key&, const routing_key&) = default;
};

// A routing key as text without spaces and line ends, whatever the names contain. Any text can be
// decoded; one that is not an encoded key becomes a key without a group.
std::string
encode_routing_key(const routing_key& key);
routing_key
decode_routing_key(std::string_view text);

// The carriers in the order of preference for sessions of callers in `zone`: first those of the
// zone, then the other zones. Sessions thus cross no zone on the way to their carrier, and a
// partitioned zone serves its own callers. Within a zone, the carriers of the group come first;
// weighted rendezvous hashing gives each a share of the workspaces in proportion to its capacity.
// Instances with the same plan get the same order, and a carrier that leaves moves only its own
// sessions.
std::vector<const carrier*>
rank_carriers(const carrier_plan& plan, const routing_key& key, const zone_id& zone);

// Maximum number of connections that each carrier may hold to one member of the group, in
// proportion to the rates of the workspaces whose sessions it runs. Carriers that are not listed
// may hold one.
std::map<instance_id, std::uint32_t>
connection_limits(const carrier_plan& plan,
                  const proxy_group& group,
                  const std::vector<proxy_workspace>& workspaces);

}
