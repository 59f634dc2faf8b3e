#include "Home/request_tracker.h"

#include <utility>

namespace persimmonshelf {

bool
needs_primary(const home_request& request)
{
  return request.write || request.needs_primary || request.kind != operation::statement;
}

bool
confirms_not_run(result_code code)
{
  return code == result_code::backend_busy || code == result_code::backend_wrong_term ||
         code == result_code::backend_not_primary;
}

// A write inside a transaction changes nothing until the commit, so it leaves no pending write if
// its outcome is unknown.
bool
may_modify_data(const home_request& request)
{
  return request.kind == operation::commit || (request.kind == operation::statement &&
                                               request.write && request.transaction.get().empty());
}

request_tracker::request_tracker(answer_cache::limits bounds, send_answer_hook answer)
  : cached_answers_(bounds)
  , send_answer_(std::move(answer))
{
}

bool
request_tracker::handle_duplicate(const home_request& request)
{
  if (open_.contains(request.id)) {
    return true;
  }
  if (!cached_answers_.contains(request.id)) {
    return false;
  }
  if (const auto* stored =
        cached_answers_.find(request.id, request.workspace, request.key_digest)) {
    send_answer_(*stored);
    return true;
  }
  home_answer answer;
  answer.id = request.id;
  answer.code = result_code::bad_request;
  answer.outcome = outcome_of(answer.code);
  answer.message = "request id " + request.id.get() + " was used with another key or workspace";
  send_answer_(std::move(answer));
  return true;
}

tracked_request&
request_tracker::add(home_request request, instant now)
{
  const auto id = request.id;
  auto& item = open_[id];
  item.request = std::move(request);
  item.submitted_at = now;
  return item;
}

tracked_request*
request_tracker::find(const request_id& id)
{
  const auto found = open_.find(id);
  return found == open_.end() ? nullptr : &found->second;
}

void
request_tracker::finish(const request_id& id,
                        result_code code,
                        std::string message,
                        instant now,
                        const transaction_id& opened)
{
  const auto found = open_.find(id);
  if (found == open_.end()) {
    return;
  }
  // `id` may be a reference into the erased entry, so it is not used below.
  const tracked_request item = std::move(found->second);
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
  if (answer.outcome == run_outcome::unknown && may_modify_data(item.request)) {
    answer.write_pending = true;
    answer.point = item.point;
    if (answer.point.in_term == term()) {
      answer.point.in_term = item.sent_term;
    }
  }
  const bool was_sent = item.sent_at != instant();
  const bool was_answered = item.answered_at != instant();
  answer.queue_time = (was_sent ? item.sent_at : now) - item.submitted_at;
  if (was_sent) {
    answer.backend_time = (was_answered ? item.answered_at : now) - item.sent_at;
  }
  if (was_answered) {
    answer.replication_time = now - item.answered_at;
  }
  cached_answers_.insert(answer, item.request.workspace, item.request.key_digest, now);
  send_answer_(std::move(answer));
}

void
request_tracker::reject(const home_request& request,
                        result_code code,
                        std::string message,
                        instant now)
{
  add(request, now);
  finish(request.id, code, std::move(message), now);
}

void
request_tracker::await_majority(tracked_request& item)
{
  item.phase = request_phase::replicating;
  replicating_.emplace(item.point, item.request.id);
}

void
request_tracker::finish_replicated(const std::function<bool(log_point)>& majority_holds,
                                   instant now)
{
  std::vector<request_id> replicated;
  for (auto item = replicating_.begin(); item != replicating_.end();) {
    const auto& [point, id] = *item;
    if (!majority_holds(point)) {
      // The later positions of this term are not replicated either; continue with the next term.
      const log_point end{ term(point.in_term.get() + 1), log_position() };
      item = replicating_.lower_bound(end);
      continue;
    }
    replicated.push_back(id);
    item = replicating_.erase(item);
  }
  for (const auto& id : replicated) {
    finish(id, result_code::ok, {}, now);
  }
}

void
request_tracker::expire_replicating(instant now)
{
  std::vector<request_id> overdue;
  for (const auto& [point, id] : replicating_) {
    if (open_.at(id).request.expires <= now) {
      overdue.push_back(id);
    }
  }
  for (const auto& id : overdue) {
    finish_replicating(id,
                       result_code::not_replicated,
                       "the data was not replicated to a majority before the deadline",
                       now);
  }
}

void
request_tracker::revoke_key(const sha256_digest& key_digest, instant now)
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
                       "the key was revoked while the data was being replicated",
                       now);
  }
  cached_answers_.drop_rows_of_key(key_digest);
}

void
request_tracker::finish_replicating(const request_id& id,
                                    result_code code,
                                    std::string message,
                                    instant now)
{
  std::erase_if(replicating_, [&](const auto& item) { return item.second == id; });
  finish(id, code, std::move(message), now);
}

}
