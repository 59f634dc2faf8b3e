#pragma once

#include "Base/error.h"
#include "Base/fair_share.h"
#include "Base/ids.h"
#include "Base/instant.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace persimmonshelf {

// One queued request. Holds only what the queue needs for ordering; the request itself is stored in
// the member home.
struct queue_entry
{
  request_id id;
  workspace_id workspace;
  instant expires;
  // The entry is not returned by `pop` before this time. Delays a retry after a busy answer.
  instant not_before;
};

// Statistics of one workspace at one member, for operators.
struct workspace_stats
{
  workspace_id workspace;
  std::size_t queued = 0;
  std::size_t slots_held = 0;
  // Moving average of the slot time per statement or transaction.
  duration average_slot_time{ 0 };
  // Total slot time of all statements and transactions that ended at this member.
  duration consumed_slot_time{ 0 };
};

// Request queue of one member, ordered by start-time fair queueing (SFQ) over workspaces. A free
// slot goes to the workspace that has consumed the least slot time, not to the oldest request.
class fair_queue
{
public:
  struct limits
  {
    std::size_t per_workspace = 256;
    std::size_t total = 2048;
    // Slot time charged for the first statement of a workspace, which has no average yet.
    duration initial_estimate = std::chrono::milliseconds(2);
  };

  using ready_check = std::function<bool(const queue_entry&)>;

  fair_queue(limits bounds, std::size_t slots);

  // Fails with queue_full if the limit per workspace or the total limit is reached.
  result<void> push(queue_entry entry);

  // Puts an entry that did not run back at the front of its workspace. The limits do not apply:
  // they were checked when the entry was first pushed, and at most `slots` entries are outside the
  // queue at a time.
  void push_front(queue_entry entry);

  // Removes and returns the next entry to run, or none. Skips entries that have expired, whose
  // `not_before` lies ahead, or for which `ready` returns false. Call only while a slot is free;
  // the slot counts as held by the workspace until `release_slot`.
  std::optional<queue_entry> pop(instant now, const ready_check& ready = {});

  // Releases a slot that was held for `slot_time` up to `now`, and corrects the charge from the
  // estimate to that time. `ran` is false if the backend server ran nothing; the average then does
  // not change.
  void release_slot(const workspace_id& workspace,
                    duration slot_time,
                    instant now,
                    bool ran = true);

  // Removes and returns all expired entries.
  std::vector<queue_entry> remove_expired(instant now);

  // Removes and returns all entries that satisfy the condition.
  std::vector<queue_entry> remove_if(const std::function<bool(const queue_entry&)>& condition);

  void set_slots(std::size_t slots) { slots_ = slots; }
  std::size_t size() const { return size_; }
  // Statistics of the workspaces with recent requests, ordered by workspace id.
  std::vector<workspace_stats> workspaces() const;

private:
  // Queue of one workspace, with its use of slot time.
  struct flow
  {
    std::deque<queue_entry> entries;
    fair_share share;
  };

  flow& find_or_create_flow(const workspace_id& workspace);
  void remove_idle_flows();

  limits bounds_;
  std::size_t slots_;
  std::size_t size_ = 0;
  double virtual_time_ = 0;
  // Lower bound of the expiry times, so that `remove_expired` usually returns without a scan.
  instant earliest_expiry_ = instant::max();
  std::map<workspace_id, flow> flows_;
};

}
