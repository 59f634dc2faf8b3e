#include "Proxy/carriers.h"

#include "Base/stable_hash.h"
#include "Proxy/session_routing.h"

#include <algorithm>
#include <set>

namespace persimmonshelf {

namespace {

// Upper limit of the number of carriers.
constexpr std::size_t max_carriers = 64;
// The coordinator answers each carrier this often.
constexpr double reports_per_second = 4;
// Processor time of a report and its answer, with each workspace and group that they list.
constexpr double report_seconds = 150e-6;
constexpr double listed_item_seconds = 10e-6;
// Fraction of the strongest instance's capacity that reports may take, since it also runs sessions.
constexpr double control_fraction = 0.25;
// Instances with at least this fraction of the strongest one's capacity are carriers.
constexpr double strong_fraction = 0.5;
// Number of connections to each member with which a carrier serves several workspaces at a time
// without opening new ones for most statements.
constexpr std::uint32_t connections_per_carrier = 5;
// Carriers in each zone. A partitioned zone keeps one carrier when another fails.
constexpr std::size_t carriers_per_zone = 2;
// Carriers in each zone for one group, so that another one takes over when one fails.
constexpr std::uint32_t min_carriers_per_group = 2;
// Carriers in each zone that should be available at any time.
constexpr std::size_t available_carriers_per_zone = 1;
// Minimum fraction of the fleet's processor capacity that the carriers have together.
constexpr double capacity_fraction = 0.2;

double
total_capacity(const std::vector<carrier>& instances)
{
  double total = 0;
  for (const auto& instance : instances) {
    total += instance.capacity;
  }
  return total;
}

bool
contains(const std::vector<carrier>& instances, const instance_id& instance)
{
  return std::any_of(instances.begin(), instances.end(), [&](const carrier& entry) {
    return entry.instance == instance;
  });
}

std::size_t
count_in_zone(const std::vector<carrier>& instances, const zone_id& zone)
{
  return static_cast<std::size_t>(std::count_if(
    instances.begin(), instances.end(), [&](const carrier& entry) { return entry.zone == zone; }));
}

// Sorts by capacity, highest first. Equal capacities are sorted by hash, so all instances get the
// same order.
void
sort_by_capacity(std::vector<carrier>& instances)
{
  std::sort(instances.begin(), instances.end(), [](const carrier& left, const carrier& right) {
    return left.capacity != right.capacity ? left.capacity > right.capacity
                                           : mix_hash(stable_hash(left.instance.get())) <
                                               mix_hash(stable_hash(right.instance.get()));
  });
}

// Adds the largest instance of the zone with the fewest carriers; false if none is left.
bool
add_largest(std::vector<carrier>& chosen, const std::vector<carrier>& live)
{
  const carrier* best = nullptr;
  std::size_t fewest = 0;
  for (const auto& candidate : live) {
    if (contains(chosen, candidate.instance)) {
      continue;
    }
    const auto count = count_in_zone(chosen, candidate.zone);
    if (best == nullptr || count < fewest) {
      best = &candidate;
      fewest = count;
    }
  }
  if (best == nullptr) {
    return false;
  }
  chosen.push_back(*best);
  return true;
}

bool
covers_zones(const std::vector<carrier>& chosen,
             const std::vector<carrier>& live,
             std::size_t per_zone)
{
  return std::all_of(live.begin(), live.end(), [&](const carrier& instance) {
    return count_in_zone(chosen, instance.zone) >=
           std::min(per_zone, count_in_zone(live, instance.zone));
  });
}

// True if the carriers have enough processor capacity, or are as many as the coordinator can
// answer, and each zone has some.
bool
is_sufficient(const std::vector<carrier>& chosen,
              const std::vector<carrier>& live,
              std::size_t per_zone,
              std::size_t answerable)
{
  return (chosen.size() >= answerable ||
          total_capacity(chosen) >= capacity_fraction * total_capacity(live)) &&
         covers_zones(chosen, live, per_zone);
}

// The live instances that are carriers in the previous plan: only its substitutes, or only the
// others.
std::vector<carrier>
retain(const carrier_plan& previous, const std::vector<carrier>& live, bool substitutes)
{
  std::vector<carrier> kept;
  for (const auto& instance : live) {
    const bool listed =
      std::any_of(previous.carriers.begin(), previous.carriers.end(), [&](const carrier& entry) {
        return entry.instance == instance.instance && entry.substitute == substitutes;
      });
    if (listed) {
      kept.push_back(instance);
    }
  }
  return kept;
}

std::vector<carrier>
available_of(std::vector<carrier> instances)
{
  std::erase_if(instances, [](const carrier& instance) { return instance.unavailable; });
  return instances;
}

// Adds substitutes until the available carriers suffice, unless they suffice without.
void
add_substitutes(std::vector<carrier>& carriers,
                const carrier_plan& previous,
                const std::vector<carrier>& live,
                std::size_t answerable,
                bool stable)
{
  const auto available = available_of(live);
  auto serving = available_of(carriers);
  if (stable && is_sufficient(serving, available, available_carriers_per_zone, answerable)) {
    return;
  }
  const auto first_substitute = serving.size();
  for (const auto& entry : available_of(retain(previous, live, true))) {
    if (!contains(carriers, entry.instance)) {
      serving.push_back(entry);
    }
  }
  while (serving.size() < max_carriers &&
         !is_sufficient(serving, available, available_carriers_per_zone, answerable) &&
         add_largest(serving, available)) {
  }
  for (auto index = first_substitute; index < serving.size(); ++index) {
    serving[index].substitute = true;
    carriers.push_back(serving[index]);
  }
}

double
highest_capacity(const std::vector<carrier>& instances)
{
  double highest = 0;
  for (const auto& instance : instances) {
    highest = std::max(highest, instance.capacity);
  }
  return highest;
}

// The instances that are about as strong as the strongest one.
std::vector<carrier>
strong_instances(const std::vector<carrier>& live)
{
  const double highest = highest_capacity(live);
  std::vector<carrier> strong;
  for (const auto& instance : live) {
    if (instance.capacity >= strong_fraction * highest) {
      strong.push_back(instance);
    }
  }
  return strong;
}

// Number of carriers whose reports the strongest instance can answer as the coordinator.
std::size_t
answerable_carriers(const std::vector<carrier>& live, const carrier_constraints& constraints)
{
  const double highest = highest_capacity(live);
  const auto items = static_cast<double>(constraints.workspaces + constraints.groups);
  const double seconds = report_seconds + listed_item_seconds * items;
  const auto count =
    static_cast<std::size_t>(control_fraction * highest / (reports_per_second * seconds));
  return std::clamp<std::size_t>(count, 1, max_carriers);
}

std::vector<carrier>
select_carriers(const carrier_plan& previous,
                const std::vector<carrier>& live,
                const carrier_constraints& constraints)
{
  auto carriers = retain(previous, live, false);
  const auto strong = strong_instances(live);
  const auto answerable = answerable_carriers(live, constraints);
  while (carriers.size() < answerable && add_largest(carriers, strong)) {
  }
  while (carriers.size() < max_carriers &&
         !is_sufficient(carriers, live, carriers_per_zone, answerable) &&
         add_largest(carriers, live)) {
  }
  add_substitutes(carriers, previous, live, answerable, constraints.stable);
  return carriers;
}

// Carriers in each zone that share the connections to one group's members. All of them if each
// workspace can have a connection in each zone, since a workspace uses one carrier of a zone.
std::uint32_t
carriers_per_group(const std::vector<carrier>& carriers, const carrier_constraints& constraints)
{
  std::set<zone_id> zones;
  for (const auto& entry : carriers) {
    zones.insert(entry.zone);
  }
  // Connections of one member for the carriers of one zone.
  const auto available = usable_connections(constraints.connections) /
                         static_cast<std::uint32_t>(std::max<std::size_t>(1, zones.size()));
  if (constraints.workspaces <= available) {
    return 0;
  }
  const auto fewest = std::clamp<std::uint32_t>(available, 1, min_carriers_per_group);
  return std::max(fewest, (available + connections_per_carrier / 2) / connections_per_carrier);
}

}

bool
carrier_plan::carries(const instance_id& instance) const
{
  return contains(carriers, instance);
}

carrier_plan
choose_carriers(const carrier_plan& previous,
                std::vector<carrier> live,
                const carrier_constraints& constraints)
{
  if (live.empty()) {
    return previous;
  }
  for (auto& instance : live) {
    instance.substitute = false;
  }
  sort_by_capacity(live);
  carrier_plan next;
  next.carriers = select_carriers(previous, live, constraints);
  next.carriers_per_group = carriers_per_group(next.carriers, constraints);
  std::sort(
    next.carriers.begin(), next.carriers.end(), [](const carrier& left, const carrier& right) {
      return left.instance < right.instance;
    });
  next.version = previous.version;
  if (!previous.decided() || next != previous) {
    next.version = previous.version + 1;
  }
  return next;
}

}
