#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Base/instant.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace persimmonshelf {

// One queued request. The queue keeps only what it orders by; the home keeps the request.
struct queue_entry
{
  request_id id;
  workspace_id workspace;
  instant expires;
  // The entry is not handed out earlier; used for the delay after a busy answer.
  instant not_before;
};

// What an operator sees of one workspace at a member.
struct workspace_stats
{
  workspace_id workspace;
  std::size_t queued = 0;
  std::size_t slots_held = 0;
  // Moving average of the slot time of one statement or transaction.
  duration average_slot_time{ 0 };
  // Slot time of all that has ended here.
  duration consumed_slot_time{ 0 };
};

// Orders the requests of one member by workspace with start-time fair queueing on consumed slot
// time. A slot is handed to the workspace that has consumed the least, not to the oldest request.
class fair_queue
{
public:
  struct limits
  {
    std::size_t per_workspace = 256;
    std::size_t total = 2048;
    // Charged for the first statement of a workspace, before an average is known.
    duration initial_estimate = std::chrono::milliseconds(2);
  };

  using ready_check = std::function<bool(const queue_entry&)>;

  fair_queue(limits bounds, std::size_t slots);

  // Fails with queue_full if the workspace's or the total bound is reached.
  result<void> push(queue_entry entry);

  // Puts back an entry that did not run, ahead of its workspace. Not bounded: the entry was counted
  // when it was first pushed, and at most `slots` entries are out at a time.
  void push_front(queue_entry entry);

  // The next entry to run, or none. Passes over entries past their expiry, before `not_before`, or
  // for which `ready` is false. The caller has a free slot; it is then counted as held by the
  // workspace until `finished`.
  std::optional<queue_entry> pop(instant now, const ready_check& ready = {});

  // Ends the use of a slot that was held for `slot_time` up to `now`, and replaces the estimate by
  // it. `ran` is false if the backend server ran nothing, which leaves the average as it was.
  void release_slot(const workspace_id& workspace,
                    duration slot_time,
                    instant now,
                    bool ran = true);

  // Removes and returns the entries that are past their expiry.
  std::vector<queue_entry> remove_expired(instant now);

  // Removes and returns the entries that fulfil the condition.
  std::vector<queue_entry> remove_if(const std::function<bool(const queue_entry&)>& condition);

  void set_slots(std::size_t slots) { slots_ = slots; }
  std::size_t size() const { return size_; }
  // Figures of the workspaces that ran or queued something lately, in order of their names.
  std::vector<workspace_stats> workspaces() const;

private:
  // A statement in a slot, with the time charged for it so far.
  struct held_slot
  {
    instant since;
    double charged_us = 0;
  };

  // One workspace. `tag` is its consumed slot time in microseconds of virtual time.
  struct flow
  {
    std::deque<queue_entry> entries;
    std::vector<held_slot> slots;
    double start_tag = 0;
    double average_us = 0;
    duration consumed_slot_time{ 0 };
  };

  flow& find_or_create_flow(const workspace_id& workspace);
  void raise_to_virtual_time(flow& target) const;
  static void charge_overrun(flow& target, instant now);
  void remove_idle_flows();

  limits bounds_;
  std::size_t slots_;
  std::size_t size_ = 0;
  double virtual_time_ = 0;
  // No entry expires earlier, so that `expire` returns at once in the usual case.
  instant earliest_expiry_ = instant::max();
  std::map<workspace_id, flow> flows_;
};

}
