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

// Changes one share row on behalf of one holder, one step at a time: read, lower the local share,
// write, confirm by a read, raise the local share. The local share never exceeds what the row holds
// for us, whichever calls are lost or late.
class share_row_updater
{
public:
  struct hooks
  {
    table_hooks table;
    std::function<instant()> now;
    // The row as the holder wants it.
    std::function<share_row(const share_row&, instant)> plan;
    // Called after every change of the local share, before anything is written.
    std::function<void(instant)> share_changed;
    // True if tokens lent under the former share fit the present one.
    std::function<bool(instant)> loans_fit;
  };

  enum class step
  {
    idle,
    reading,
    checking_lease,
    lowering,
    writing,
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

  // Starts a cycle unless one is under way. A cycle that only gives up shares (`leaving`) also
  // writes without a valid lease.
  void start(instant now, bool leaving = false);
  // Ends calls without an answer and continues a cycle that waits for lent tokens.
  void tick(instant now);

  step current_step() const { return step_; }
  const share_row& row() const { return row_; }
  std::size_t row_bytes() const { return row_bytes_; }
  // True once a read answered, so that the row is known.
  bool has_row() const { return has_row_; }

  // Local share in parts per million, with the expiry of both leases at `now` applied.
  std::int64_t usable_ppm(instant now) const;
  // Writes sent, without those that were answered by a conflict.
  std::uint64_t writes() const { return writes_; }
  std::uint64_t conflicts() const { return conflicts_; }
  // True if the last cycle ended in a conflict or a failure and should be repeated soon.
  bool retry_soon() const { return retry_soon_; }

private:
  struct unconfirmed_write
  {
    std::uint64_t if_revision = 0;
    std::int64_t base_ppm = 0;
    std::int64_t extra_ppm = 0;
  };

  void read_row(step next, const std::string& key, instant now);
  void on_row_read(const result<table_row>& answer, instant now);
  bool apply_row(const table_row& row, instant now);
  void set_local(std::int64_t base, std::int64_t extra, instant now);
  bool written_in_current_leases(const share_entry& entry) const;
  void check_suspect(instant now);
  void plan(const share_row& base, instant now);
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
  std::uint64_t call_ = 0;
  instant sent_{};

  share_row row_;
  std::uint64_t revision_ = 0;
  std::size_t row_bytes_ = 0;
  bool has_row_ = false;
  share_row target_;
  std::optional<instance_id> suspect_;

  std::int64_t base_ppm_ = 0;
  std::int64_t extra_ppm_ = 0;
  // Lease periods in which the parts were last written by us.
  std::uint64_t base_epoch_ = 0;
  std::uint64_t extra_epoch_ = 0;
  std::uint64_t writing_base_epoch_ = 0;
  std::uint64_t writing_extra_epoch_ = 0;
  // A write whose effect is not known; it may still take effect while the revision is the same.
  std::optional<unconfirmed_write> unconfirmed_write_;

  bool leaving_ = false;
  bool retry_soon_ = false;
  std::uint64_t writes_ = 0;
  std::uint64_t conflicts_ = 0;
  std::shared_ptr<share_row_updater*> lifetime_;
};

}
