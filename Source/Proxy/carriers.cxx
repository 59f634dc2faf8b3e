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
// Connections to each member that a carrier should have at least, so that it serves several
// workspaces without opening connections anew.
constexpr std::uint32_t carrier_connections = 4;
// Carriers in each zone, so that a zone that is cut off keeps one when another fails.
constexpr std::size_t carriers_in_zone = 2;
// Part of the fleet's processor time that carriers should have together.
constexpr double capacity_part = 0.2;

std::uint32_t
usable(std::uint32_t connections)
{
  return connections > spare_connections ? connections - spare_connections : 1;
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
covers_zones(const std::vector<carrier>& chosen, const std::vector<carrier>& live)
{
  return std::all_of(live.begin(), live.end(), [&](const carrier& instance) {
    return count_in_zone(chosen, instance.zone) >=
           std::min(carriers_in_zone, count_in_zone(live, instance.zone));
  });
}

std::vector<carrier>
pick(std::vector<carrier> chosen, const std::vector<carrier>& live, std::size_t most)
{
  const double wanted = capacity_part * total_capacity(live);
  while (chosen.size() < most && (total_capacity(chosen) < wanted || !covers_zones(chosen, live))) {
    if (!add_one(chosen, live)) {
      break;
    }
  }
  return chosen;
}

}

bool
carrier_plan::carries(const instance_id& instance) const
{
  return everyone || contains(carriers, instance);
}

carrier_plan
choose_carriers(const carrier_plan& former, std::vector<carrier> live, std::uint32_t connections)
{
  if (live.empty()) {
    return former;
  }
  sort_by_strength(live);
  const auto each = usable(connections) / static_cast<std::uint32_t>(live.size());
  const auto needed = former.everyone ? 1 : own_connections;
  carrier_plan next;
  next.everyone = each >= needed && (former.everyone || !former.decided());
  if (!next.everyone) {
    std::vector<carrier> kept;
    std::copy_if(live.begin(), live.end(), std::back_inserter(kept), [&](const carrier& instance) {
      return contains(former.carriers, instance.instance);
    });
    const auto most = std::max<std::size_t>(1, usable(connections) / carrier_connections);
    next.carriers = pick(std::move(kept), live, most);
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
  if (found == plan.carriers.end()) {
    return 1;
  }
  const double part = found->capacity / total_capacity(plan.carriers);
  return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(usable(connections) * part));
}

std::vector<const carrier*>
rank_homes(const carrier_plan& plan, std::string_view home_key)
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
  for (const auto& [score, entry] : scored) {
    ranked.push_back(entry);
  }
  return ranked;
}

}
