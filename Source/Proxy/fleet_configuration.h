#pragma once

#include "Base/ids.h"
#include "Base/instant.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonshelf {

// Consistency guarantee of the reads on a route.
enum class consistency : std::uint8_t
{
  // Includes every commit acknowledged before the read began.
  primary,
  // Includes every commit acknowledged longer ago than the route's staleness bound.
  bounded_staleness,
  // Like bounded_staleness, and includes every commit of the same session.
  read_your_writes,
};

// Priority of workspaces for which the configuration states none.
inline constexpr std::uint32_t lowest_priority = std::numeric_limits<std::uint32_t>::max();

// One route of the configuration. Callers select it by its database.
struct proxy_route
{
  std::string name;
  database_id database;
  consistency kind = consistency::primary;
  // Longest time one statement may take.
  duration statement_timeout{};
  // Target for a whole operation; determines the order of the queue.
  duration target_latency{};
  // 0 is the highest priority.
  std::uint32_t priority = 0;
  // Group of backend servers that holds the database.
  std::string group;
  duration max_staleness{};
  // True if callers need no API key.
  bool open_to_all = false;

  friend bool operator==(const proxy_route&, const proxy_route&) = default;
};

// One replicated group of backend servers.
struct proxy_group
{
  std::string name;
  // Connection limit of one member, over all callers.
  std::uint32_t max_connections = 0;
  // Number of replicas that must hold a commit before it is acknowledged.
  std::uint32_t sync_replicas = 0;

  friend bool operator==(const proxy_group&, const proxy_group&) = default;
};

// A workspace's API keys and its rate limit, in operations over all instances.
struct proxy_workspace
{
  workspace_id name;
  std::vector<std::string> keys;
  double rate_per_s = 0;
  double burst = 0;
  // 0 is the highest priority. A workspace without one has the lowest.
  std::uint32_t priority = lowest_priority;
  // False if members cannot be told the name, so that nothing can run for the workspace.
  bool has_usable_name = true;

  friend bool operator==(const proxy_workspace&, const proxy_workspace&) = default;
};

// The operators' configuration as the proxy uses it. Versions only increase.
struct fleet_configuration
{
  config_version version;
  std::vector<proxy_route> routes;
  std::vector<proxy_group> groups;
  std::vector<proxy_workspace> workspaces;
  // Longest idle time inside a transaction before the proxy may end it; zero means no limit.
  duration transaction_idle_limit{};
  // Why entries of the text were left out, one reason each, for the log.
  std::vector<std::string> unusable_entries;
};

// Finds routes, groups and workspaces of one configuration by name.
class configuration_index
{
public:
  configuration_index() = default;
  explicit configuration_index(fleet_configuration configuration);

  const fleet_configuration& configuration() const { return configuration_; }
  const proxy_route* route_of(const database_id& database) const;
  const proxy_group* group_of(const std::string& name) const;
  // Null if no workspace has the key.
  const proxy_workspace* workspace_of_key(const std::string& key) const;
  const proxy_workspace* workspace(const workspace_id& name) const;

private:
  fleet_configuration configuration_;
  std::map<database_id, std::size_t> routes_;
  std::map<std::string, std::size_t> groups_;
  std::map<std::string, std::size_t> keys_;
  std::map<workspace_id, std::size_t> workspaces_;
};

// One member of a group, from the members' list.
struct listed_member
{
  member_id id;
  std::string group;
  std::string address;
  zone_id zone;
  // True once the member announced that it will leave.
  bool draining = false;
  // The member's own report of its role; it may have been replaced since.
  bool claims_primary = false;
  std::uint32_t slots = 1;
  duration warmup_left{};
  // Increases with each report of one run of the member.
  std::uint64_t report_number = 0;
  // Start time of the member in wall-clock milliseconds, or zero if not reported. Distinguishes two
  // runs with the same id.
  std::uint64_t started_at_ms = 0;

  friend bool operator==(const listed_member&, const listed_member&) = default;
};

}
