#pragma once

#include "Proxy/coordinator_messages.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace persimmonshelf::testing {

inline instant
at(std::int64_t ms)
{
  return instant(std::chrono::milliseconds(ms));
}

inline duration
ms(std::int64_t count)
{
  return std::chrono::milliseconds(count);
}

// A version of a store that states no era.
inline store_version
revision_of(std::uint64_t number)
{
  return { store_era(0), number };
}

inline log_point
point(std::uint64_t in_term, std::uint64_t number)
{
  return { term(in_term), log_position(number) };
}

// A position that the member m1 answered to instance a.
inline timed_position
observed(const log_point& position, instant observed_at)
{
  return { position, observed_at, { member_id("m1"), instance_id("a") } };
}

inline listed_member
make_member(const std::string& id,
            const std::string& zone,
            bool primary,
            const std::string& group = "g")
{
  listed_member member;
  member.id = member_id(id);
  member.group = group;
  member.address = "10.0.0.1:1";
  member.zone = zone_id(zone);
  member.claims_primary = primary;
  return member;
}

inline proxy_workspace
make_workspace(const std::string& name, double rate, double burst)
{
  return { workspace_id(name), { "key-" + name }, rate, burst };
}

// One group of three members, one database for each kind of route, and one workspace.
inline fleet_configuration
make_configuration(std::uint64_t version = 1)
{
  fleet_configuration configuration;
  configuration.version = config_version(version);
  proxy_route route;
  route.group = "g";
  route.statement_timeout = ms(800);
  route.target_latency = ms(200);
  route.max_staleness = ms(1500);
  route.name = "writes";
  route.database = database_id("writes");
  route.kind = consistency::primary;
  configuration.routes.push_back(route);
  route.name = "stale";
  route.database = database_id("stale");
  route.kind = consistency::bounded_staleness;
  configuration.routes.push_back(route);
  route.name = "own";
  route.database = database_id("own");
  route.kind = consistency::read_your_writes;
  configuration.routes.push_back(route);
  configuration.groups.push_back({ "g", 54, 0 });
  configuration.workspaces.push_back(make_workspace("w", 100, 100));
  return configuration;
}

}
