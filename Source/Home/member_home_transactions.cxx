#include "Home/member_home.h"

#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

transaction_event
sent_event(operation kind)
{
  if (kind == operation::commit) {
    return transaction_event::commit_sent;
  }
  return kind == operation::rollback ? transaction_event::rollback_sent
                                     : transaction_event::statement_sent;
}

}

void
member_home::submit_in_transaction(home_request request, instant now)
{
  const auto found = transactions_.find(request);
  if (!found) {
    return requests_.reject(request, found.error().code, found.error().message, now);
  }
  auto& open_transaction = *found.value();
  if (!transactions_.has_waiting_capacity(open_transaction)) {
    return requests_.reject(
      request, result_code::queue_full, "too many requests are waiting in the transaction", now);
  }
  auto& item = requests_.add(std::move(request), now);
  item.phase = request_phase::waiting_in_transaction;
  open_transaction.waiting.push_back(item.request.id);
  run_next(open_transaction, now);
}

// Sends the next waiting request of a transaction. One request runs at a time, on the connection of
// the transaction and in the term of its begin.
void
member_home::run_next(transaction& target, instant now)
{
  expire_waiting(target, now);
  if (transactions_.past_time_limit(target, now)) {
    return roll_back_idle(target, now);
  }
  while (target.state == transaction_state::idle && !target.waiting.empty() &&
         target.not_before <= now) {
    auto& item = *requests_.find(target.waiting.front());
    target.waiting.pop_front();
    item.sent_term = target.in_term;
    apply_event(target, sent_event(item.request.kind), now);
    send(item, target.connection, now);
  }
}

void
member_home::apply_event(transaction& target, transaction_event event, instant now)
{
  // The transition table covers every event that the home produces in each state. If one is
  // missing, the transaction ends with an unknown outcome.
  if (!transaction_table::apply(target, event, now)) {
    target.state = transaction_state::unknown;
  }
}

// Handles the answer to a request of a transaction. `item` is null for the rollback of an idle
// transaction.
void
member_home::transaction_answered(transaction& target,
                                  tracked_request* item,
                                  const backend_answer& answer,
                                  instant now)
{
  const auto number = target.connection;
  const bool failed = answer.code == result_code::statement_failed;
  if (item == nullptr) {
    const bool ok = answer.code == result_code::ok;
    apply_event(
      target, ok ? transaction_event::answered : transaction_event::connection_failed, now);
    ok ? pool_.release(number, now) : pool_.discard(number, backend_pool::fault::none, now);
    return end_transaction(target, result_code::transaction_lost, now);
  }
  if (confirms_not_run(answer.code)) {
    return transaction_request_not_run(target, *item, answer.code, now);
  }
  const auto id = target.id;
  const auto kind = item->request.kind;
  if (kind == operation::statement) {
    apply_event(target, transaction_event::answered, now);
    finish_when_replicated(*item, answer, now);
    return run_next(target, now);
  }
  if (kind == operation::begin && !failed) {
    apply_event(target, transaction_event::answered, now);
    item->answered_at = now;
    item->point = answer.point;
    item->rows = answer.rows;
    return requests_.finish(item->request.id, result_code::ok, {}, now, id);
  }
  // After a failed begin, commit or rollback the state of the transaction on the backend server is
  // uncertain. Closing the connection rolls it back.
  apply_event(target, failed ? transaction_event::not_run_final : transaction_event::answered, now);
  failed ? pool_.discard(number, backend_pool::fault::none, now) : pool_.release(number, now);
  end_transaction(target,
                  failed || kind == operation::rollback ? result_code::transaction_lost
                                                        : result_code::unknown_transaction,
                  now);
  finish_when_replicated(*item, answer, now);
}

void
member_home::transaction_request_not_run(transaction& target,
                                         tracked_request& item,
                                         result_code code,
                                         instant now)
{
  if (item.request.kind == operation::begin) {
    const auto number = target.connection;
    apply_event(target, transaction_event::not_run_retryable, now);
    end_transaction(target, result_code::transaction_lost, now);
    pool_.release(number, now);
    return handle_not_run(item, code, now);
  }
  if (code == result_code::backend_busy) {
    apply_event(target, transaction_event::not_run_retryable, now);
    item.phase = request_phase::waiting_in_transaction;
    item.sent_at = instant();
    target.waiting.push_front(item.request.id);
    target.not_before = now + options_.busy_retry_delay;
    return;
  }
  const auto running = in_flight{ item.request.id, item.request.expires };
  pool_.discard(target.connection, backend_pool::fault::none, now);
  transaction_failed(target, running, false, code, now);
}

// Ends a transaction whose connection is closed. The backend server rolls back uncommitted changes.
void
member_home::transaction_failed(transaction& target,
                                const std::optional<in_flight>& running,
                                bool may_have_been_sent,
                                result_code reason,
                                instant now)
{
  const bool opening = target.state == transaction_state::opening;
  const bool revoked = reason == result_code::key_withdrawn_in_flight;
  apply_event(target,
              may_have_been_sent ? transaction_event::connection_failed
                                 : transaction_event::not_run_final,
              now);
  const bool unknown = target.state == transaction_state::unknown;
  auto waiting = unknown ? result_code::unknown_transaction : result_code::transaction_lost;
  end_transaction(target, revoked ? result_code::key_rejected : waiting, now);
  if (!running || running->internal) {
    return;
  }
  auto& item = *requests_.find(running->id);
  if (opening && !may_have_been_sent) {
    return requeue(item, duration(0), now);
  }
  const bool keeps_reason = unknown || revoked || opening;
  // A statement that was sent may have run before the rollback, so it is not reported as not run.
  const auto lost =
    may_have_been_sent ? result_code::transaction_broken : result_code::transaction_lost;
  requests_.finish(
    running->id,
    keeps_reason ? reason : lost,
    keeps_reason ? "the connection of the transaction was closed"
                 : "the connection of the transaction was closed; the transaction is rolled back",
    now);
}

void
member_home::expire_waiting(transaction& target, instant now)
{
  std::vector<request_id> overdue;
  std::erase_if(target.waiting, [&](const request_id& id) {
    if (now < requests_.find(id)->request.expires) {
      return false;
    }
    overdue.push_back(id);
    return true;
  });
  for (const auto& id : overdue) {
    requests_.finish(id,
                     result_code::deadline_expired,
                     "the deadline passed while the request was waiting in the transaction",
                     now);
  }
}

// Releases the slot and answers the requests that are still waiting in the transaction; they did
// not run.
void
member_home::end_transaction(transaction& target, result_code waiting_code, instant now)
{
  const auto waiting = std::exchange(target.waiting, {});
  const bool ran = target.state != transaction_state::lost;
  release_slot(target.workspace, target.slot_since, now, ran);
  transactions_.close(transaction_id(target.id), now);
  for (const auto& id : waiting) {
    requests_.finish(id, waiting_code, "the transaction has ended", now);
  }
}

void
member_home::roll_back_idle(transaction& target, instant now)
{
  const request_id id("rollback-" + std::to_string(++last_internal_id_));
  apply_event(target, transaction_event::rollback_sent, now);
  in_flight_[target.connection] = { id, now + options_.rollback_timeout, true };
  backend_request request;
  request.id = id;
  request.in_term = target.in_term;
  request.kind = operation::rollback;
  request.timeout = options_.rollback_timeout;
  hooks_.send(target.connection, std::move(request));
}

void
member_home::process_transactions(instant now)
{
  const auto current = hooks_.current_term();
  const bool replaced = !current && other_primary();
  for (const auto& id : transactions_.ids()) {
    auto& open_transaction = *transactions_.find(id);
    expire_waiting(open_transaction, now);
    if (open_transaction.state != transaction_state::idle) {
      continue;
    }
    // A transaction of an earlier term can no longer commit and would only occupy a slot.
    if (replaced || (current && *current != open_transaction.in_term)) {
      pool_.discard(open_transaction.connection, backend_pool::fault::none, now);
      transaction_failed(open_transaction, std::nullopt, false, result_code::transaction_lost, now);
      continue;
    }
    run_next(open_transaction, now);
  }
}

}
