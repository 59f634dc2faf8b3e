#include "Proxy/carriers.h"

#include "Base/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace persimmonshelf {

namespace {

// Connections to each member that an instance needs to serve its own callers: an idle transaction
// holds one while a statement runs on the other.
constexpr std::uint32_t min_connections_per_instance = 2;
// A connection serves one workspace at a time. With more workspaces than this per connection, most
// statements would open a new connection.
constexpr std::size_t workspaces_per_connection = 4;
// Upper limit, because the coordinator answers each carrier several times per second.
constexpr std::size_t max_carriers = 64;
// Minimum number of connections from a carrier to each member, so that it serves several workspaces
// without opening new connections.
constexpr std::uint32_t min_connections_per_carrier = 4;
// Carriers in each zone. A partitioned zone keeps one carrier when another fails.
constexpr std::size_t carriers_per_zone = 2;
// Carriers in each zone that should be available at any time.
constexpr std::size_t available_carriers_per_zone = 1;
// Minimum fraction of the fleet's processor capacity that the carriers have together.
constexpr double capacity_fraction = 0.2;
// Smallest capacity used as a divisor.
constexpr double min_capacity = 1e-6;
// A double represents the remaining 53 bits of a hash exactly; they have 2^53 values.
constexpr int dropped_hash_bits = 11;
constexpr double hash_values = 9007199254740992.0;

std::uint32_t
usable_connections(std::uint32_t connections)
{
  return connections > reserved_connections ? connections - reserved_connections : 1;
}

double
total_capacity(const std::vector<carrier>& instances)
{
  double total = 0;
  for (const auto& instance : instances) {
    total += instance.capacity;
  }
  return total;
}

// Capacity of the available instances.
double
available_capacity(const std::vector<carrier>& instances)
{
  double total = 0;
  for (const auto& instance : instances) {
    total += instance.unavailable ? 0 : instance.capacity;
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

// Distributes the bits of a hash, because the hashes of similar texts are similar.
std::uint64_t
mix_bits(std::uint64_t bits)
{
  bits ^= bits >> 30;
  bits *= 0xbf58476d1ce4e5b9ULL;
  bits ^= bits >> 27;
  bits *= 0x94d049bb133111ebULL;
  return bits ^ (bits >> 31);
}

// Sorts by capacity, highest first. Equal capacities are sorted by hash, so all instances get the
// same order.
void
sort_by_capacity(std::vector<carrier>& instances)
{
  std::sort(instances.begin(), instances.end(), [](const carrier& left, const carrier& right) {
    return left.capacity != right.capacity ? left.capacity > right.capacity
                                           : mix_bits(stable_hash(left.instance.get())) <
                                               mix_bits(stable_hash(right.instance.get()));
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

bool
is_sufficient(const std::vector<carrier>& chosen,
              const std::vector<carrier>& live,
              std::size_t per_zone)
{
  return total_capacity(chosen) >= capacity_fraction * total_capacity(live) &&
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
                std::size_t max_count,
                bool stable)
{
  const auto available = available_of(live);
  auto serving = available_of(carriers);
  if (stable && is_sufficient(serving, available, available_carriers_per_zone)) {
    return;
  }
  const auto first_substitute = serving.size();
  for (const auto& entry : available_of(retain(previous, live, true))) {
    if (!contains(carriers, entry.instance)) {
      serving.push_back(entry);
    }
  }
  while (serving.size() < max_count &&
         !is_sufficient(serving, available, available_carriers_per_zone) &&
         add_largest(serving, available)) {
  }
  for (auto index = first_substitute; index < serving.size(); ++index) {
    serving[index].substitute = true;
    carriers.push_back(serving[index]);
  }
}

std::vector<carrier>
select_carriers(const carrier_plan& previous,
                const std::vector<carrier>& live,
                const carrier_constraints& constraints)
{
  const auto max_count = std::max<std::size_t>(
    1, usable_connections(constraints.connections) / min_connections_per_carrier);
  auto carriers = retain(previous, live, false);
  while (carriers.size() < max_count && !is_sufficient(carriers, live, carriers_per_zone) &&
         add_largest(carriers, live)) {
  }
  add_substitutes(carriers, previous, live, max_count, constraints.stable);
  return carriers;
}

// True if each instance can serve its own callers.
bool
all_can_serve(std::size_t instances, const carrier_constraints& constraints)
{
  const auto per_instance = usable_connections(constraints.connections) / instances;
  return per_instance >= min_connections_per_instance &&
         per_instance * workspaces_per_connection >= constraints.workspaces &&
         instances <= max_carriers;
}

}

bool
carrier_plan::carries(const instance_id& instance) const
{
  return everyone || contains(carriers, instance);
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
  next.everyone = previous.decided() ? previous.everyone &&
                                         usable_connections(constraints.connections) >= live.size()
                                     : all_can_serve(live.size(), constraints);
  if (!next.everyone) {
    next.carriers = select_carriers(previous, live, constraints);
  }
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

std::uint32_t
connection_limit(const carrier_plan& plan,
                 const instance_id& own,
                 std::uint32_t connections,
                 std::uint32_t instances)
{
  if (plan.everyone || !plan.decided()) {
    return std::max<std::uint32_t>(
      1, usable_connections(connections) / std::max<std::uint32_t>(1, instances));
  }
  const auto found = std::find_if(plan.carriers.begin(),
                                  plan.carriers.end(),
                                  [&](const carrier& entry) { return entry.instance == own; });
  if (found == plan.carriers.end() || found->unavailable) {
    return 1;
  }
  const double fraction = found->capacity / available_capacity(plan.carriers);
  return std::max<std::uint32_t>(
    1, static_cast<std::uint32_t>(usable_connections(connections) * fraction));
}

std::vector<const carrier*>
rank_carriers(const carrier_plan& plan, std::string_view routing_key)
{
  std::vector<std::pair<double, const carrier*>> scored;
  for (const auto& entry : plan.carriers) {
    const auto hash = mix_bits(stable_hash(entry.instance.get() + "/" + std::string(routing_key)));
    // Uniform in (0, 1]; a carrier with twice the capacity is first twice as often.
    const double uniform = (static_cast<double>(hash >> dropped_hash_bits) + 1) / hash_values;
    scored.emplace_back(-std::log(uniform) / std::max(entry.capacity, min_capacity), &entry);
  }
  std::sort(scored.begin(), scored.end());
  std::vector<const carrier*> ranked;
  ranked.reserve(scored.size());
  for (const auto& [score, entry] : scored) {
    ranked.push_back(entry);
  }
  return ranked;
}

}
