#include "Scheduling/waiting_queue.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Connection time charged for the first use of a workspace: about one statement.
constexpr duration first_use_estimate = std::chrono::milliseconds(15);
// Most connection time by which a workspace may fall behind and catch up later, in microseconds.
// Requests wait for at most about this time, so a larger debt would favour requests that did not
// wait.
constexpr double longest_credit_us = 500e3;
// Shares decide only between workspaces whose connection time differs by more than this, in
// microseconds. Smaller differences come from short bursts, in which strict shares let requests of
// the busiest workspace expire; in trials this value avoided 40 to 66% of these refusals.
constexpr double share_tolerance_us = 250e3;

// Sorts entries of a start tag in microseconds and an order key. Entries within the tolerance
// above the lowest start tag are ordered by the key alone, then likewise those that remain.
template<typename Entry>
void
sort_with_tolerance(std::vector<Entry>& entries)
{
  const auto key_less = [](const Entry& left, const Entry& right) { return left.key < right.key; };
  std::sort(entries.begin(), entries.end(), [](const Entry& left, const Entry& right) {
    return left.start_us < right.start_us;
  });
  for (auto first = entries.begin(); first != entries.end();) {
    const double limit_us = first->start_us + share_tolerance_us;
    const auto end = std::find_if(
      first, entries.end(), [&](const Entry& entry) { return entry.start_us > limit_us; });
    std::sort(first, end, key_less);
    first = end;
  }
}

}

void
waiting_queue::push(queued_request request)
{
  auto& state = classes_[request.priority];
  auto& target =
    state.flows
      .try_emplace(
        request.workspace,
        flow{ .share = fair_share(state.virtual_time_us, first_use_estimate), .lanes = {} })
      .first->second;
  if (target.lanes.empty()) {
    target.share.raise_to(state.virtual_time_us);
  }
  auto& lane = target.lanes[request.requirement];
  if (lane.entries.empty()) {
    lane.number = ++last_lane_;
  }
  lane.entries.insert({ request.target, request.number, request.arrived });
  ++state.waiting;
  const auto number = request.number;
  requests_.emplace(number, std::move(request));
}

void
waiting_queue::remove(request_number number)
{
  const auto found = requests_.find(number);
  if (found == requests_.end()) {
    return;
  }
  const auto request = std::move(found->second);
  requests_.erase(found);
  auto& state = classes_.at(request.priority);
  auto& lanes = state.flows.at(request.workspace).lanes;
  const auto lane = lanes.find(request.requirement);
  lane->second.entries.erase({ request.target, request.number, request.arrived });
  if (lane->second.entries.empty()) {
    lanes.erase(lane);
  }
  if (--state.waiting == 0) {
    state.passed_over = 0;
  }
  remove_if_idle(request.priority);
}

// Forgets the shares of a class once nobody waits in it or holds a connection.
void
waiting_queue::remove_if_idle(const request_class& priority)
{
  const auto found = classes_.find(priority);
  if (found != classes_.end() && found->second.waiting == 0 && found->second.in_use == 0) {
    classes_.erase(found);
  }
}

bool
waiting_queue::lower_class_is_due() const
{
  return passing_grants_ + 1 >= lower_class_interval;
}

// Classes with waiting requests, the most urgent first. If a lower class is due, the classes that
// were passed over come first, the one passed over most often at the front.
std::vector<waiting_queue::class_state*>
waiting_queue::classes_in_order()
{
  std::vector<class_state*> ordered;
  for (auto& [priority, state] : classes_) {
    if (state.waiting > 0) {
      ordered.push_back(&state);
    }
  }
  if (lower_class_is_due()) {
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto* left, const auto* right) {
      return left->passed_over > right->passed_over;
    });
  }
  return ordered;
}

std::vector<waiting_queue::waiting_lane>
waiting_queue::lanes(instant now)
{
  std::vector<waiting_lane> ordered;
  for (auto* state : classes_in_order()) {
    struct ranked_lane
    {
      double start_us;
      lane_entry key;
      waiting_lane lane;
    };
    std::vector<ranked_lane> of_class;
    for (auto& [workspace, current] : state->flows) {
      current.share.charge_overrun(now);
      if (!current.lanes.empty()) {
        current.share.raise_to(state->virtual_time_us - longest_credit_us);
      }
      for (const auto& [requirement, waiting] : current.lanes) {
        const auto& first = *waiting.entries.begin();
        auto oldest = first.arrived;
        for (const auto& entry : waiting.entries) {
          oldest = std::min(oldest, entry.arrived);
        }
        of_class.push_back(
          { current.share.start_tag_us(), first, { waiting.number, first.number, oldest } });
      }
    }
    sort_with_tolerance(of_class);
    for (const auto& entry : of_class) {
      ordered.push_back(entry.lane);
    }
  }
  return ordered;
}

void
waiting_queue::begin_use(request_number number, connection_number connection, instant now)
{
  const auto found = requests_.find(number);
  if (found == requests_.end()) {
    return;
  }
  const auto priority = found->second.priority;
  const auto workspace = found->second.workspace;
  count_grant(priority);
  auto& state = classes_.at(priority);
  // Counted before the removal, which forgets idle classes.
  ++state.in_use;
  auto& share = state.flows.at(workspace).share;
  state.virtual_time_us = std::max(state.virtual_time_us, share.start_tag_us());
  share.begin_use(now);
  uses_[connection] = { priority, workspace, now };
  remove(number);
}

void
waiting_queue::count_grant(const request_class& granted)
{
  auto& state = classes_.at(granted);
  const bool was_due = lower_class_is_due() && state.passed_over > 0;
  bool passes_over = false;
  for (auto next = classes_.upper_bound(granted); next != classes_.end(); ++next) {
    if (next->second.waiting > 0) {
      ++next->second.passed_over;
      passes_over = true;
    }
  }
  if (was_due) {
    passing_grants_ = 0;
  } else if (passes_over) {
    ++passing_grants_;
  }
  state.passed_over = 0;
}

void
waiting_queue::end_use(connection_number connection, bool measured, instant now)
{
  const auto found = uses_.find(connection);
  if (found == uses_.end()) {
    return;
  }
  const auto use = std::move(found->second);
  uses_.erase(found);
  auto& state = classes_.at(use.priority);
  state.flows.at(use.workspace).share.end_use(now - use.since, now, measured);
  --state.in_use;
  remove_if_idle(use.priority);
}

std::vector<const queued_request*>
waiting_queue::expected_order() const
{
  std::vector<const queued_request*> ordered;
  ordered.reserve(requests_.size());
  for (const auto& [priority, state] : classes_) {
    struct ranked_request
    {
      double start_us;
      lane_entry key;
    };
    std::vector<ranked_request> of_class;
    for (const auto& [workspace, current] : state.flows) {
      std::set<lane_entry> of_workspace;
      for (const auto& [requirement, waiting] : current.lanes) {
        of_workspace.insert(waiting.entries.begin(), waiting.entries.end());
      }
      double start_us = current.share.start_tag_us();
      for (const auto& entry : of_workspace) {
        of_class.push_back({ start_us, entry });
        start_us += current.share.average_us();
      }
    }
    sort_with_tolerance(of_class);
    for (const auto& entry : of_class) {
      ordered.push_back(&requests_.at(entry.key.number));
    }
  }
  return ordered;
}

const queued_request*
waiting_queue::find(request_number number) const
{
  const auto found = requests_.find(number);
  return found == requests_.end() ? nullptr : &found->second;
}

std::map<request_class, std::size_t>
waiting_queue::count_by_class() const
{
  std::map<request_class, std::size_t> counts;
  for (const auto& [priority, state] : classes_) {
    if (state.waiting > 0) {
      counts[priority] = state.waiting;
    }
  }
  return counts;
}

}
