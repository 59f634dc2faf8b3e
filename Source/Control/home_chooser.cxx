#include "Control/home_chooser.h"

#include "Control/rendezvous.h"

namespace persimmonshelf {

home_chooser::home_chooser(const membership& members, instant now)
  : members_(members)
{
  for (const auto& name : members.live(now)) {
    const auto* record = members.find(name);
    all_.push_back(record);
    zones_[record->entry.zone].push_back(record);
  }
}

const instance_id&
home_chooser::home_of(const database_id& database, const zone_id& zone) const
{
  const auto found = zones_.find(zone);
  const auto& from = found == zones_.end() ? all_ : found->second;
  const auto key_hash = rendezvous::hash(database.get());
  const instance_record* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const auto* record : from) {
    const auto weight = rendezvous::weight(key_hash, record->name_hash);
    if (best == nullptr || weight > best_weight) {
      best = record;
      best_weight = weight;
    }
  }
  return best == nullptr ? members_.self().instance : best->entry.instance;
}

}
