#include "ProxyNode/fleet_participant.h"

#include "ProxyNode/boot_clock.h"
#include "platform/store_format.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Zones in one view, which must fit into a datagram with everything else. The largest fleets have
// eight.
constexpr std::size_t max_evacuated_zones = 64;

std::string
text_of(const std::set<zone_id>& zones)
{
  std::string text;
  for (const auto& zone : zones) {
    text += (text.empty() ? "" : " ") + zone.get();
  }
  return text;
}

}

// Applies the set of evacuated zones in the configuration table. Rows that name no zone are left
// out; those and zones without members are logged once.
void
fleet_participant::update_evacuations(const std::map<std::string, platform::store_row>& rows,
                                      const store_version& version,
                                      instant confirmed_at)
{
  evacuation_evidence evidence{ {}, version, confirmed_at };
  std::set<std::string> problems;
  for (const auto& [key, row] : rows) {
    const auto zone = platform::parse_evacuation(row);
    if (!zone) {
      problems.insert(zone.error().message);
      continue;
    }
    if (!zone.value()) {
      continue;
    }
    if (evidence.zones.size() >= max_evacuated_zones) {
      problems.insert("more than " + std::to_string(max_evacuated_zones) + " zones are evacuated");
      continue;
    }
    evidence.zones.insert(*zone.value());
    const auto& members = fleet_state_.members();
    if (!members.empty() &&
        std::none_of(members.begin(), members.end(), [&](const listed_member& member) {
          return member.zone == *zone.value();
        })) {
      problems.insert("zone " + zone.value()->get() + " has no members");
    }
  }
  for (const auto& problem : problems) {
    if (!evacuation_problems_.contains(problem)) {
      log_.write("evacuation_row", { { "reason", problem } });
    }
  }
  evacuation_problems_ = std::move(problems);
  if (apply_evacuations(evidence, "store") && coordinator_) {
    coordinator_->send_views();
  }
}

// Returns true if the set changed.
bool
fleet_participant::apply_evacuations(const evacuation_evidence& evidence, const std::string& source)
{
  if (!fleet_state_.update_evacuations(evidence)) {
    return false;
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
    boot_now() - fleet_state_.evacuations().evidence().confirmed_at);
  log_.write("evacuation",
             { { "zones", text_of(evidence.zones) },
               { "revision", std::to_string(evidence.version.revision()) },
               { "evidence_age_ms", std::to_string(age.count()) },
               { "source", source } });
  hooks_.changed();
  return true;
}

}
