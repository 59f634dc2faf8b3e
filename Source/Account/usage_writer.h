#pragma once

#include "Account/usage_row.h"
#include "Base/instant.h"
#include "Base/table.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace persimmonshelf {

struct usage_settings
{
  // Least time between two writes of a row, and between two attempts to close a month.
  duration write_interval = std::chrono::seconds(5);
  // A call to the table service that gets no response within this time counts as failed.
  duration call_timeout = std::chrono::seconds(4);
  // Time from the end of a month until it is closed.
  std::int64_t close_delay_s = 3600;
  // Instances start closing at different times within this period, so that usually only the first
  // one builds the account.
  std::int64_t close_spread_s = 600;
  // Number of earlier months that are checked for usage recorded after their closing.
  int adjusted_months = 3;
};

// Writes one usage row to the table service whenever it changes. A write is conditional on the
// revision whose content was merged, so it never lowers a stored counter.
class usage_writer
{
public:
  usage_writer(std::string key,
               const usage_settings& settings,
               table_hooks table,
               std::function<instant()> now);
  usage_writer(const usage_writer&) = delete;
  usage_writer& operator=(const usage_writer&) = delete;

  usage_row& row() { return row_; }
  const usage_row& row() const { return row_; }

  // Writes the row if it changed and the write interval has passed since the last write.
  void tick(instant now);
  // Lets the next tick write without waiting for the write interval.
  void write_on_next_tick() { next_write_at_ = instant::min(); }
  // True if the table service confirmed the current content of the row.
  bool written() const { return stored_known_ && stored_ == row_; }

private:
  void read(instant now);
  void write(instant now);
  // Records the stored row and merges it into the local row.
  void merge_stored(const table_row& row);
  // False if the response belongs to an earlier call, or if this object was destroyed meanwhile.
  bool is_current(std::uint64_t call, const std::weak_ptr<usage_writer*>& lifetime);

  std::string key_;
  usage_settings settings_;
  table_hooks table_;
  std::function<instant()> now_;

  usage_row row_;
  // Stored content at `revision_`; valid only if `stored_known_`.
  usage_row stored_;
  std::uint64_t revision_ = 0;
  bool stored_known_ = false;

  bool in_flight_ = false;
  instant call_started_{};
  instant next_write_at_ = instant::min();
  // Number of the last table call; responses to earlier calls are ignored.
  std::uint64_t last_call_ = 0;
  // Callbacks hold a weak pointer to it, which expires with this object.
  std::shared_ptr<usage_writer*> lifetime_token_;
};

}
