#pragma once

#include "Base/ids.h"
#include "Base/table.h"
#include "Limits/share_settings.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace persimmonshelf {

// Observes the lease rows of some other instances and tells for how long each was seen unchanged.
// Only our own clock is used.
class lease_monitor
{
public:
  lease_monitor(const share_settings& settings, table_hooks table, std::function<instant()> now);

  lease_monitor(const lease_monitor&) = delete;
  lease_monitor& operator=(const lease_monitor&) = delete;

  // Reads the rows that are due.
  void tick(instant now);

  // Chooses whom to observe among the holders: the next ones after `self` in the order of a hash,
  // three of them plus all that seem expired on the way. Every holder is so observed by three
  // others, also if a whole zone fails.
  void select_instances(const instance_id& self, const std::set<instance_id>& holders, instant now);

  // Takes in a lease row that was received at `now`.
  void observe(const instance_id& instance, const table_row& row, instant now);

  // Time from the first sight of the present state of the row to `read_sent`, when the read that
  // confirmed it was sent; zero if it was never seen.
  duration unchanged_for(const instance_id& instance, instant read_sent) const;

  // True if the last answered read suggests that the extra lease expired.
  bool seems_expired(const instance_id& instance) const;

private:
  struct lease_observation
  {
    std::string value;
    std::uint64_t revision = 0;
    bool seen = false;
    instant first_seen{};
    instant last_read{};
    instant due{};
    bool in_flight = false;
    instant sent{};
    std::uint64_t call = 0;
  };

  void read(const instance_id& instance, lease_observation& entry, instant now);

  share_settings settings_;
  table_hooks table_;
  std::function<instant()> now_;
  std::map<instance_id, lease_observation> monitored_;
  std::uint64_t calls_ = 0;
  std::shared_ptr<lease_monitor*> lifetime_;
};

}
