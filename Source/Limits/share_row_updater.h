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
class share_editor
{
public:
  struct hooks
  {
    table_hooks table;
    std::function<instant()> now;
    // The row as the holder wants it.
    std::function<share_row(const share_row&, instant)> plan;
    // Called after every change of the local share, before anything is written.
    std::function<void(instant)> changed;
    // True if tokens lent under the former share fit the present one.
    std::function<bool(instant)> settled;
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

  share_editor(workspace_id workspace,
               share_owner owner,
               const share_settings& settings,
               const own_lease& lease,
               lease_watch& watch,
               hooks environment);

  share_editor(const share_editor&) = delete;
  share_editor& operator=(const share_editor&) = delete;

  // Starts a cycle unless one is under way. A cycle that only gives up shares (`leaving`) also
  // writes without a valid lease.
  void start(instant now, bool leaving = false);
  // Ends calls without an answer and continues a cycle that waits for lent tokens.
  void tick(instant now);

  step current() const { return step_; }
  const share_row& row() const { return row_; }
  std::size_t row_bytes() const { return row_bytes_; }
  // True once a read answered, so that the row is known.
  bool known() const { return known_; }

  // Local share in parts per million, with the expiry of both leases at `now` applied.
  std::int64_t usable_ppm(instant now) const;
  // Writes sent, without those that were answered by a conflict.
  std::uint64_t writes() const { return writes_; }
  std::uint64_t conflicts() const { return conflicts_; }
  // True if the last cycle ended in a conflict or a failure and should be repeated soon.
  bool retry_soon() const { return retry_soon_; }

private:
  struct pending_write
  {
    std::uint64_t if_revision = 0;
    std::int64_t base_ppm = 0;
    std::int64_t extra_ppm = 0;
  };

  void get(step next, const std::string& key, instant now);
  void received(const result<table_row>& answer, instant now);
  bool learn(const table_row& row, instant now);
  void set_local(std::int64_t base, std::int64_t extra, instant now);
  bool affirmed(const share_entry& entry) const;
  void find_suspect(instant now);
  void plan(const share_row& base, instant now);
  void lower(instant now);
  void write(instant now);
  void wrote(const result<table_write>& answer, instant now);
  void finish(bool retry);
  std::uint64_t begin_call(step next, instant now);

  workspace_id workspace_;
  share_owner owner_;
  share_settings settings_;
  const own_lease& lease_;
  lease_watch& watch_;
  hooks hooks_;

  step step_ = step::idle;
  std::uint64_t call_ = 0;
  instant sent_{};

  share_row row_;
  std::uint64_t revision_ = 0;
  std::size_t row_bytes_ = 0;
  bool known_ = false;
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
  std::optional<pending_write> uncertain_;

  bool leaving_ = false;
  bool retry_soon_ = false;
  std::uint64_t writes_ = 0;
  std::uint64_t conflicts_ = 0;
  std::shared_ptr<share_editor*> alive_;
};

}
