#include "Engine/open_request.h"

#include "Engine/wire_convert.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Time reserved for the answer of a home to reach the caller before the deadline.
constexpr duration answer_margin = std::chrono::milliseconds(100);

wire::operation
to_wire(caller_operation kind)
{
  switch (kind) {
    case caller_operation::begin:
      return wire::begin;
    case caller_operation::commit:
      return wire::commit;
    case caller_operation::rollback:
      return wire::rollback;
    case caller_operation::statement:
      break;
  }
  return wire::statement;
}

}

std::string
hex(std::uint64_t number)
{
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    text[text.size() - 1 - i] = digits[(number >> (4 * i)) & 15U];
  }
  return text;
}

wire::forward_request
entry_service::make_forward(const open_request& entry, const attempt& next) const
{
  const auto& request = entry.request;
  wire::forward_request message;
  message.set_request_id(next.id.get());
  message.set_workspace(entry.workspace.get());
  message.set_database(next.database.get());
  message.set_member(next.member.get());
  message.set_kind(to_wire(request.operation));
  message.set_write(request.write);
  message.set_text(request.statement);
  message.set_transaction(request.transaction.get());
  message.set_traceparent("00-" + entry.trace_id + "-" + hex(next_request_) + "-01");
  message.set_idempotent(request.idempotent);
  if (entry.has_key) {
    message.set_key_digest(entry.key_digest.data(), entry.key_digest.size());
  }
  const auto seen = entry.session.databases.find(next.database);
  if (seen != entry.session.databases.end()) {
    auto* point = message.mutable_session();
    const auto& known = seen->second;
    point->set_pending(known.pending_write_term.has_value());
    point->set_term(std::max(known.point.in_term, known.pending_write_term.value_or(term())).get());
    point->set_position(known.pending_write_term ? 0 : known.point.position.get());
    message.set_needs_primary(known.pending_write_term.has_value());
  }
  message.set_needs_primary(message.needs_primary() || request.after_lost_answer);
  if (!request.write && request.operation == caller_operation::statement) {
    const auto* database = control_.config().find_database(next.database);
    const auto fallback = database == nullptr ? duration::zero() : database->default_max_age;
    const auto max_age = request.max_age.value_or(fallback);
    message.set_max_age_us(static_cast<std::uint64_t>(max_age.count()));
    // A maximum age of zero requests the latest state, which only the primary has.
    message.set_needs_primary(message.needs_primary() || max_age <= duration::zero());
  }
  return message;
}

void
entry_service::send(const request_id& request, const attempt& next, instant now)
{
  const auto found = open_.find(request);
  if (found == open_.end()) {
    return;
  }
  auto& entry = *found->second;
  const auto& members = control_.members();
  const auto target = next.owner ? *next.owner : members.home_of(next.database, next.zone, now);
  auto message = make_forward(entry, next);
  // The request expires at the home before the caller's deadline. The home's answer, which states
  // whether the request ran, then arrives in time.
  const auto remaining = entry.deadline - now;
  const auto usable = remaining - std::min(answer_margin, remaining / 4);
  entry.home = target;
  entry.attempt = next.id;
  entry.sent = now;
  if (target == members.self().instance) {
    message.set_expires_at_us(persimmonshelf::to_wire(now + usable));
    entry.home_incarnation = members.self().incarnation;
    message.set_target_incarnation(entry.home_incarnation.get());
    deferred_.add(
      [this, message = std::move(message)](instant at) { hooks_.submit_local(message, at); });
    return;
  }
  const auto* record = members.find(target);
  const auto clock = hooks_.peer_clock(target, now);
  const auto on_not_sent = [this, id = next.id](instant at) {
    now_ = at;
    table_.attempt_not_sent(id, at);
  };
  if (record == nullptr || !clock) {
    // Without the peer's clock the request cannot carry an expiry time, and a delayed message could
    // run after the deadline.
    control_.send_heartbeat(target, now);
    deferred_.add(on_not_sent);
    return;
  }
  // Uses the incarnation of the clock: after a restart, a message from the new incarnation may
  // arrive before the membership shows it.
  entry.home_incarnation = clock->incarnation;
  message.set_target_incarnation(entry.home_incarnation.get());
  message.set_expires_at_us(persimmonshelf::to_wire(clock->clock + usable));
  wire::envelope envelope;
  *envelope.mutable_forward() = std::move(message);
  hooks_.send(record->entry.address, std::move(envelope), on_not_sent);
}

void
entry_service::add_spans(open_request& entry, const wire::forward_answer& answer, instant now)
{
  trace_span hop{ "forward", entry.home.get(), entry.sent, now - entry.sent, {} };
  hop.tags = { { "member", answer.member() },
               { "code", std::string(name_of(static_cast<result_code>(answer.code()))) } };
  entry.spans.push_back(std::move(hop));
  // Clocks of different instances are not comparable, so the spans of the home are placed one after
  // another from the start of the hop.
  auto start = entry.sent;
  const auto add = [&](const char* operation, std::uint64_t length_us) {
    const duration length(static_cast<duration::rep>(length_us));
    entry.spans.push_back({ operation, entry.home.get(), start, length, {} });
    start += length;
  };
  add("home.queue", answer.queue_us());
  add("home.backend", answer.backend_us());
  add("home.replication", answer.replication_us());
}

void
entry_service::on_answer(const wire::forward_answer& answer, instant now)
{
  now_ = now;
  const auto request = request_of_attempt(request_id(answer.request_id()));
  const auto found = open_.find(request);
  if (found == open_.end() || found->second->attempt != request_id(answer.request_id())) {
    return;
  }
  auto& entry = *found->second;
  entry.answer = answer;
  add_spans(entry, answer, now);
  attempt_answer outcome;
  outcome.id = request_id(answer.request_id());
  outcome.code = static_cast<result_code>(answer.code());
  outcome.outcome = static_cast<run_outcome>(answer.outcome());
  outcome.message = answer.message();
  if (answer.has_view()) {
    outcome.primary = member_id(answer.view().primary());
    outcome.primary_term = term(answer.view().term());
  }
  table_.attempt_answered(outcome, now);
}

void
entry_service::update_session(open_request& entry, result_code code, run_outcome outcome) const
{
  const auto& request = entry.request;
  const bool changes = request.write || request.operation == caller_operation::commit;
  if (!entry.answer || code == result_code::statement_failed) {
    if (outcome == run_outcome::unknown && changes) {
      entry.session.record_unknown_write(
        request.database, router_.primary_term(request.database), std::nullopt);
    }
    return;
  }
  const auto& seen = entry.answer->session();
  const log_point point{ term(seen.term()), log_position(seen.position()) };
  if (outcome == run_outcome::unknown) {
    if (changes) {
      const bool has_point = point.position.get() > 0;
      entry.session.record_unknown_write(
        request.database,
        std::max(point.in_term, router_.primary_term(request.database)),
        has_point ? std::optional<log_point>(point) : std::nullopt);
    }
    return;
  }
  const bool in_transaction =
    !request.transaction.get().empty() && request.operation != caller_operation::commit;
  if (outcome != run_outcome::done || in_transaction || point.position.get() == 0) {
    return;
  }
  if (entry.answer->from_replica()) {
    entry.session.record_read(request.database, point);
  } else {
    const auto primary_term = entry.answer->has_view() ? term(entry.answer->view().term()) : term();
    entry.session.record_primary_answer(
      request.database, std::max(primary_term, point.in_term), point);
  }
}

void
entry_service::detect_lost_homes(instant now)
{
  const auto& members = control_.members();
  std::vector<request_id> lost;
  for (const auto& [id, entry] : open_) {
    if (!entry->attempt || entry->home == members.self().instance) {
      continue;
    }
    const auto* record = members.find(entry->home);
    const auto peer_clock = hooks_.peer_clock(entry->home, now);
    const bool clock_matches_incarnation =
      peer_clock && peer_clock->incarnation == entry->home_incarnation;
    const bool restarted = record != nullptr &&
                           record->entry.incarnation != entry->home_incarnation &&
                           !clock_matches_incarnation;
    if (record == nullptr || restarted || members.is_suspected(entry->home, now)) {
      lost.push_back(*entry->attempt);
    }
  }
  table_.home_lost(lost, now);
}

}
