#pragma once

#include "Base/ids.h"
#include "Base/table.h"
#include "Limits/share_settings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace persimmonshelf {

// Renews the row "lease/<instance>" for this run of the instance and keeps track of how long its
// shares are valid. A lease starts when its confirmed renewal was sent, by the local clock.
class instance_lease
{
public:
  // `now` returns the time of the event that is being handled; table answers carry no time.
  instance_lease(instance_id self,
                 incarnation_id incarnation,
                 const share_settings& settings,
                 table_hooks table,
                 std::function<instant()> now);

  instance_lease(const instance_lease&) = delete;
  instance_lease& operator=(const instance_lease&) = delete;

  // Sends a renewal or read if one is due, and ends calls that timed out.
  void tick(instant now);

  // Key of the lease row of `instance`.
  static std::string key(const instance_id& instance);

  // True once the row shows a later run of this instance. This run then no longer holds shares.
  bool superseded() const { return superseded_; }
  // True while the extra lease is valid.
  bool valid(instant now) const { return extra_epoch_ > 0 && now < extra_until_ && !superseded_; }
  // End of the extra lease and of the base lease.
  instant extra_until() const { return extra_until_; }
  instant base_until() const { return base_until_; }

  // Number of the current uninterrupted validity period of each lease; 0 before the first renewal.
  // A share written in an earlier period may have been reclaimed, so it is usable only after it was
  // written to the share row again.
  std::uint64_t extra_epoch() const { return extra_epoch_; }
  std::uint64_t base_epoch() const { return base_epoch_; }

private:
  void read(instant now);
  void renew(instant now);
  void apply_row(const table_row& row);
  void on_renewed(instant sent, instant now);

  instance_id self_;
  incarnation_id incarnation_;
  share_settings settings_;
  table_hooks table_;
  std::function<instant()> now_;

  std::uint64_t counter_ = 0;
  std::uint64_t revision_ = 0;
  bool revision_known_ = false;
  bool written_ = false;
  bool superseded_ = false;

  bool in_flight_ = false;
  instant sent_{};
  instant due_{};
  // Number of the latest call. Answers to earlier calls, which timed out, are ignored.
  std::uint64_t latest_call_ = 0;

  instant extra_until_{};
  instant base_until_{};
  std::uint64_t extra_epoch_ = 0;
  std::uint64_t base_epoch_ = 0;
  std::shared_ptr<instance_lease*> lifetime_;
};

}
