#include "Proxy/admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

// How long an operation waits for one answer from the coordinator's token pool, whatever its
// target: a few round trips between zones, and a small part of a response time.
constexpr duration max_answer_wait = std::chrono::milliseconds(60);
// Longest wait for a token that leaves no time to run the operation, as a part of the target: the
// measured time is that of usual operations, and a short one still ends within its target.
constexpr int min_wait_part = 3;
// Retry delay that is told if no rate is known for the workspace here.
constexpr duration default_retry_delay = std::chrono::milliseconds(500);
// Bounds of the interval between requests for tokens that the pool did not have: the tick period,
// and a small part of the targets. Within them the interval is the time between two tokens.
constexpr duration min_request_interval = std::chrono::milliseconds(20);
constexpr duration max_request_interval = std::chrono::milliseconds(100);
// Longest time that is forecast; longer ones count as never.
constexpr duration max_forecast = std::chrono::hours(1);

// Time until `missing` tokens have arrived.
duration
time_of_tokens(double missing, double per_s)
{
  if (missing <= 0) {
    return duration::zero();
  }
  const double limit_s = std::chrono::duration<double>(max_forecast).count();
  if (per_s * limit_s <= missing) {
    return max_forecast;
  }
  return std::chrono::duration_cast<duration>(std::chrono::duration<double>(missing / per_s));
}

// Time until an operation has its token that `ahead` operations precede here. If it is known what
// waits at other instances, those that are at least as urgent precede it too, and all tokens of the
// workspace count.
duration
time_until_token(double ahead, std::uint32_t priority, const rate_limiter::token_supply& supply)
{
  if (!supply.waiting_elsewhere) {
    return time_of_tokens(ahead + 1 - supply.tokens, supply.per_s);
  }
  for (const auto& [urgency, count] : *supply.waiting_elsewhere) {
    ahead += urgency <= priority ? count : 0;
  }
  return time_of_tokens(ahead + 1 - supply.tokens, supply.rate);
}

}

std::string_view
name_of(token_wait::result outcome)
{
  switch (outcome) {
    case token_wait::result::admitted:
      return "admitted";
    case token_wait::result::refused:
      return "refused";
    case token_wait::result::cancelled:
      break;
  }
  return "cancelled";
}

admission::admission(rate_limiter& limiter,
                     std::function<void()> request_tokens,
                     std::function<void(const token_wait&)> observe)
  : limiter_(limiter)
  , request_tokens_(std::move(request_tokens))
  , observe_(std::move(observe))
{
}

std::optional<admission_number>
admission::admit(const workspace_id& workspace,
                 handler done,
                 instant now,
                 const operation_urgency& urgency)
{
  limiter_.count_operation(workspace, now);
  const bool has_queue = queues_.contains(workspace);
  if (!has_queue && limiter_.take(workspace, false, now) == rate_limiter::verdict::granted) {
    done(std::nullopt);
    return std::nullopt;
  }
  const admission_number number(++last_number_);
  const place at{ urgency.priority, now + urgency.target_latency, number };
  const auto longest_wait =
    std::max(urgency.target_latency - run_times_.likely_run_time(urgency.priority),
             urgency.target_latency / min_wait_part);
  auto& waiting = queues_[workspace];
  waiting.emplace(at, waiting_operation{ std::move(done), now, now + longest_wait });
  places_.emplace(number, std::pair(workspace, at));
  if (places_.size() > max_waiting_operations) {
    refuse_least_urgent(now);
  }
  serve(workspace, now, false);
  if (!places_.contains(number)) {
    return std::nullopt;
  }
  return number;
}

void
admission::cancel(admission_number number, instant now)
{
  const auto found = places_.find(number);
  if (found == places_.end()) {
    return;
  }
  const auto [workspace, at] = found->second;
  if (const auto removed = remove(workspace, at)) {
    observe({ workspace, at.priority, token_wait::result::cancelled, now - removed->arrived, {} });
  }
}

std::optional<admission::waiting_operation>
admission::remove(const workspace_id& workspace, const place& at)
{
  const auto found = queues_.find(workspace);
  if (found == queues_.end()) {
    return std::nullopt;
  }
  auto node = found->second.extract(at);
  if (node.empty()) {
    return std::nullopt;
  }
  places_.erase(at.number);
  if (found->second.empty()) {
    queues_.erase(found);
  }
  return std::move(node.mapped());
}

void
admission::record_run_time(std::uint32_t priority, duration elapsed)
{
  run_times_.record(priority, elapsed);
}

void
admission::observe(const token_wait& wait) const
{
  if (observe_) {
    observe_(wait);
  }
}

void
admission::admit_waiting(const workspace_id& workspace, const place& at, instant now)
{
  if (const auto removed = remove(workspace, at)) {
    observe({ workspace, at.priority, token_wait::result::admitted, now - removed->arrived, {} });
    removed->done(std::nullopt);
  }
}

void
admission::refuse_waiting(const workspace_id& workspace, const place& at, instant now)
{
  const auto delay = retry_delay(workspace, at, now);
  if (const auto removed = remove(workspace, at)) {
    observe({ workspace, at.priority, token_wait::result::refused, now - removed->arrived, delay });
    removed->done(delay);
  }
}

// Refuses the last operation of the workspace with the most waiting ones, so that one workspace far
// above its rate leaves room for the others.
void
admission::refuse_least_urgent(instant now)
{
  const auto longest =
    std::max_element(queues_.begin(), queues_.end(), [](const auto& one, const auto& other) {
      return one.second.size() < other.second.size();
    });
  if (longest != queues_.end()) {
    const auto workspace = longest->first;
    const auto last = std::prev(longest->second.end())->first;
    refuse_waiting(workspace, last, now);
  }
}

// Time at which the rate has room for the operation: behind those that wait ahead of it, and behind
// the retries of operations that were refused before.
duration
admission::retry_delay(const workspace_id& workspace, const place& at, instant now)
{
  const auto found = queues_.find(workspace);
  const auto supply = limiter_.supply(workspace, now);
  if (found == queues_.end() || supply.per_s <= 0) {
    return default_retry_delay;
  }
  const auto ahead = std::distance(found->second.begin(), found->second.lower_bound(at));
  const auto interval = time_of_tokens(1, supply.per_s);
  const auto room_in = time_until_token(static_cast<double>(ahead), at.priority, supply);
  return retries_[workspace].next(at.priority, room_in, interval, now);
}

// Gives the tokens that are left to the operations in their order, and refuses those whose token is
// due too late.
void
admission::serve(const workspace_id& workspace, instant now, bool is_tick)
{
  auto state = rate_limiter::verdict::granted;
  for (auto found = queues_.find(workspace); found != queues_.end();
       found = queues_.find(workspace)) {
    const auto first = found->second.begin()->first;
    const auto waited = now - found->second.begin()->second.arrived;
    state = limiter_.take(workspace, false, now);
    if (state == rate_limiter::verdict::wait_for_grant && is_tick && waited >= max_answer_wait &&
        limiter_.take_unanswered(workspace, now)) {
      state = rate_limiter::verdict::granted;
    }
    if (state != rate_limiter::verdict::granted) {
      break;
    }
    admit_waiting(workspace, first, now);
  }
  refuse_late(workspace, state, now);
  if (!queues_.contains(workspace)) {
    return;
  }
  if (state == rate_limiter::verdict::wait_for_grant) {
    // No answer shows yet what the pool has.
    request_tokens_();
  } else {
    request_when_due(now);
  }
}

void
admission::refuse_late(const workspace_id& workspace, rate_limiter::verdict state, instant now)
{
  const auto found = queues_.find(workspace);
  if (found == queues_.end()) {
    return;
  }
  const auto supply = limiter_.supply(workspace, now);
  std::vector<place> late;
  double ahead = 0;
  for (const auto& [at, operation] : found->second) {
    const bool awaits_answer =
      state == rate_limiter::verdict::wait_for_grant && now - operation.arrived < max_answer_wait;
    const bool in_time = now < operation.deadline &&
                         now + time_until_token(ahead, at.priority, supply) <= operation.deadline;
    if (awaits_answer || in_time) {
      ahead += 1;
    } else {
      late.push_back(at);
    }
  }
  for (const auto& at : late) {
    refuse_waiting(workspace, at, now);
  }
}

void
admission::request_when_due(instant now)
{
  if (now >= next_request_at_ && limiter_.uses_pool(now)) {
    schedule_request(now);
    request_tokens_();
  }
}

void
admission::schedule_request(instant now)
{
  auto interval = max_request_interval;
  for (const auto& [workspace, waiting] : queues_) {
    const double per_s = limiter_.supply(workspace, now).per_s;
    interval = std::min(interval, time_of_tokens(1, per_s));
  }
  next_request_at_ = now + std::max(interval, min_request_interval);
}

void
admission::on_tokens_granted(instant now)
{
  schedule_request(now);
  std::vector<workspace_id> workspaces;
  for (const auto& [workspace, waiting] : queues_) {
    workspaces.push_back(workspace);
  }
  for (const auto& workspace : workspaces) {
    serve(workspace, now, false);
  }
}

void
admission::tick(instant now)
{
  std::vector<workspace_id> workspaces;
  for (const auto& [workspace, waiting] : queues_) {
    workspaces.push_back(workspace);
  }
  for (const auto& workspace : workspaces) {
    serve(workspace, now, true);
  }
}

waiting_table
admission::waiting_counts() const
{
  waiting_table counts;
  for (const auto& [workspace, waiting] : queues_) {
    auto& by_priority = counts[workspace];
    for (const auto& [at, operation] : waiting) {
      by_priority[at.priority] += 1;
    }
  }
  return counts;
}

}
