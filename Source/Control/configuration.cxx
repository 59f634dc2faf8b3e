#include "Control/configuration.h"

#include "Control/config_parser.h"

#include <algorithm>
#include <set>

namespace persimmonshelf {

namespace {

template<typename index, typename list>
auto
look_up(const index& positions, const list& items, const typename index::key_type& id)
{
  const auto found = positions.find(id);
  return found == positions.end() ? nullptr : &items[found->second];
}

}

std::int64_t
database_config::connections_per_member() const
{
  return members.empty() ? 0 : connections / static_cast<std::int64_t>(members.size());
}

bool
route_config::uses(const database_id& database) const
{
  return std::find(databases.begin(), databases.end(), database) != databases.end();
}

bool
route_config::allows(const workspace_id& workspace) const
{
  return std::find(workspaces.begin(), workspaces.end(), workspace) != workspaces.end();
}

result<configuration>
configuration::parse(std::string_view text)
{
  return config_parser::parse(text);
}

const route_config*
configuration::find_route(const route_id& id) const
{
  return look_up(route_index_, routes_, id);
}

const database_config*
configuration::find_database(const database_id& id) const
{
  return look_up(database_index_, databases_, id);
}

const workspace_config*
configuration::find_workspace(const workspace_id& id) const
{
  return look_up(workspace_index_, workspaces_, id);
}

configuration::member_location
configuration::find_member(const member_id& id) const
{
  const auto found = member_index_.find(id);
  if (found == member_index_.end()) {
    return { nullptr, nullptr };
  }
  const auto& database = databases_[found->second.first];
  return { &database, &database.members[found->second.second] };
}

void
configuration::index()
{
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    route_index_.emplace(routes_[i].id, i);
  }
  for (std::size_t i = 0; i < workspaces_.size(); ++i) {
    workspace_index_.emplace(workspaces_[i].id, i);
  }
  std::set<zone_id> zones;
  for (std::size_t i = 0; i < databases_.size(); ++i) {
    database_index_.emplace(databases_[i].id, i);
    const auto& members = databases_[i].members;
    for (std::size_t k = 0; k < members.size(); ++k) {
      member_index_.emplace(members[k].id, std::pair(i, k));
      zones.insert(members[k].zone);
    }
  }
  zones_.assign(zones.begin(), zones.end());
}

}
