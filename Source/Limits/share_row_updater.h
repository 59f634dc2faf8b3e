#pragma once

#include "Base/table.h"
#include "Limits/instance_lease.h"
#include "Limits/lease_monitor.h"
#include "Limits/share_row.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace persimmonshelf {

// Updates one share row on behalf of one holder. Each cycle reads the row, lowers the local share,
// writes the row, confirms the write by a read and raises the local share. The local share never
// exceeds the share that the row assigns to this run, even if calls are lost or delayed.
class share_row_updater
{
public:
  struct hooks
  {
    table_hooks table;
    // Time of the event that is being handled; table answers carry no time.
    std::function<instant()> now;
    // Returns the row that the holder wants to write, given the current row.
    std::function<share_row(const share_row&, instant)> plan;
    // Called after every change of the local share or its validity, and before a lowered share is
    // written.
    std::function<void(instant)> share_changed;
    // True if the outstanding tokens lent under the former share fit the current one.
    std::function<bool(instant)> loans_fit;
  };

  enum class step
  {
    idle,
    // Reading the share row.
    reading,
    // Reading the lease row of another holder that seems to have expired.
    checking_lease,
    // The local share is lowered; waiting until the lent tokens fit it.
    lowering,
    // Writing the share row.
    writing,
    // Reading the row again before the local share is raised.
    confirming,
  };

  share_row_updater(workspace_id workspace,
                    share_owner owner,
                    const share_settings& settings,
                    const instance_lease& lease,
                    lease_monitor& monitor,
                    hooks callbacks);

  share_row_updater(const share_row_updater&) = delete;
  share_row_updater& operator=(const share_row_updater&) = delete;

  // Starts a cycle unless one is in progress or this run is superseded. With `leaving` the cycle
  // only gives up shares, and so may write without a valid lease.
  void start(instant now, bool leaving = false);
  // Ends calls that timed out and continues a cycle that waits for lent tokens.
  void tick(instant now);

  step current_step() const { return step_; }
  // The last row that was read or written; empty until has_row().
  const share_row& row() const { return row_; }
  // Size in the table of the last row that was read.
  std::size_t row_bytes() const { return row_bytes_; }
  // True once the row was read successfully.
  bool has_row() const { return has_row_; }

  // Local share in parts per million, without the parts whose lease is not valid at `now`.
  std::int64_t usable_ppm(instant now) const;
  // Number of writes sent, except those that failed with a conflict.
  std::uint64_t writes() const { return writes_; }
  // Number of writes that failed because the row had changed.
  std::uint64_t conflicts() const { return conflicts_; }
  // True if the last cycle ended with a conflict or failure and should be repeated soon.
  bool retry_soon() const { return retry_soon_; }

private:
  // The local share that the row allows if the write takes effect.
  struct unconfirmed_write
  {
    std::uint64_t if_revision = 0;
    std::int64_t base_ppm = 0;
    std::int64_t extra_ppm = 0;
  };

  void read_row(step next, const std::string& key, instant now);
  void on_row_read(const result<table_row>& answer, instant now);
  bool apply_row(const table_row& row, instant now);
  void set_local_share(std::int64_t base, std::int64_t extra, instant now);
  // True if this run wrote the parts of its entry in the current validity periods of the leases.
  bool written_in_current_leases(const share_entry& entry) const;
  // Reads the lease row of the first other holder that seems expired, or plans the change at once.
  void check_suspect(instant now);
  void plan(const share_row& current, instant now);
  void lower(instant now);
  void write(instant now);
  void on_row_written(const result<table_write>& answer, instant now);
  void finish_cycle(bool retry);
  std::uint64_t begin_call(step next, instant now);

  workspace_id workspace_;
  share_owner owner_;
  share_settings settings_;
  const instance_lease& lease_;
  lease_monitor& monitor_;
  hooks hooks_;

  step step_ = step::idle;
  // Number of the latest call. Answers to earlier calls, which timed out, are ignored.
  std::uint64_t latest_call_ = 0;
  instant sent_{};

  share_row row_;
  std::uint64_t revision_ = 0;
  std::size_t row_bytes_ = 0;
  bool has_row_ = false;
  // The planned row of the current cycle.
  share_row target_;
  // The holder whose lease row is being checked.
  std::optional<instance_id> suspect_;

  std::int64_t base_ppm_ = 0;
  std::int64_t extra_ppm_ = 0;
  // Validity periods of the leases in which this run last wrote each part.
  std::uint64_t base_epoch_ = 0;
  std::uint64_t extra_epoch_ = 0;
  std::uint64_t writing_base_epoch_ = 0;
  std::uint64_t writing_extra_epoch_ = 0;
  // A write with an unknown outcome. It may still take effect as long as the row's revision is
  // unchanged.
  std::optional<unconfirmed_write> unconfirmed_write_;

  bool leaving_ = false;
  bool retry_soon_ = false;
  std::uint64_t writes_ = 0;
  std::uint64_t conflicts_ = 0;
  std::shared_ptr<share_row_updater*> lifetime_;
};

}
