#include "Home/request_tracker.h"

#include <utility>

namespace persimmonshelf {

bool
needs_primary(const home_request& request)
{
  return request.write || request.needs_primary || request.kind != operation::statement;
}

bool
promises_not_run(result_code code)
{
  return code == result_code::backend_busy || code == result_code::backend_wrong_term ||
         code == result_code::backend_not_primary;
}

// A write inside a transaction changes nothing until the commit, so it leaves no pending mark.
bool
may_change(const home_request& request)
{
  return request.kind == operation::commit || (request.kind == operation::statement &&
                                               request.write && request.transaction.get().empty());
}

work_table::work_table(answer_store::limits bounds, answer_hook answer)
  : store_(bounds)
  , answer_(std::move(answer))
{
}

bool
work_table::join(const home_request& request)
{
  if (open_.contains(request.id)) {
    return true;
  }
  if (!store_.contains(request.id)) {
    return false;
  }
  if (const auto* stored = store_.find(request.id, request.workspace, request.key_digest)) {
    answer_(*stored);
    return true;
  }
  home_answer answer;
  answer.id = request.id;
  answer.code = result_code::bad_request;
  answer.outcome = outcome_of(answer.code);
  answer.message = "request id " + request.id.get() + " was used with another key or workspace";
  answer_(std::move(answer));
  return true;
}

work&
work_table::add(home_request request, instant now)
{
  const auto id = request.id;
  auto& item = open_[id];
  item.request = std::move(request);
  item.submitted = now;
  return item;
}

work*
work_table::find(const request_id& id)
{
  const auto found = open_.find(id);
  return found == open_.end() ? nullptr : &found->second;
}

void
work_table::finish(const request_id& id,
                   result_code code,
                   std::string message,
                   instant now,
                   const transaction_id& opened)
{
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return;
  }
  // `id` may refer into the entry that is erased here.
  const work item = std::move(found->second);
  open_.erase(found);

  home_answer answer;
  answer.id = item.request.id;
  answer.code = code;
  answer.outcome = outcome_of(code);
  answer.message = std::move(message);
  answer.transaction = opened.get().empty() ? item.request.transaction : opened;
  if (answer.outcome == run_outcome::done) {
    answer.rows = item.rows;
    answer.point = item.point;
  }
  if (answer.outcome == run_outcome::unknown && may_change(item.request)) {
    answer.pending = true;
    answer.point = item.point;
    if (answer.point.in_term == term()) {
      answer.point.in_term = item.sent_term;
    }
  }
  const bool was_sent = item.sent != instant();
  const bool was_answered = item.answered != instant();
  answer.queued = (was_sent ? item.sent : now) - item.submitted;
  if (was_sent) {
    answer.backend_time = (was_answered ? item.answered : now) - item.sent;
  }
  if (was_answered) {
    answer.replication_time = now - item.answered;
  }
  store_.remember(answer, item.request.workspace, item.request.key_digest, now);
  answer_(std::move(answer));
}

void
work_table::refuse(const home_request& request, result_code code, std::string message, instant now)
{
  add(request, now);
  finish(request.id, code, std::move(message), now);
}

void
work_table::await_majority(work& item)
{
  item.step = work_step::replicating;
  replicating_.emplace(item.point, item.request.id);
}

void
work_table::confirm(const std::function<bool(log_point)>& majority_holds, instant now)
{
  std::vector<request_id> held;
  for (auto item = replicating_.begin(); item != replicating_.end();) {
    const auto& [point, id] = *item;
    if (!majority_holds(point)) {
      // The later positions of this term are not held either.
      const log_point end{ term(point.in_term.get() + 1), log_position() };
      item = replicating_.lower_bound(end);
      continue;
    }
    held.push_back(id);
    item = replicating_.erase(item);
  }
  for (const auto& id : held) {
    finish(id, result_code::ok, {}, now);
  }
}

void
work_table::expire_waiting(instant now)
{
  std::vector<request_id> overdue;
  for (const auto& [point, id] : replicating_) {
    if (open_.at(id).request.expires <= now) {
      overdue.push_back(id);
    }
  }
  for (const auto& id : overdue) {
    finish_replicating(
      id, result_code::not_replicated, "no majority held the write before the deadline", now);
  }
}

void
work_table::withdraw(const sha256_digest& key_digest, instant now)
{
  std::vector<request_id> ended;
  for (const auto& [point, id] : replicating_) {
    if (equal_constant_time(open_.at(id).request.key_digest, key_digest)) {
      ended.push_back(id);
    }
  }
  for (const auto& id : ended) {
    finish_replicating(id,
                       result_code::key_withdrawn_in_flight,
                       "the key was revoked while the write was replicated",
                       now);
  }
  store_.withdraw(key_digest);
}

void
work_table::finish_replicating(const request_id& id,
                               result_code code,
                               std::string message,
                               instant now)
{
  std::erase_if(replicating_, [&](const auto& item) { return item.second == id; });
  finish(id, code, std::move(message), now);
}

}
