#include "Control/membership.h"

#include <algorithm>
#include <set>

namespace persimmonshelf {

namespace {

// Statements older than this are evidence of nothing; see key_evidence.
constexpr duration statement_limit = std::chrono::seconds(5);

std::size_t
two_thirds(std::size_t count)
{
  return (2 * count + 2) / 3;
}

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
    if (entry.zone != zone || entry.leaving || (!own && !record.stated_at) ||
        entry.key_version != summary.key_version || entry.key_version == config_version(0)) {
      continue;
    }
    const auto age = own ? duration(0) : now - *record.stated_at;
    if (age <= statement_limit) {
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
  const auto stated_at = now - summary.age - transit;
  std::optional<instant> table_read_at;
  if (summary.table_read_age) {
    table_read_at = now - *summary.table_read_age - transit;
  }
  const auto [place, added] =
    summaries_.try_emplace(summary.zone, stored_summary{ summary, stated_at, table_read_at });
  auto& stored = place->second;
  if (added) {
    return;
  }
  if (table_read_at > stored.table_read_at) {
    stored.table_read_at = table_read_at;
    stored.summary.table_key_version = summary.table_key_version;
  }
  // A summary that confirms is worth more than a younger one that does not, until it is too old.
  const auto worth = [&](const zone_summary& candidate, instant at) {
    const bool confirms =
      candidate.confirming >= two_thirds(candidate.instances) && now - at <= statement_limit;
    return std::tuple(candidate.key_version, confirms, at);
  };
  if (worth(summary, stated_at) > worth(stored.summary, stored.stated_at)) {
    const auto table_key_version = stored.summary.table_key_version;
    stored.summary = summary;
    stored.summary.table_key_version = table_key_version;
    stored.stated_at = stated_at;
  }
}

zone_summary
membership::zone_view(const zone_id& zone, instant now) const
{
  const auto found = summaries_.find(zone);
  if (carries_all() || zone == self_.zone) {
    auto summary = summarise(zone, now);
    // A newly started instance does not know all instances of a large zone yet.
    if (!carries_all() && found != summaries_.end() &&
        now - found->second.stated_at <= statement_limit) {
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
  summary.age = now - stored.stated_at;
  summary.table_read_age.reset();
  if (stored.table_read_at) {
    summary.table_read_age = std::max(now - *stored.table_read_at, duration(1));
  }
  return summary;
}

std::optional<instant>
membership::youngest_table_read(config_version held) const
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
