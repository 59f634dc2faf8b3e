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
  duration write_interval = std::chrono::seconds(5);
  // A call to the table without an answer after this time counts as failed.
  duration call_timeout = std::chrono::seconds(4);
  // The month is closed this long after its end.
  std::int64_t close_delay_s = 3600;
  // Instances begin to close at different times within this span; the first one does the work.
  std::int64_t close_spread_s = 600;
  // Number of earlier months whose late counters are listed as adjustments.
  int adjusted_months = 3;
};

// Keeps one usage row in the table at or above what is known here. A write never lowers a value: it
// is conditional on the revision that was merged.
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

  // Writes if something changed and the last write is long enough ago.
  void tick(instant now);
  // Makes the next tick write without waiting for the interval.
  void write_on_next_tick() { next_write_at_ = instant::min(); }
  // True if the table confirmed everything that is in the row.
  bool written() const { return stored_known_ && stored_ == row_; }

private:
  void read(instant now);
  void write(instant now);
  void merge_stored(const table_row& row);
  bool is_current(std::uint64_t call, const std::weak_ptr<usage_writer*>& lifetime);

  std::string key_;
  usage_settings settings_;
  table_hooks table_;
  std::function<instant()> now_;

  usage_row row_;
  // What the table holds at `revision_`, if that is known.
  usage_row stored_;
  std::uint64_t revision_ = 0;
  bool stored_known_ = false;

  bool in_flight_ = false;
  instant call_started_{};
  instant next_write_at_ = instant::min();
  std::uint64_t last_call_ = 0;
  std::shared_ptr<usage_writer*> lifetime_token_;
};

}
