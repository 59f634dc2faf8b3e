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

// Polls the lease rows of some other instances and measures for how long each has been unchanged.
// Uses the local clock only.
class lease_monitor
{
public:
  // `now` returns the time of the event that is being handled; table answers carry no time.
  lease_monitor(const share_settings& settings, table_hooks table, std::function<instant()> now);

  lease_monitor(const lease_monitor&) = delete;
  lease_monitor& operator=(const lease_monitor&) = delete;

  // Sends the reads that are due and retries those that timed out.
  void tick(instant now);

  // Selects the holders to monitor: the three successors of `self` on a hash ring, plus the holders
  // in between whose lease seems expired. Each holder is thus monitored by three others, even if a
  // whole availability zone fails.
  void select_instances(const instance_id& self, const std::set<instance_id>& holders, instant now);

  // Records a lease row that was received at `now`. Ignored if the instance is not monitored.
  void observe(const instance_id& instance, const table_row& row, instant now);

  // Time from when the current content of the row was first received until `read_sent`, the time
  // at which the read that confirmed it was sent. Zero if the row was never received.
  duration unchanged_for(const instance_id& instance, instant read_sent) const;

  // True if the extra lease had expired, including the drift margin, at the last answered read.
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
  std::uint64_t latest_call_ = 0;
  std::shared_ptr<lease_monitor*> lifetime_;
};

}
