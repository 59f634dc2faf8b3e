#include "Proxy/coordinator_messages.h"

#include "Base/stable_hash.h"

namespace persimmonshelf {

namespace {

constexpr unsigned token_count_bits = 40;

}

fencing_token
token_above(const store_version& version)
{
  return fencing_token((version.era().get() << token_count_bits) + version.revision() + 1);
}

store_era
era_of(fencing_token token)
{
  return store_era(token.get() >> token_count_bits);
}

std::uint64_t
digest_of(const std::vector<listed_member>& members)
{
  std::string text;
  for (const auto& member : members) {
    text += member.id.get() + " " + member.group + " " + member.address + " " + member.zone.get();
    text += member.draining ? " d" : " r";
    text += member.claims_primary ? "p " : "s ";
    text += std::to_string(member.started_at_ms) + " " + std::to_string(member.slots);
    text += member.warmup_left > duration::zero() ? " w\n" : "\n";
  }
  return stable_hash(text);
}

std::map<workspace_id, double>
total_waiting(const waiting_table& waiting)
{
  std::map<workspace_id, double> totals;
  for (const auto& [workspace, counts] : waiting) {
    for (const auto& [priority, count] : counts) {
      totals[workspace] += count;
    }
  }
  return totals;
}

}
