#include "Home/member_home.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

std::size_t
target_connections(const member_home_options& options)
{
  return options.slots + options.spare_connections;
}

backend_pool::options
pool_options(const member_home_options& options)
{
  auto pool = options.pool;
  pool.target_connections = target_connections(options);
  return pool;
}

}

member_home::member_home(member_home_options options, member_home_hooks hooks)
  : options_(std::move(options))
  , hooks_(std::move(hooks))
  , queue_(options_.queue, options_.slots)
  , pool_(pool_options(options_),
          { [this](connection_number number) { hooks_.open_connection(number); },
            [this](connection_number number) {
              probes_.erase(number);
              hooks_.close_connection(number);
            },
            [this](connection_number number) {
              const request_id id("probe-" + std::to_string(++last_internal_id_));
              probes_[number] = id;
              backend_request request;
              request.id = id;
              request.kind = operation::probe;
              request.timeout = options_.pool.probe_timeout;
              hooks_.send(number, std::move(request));
            } })
  , transactions_(options_.transaction, hooks_.random_bits)
  , requests_(options_.answers, hooks_.answer)
{
}

void
member_home::submit(home_request request, instant now)
{
  if (requests_.handle_duplicate(request)) {
    return;
  }
  const auto reject = [&](result_code code, const std::string& message) {
    requests_.reject(request, code, message, now);
  };
  const bool in_transaction = !request.transaction.get().empty();
  const bool ends_transaction =
    request.kind == operation::commit || request.kind == operation::rollback;
  if (request.kind == operation::probe || (request.kind == operation::begin && in_transaction) ||
      (ends_transaction && !in_transaction)) {
    return reject(
      result_code::bad_request,
      "begin takes no transaction id, commit and rollback need one, and probe is not allowed");
  }
  if (revoked_keys_.contains(request.key_digest)) {
    return reject(result_code::key_rejected, "the key was revoked");
  }
  if (request.expires <= now) {
    return reject(result_code::deadline_expired, "the request had expired when it arrived");
  }
  if (in_transaction) {
    return submit_in_transaction(std::move(request), now);
  }
  if (draining_) {
    return reject(result_code::draining, "the home of the member is draining");
  }
  if (const auto reason = rejection_reason(request, now); reason.code != result_code::ok) {
    return reject(reason.code, reason.message);
  }
  const auto pushed = queue_.push({ request.id, request.workspace, request.expires, now });
  if (!pushed) {
    return reject(pushed.error().code, pushed.error().message);
  }
  requests_.add(std::move(request), now);
  dispatch(now);
}

member_home::rejection
member_home::rejection_reason(const home_request& request, instant now) const
{
  if (needs_primary(request)) {
    if (!hooks_.current_term() && other_primary()) {
      return { result_code::wrong_home, "another member is the primary" };
    }
    return {};
  }
  if (leaving_) {
    return { result_code::backend_leaving, "member " + options_.member.get() + " is leaving" };
  }
  if (pool_.down()) {
    return { result_code::backend_connect_failed, "member " + options_.member.get() + " is down" };
  }
  if (hooks_.member_ready(request.min_log_point, request.max_age, now) == read_readiness::never) {
    return { result_code::no_fresh_member,
             "member " + options_.member.get() + " cannot reach the required log position" };
  }
  return {};
}

bool
member_home::can_run_now(const home_request& request, instant now) const
{
  if (!needs_primary(request)) {
    return hooks_.member_ready(request.min_log_point, request.max_age, now) ==
           read_readiness::ready;
  }
  const auto current = hooks_.current_term();
  if (!current || (*current == rejected_term_ && now < rejected_until_)) {
    return false;
  }
  if (request.min_log_point && *current < request.min_log_point->in_term) {
    return false;
  }
  return !request.write || requests_.replicating() < options_.max_replicating;
}

void
member_home::dispatch(instant now)
{
  expire_queued(now);
  while (slots_used_ < options_.slots && queue_.size() > 0 && pool_.has_idle()) {
    const auto entry = queue_.pop(now, [&](const queue_entry& candidate) {
      return can_run_now(requests_.find(candidate.id)->request, now);
    });
    if (!entry) {
      return;
    }
    ++slots_used_;
    start(*requests_.find(entry->id), now);
  }
}

void
member_home::start(tracked_request& item, instant now)
{
  const auto number = *pool_.acquire();
  item.sent_term = needs_primary(item.request) ? *hooks_.current_term() : term();
  if (item.request.kind == operation::begin) {
    transactions_.open(item.request, number, item.sent_term, now);
  }
  send(item, number, now);
}

void
member_home::send(tracked_request& item, connection_number number, instant now)
{
  item.phase = request_phase::sent;
  item.sent_at = now;
  in_flight_[number] = { item.request.id, item.request.expires };
  backend_request request;
  request.id = item.request.id;
  request.in_term = item.sent_term;
  request.write = item.request.write;
  request.text = item.request.text;
  request.kind = item.request.kind;
  request.timeout = item.request.expires - now;
  request.traceparent = item.request.traceparent;
  hooks_.send(number, std::move(request));
}

// Puts a request that did not run back at the front of the queue.
void
member_home::requeue(tracked_request& item, duration delay, instant now)
{
  item.phase = request_phase::queued;
  item.sent_at = instant();
  const auto reason = rejection_reason(item.request, now);
  if (reason.code != result_code::ok) {
    requests_.finish(item.request.id, reason.code, reason.message, now);
    return;
  }
  queue_.push_front({ item.request.id, item.request.workspace, item.request.expires, now + delay });
}

void
member_home::release_slot(const workspace_id& workspace, instant since, instant now, bool ran)
{
  queue_.release_slot(workspace, now - since, now, ran);
  --slots_used_;
}

void
member_home::reject_unservable(instant now)
{
  std::map<request_id, rejection> reasons;
  queue_.remove_if([&](const queue_entry& entry) {
    auto reason = rejection_reason(requests_.find(entry.id)->request, now);
    if (reason.code == result_code::ok) {
      return false;
    }
    reasons.emplace(entry.id, std::move(reason));
    return true;
  });
  for (const auto& [id, reason] : reasons) {
    requests_.finish(id, reason.code, reason.message, now);
  }
}

member_home::rejection
member_home::expiry_reason(const home_request& request) const
{
  if (leaving_) {
    return { result_code::backend_leaving, "the deadline passed while the member is leaving" };
  }
  if (needs_primary(request) && !hooks_.current_term()) {
    return { result_code::no_primary, "the deadline passed while no primary was confirmed" };
  }
  if (pool_.down()) {
    return { result_code::backend_connect_failed, "the deadline passed while the member is down" };
  }
  return { result_code::deadline_expired, "the deadline passed in the queue" };
}

void
member_home::expire_queued(instant now)
{
  for (const auto& entry : queue_.remove_expired(now)) {
    const auto reason = expiry_reason(requests_.find(entry.id)->request);
    requests_.finish(entry.id, reason.code, reason.message, now);
  }
}

void
member_home::group_changed(instant now)
{
  requests_.finish_replicated(hooks_.majority_holds, now);
  process_transactions(now);
  reject_unservable(now);
  dispatch(now);
}

void
member_home::tick(instant now)
{
  pool_.tick(now);
  requests_.finish_replicated(hooks_.majority_holds, now);
  requests_.expire_replicating(now);
  requests_.remove_expired_answers(now);
  expire_in_flight(now);
  process_transactions(now);
  transactions_.remove_expired(now);
  std::erase_if(revoked_keys_, [&](const auto& item) {
    return now - item.second >= options_.revoked_key_retention;
  });
  if (now >= next_recheck_) {
    reject_unservable(now);
    next_recheck_ = now + options_.recheck_interval;
  }
  dispatch(now);
}

void
member_home::revoke_key(const sha256_digest& key_digest, instant now)
{
  if (key_digest == sha256_digest{}) {
    return;
  }
  revoked_keys_[key_digest] = now;
  const auto matches = [&](const request_id& id) {
    const auto* item = requests_.find(id);
    return item != nullptr && equal_constant_time(item->request.key_digest, key_digest);
  };
  const auto queued = queue_.remove_if([&](const queue_entry& entry) { return matches(entry.id); });
  for (const auto& entry : queued) {
    requests_.finish(entry.id, result_code::key_rejected, "the key was revoked", now);
  }
  std::vector<connection_number> running;
  for (const auto& [number, item] : in_flight_) {
    if (!item.internal && matches(item.id)) {
      running.push_back(number);
    }
  }
  for (const auto number : running) {
    fail_connection(
      number, true, result_code::key_withdrawn_in_flight, backend_pool::fault::none, now);
  }
  for (const auto& id : transactions_.ids()) {
    auto* open_transaction = transactions_.find(id);
    if (open_transaction->state == transaction_state::idle &&
        equal_constant_time(open_transaction->key_digest, key_digest)) {
      for (const auto& waiting : std::exchange(open_transaction->waiting, {})) {
        requests_.finish(waiting, result_code::key_rejected, "the key was revoked", now);
      }
      roll_back_idle(*open_transaction, now);
    }
  }
  requests_.revoke_key(key_digest, now);
  dispatch(now);
}

void
member_home::set_leaving(bool leaving)
{
  leaving_ = leaving;
  next_recheck_ = instant();
  pool_.set_leaving(leaving);
}

void
member_home::resize(std::size_t slots, std::size_t connections, instant now)
{
  options_.slots = slots;
  options_.pool.max_connections = connections;
  queue_.set_slots(slots);
  pool_.resize(connections, target_connections(options_), now);
  dispatch(now);
}

void
member_home::drain(instant now)
{
  draining_ = true;
  dispatch(now);
}

bool
member_home::drained() const
{
  return draining_ && requests_.size() == 0 && transactions_.size() == 0;
}

home_stats
member_home::stats() const
{
  return { queue_.size(),        options_.slots,          slots_used_,      pool_.size(),
           transactions_.size(), requests_.replicating(), requests_.size(), pool_.down() };
}

}
