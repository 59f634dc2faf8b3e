#include "Control/membership.h"

#include "Control/rendezvous.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace persimmonshelf {

namespace {

// A reconnecting connection refuses messages for about 100 ms.
constexpr duration suspicion_delay = std::chrono::milliseconds(200);
// A suspicion ends if no message was refused for this long. The next message then tries the
// connection again.
constexpr duration suspicion_limit = std::chrono::milliseconds(1500);
// Older assertions are not evidence; see key_evidence.
constexpr duration max_entry_age = std::chrono::seconds(5);

std::size_t
two_thirds(std::size_t count)
{
  return (2 * count + 2) / 3;
}

}

bool
membership::is_live(const instance_record& record, instant now) const
{
  if (record.entry.leaving) {
    return false;
  }
  if (record.entry.instance == self_.instance) {
    return true;
  }
  if (is_suspected(record, now)) {
    return false;
  }
  if (record.updated_at && now - *record.updated_at <= live_limit) {
    return true;
  }
  if (uses_full_view() || record.entry.zone == self_.zone || !record.listed_at) {
    return false;
  }
  const auto summary = summaries_.find(record.entry.zone);
  return summary != summaries_.end() && now - summary->second.updated_at <= live_limit;
}

bool
membership::is_live(const instance_id& instance, instant now) const
{
  const auto* record = find(instance);
  return record != nullptr && is_live(*record, now);
}

void
membership::record_contact(const instance_id& instance)
{
  const auto found = records_.find(instance);
  if (found == records_.end()) {
    return;
  }
  found->second.had_direct_contact = true;
  found->second.first_refusal.reset();
  found->second.last_refusal.reset();
}

void
membership::record_refusal(const instance_id& instance, instant now)
{
  const auto found = records_.find(instance);
  if (found == records_.end() || !found->second.had_direct_contact) {
    return;
  }
  auto& record = found->second;
  if (!record.last_refusal || now - *record.last_refusal > suspicion_limit) {
    record.first_refusal = now;
  }
  record.last_refusal = now;
}

bool
membership::is_suspected(const instance_record& record, instant now)
{
  return record.first_refusal && record.last_refusal &&
         *record.last_refusal - *record.first_refusal >= suspicion_delay &&
         now - *record.last_refusal <= suspicion_limit;
}

bool
membership::is_suspected(const instance_id& instance, instant now) const
{
  const auto* record = find(instance);
  return record != nullptr && is_suspected(*record, now);
}

std::vector<instance_id>
membership::live(instant now) const
{
  std::vector<instance_id> names;
  for (const auto& [name, record] : records_) {
    if (is_live(record, now)) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<instance_id>
membership::live(const zone_id& zone, instant now) const
{
  auto names = live(now);
  std::erase_if(names, [&](const auto& name) { return find(name)->entry.zone != zone; });
  return names;
}

std::uint64_t
membership::live_set_hash(instant now) const
{
  // Equal hashes for different live sets would require a 64-bit collision.
  std::uint64_t combined_hash = 0;
  for (const auto& [name, record] : records_) {
    if (is_live(record, now)) {
      combined_hash = rendezvous::weight(combined_hash ^ rendezvous::hash(record.entry.zone.get()),
                                         record.name_hash);
    }
  }
  return combined_hash;
}

instance_id
membership::home_of(const database_id& database, const zone_id& zone, instant now) const
{
  const auto key_hash = rendezvous::hash(database.get());
  const instance_record* best = nullptr;
  std::pair<bool, std::uint64_t> best_rank;
  for (const auto& [name, record] : records_) {
    if (!is_live(record, now)) {
      continue;
    }
    // Live instances of the zone take precedence over all others.
    const std::pair rank{ record.entry.zone == zone,
                          rendezvous::weight(key_hash, record.name_hash) };
    if (best == nullptr || rank > best_rank) {
      best = &record;
      best_rank = rank;
    }
  }
  return best == nullptr ? self_.instance : best->entry.instance;
}

const instance_record*
membership::find(const instance_id& instance) const
{
  const auto found = records_.find(instance);
  return found == records_.end() ? nullptr : &found->second;
}

std::optional<version_holder>
membership::find_newer(config_version instance_entry::*field,
                       config_version own_version,
                       instant now) const
{
  std::optional<version_holder> newest;
  for (const auto& [name, record] : records_) {
    const auto version = record.entry.*field;
    const bool reachable = record.updated_at && now - *record.updated_at <= live_limit;
    if (name != self_.instance && reachable && version > own_version &&
        (!newest || version > newest->version)) {
      newest = { version, name };
    }
  }
  return newest;
}

std::optional<version_holder>
membership::newer_config(config_version own_version, instant now) const
{
  return find_newer(&instance_entry::config_version, own_version, now);
}

std::optional<version_holder>
membership::newer_keys(config_version own_version, instant now) const
{
  return find_newer(&instance_entry::key_version, own_version, now);
}

std::vector<zone_id>
membership::zones() const
{
  std::set<zone_id> zones;
  for (const auto& [name, record] : records_) {
    zones.insert(record.entry.zone);
  }
  return { zones.begin(), zones.end() };
}

zone_summary
membership::summarise(const zone_id& zone, instant now) const
{
  zone_summary summary;
  summary.zone = zone;
  std::optional<instant> table_read_at;
  for (const auto& [name, record] : records_) {
    if (record.entry.zone != zone) {
      continue;
    }
    summary.instances += record.entry.leaving ? 0 : 1;
    summary.key_version = std::max(summary.key_version, record.entry.key_version);
    if (record.table_read_at > table_read_at) {
      table_read_at = record.table_read_at;
      summary.table_key_version = record.entry.key_version;
    }
  }
  if (table_read_at) {
    summary.table_read_age = std::max(now - *table_read_at, duration(1));
  }
  std::vector<duration> ages;
  for (const auto& [name, record] : records_) {
    const auto& entry = record.entry;
    const bool own = name == self_.instance;
    if (entry.zone != zone || entry.leaving || (!own && !record.updated_at) ||
        entry.key_version != summary.key_version || entry.key_version == config_version(0)) {
      continue;
    }
    const auto age = own ? duration(0) : now - *record.updated_at;
    if (age <= max_entry_age) {
      ages.push_back(age);
    }
  }
  std::sort(ages.begin(), ages.end());
  ages.resize(std::min(ages.size(), two_thirds(summary.instances)));
  summary.confirming = static_cast<std::uint32_t>(ages.size());
  summary.age = ages.empty() ? duration(0) : ages.back();
  return summary;
}

void
membership::merge_summary(const zone_summary& summary, duration transit, instant now)
{
  const auto updated_at = now - summary.age - transit;
  std::optional<instant> table_read_at;
  if (summary.table_read_age) {
    table_read_at = now - *summary.table_read_age - transit;
  }
  const auto [place, added] =
    summaries_.try_emplace(summary.zone, stored_summary{ summary, updated_at, table_read_at });
  auto& stored = place->second;
  if (added) {
    return;
  }
  if (table_read_at > stored.table_read_at) {
    stored.table_read_at = table_read_at;
    stored.summary.table_key_version = summary.table_key_version;
  }
  // A summary confirmed by two thirds of the instances is preferred to a more recent one that is
  // not, until it is too old.
  const auto rank = [&](const zone_summary& candidate, instant at) {
    const bool confirms =
      candidate.confirming >= two_thirds(candidate.instances) && now - at <= max_entry_age;
    return std::tuple(candidate.key_version, confirms, at);
  };
  if (rank(summary, updated_at) > rank(stored.summary, stored.updated_at)) {
    const auto table_key_version = stored.summary.table_key_version;
    stored.summary = summary;
    stored.summary.table_key_version = table_key_version;
    stored.updated_at = updated_at;
  }
}

zone_summary
membership::zone_view(const zone_id& zone, instant now) const
{
  const auto found = summaries_.find(zone);
  if (uses_full_view() || zone == self_.zone) {
    auto summary = summarise(zone, now);
    // A newly started instance may not have entries of all instances of a large zone yet.
    if (!uses_full_view() && found != summaries_.end() &&
        now - found->second.updated_at <= max_entry_age) {
      summary.instances = std::max(summary.instances, found->second.summary.instances);
    }
    return summary;
  }
  if (found == summaries_.end()) {
    zone_summary unknown;
    unknown.zone = zone;
    return unknown;
  }
  const auto& stored = found->second;
  auto summary = stored.summary;
  summary.age = now - stored.updated_at;
  summary.table_read_age.reset();
  if (stored.table_read_at) {
    summary.table_read_age = std::max(now - *stored.table_read_at, duration(1));
  }
  return summary;
}

std::optional<instant>
membership::latest_table_read(config_version held) const
{
  std::optional<instant> youngest;
  for (const auto& [name, record] : records_) {
    if (record.entry.key_version <= held) {
      youngest = std::max(youngest, record.table_read_at);
    }
  }
  for (const auto& [zone, stored] : summaries_) {
    if (stored.summary.table_key_version <= held) {
      youngest = std::max(youngest, stored.table_read_at);
    }
  }
  return youngest;
}

}
