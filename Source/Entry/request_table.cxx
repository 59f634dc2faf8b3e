#include "Entry/request_table.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Delay before the next round, if all members were tried and none served the request.
constexpr duration retry_round_delay = std::chrono::milliseconds(50);

// A running owner of a transaction may be unreachable for a short time, for instance while a
// new instance has not yet learned the owner's clock.
constexpr duration owner_retry_time = std::chrono::milliseconds(500);

constexpr char attempt_separator = '#';

request_id
attempt_id(const request_id& request, unsigned number)
{
  return request_id(request.get() + attempt_separator + std::to_string(number));
}

// True for codes after which the request may succeed at another member or a short time later.
bool
is_retryable(result_code code)
{
  switch (code) {
    case result_code::no_primary:
    case result_code::no_fresh_member:
    case result_code::home_unreachable:
    case result_code::wrong_home:
    case result_code::draining:
    case result_code::backend_busy:
    case result_code::backend_wrong_term:
    case result_code::backend_not_primary:
    case result_code::backend_connect_failed:
    case result_code::backend_leaving:
      return true;
    default:
      return false;
  }
}

}

request_id
request_of_attempt(const request_id& attempt_id)
{
  return request_id(attempt_id.get().substr(0, attempt_id.get().rfind(attempt_separator)));
}

request_table::request_table(router& routes, retry_budget& budget, hooks callbacks)
  : routes_(routes)
  , budget_(budget)
  , hooks_(std::move(callbacks))
{
}

void
request_table::start(const request_id& request, request_spec spec, instant now)
{
  budget_.record_request(now);
  auto& state = requests_[request];
  state.spec = std::move(spec);
  next_due_ = std::min(next_due_, state.spec.deadline);
  send_next_attempt(request, state, now);
}

void
request_table::send_next_attempt(const request_id& request, entry& state, instant now)
{
  state.retry_at.reset();
  state.in_flight.reset();
  attempt next;
  next.id = attempt_id(request, ++state.attempts);
  next.database = state.spec.database;
  if (state.spec.owner) {
    next.owner = state.spec.owner;
  } else {
    const bool needs_primary = state.spec.write || state.spec.primary_only;
    const auto order = needs_primary ? routes_.write_order(state.spec.database)
                                     : routes_.read_order(state.spec.database, now);
    if (order.empty()) {
      finish(request,
             result_code::unknown_database,
             run_outcome::not_run,
             "database " + state.spec.database.get() + " has no members");
      return;
    }
    const auto& chosen = order[state.next_member % order.size()];
    next.member = chosen.member;
    next.zone = chosen.zone;
  }
  state.in_flight = next;
  hooks_.send(request, next);
}

std::map<request_id, request_table::entry>::iterator
request_table::find_attempt(const request_id& id)
{
  const auto found = requests_.find(request_of_attempt(id));
  if (found == requests_.end() || !found->second.in_flight || found->second.in_flight->id != id) {
    return requests_.end();
  }
  return found;
}

void
request_table::update_routes(const entry& state, const attempt_answer& answer, instant now)
{
  if (answer.primary) {
    routes_.record_primary(state.spec.database, *answer.primary, answer.primary_term);
  }
  if (answer.code == result_code::no_fresh_member) {
    routes_.record_stale(state.spec.database, state.in_flight->member, now);
  }
}

void
request_table::attempt_answered(const attempt_answer& answer, instant now)
{
  const auto found = find_attempt(answer.id);
  if (found == requests_.end()) {
    // The attempt was abandoned: its request has been answered or is being retried.
    return;
  }
  const auto request = found->first;
  auto& state = found->second;
  const auto primary_before = routes_.primary(state.spec.database);
  update_routes(state, answer, now);
  if (answer.outcome == run_outcome::done) {
    finish(request, answer.code, answer.outcome, answer.message, &answer);
    return;
  }
  if (answer.outcome == run_outcome::unknown) {
    handle_unknown(request, state, answer.code, answer.message, &answer, now);
    return;
  }
  if (routes_.primary(state.spec.database) != primary_before) {
    // The new primary is now first in the order of candidates, so start over.
    state.next_member = 0;
    state.in_flight.reset();
    state.last_code = answer.code;
    state.last_message = answer.message;
    if (!state.spec.owner && is_retryable(answer.code) && now < state.spec.deadline) {
      send_next_attempt(request, state, now);
      return;
    }
  }
  handle_not_run(request, state, answer.code, answer.message, &answer, now);
}

void
request_table::attempt_not_sent(const request_id& id, instant now)
{
  const auto found = find_attempt(id);
  if (found == requests_.end()) {
    return;
  }
  const auto request = found->first;
  auto& state = found->second;
  handle_not_run(request,
                 state,
                 result_code::home_unreachable,
                 "home of member " + state.in_flight->member.get() + " cannot be reached",
                 nullptr,
                 now);
}

void
request_table::home_lost(const std::vector<request_id>& attempt_ids, instant now)
{
  for (const auto& id : attempt_ids) {
    const auto found = find_attempt(id);
    if (found == requests_.end()) {
      continue;
    }
    const auto request = found->first;
    auto& state = found->second;
    handle_unknown(request,
                   state,
                   result_code::home_lost,
                   "home of member " + state.in_flight->member.get() + " stopped or restarted",
                   nullptr,
                   now);
  }
}

void
request_table::handle_not_run(const request_id& request,
                              entry& state,
                              result_code code,
                              const std::string& message,
                              const attempt_answer* answer,
                              instant now)
{
  state.last_code = code;
  state.last_message = message;
  state.in_flight.reset();
  if (state.spec.owner) {
    if (code == result_code::home_unreachable) {
      if (!state.owner_retry_deadline) {
        state.owner_retry_deadline = now + owner_retry_time;
      }
      if (now < *state.owner_retry_deadline) {
        retry_after_delay(state, now);
        return;
      }
      // The unreachable owner has stopped, or it rolls the transaction back after the idle timeout.
      finish(request, result_code::transaction_lost, run_outcome::not_run, message, answer);
      return;
    }
    finish(request, code, run_outcome::not_run, message, answer);
    return;
  }
  if (!is_retryable(code)) {
    finish(request, code, run_outcome::not_run, message, answer);
    return;
  }
  ++state.next_member;
  const auto members = routes_.write_order(state.spec.database).size();
  if (members != 0 && state.next_member % members != 0) {
    send_next_attempt(request, state, now);
    return;
  }
  state.next_member = 0;
  retry_after_delay(state, now);
}

void
request_table::retry_after_delay(entry& state, instant now)
{
  state.retry_at = now + retry_round_delay;
  next_due_ = std::min(next_due_, *state.retry_at);
}

void
request_table::handle_unknown(const request_id& request,
                              entry& state,
                              result_code code,
                              const std::string& message,
                              const attempt_answer* answer,
                              instant now)
{
  state.last_code = code;
  state.last_message = message;
  state.unknown_code = code;
  const bool may_repeat = state.spec.idempotent && !state.spec.owner && now < state.spec.deadline;
  if (!may_repeat || !budget_.try_take(now)) {
    finish(request, code, run_outcome::unknown, message, answer);
    return;
  }
  state.in_flight.reset();
  ++state.next_member;
  send_next_attempt(request, state, now);
}

void
request_table::tick(instant now)
{
  if (now < next_due_) {
    return;
  }
  next_due_ = instant::max();
  std::vector<request_id> overdue;
  std::vector<request_id> delayed;
  for (const auto& [request, state] : requests_) {
    if (now >= state.spec.deadline) {
      overdue.push_back(request);
    } else if (state.retry_at && now >= *state.retry_at) {
      delayed.push_back(request);
    } else {
      next_due_ =
        std::min({ next_due_, state.spec.deadline, state.retry_at.value_or(instant::max()) });
    }
  }
  for (const auto& request : overdue) {
    const auto& state = requests_.at(request);
    if (state.in_flight) {
      finish(request,
             result_code::answer_overdue,
             run_outcome::unknown,
             "no answer from the home of member " + state.in_flight->member.get() +
               " before the deadline");
    } else {
      finish(request, state.last_code, run_outcome::not_run, state.last_message);
    }
  }
  for (const auto& request : delayed) {
    const auto found = requests_.find(request);
    if (found != requests_.end()) {
      next_due_ = std::min(next_due_, found->second.spec.deadline);
      send_next_attempt(request, found->second, now);
    }
  }
}

void
request_table::finish(const request_id& request,
                      result_code code,
                      run_outcome outcome,
                      const std::string& message,
                      const attempt_answer* answer)
{
  // Remove the entry first, because the hook may start other requests. `request` and `message` may
  // be references into the entry, so it must exist until the end of this function.
  const auto taken = requests_.extract(request);
  const auto& unknown_code = taken.mapped().unknown_code;
  if (outcome == run_outcome::not_run && unknown_code) {
    code = *unknown_code;
    outcome = run_outcome::unknown;
  }
  hooks_.finish(taken.key(), code, outcome, message, answer);
}

}
