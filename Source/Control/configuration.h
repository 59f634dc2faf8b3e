#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Base/instant.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace persimmonshelf {

// One member of a database.
struct member_config
{
  member_id id;
  zone_id zone;
  // IP address and port, as "192.0.2.1:5000" or "[2001:db8::1]:5000".
  std::string address;
};

// A replicated database and its limits.
struct database_config
{
  database_id id;
  // Maximum number of statements and open transactions that one member executes at the same time.
  std::int64_t slots = 0;
  // Connection limit for all members of the database together.
  std::int64_t connections = 0;
  duration default_max_age{ 0 };
  std::vector<member_config> members;

  // Share of the connection limit for one member, at least 1. Returns 0 without members.
  std::int64_t connections_per_member() const;
};

// A route, with the databases that it uses and the workspaces that may call it.
struct route_config
{
  route_id id;
  std::vector<database_id> databases;
  std::vector<workspace_id> workspaces;
  // True if requests need no API key. `workspaces` is then empty.
  bool open = false;

  bool uses(const database_id& database) const;
  bool allows(const workspace_id& workspace) const;
};

// A workspace and its request rate limit.
struct workspace_config
{
  workspace_id id;
  // Requests per second and burst size in requests, for the whole fleet.
  std::int64_t rate = 0;
  std::int64_t burst = 0;
};

// Settings that apply to the whole fleet.
struct fleet_settings
{
  duration default_deadline = std::chrono::milliseconds(5000);
  duration max_deadline = std::chrono::milliseconds(60000);
  std::int64_t queue_per_workspace = 100;
  duration idle_transaction = std::chrono::milliseconds(10000);
};

// The operators' validated configuration. Immutable. Lookups take constant time.
class configuration
{
public:
  struct member_location
  {
    const database_config* database;
    const member_config* member;
  };

  // An empty configuration with default settings.
  configuration() = default;

  // Parses and validates the operators' text. The error (config_invalid) has one line for each
  // error, such as "line 12: databases[1].slots: expected an integer from 1 to 1000". At most 20
  // are listed, followed by a line with the number of further errors.
  static result<configuration> parse(std::string_view text);

  // The lookups return null for an unknown name. Pointers are valid for the lifetime of the object.
  const route_config* find_route(const route_id& id) const;
  const database_config* find_database(const database_id& id) const;
  const workspace_config* find_workspace(const workspace_id& id) const;
  // Returns the member and its database, or two null pointers for an unknown name. Member names are
  // unique across all databases.
  member_location find_member(const member_id& id) const;

  const std::vector<route_config>& routes() const { return routes_; }
  const std::vector<database_config>& databases() const { return databases_; }
  const std::vector<workspace_config>& workspaces() const { return workspaces_; }
  const fleet_settings& settings() const { return settings_; }

  // Zones with a member of any database, sorted.
  const std::vector<zone_id>& zones() const { return zones_; }

  // Warnings that do not prevent the text from being accepted. Each has its line; they are in the
  // order of the text.
  const std::vector<std::string>& warnings() const { return warnings_; }

private:
  friend class config_parser;
  // Builds the lookup indexes after the lists are complete.
  void index();

  std::vector<route_config> routes_;
  std::vector<database_config> databases_;
  std::vector<workspace_config> workspaces_;
  fleet_settings settings_;
  std::vector<zone_id> zones_;
  std::vector<std::string> warnings_;
  // Indexes into the lists instead of pointers, so that a copied configuration does not refer to
  // its source.
  std::unordered_map<route_id, std::size_t> route_index_;
  std::unordered_map<database_id, std::size_t> database_index_;
  std::unordered_map<workspace_id, std::size_t> workspace_index_;
  std::unordered_map<member_id, std::pair<std::size_t, std::size_t>> member_index_;
};

// Describes the changes between two configurations, one line for each change, such as "workspace a:
// rate 10 -> 20". Empty if both are equivalent.
std::vector<std::string>
describe_difference(const configuration& before, const configuration& after);

}
