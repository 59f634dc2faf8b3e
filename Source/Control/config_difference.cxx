#include "Control/configuration.h"

#include <map>

namespace persimmonshelf {

namespace {

// Fields of one named item, in a fixed order.
using field_list = std::vector<std::pair<std::string, std::string>>;

std::string
milliseconds(duration value)
{
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

template<typename ids>
std::string
joined(const ids& list)
{
  std::string text = "[";
  for (const auto& id : list) {
    text += (text.size() > 1 ? ", " : "") + id.get();
  }
  return text + "]";
}

// Converts the configuration into named items with their fields, so that one comparison handles all
// kinds.
std::map<std::string, field_list>
flatten(const configuration& config)
{
  std::map<std::string, field_list> items;
  for (const auto& workspace : config.workspaces()) {
    items["workspace " + workspace.id.get()] = { { "rate", std::to_string(workspace.rate) },
                                                 { "burst", std::to_string(workspace.burst) } };
  }
  for (const auto& database : config.databases()) {
    items["database " + database.id.get()] = {
      { "slots", std::to_string(database.slots) },
      { "connections", std::to_string(database.connections) },
      { "default_max_age_ms", milliseconds(database.default_max_age) },
    };
    for (const auto& member : database.members) {
      items["database " + database.id.get() + " member " + member.id.get()] = {
        { "zone", member.zone.get() }, { "address", member.address }
      };
    }
  }
  for (const auto& route : config.routes()) {
    items["route " + route.id.get()] = { { "databases", joined(route.databases) },
                                         { "workspaces", joined(route.workspaces) },
                                         { "open", route.open ? "true" : "false" } };
  }
  const auto& settings = config.settings();
  items["settings"] = { { "default_deadline_ms", milliseconds(settings.default_deadline) },
                        { "max_deadline_ms", milliseconds(settings.max_deadline) },
                        { "queue_per_workspace", std::to_string(settings.queue_per_workspace) },
                        { "idle_transaction_ms", milliseconds(settings.idle_transaction) } };
  return items;
}

std::string
summary(const field_list& fields)
{
  std::string text;
  for (const auto& [name, value] : fields) {
    text.append(text.empty() ? "" : ", ").append(name).append(" ").append(value);
  }
  return text;
}

}

std::vector<std::string>
describe_difference(const configuration& before, const configuration& after)
{
  const auto old_items = flatten(before);
  const auto new_items = flatten(after);
  std::map<std::string, std::vector<std::string>> lines;
  for (const auto& [name, fields] : old_items) {
    const auto found = new_items.find(name);
    if (found == new_items.end()) {
      lines[name].push_back(name + ": removed");
      continue;
    }
    for (std::size_t i = 0; i < fields.size(); ++i) {
      const auto& [field, value] = fields[i];
      const auto& changed = found->second[i].second;
      if (value != changed) {
        auto& line = lines[name].emplace_back(name);
        line.append(": ").append(field).append(" ").append(value).append(" -> ").append(changed);
      }
    }
  }
  for (const auto& [name, fields] : new_items) {
    if (old_items.count(name) == 0) {
      lines[name].push_back(name + ": added (" + summary(fields) + ")");
    }
  }
  std::vector<std::string> all;
  for (auto& [name, changes] : lines) {
    all.insert(all.end(), changes.begin(), changes.end());
  }
  return all;
}

}
