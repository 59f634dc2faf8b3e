#pragma once

#include "Account/usage_writer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonshelf {

// One cumulative counter of a workspace, as mirrored to other instances.
struct usage_value
{
  std::string month;
  workspace_id workspace;
  std::string counter;
  std::uint64_t value = 0;
};

// Share of a workspace's rate limit that an incarnation held. Bounds the requests that it may have
// admitted without mirroring them. Fields are in thousandths of a request, the rate
// per second.
struct usage_share
{
  workspace_id workspace;
  std::int64_t rate_milli = 0;
  std::int64_t burst_milli = 0;
  // Tokens borrowed from other instances since its last mirror.
  std::int64_t borrowed_milli = 0;
};

// Cumulative usage counters of this incarnation, and copies of those that peers mirrored to it.
// Changed rows are written to the table service every 5 s. If a peer fails, its rows are written
// from the mirrored copies.
class usage_ledger
{
public:
  // `utc` is the current Unix time in seconds. It determines the month that is counted first.
  usage_ledger(incarnation_id incarnation,
               const usage_settings& settings,
               table_hooks table,
               std::function<instant()> now,
               std::int64_t utc);

  // Adds to a counter of the month of the last tick.
  void count(const workspace_id& workspace, std::string_view counter, std::uint64_t amount);

  // Writes changed rows. `utc` is the Unix time in seconds; when its month changes, the own rows of
  // earlier months are closed.
  void tick(instant now, std::int64_t utc);

  // Returns the own counters that changed since the last call, for mirroring to peers.
  std::vector<usage_value> take_changes();
  // Returns all own counters, for peers that may lack some of them.
  std::vector<usage_value> all_values() const;

  // Merges the mirrored counters of a peer's incarnation. Values with a malformed month are
  // ignored. `closed` means that the counters are complete; the rows are then closed and written
  // from here.
  void on_mirror(incarnation_id peer, const std::vector<usage_value>& values, bool closed);

  // Starts to write the rows of an incarnation that ended without closing them, with a bound for
  // each share. `gap` is the time from its last mirror to this instance until the end of its lease,
  // or until its restart if that came first. `cause` states how it ended. All instances must use
  // the same text for one cause, because bounds with different causes are listed separately. The
  // bound covers admitted requests only, not those that were refused before admission. If called
  // again for the same incarnation, the larger bound is kept.
  void on_peer_failed(incarnation_id peer,
                      const std::vector<usage_share>& shares,
                      duration gap,
                      const std::string& cause);
  // Discards the counters of an incarnation whose rows another instance writes. Closed incarnations
  // are discarded without this call once their rows are written.
  void remove_peer(incarnation_id peer);

  // Closes the own rows; the next tick writes them. count() must not be called afterwards.
  void close();
  // True if the table service confirmed the current content of all own rows.
  bool written() const;
  // True if the table service confirmed the rows of all failed peers. A graceful stop waits for
  // this as well.
  bool peers_written() const;

  // Returns the largest number of requests that an incarnation with this share can have admitted
  // within `gap`, rounded up.
  static std::uint64_t max_admitted(const usage_share& share, duration gap);

private:
  using month_writers = std::map<calendar_month, std::unique_ptr<usage_writer>>;
  struct peer_state
  {
    month_writers months;
    // True if this instance must write the rows because the incarnation ended or failed.
    bool failed = false;
  };

  // Returns the writer of the month's row; creates it if there is none.
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
  // Own counters as returned by the last take_changes().
  std::map<calendar_month, usage_row> mirrored_;
};

}
