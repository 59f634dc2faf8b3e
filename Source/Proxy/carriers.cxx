#include "Proxy/carriers.h"

#include "Base/stable_hash.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace persimmonshelf {

namespace {

// Connections to each member with which an instance serves callers by itself: a transaction rests
// on one while a statement runs on the other.
constexpr std::uint32_t own_connections = 2;
// A connection serves one workspace at a time; with more workspaces than this for each connection,
// most statements would open one anew.
constexpr std::size_t workspaces_of_connection = 4;
// The coordinator answers each instance that carries several times a second.
constexpr std::size_t most_carriers = 64;
// Connections to each member that a carrier should have at least, so that it serves several
// workspaces without opening connections anew.
constexpr std::uint32_t carrier_connections = 4;
// Carriers in each zone, so that a zone that is cut off keeps one when another fails.
constexpr std::size_t carriers_in_zone = 2;
// Carriers in each zone that should be there at any time.
constexpr std::size_t present_in_zone = 1;
// Part of the fleet's processor time that carriers should have together.
constexpr double capacity_part = 0.2;

std::uint32_t
usable(std::uint32_t connections)
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

// Of those that are not away.
double
present_capacity(const std::vector<carrier>& instances)
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

// Spreads the bits of a hash, since similar texts have similar ones.
std::uint64_t
mix(std::uint64_t bits)
{
  bits ^= bits >> 30;
  bits *= 0xbf58476d1ce4e5b9ULL;
  bits ^= bits >> 27;
  bits *= 0x94d049bb133111ebULL;
  return bits ^ (bits >> 31);
}

// Strongest first; equal ones in an order on which all instances agree.
void
sort_by_strength(std::vector<carrier>& instances)
{
  std::sort(instances.begin(), instances.end(), [](const carrier& left, const carrier& right) {
    return left.capacity != right.capacity
             ? left.capacity > right.capacity
             : mix(stable_hash(left.instance.get())) < mix(stable_hash(right.instance.get()));
  });
}

// Adds the strongest instance of the zone that has the fewest carriers; false if none is left.
bool
add_one(std::vector<carrier>& chosen, const std::vector<carrier>& live)
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
             std::size_t in_zone)
{
  return std::all_of(live.begin(), live.end(), [&](const carrier& instance) {
    return count_in_zone(chosen, instance.zone) >=
           std::min(in_zone, count_in_zone(live, instance.zone));
  });
}

bool
suffices(const std::vector<carrier>& chosen, const std::vector<carrier>& live, std::size_t in_zone)
{
  return total_capacity(chosen) >= capacity_part * total_capacity(live) &&
         covers_zones(chosen, live, in_zone);
}

// Those of the live instances that the former plan has, substitutes or the others.
std::vector<carrier>
keep(const carrier_plan& former, const std::vector<carrier>& live, bool substitutes)
{
  std::vector<carrier> kept;
  for (const auto& instance : live) {
    const bool listed =
      std::any_of(former.carriers.begin(), former.carriers.end(), [&](const carrier& entry) {
        return entry.instance == instance.instance && entry.substitute == substitutes;
      });
    if (listed) {
      kept.push_back(instance);
    }
  }
  return kept;
}

std::vector<carrier>
present_of(std::vector<carrier> instances)
{
  std::erase_if(instances, [](const carrier& instance) { return instance.unavailable; });
  return instances;
}

// Adds substitutes until those that are there suffice, if they do not without.
void
add_substitutes(std::vector<carrier>& carriers,
                const carrier_plan& former,
                const std::vector<carrier>& live,
                std::size_t most,
                bool settled)
{
  const auto present = present_of(live);
  auto serving = present_of(carriers);
  if (settled && suffices(serving, present, present_in_zone)) {
    return;
  }
  const auto without = serving.size();
  for (const auto& entry : present_of(keep(former, live, true))) {
    if (!contains(carriers, entry.instance)) {
      serving.push_back(entry);
    }
  }
  while (serving.size() < most && !suffices(serving, present, present_in_zone) &&
         add_one(serving, present)) {
  }
  for (auto place = without; place < serving.size(); ++place) {
    serving[place].substitute = true;
    carriers.push_back(serving[place]);
  }
}

std::vector<carrier>
pick(const carrier_plan& former,
     const std::vector<carrier>& live,
     const carrier_constraints& demand)
{
  const auto most = std::max<std::size_t>(1, usable(demand.connections) / carrier_connections);
  auto carriers = keep(former, live, false);
  while (carriers.size() < most && !suffices(carriers, live, carriers_in_zone) &&
         add_one(carriers, live)) {
  }
  add_substitutes(carriers, former, live, most, demand.stable);
  return carriers;
}

// True if each instance can serve its own callers.
bool
everyone_can(std::size_t instances, const carrier_constraints& demand)
{
  const auto each = usable(demand.connections) / instances;
  return each >= own_connections && each * workspaces_of_connection >= demand.workspaces &&
         instances <= most_carriers;
}

}

bool
carrier_plan::carries(const instance_id& instance) const
{
  return everyone || contains(carriers, instance);
}

carrier_plan
choose_carriers(const carrier_plan& former,
                std::vector<carrier> live,
                const carrier_constraints& demand)
{
  if (live.empty()) {
    return former;
  }
  for (auto& instance : live) {
    instance.substitute = false;
  }
  sort_by_strength(live);
  carrier_plan next;
  next.everyone = former.decided() ? former.everyone && usable(demand.connections) >= live.size()
                                   : everyone_can(live.size(), demand);
  if (!next.everyone) {
    next.carriers = pick(former, live, demand);
  }
  std::sort(
    next.carriers.begin(), next.carriers.end(), [](const carrier& left, const carrier& right) {
      return left.instance < right.instance;
    });
  next.version = former.version;
  if (!former.decided() || next != former) {
    next.version = former.version + 1;
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
    return std::max<std::uint32_t>(1, usable(connections) / std::max<std::uint32_t>(1, instances));
  }
  const auto found = std::find_if(plan.carriers.begin(),
                                  plan.carriers.end(),
                                  [&](const carrier& entry) { return entry.instance == own; });
  if (found == plan.carriers.end() || found->unavailable) {
    return 1;
  }
  const double part = found->capacity / present_capacity(plan.carriers);
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(usable(connections) * part));
}

std::vector<const carrier*>
rank_carriers(const carrier_plan& plan, std::string_view home_key)
{
  std::vector<std::pair<double, const carrier*>> scored;
  for (const auto& entry : plan.carriers) {
    const auto hash = mix(stable_hash(entry.instance.get() + "/" + std::string(home_key)));
    // Uniform in (0, 1]; a carrier of twice the capacity comes first twice as often.
    const double uniform = (static_cast<double>(hash >> 11) + 1) / 9007199254740992.0;
    scored.emplace_back(-std::log(uniform) / std::max(entry.capacity, 1e-6), &entry);
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
