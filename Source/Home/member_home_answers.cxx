#include "Home/member_home.h"

#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

bool
is_valid_answer_code(result_code code)
{
  return code == result_code::ok || code == result_code::statement_failed || confirms_not_run(code);
}

}

void
member_home::connected(connection_number number, bool ok, instant now)
{
  pool_.connected(number, ok, now);
  if (pool_.down()) {
    reject_unservable(now);
  }
  dispatch(now);
}

void
member_home::backend_answered(connection_number number, const backend_answer& answer, instant now)
{
  if (!pool_.contains(number)) {
    return;
  }
  if (pool_.is_probing(number)) {
    const bool id_matches = probes_[number] == answer.id && answer.code == result_code::ok;
    probes_.erase(number);
    pool_.probe_ended(number, id_matches, now);
    return dispatch(now);
  }
  const auto found = in_flight_.find(number);
  const bool late = found != in_flight_.end() && found->second.deadline <= now;
  if (found == in_flight_.end() || late || found->second.id != answer.id ||
      !is_valid_answer_code(answer.code)) {
    const auto reason = late ? result_code::answer_overdue : result_code::malformed_answer;
    fail_connection(number, true, reason, backend_pool::fault::broken, now);
    return dispatch(now);
  }
  auto* item = requests_.find(answer.id);
  const bool wrong_term = item != nullptr && answer.code == result_code::ok &&
                          may_modify_data(item->request) && answer.point.in_term != item->sent_term;
  if (wrong_term) {
    // A write that ran in another term than requested cannot be acknowledged.
    fail_connection(number, true, result_code::malformed_answer, backend_pool::fault::broken, now);
    return dispatch(now);
  }
  in_flight_.erase(found);
  if (auto* open_transaction = transactions_.find(number)) {
    transaction_answered(*open_transaction, item, answer, now);
  } else {
    complete(*item, number, answer, now);
  }
  dispatch(now);
}

void
member_home::complete(tracked_request& item,
                      connection_number number,
                      const backend_answer& answer,
                      instant now)
{
  const bool ran = !confirms_not_run(answer.code);
  release_slot(item.request.workspace, item.sent_at, now, ran);
  pool_.release(number, now);
  if (ran) {
    return finish_when_replicated(item, answer, now);
  }
  handle_not_run(item, answer.code, now);
}

// Answers a request that ran, once a majority has replicated what it wrote or read. A read of
// entries that a failover may discard would let a later read of the same session go back.
void
member_home::finish_when_replicated(tracked_request& item,
                                    const backend_answer& answer,
                                    instant now)
{
  item.answered_at = now;
  item.point = answer.point;
  item.rows = answer.rows;
  // A statement in a transaction is decided by its commit, which waits. Other reads may be served
  // by replicas, which show only what the primary has sent them.
  const bool reads_primary = item.request.kind == operation::statement &&
                             item.request.transaction.get().empty() && needs_primary(item.request);
  const bool is_decisive = may_modify_data(item.request) || reads_primary;
  if (answer.code == result_code::ok && is_decisive && !hooks_.majority_holds(item.point)) {
    return requests_.await_majority(item);
  }
  requests_.finish(item.request.id, answer.code, {}, now);
}

// Handles an answer of the backend server that the request did not run.
void
member_home::handle_not_run(tracked_request& item, result_code code, instant now)
{
  if (code == result_code::backend_busy) {
    return requeue(item, options_.busy_retry_delay, now);
  }
  if (!needs_primary(item.request)) {
    item.sent_at = instant();
    return requests_.finish(item.request.id, code, "the member rejected the read", now);
  }
  rejected_term_ = item.sent_term;
  rejected_until_ = now + options_.rejected_term_delay;
  requeue(item, duration(0), now);
}

void
member_home::backend_failed(connection_number number,
                            bool may_have_been_sent,
                            result_code reason,
                            instant now)
{
  if (!pool_.contains(number)) {
    return;
  }
  if (pool_.is_probing(number)) {
    pool_.probe_ended(number, false, now);
  } else {
    const auto fault = reason == result_code::answer_overdue ? backend_pool::fault::unresponsive
                                                             : backend_pool::fault::broken;
    // A request that may have been sent must end with a code of unknown outcome.
    const bool is_unknown_outcome = outcome_of(reason) == run_outcome::unknown;
    fail_connection(number,
                    may_have_been_sent,
                    is_unknown_outcome ? reason : result_code::connection_lost,
                    fault,
                    now);
  }
  if (pool_.down()) {
    reject_unservable(now);
  }
  dispatch(now);
}

void
member_home::connection_closed(connection_number number, instant now)
{
  // Assume that the request in flight was sent: a server that closes the connection after its
  // answer cannot be told apart from one that closed it before the request arrived.
  backend_failed(number, true, result_code::connection_lost, now);
}

void
member_home::fail_connection(connection_number number,
                             bool may_have_been_sent,
                             result_code reason,
                             backend_pool::fault fault,
                             instant now)
{
  std::optional<in_flight> running;
  const auto found = in_flight_.find(number);
  if (found != in_flight_.end()) {
    running = found->second;
    in_flight_.erase(found);
  }
  pool_.discard(number, fault, now);
  if (auto* open_transaction = transactions_.find(number)) {
    return transaction_failed(*open_transaction, running, may_have_been_sent, reason, now);
  }
  if (!running) {
    return;
  }
  auto& item = *requests_.find(running->id);
  release_slot(item.request.workspace, item.sent_at, now, may_have_been_sent);
  if (!may_have_been_sent) {
    return requeue(item, duration(0), now);
  }
  requests_.finish(
    running->id, reason, "connection " + std::to_string(number.get()) + " was closed", now);
}

void
member_home::expire_in_flight(instant now)
{
  std::vector<connection_number> overdue;
  for (const auto& [number, running] : in_flight_) {
    if (running.deadline <= now) {
      overdue.push_back(number);
    }
  }
  for (const auto number : overdue) {
    fail_connection(
      number, true, result_code::answer_overdue, backend_pool::fault::unresponsive, now);
  }
}

}
