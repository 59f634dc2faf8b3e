#pragma once

#include "Account/usage_writer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonshelf {

// One cumulative counter, as mirrored between instances.
struct usage_value
{
  std::string month;
  workspace_id workspace;
  std::string counter;
  std::uint64_t value = 0;
};

// Part of a workspace's limit that a run held, for the bound of what it may have counted.
struct usage_share
{
  workspace_id workspace;
  std::int64_t rate_milli = 0;
  std::int64_t burst_milli = 0;
  // Tokens that others lent to it since its last mirror.
  std::int64_t borrowed_milli = 0;
};

// Cumulative usage counters of this run, and those that peers mirrored to it. Rows are written
// every 5 s while they change; rows of failed peers are written on their behalf.
class usage_ledger
{
public:
  // `utc` is the present time in seconds since 1970; it selects the first month.
  usage_ledger(incarnation_id incarnation,
               const usage_settings& settings,
               table_hooks table,
               std::function<instant()> now,
               std::int64_t utc);

  // Counts for the month of the present UTC time of the last tick.
  void count(const workspace_id& workspace, std::string_view counter, std::uint64_t amount);

  // Writes what changed. `utc` is seconds since 1970; when its month changes, the rows of earlier
  // months are closed.
  void tick(instant now, std::int64_t utc);

  // Values that changed since the last call, or all of them, for two peers.
  std::vector<usage_value> take_changes();
  std::vector<usage_value> all_values() const;

  // Takes in mirrored counters of a peer's run. Values that are not a month are ignored.
  void on_mirror(incarnation_id peer, const std::vector<usage_value>& values, bool closed);

  // Writes the rows of a run that ended without closing. `gap` is the time between its last mirror
  // here and the end of its lease, or its restart if that came first; `cause` says how it ended, in
  // the same words on all instances, since bounds with different causes are listed side by side.
  // The bound covers admitted requests; requests that were refused before admission have none.
  // Called again with a longer gap or larger shares, the larger bound stays.
  void on_peer_failed(incarnation_id peer,
                      const std::vector<usage_share>& shares,
                      duration gap,
                      const std::string& cause);
  // Forgets a run that another instance cares for. Closed runs are forgotten once written.
  void remove_peer(incarnation_id peer);

  // Marks the rows as complete and writes them at once. Nothing may be counted after.
  void close();
  // True if the table confirmed all own rows.
  bool written() const;
  // True if the table confirmed the rows of all failed peers; a planned stop waits for it too.
  bool peers_written() const;

  // Requests that a run with this share may have admitted within the gap, rounded up.
  static std::uint64_t max_admitted(const usage_share& share, duration gap);

private:
  using month_writers = std::map<calendar_month, std::unique_ptr<usage_writer>>;
  struct peer_state
  {
    month_writers months;
    bool failed = false;
  };

  usage_writer& writer_for(month_writers& months,
                           const calendar_month& month,
                           incarnation_id incarnation);

  incarnation_id incarnation_;
  usage_settings settings_;
  table_hooks table_;
  std::function<instant()> now_;
  std::int64_t utc_;
  calendar_month month_;
  month_writers own_;
  std::map<incarnation_id, peer_state> peers_;
  std::map<calendar_month, usage_row> mirrored_;
};

}
