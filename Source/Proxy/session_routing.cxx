#include "Proxy/session_routing.h"

#include "Base/percent_encoding.h"
#include "Base/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonshelf {

namespace {

// Rate of a workspace without one, in operations per second.
constexpr double assumed_rate = 1;
// Smallest capacity used as a divisor.
constexpr double min_capacity = 1e-6;
// A double represents the remaining 53 bits of a hash exactly; they have 2^53 values.
constexpr int dropped_hash_bits = 11;
constexpr double hash_values = 9007199254740992.0;
// Separates the fields of an encoded key, in which no field contains it.
constexpr char separator = '\t';

using carrier_list = std::vector<const carrier*>;

// Lowest for the carrier that a seed prefers. A carrier with twice the capacity is preferred by
// twice as many seeds.
double
score(const carrier& entry, std::uint64_t seed)
{
  const auto hash = mix_hash(stable_hash(entry.instance.get()) ^ mix_hash(seed));
  // Uniform in (0, 1].
  const double uniform = (static_cast<double>(hash >> dropped_hash_bits) + 1) / hash_values;
  return -std::log(uniform) / std::max(entry.capacity, min_capacity);
}

void
sort_by_score(carrier_list& carriers, std::uint64_t seed)
{
  std::vector<std::pair<double, const carrier*>> scored;
  scored.reserve(carriers.size());
  for (const auto* entry : carriers) {
    scored.emplace_back(score(*entry, seed), entry);
  }
  std::sort(scored.begin(), scored.end());
  std::transform(
    scored.begin(), scored.end(), carriers.begin(), [](const auto& entry) { return entry.second; });
}

// The carriers of one zone, first those that run the sessions of a group.
struct zone_carriers
{
  zone_id zone;
  carrier_list of_group;
  carrier_list others;
};

// The carriers by zone. A group's carriers include so many available ones as the plan states.
std::vector<zone_carriers>
carriers_by_zone(const carrier_plan& plan, const std::string& group)
{
  std::map<zone_id, carrier_list> zones;
  for (const auto& entry : plan.carriers) {
    zones[entry.zone].push_back(&entry);
  }
  const auto seed = stable_hash(group);
  std::vector<zone_carriers> sorted;
  for (auto& [zone, carriers] : zones) {
    sort_by_score(carriers, seed);
    zone_carriers next{ zone, {}, {} };
    std::uint32_t available = 0;
    for (const auto* entry : carriers) {
      const bool enough = plan.carriers_per_group > 0 && available >= plan.carriers_per_group;
      (enough ? next.others : next.of_group).push_back(entry);
      available += entry->unavailable ? 0 : 1;
    }
    sorted.push_back(std::move(next));
  }
  return sorted;
}

// Appends the carriers of one zone after another, the caller's zone first.
carrier_list
rank_by_zone(std::vector<zone_carriers> zones, const routing_key& key, const zone_id& own_zone)
{
  const auto seed = stable_hash(key.workspace.get());
  const auto order = [&](const zone_carriers& entry) {
    return std::pair(entry.zone != own_zone, mix_hash(seed ^ stable_hash(entry.zone.get())));
  };
  std::sort(zones.begin(), zones.end(), [&](const auto& left, const auto& right) {
    return order(left) < order(right);
  });
  carrier_list ranked;
  for (auto& zone : zones) {
    sort_by_score(zone.of_group, seed);
    sort_by_score(zone.others, seed);
    ranked.insert(ranked.end(), zone.of_group.begin(), zone.of_group.end());
    ranked.insert(ranked.end(), zone.others.begin(), zone.others.end());
  }
  return ranked;
}

double
rate_of(const proxy_workspace& workspace)
{
  return workspace.rate_per_s > 0 ? workspace.rate_per_s : assumed_rate;
}

// The available carrier of the list that a workspace's sessions prefer; null if there is none.
const carrier*
preferred(const carrier_list& carriers, std::uint64_t seed)
{
  const carrier* best = nullptr;
  double lowest = 0;
  for (const auto* entry : carriers) {
    if (entry->unavailable) {
      continue;
    }
    const auto next = score(*entry, seed);
    if (best == nullptr || next < lowest) {
      best = entry;
      lowest = next;
    }
  }
  return best;
}

// What a carrier needs connections to the members of a group for.
struct connection_demand
{
  // Rates of the workspaces whose sessions it runs.
  double rate = 0;
  std::uint32_t workspaces = 0;
};

// Divides the connections: one for each workspace that a carrier runs while there are enough, at
// least one for each carrier, and the others in proportion to the rates.
std::map<instance_id, std::uint32_t>
divide_connections(const std::map<instance_id, connection_demand>& demands, std::uint32_t total)
{
  std::uint32_t pairs = 0;
  for (const auto& [instance, demand] : demands) {
    pairs += std::max<std::uint32_t>(1, demand.workspaces);
  }
  std::map<instance_id, std::uint32_t> parts;
  std::uint32_t assigned = 0;
  for (const auto& [instance, demand] : demands) {
    parts[instance] = pairs <= total ? std::max<std::uint32_t>(1, demand.workspaces) : 1;
    assigned += parts[instance];
  }
  const auto rate_for_next = [&](const instance_id& instance) {
    return std::max(demands.at(instance).rate, assumed_rate) / (parts.at(instance) + 1);
  };
  for (; assigned < total; ++assigned) {
    auto most = parts.begin();
    for (auto entry = parts.begin(); entry != parts.end(); ++entry) {
      if (rate_for_next(entry->first) > rate_for_next(most->first)) {
        most = entry;
      }
    }
    ++most->second;
  }
  return parts;
}

}

std::uint32_t
usable_connections(std::uint32_t connections)
{
  return connections > reserved_connections ? connections - reserved_connections : 1;
}

std::string
encode_routing_key(const routing_key& key)
{
  return percent_encode(key.group) + separator + percent_encode(key.workspace.get());
}

routing_key
decode_routing_key(std::string_view text)
{
  const auto end = text.find(separator);
  if (end != std::string_view::npos) {
    auto group = percent_decode(text.substr(0, end));
    auto workspace = percent_decode(text.substr(end + 1));
    if (group && workspace) {
      return { std::move(*group), workspace_id(std::move(*workspace)) };
    }
  }
  return { {}, workspace_id(std::string(text)) };
}

std::vector<const carrier*>
rank_carriers(const carrier_plan& plan, const routing_key& key, const zone_id& zone)
{
  return rank_by_zone(carriers_by_zone(plan, key.group), key, zone);
}

std::map<instance_id, std::uint32_t>
connection_limits(const carrier_plan& plan,
                  const proxy_group& group,
                  const std::vector<proxy_workspace>& workspaces)
{
  const auto zones = carriers_by_zone(plan, group.name);
  std::map<instance_id, connection_demand> demands;
  for (const auto& zone : zones) {
    for (const auto* entry : zone.of_group) {
      if (!entry->unavailable) {
        demands[entry->instance] = {};
      }
    }
  }
  if (demands.empty()) {
    return {};
  }
  for (const auto& workspace : workspaces) {
    const auto seed = stable_hash(workspace.name.get());
    for (const auto& zone : zones) {
      // Sessions of a zone without an available carrier are rare and use the others' connections.
      if (const auto* home = preferred(zone.of_group, seed)) {
        demands[home->instance].rate += rate_of(workspace);
        ++demands[home->instance].workspaces;
      }
    }
  }
  return divide_connections(demands, usable_connections(group.max_connections));
}

}
