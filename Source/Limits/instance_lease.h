#pragma once

#include "Base/ids.h"
#include "Base/table.h"
#include "Limits/share_settings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace persimmonshelf {

// Keeps the row "lease/<instance>" of this run renewed and knows until when our shares are valid.
// Validity counts on our own clock from before the confirmed renewal was sent.
class instance_lease
{
public:
  // `now` gives the time of the event that is being handled, for answers of the table.
  instance_lease(instance_id self,
                 incarnation_id incarnation,
                 const share_settings& settings,
                 table_hooks table,
                 std::function<instant()> now);

  instance_lease(const instance_lease&) = delete;
  instance_lease& operator=(const instance_lease&) = delete;

  void tick(instant now);

  static std::string key(const instance_id& instance);

  // True once a later run of this instance was seen; this run then holds no shares any more.
  bool superseded() const { return superseded_; }
  bool valid(instant now) const { return extra_epoch_ > 0 && now < extra_until_ && !superseded_; }
  instant extra_until() const { return extra_until_; }
  instant base_until() const { return base_until_; }

  // Numbers of the unbroken periods of validity; 0 before the first renewal. A share of an earlier
  // period may have been reclaimed and counts only after it was written to the row again.
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
  // Numbers the calls; an answer to a call that timed out is ignored.
  std::uint64_t call_ = 0;

  instant extra_until_{};
  instant base_until_{};
  std::uint64_t extra_epoch_ = 0;
  std::uint64_t base_epoch_ = 0;
  std::shared_ptr<instance_lease*> lifetime_;
};

}
