#include "Home/fair_queue.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// From this number of workspaces on, idle ones are removed before a new one is added. Otherwise
// memory would grow without bound as workspaces come and go.
constexpr std::size_t flow_cleanup_threshold = 4096;

}

fair_queue::fair_queue(limits bounds, std::size_t slots)
  : bounds_(bounds)
  , slots_(slots)
{
}

fair_queue::flow&
fair_queue::find_or_create_flow(const workspace_id& workspace)
{
  if (flows_.size() >= flow_cleanup_threshold && !flows_.contains(workspace)) {
    remove_idle_flows();
  }
  const auto position =
    flows_
      .try_emplace(
        workspace,
        flow{ .entries = {}, .share = fair_share(virtual_time_, bounds_.initial_estimate) })
      .first;
  return position->second;
}

void
fair_queue::remove_idle_flows()
{
  std::erase_if(flows_, [&](const auto& item) {
    const auto& [workspace, state] = item;
    return state.entries.empty() && state.share.uses_in_progress() == 0 &&
           state.share.start_tag_us() <= virtual_time_;
  });
}

result<void>
fair_queue::push(queue_entry entry)
{
  auto& target = find_or_create_flow(entry.workspace);
  if (target.entries.size() >= bounds_.per_workspace) {
    return fail(result_code::queue_full,
                "workspace " + entry.workspace.get() + " has " +
                  std::to_string(target.entries.size()) + " requests queued at this member");
  }
  if (size_ >= bounds_.total) {
    return fail(result_code::queue_full,
                std::to_string(size_) + " requests are queued at this member");
  }
  if (target.entries.empty()) {
    target.share.raise_to(virtual_time_);
  }
  earliest_expiry_ = std::min(earliest_expiry_, entry.expires);
  target.entries.push_back(std::move(entry));
  ++size_;
  return success();
}

void
fair_queue::push_front(queue_entry entry)
{
  auto& target = find_or_create_flow(entry.workspace);
  earliest_expiry_ = std::min(earliest_expiry_, entry.expires);
  target.entries.push_front(std::move(entry));
  ++size_;
}

std::optional<queue_entry>
fair_queue::pop(instant now, const ready_check& ready)
{
  std::vector<flow*> waiting;
  for (auto& [workspace, state] : flows_) {
    state.share.charge_overrun(now);
    if (!state.entries.empty()) {
      waiting.push_back(&state);
    }
  }
  std::stable_sort(waiting.begin(), waiting.end(), [](auto* left, auto* right) {
    return left->share.start_tag_us() < right->share.start_tag_us();
  });

  const auto runnable = [&](const queue_entry& entry) {
    return entry.not_before <= now && now < entry.expires && (!ready || ready(entry));
  };
  flow* chosen = nullptr;
  std::deque<queue_entry>::iterator chosen_entry;
  for (auto* candidate : waiting) {
    const auto entry = std::find_if(candidate->entries.begin(), candidate->entries.end(), runnable);
    if (entry == candidate->entries.end()) {
      // No request of this workspace can run now, so it counts as idle and earns no credit.
      candidate->share.raise_to(virtual_time_);
      continue;
    }
    // A workspace may take the last slot only if no other workspace has a runnable request.
    const bool would_take_last_slot =
      slots_ > 1 && candidate->share.uses_in_progress() + 1 >= slots_;
    if (chosen == nullptr || !would_take_last_slot) {
      chosen = candidate;
      chosen_entry = entry;
    }
    if (!would_take_last_slot) {
      break;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  auto taken = std::move(*chosen_entry);
  chosen->entries.erase(chosen_entry);
  --size_;
  virtual_time_ = std::max(virtual_time_, chosen->share.start_tag_us());
  chosen->share.begin_use(now);
  return taken;
}

void
fair_queue::release_slot(const workspace_id& workspace, duration slot_time, instant now, bool ran)
{
  const auto found = flows_.find(workspace);
  if (found != flows_.end()) {
    found->second.share.end_use(slot_time, now, ran);
  }
}

std::vector<queue_entry>
fair_queue::remove_expired(instant now)
{
  if (now < earliest_expiry_) {
    return {};
  }
  auto expired = remove_if([&](const queue_entry& entry) { return entry.expires <= now; });
  earliest_expiry_ = instant::max();
  for (const auto& [workspace, state] : flows_) {
    for (const auto& entry : state.entries) {
      earliest_expiry_ = std::min(earliest_expiry_, entry.expires);
    }
  }
  return expired;
}

std::vector<queue_entry>
fair_queue::remove_if(const std::function<bool(const queue_entry&)>& condition)
{
  std::vector<queue_entry> removed;
  for (auto& [workspace, state] : flows_) {
    const auto first_removed =
      std::stable_partition(state.entries.begin(), state.entries.end(), [&](const auto& entry) {
        return !condition(entry);
      });
    std::move(first_removed, state.entries.end(), std::back_inserter(removed));
    state.entries.erase(first_removed, state.entries.end());
  }
  size_ -= removed.size();
  return removed;
}

std::vector<workspace_stats>
fair_queue::workspaces() const
{
  std::vector<workspace_stats> all;
  all.reserve(flows_.size());
  for (const auto& [workspace, state] : flows_) {
    workspace_stats item;
    item.workspace = workspace;
    item.queued = state.entries.size();
    item.slots_held = state.share.uses_in_progress();
    item.average_slot_time = duration(static_cast<duration::rep>(state.share.average_us()));
    item.consumed_slot_time = state.share.consumed();
    all.push_back(item);
  }
  return all;
}

}
