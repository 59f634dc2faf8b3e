#include "Proxy/fleet_configuration.h"

#include <utility>

namespace persimmonshelf {

namespace {

template<typename key, typename item>
const item*
find_indexed(const std::map<key, std::size_t>& index,
             const key& name,
             const std::vector<item>& items)
{
  const auto found = index.find(name);
  return found == index.end() ? nullptr : &items[found->second];
}

}

configuration_index::configuration_index(fleet_configuration configuration)
  : configuration_(std::move(configuration))
{
  for (std::size_t i = 0; i < configuration_.routes.size(); ++i) {
    routes_.emplace(configuration_.routes[i].database, i);
  }
  for (std::size_t i = 0; i < configuration_.groups.size(); ++i) {
    groups_.emplace(configuration_.groups[i].name, i);
  }
  for (std::size_t i = 0; i < configuration_.workspaces.size(); ++i) {
    workspaces_.emplace(configuration_.workspaces[i].name, i);
    for (const auto& key : configuration_.workspaces[i].keys) {
      keys_.emplace(key, i);
    }
  }
}

const proxy_route*
configuration_index::route_of(const database_id& database) const
{
  return find_indexed(routes_, database, configuration_.routes);
}

const proxy_group*
configuration_index::group_of(const std::string& name) const
{
  return find_indexed(groups_, name, configuration_.groups);
}

const proxy_workspace*
configuration_index::workspace_of_key(const std::string& key) const
{
  return find_indexed(keys_, key, configuration_.workspaces);
}

const proxy_workspace*
configuration_index::workspace(const workspace_id& name) const
{
  return find_indexed(workspaces_, name, configuration_.workspaces);
}

}
