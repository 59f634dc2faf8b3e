#include "StandIns/standin_backend_member.h"

#include "StandIns/standin_backend_statement.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

std::string_view
name_of(standin_refusal refusal)
{
  switch (refusal) {
    case standin_refusal::none:
      return "none";
    case standin_refusal::busy:
      return "busy";
    case standin_refusal::wrong_term:
      return "wrong_term";
    case standin_refusal::not_primary:
      return "not_primary";
    case standin_refusal::not_promised:
      return "not_promised";
    case standin_refusal::leaving:
      return "leaving";
    case standin_refusal::bad_statement:
      return "bad_statement";
    case standin_refusal::mismatch:
      break;
  }
  return "mismatch";
}

standin_member::standin_member(std::string name, std::size_t slots, std::function<void()> changed)
  : name_(std::move(name))
  , slots_(slots)
  , changed_(std::move(changed))
{
}

void
standin_member::start_as_primary()
{
  raise_promise(term(1), {});
  primary_ = true;
  primary_of_term_ = name_;
  write({}, {});
}

void
standin_member::changed() const
{
  if (changed_) {
    changed_();
  }
}

void
standin_member::raise_promise(term in_term, const std::string& candidate)
{
  end_primary_role();
  promised_ = in_term;
  candidate_ = candidate;
  primary_of_term_.clear();
}

void
standin_member::end_primary_role()
{
  if (std::exchange(primary_, false)) {
    abort_transactions();
  }
}

void
standin_member::abort_transactions()
{
  for (auto& [connection, open] : transactions_) {
    if (!std::exchange(open.aborted, true)) {
      --slots_used_;
      open.changes.clear();
    }
  }
}

bool
standin_member::fence(term in_term, const std::string& candidate)
{
  if (in_term == promised_) {
    return !candidate.empty() && candidate == candidate_;
  }
  if (in_term < promised_ || candidate.empty()) {
    return false;
  }
  raise_promise(in_term, candidate);
  changed();
  return true;
}

standin_refusal
standin_member::promote(term in_term, const std::string& candidate)
{
  if (in_term < promised_) {
    return standin_refusal::wrong_term;
  }
  if (in_term != promised_ || candidate.empty() || candidate != candidate_) {
    return standin_refusal::not_promised;
  }
  if (primary_) {
    return standin_refusal::none;
  }
  if (!primary_of_term_.empty()) {
    // Another member is the primary of the term, or this member was before a restart.
    return standin_refusal::wrong_term;
  }
  primary_ = true;
  primary_of_term_ = name_;
  write({}, {});
  return standin_refusal::none;
}

standin_refusal
standin_member::follow(term in_term)
{
  if (in_term < promised_ || (in_term == promised_ && primary_)) {
    return standin_refusal::wrong_term;
  }
  if (in_term > promised_) {
    raise_promise(in_term, {});
    changed();
  }
  return standin_refusal::none;
}

standin_append_outcome
standin_member::accept(const standin_append& append)
{
  const bool other_primary = !primary_of_term_.empty() && primary_of_term_ != append.origin;
  if (append.in_term < promised_ || (append.in_term == promised_ && (primary_ || other_primary))) {
    return { standin_refusal::wrong_term, {} };
  }
  if (!append.entries.empty() && append.entries.back().at.in_term != append.in_term) {
    return { standin_refusal::mismatch, append.previous.position };
  }
  const bool raised = append.in_term > promised_;
  if (raised) {
    raise_promise(append.in_term, {});
  }
  primary_of_term_ = append.origin;

  const auto previous = append.previous;
  if (previous.position > log_.last().position ||
      log_.term_at(previous.position) != previous.in_term) {
    if (raised) {
      changed();
    }
    const auto next = std::min(log_.last().position.get(), previous.position.get() - 1);
    return { standin_refusal::mismatch, log_position(next) };
  }
  auto matched = previous.position;
  bool written = false;
  for (const auto& entry : append.entries) {
    if (log_.term_at(entry.at.position) != entry.at.in_term) {
      log_.truncate_after(matched);
      log_.append(entry);
      written = true;
    }
    matched = entry.at.position;
  }
  if (written || raised) {
    changed();
  }
  return { standin_refusal::none, matched };
}

standin_outcome
standin_member::refuse(standin_refusal refusal, std::string message) const
{
  return { refusal, std::move(message), log_.last(), {} };
}

standin_outcome
standin_member::check_primary(term in_term) const
{
  const auto promised = std::to_string(promised_.get());
  if (in_term < promised_) {
    return refuse(standin_refusal::wrong_term, "term " + promised + " is already promised");
  }
  if (!primary_) {
    return refuse(standin_refusal::not_primary, name_ + " is not the primary");
  }
  if (in_term > promised_) {
    return refuse(standin_refusal::wrong_term, name_ + " is primary of term " + promised);
  }
  return {};
}

standin_outcome
standin_member::admit(standin_call& call)
{
  const auto open = transactions_.find(call.connection);
  call.in_transaction = open != transactions_.end();
  if (call.operation == standin_operation::rollback) {
    return {};
  }
  if (call.in_transaction) {
    if (open->second.aborted) {
      return refuse(standin_refusal::wrong_term, "the transaction was rolled back");
    }
    if (call.operation == standin_operation::begin) {
      return refuse(standin_refusal::bad_statement, "the connection has an open transaction");
    }
  } else if (call.operation == standin_operation::commit) {
    return refuse(standin_refusal::bad_statement, "the connection has no open transaction");
  }
  if (call.operation == standin_operation::statement) {
    auto checked = check_statement(call.text, call.write);
    if (!checked.empty()) {
      return refuse(standin_refusal::bad_statement, std::move(checked));
    }
  }
  if (call.in_transaction) {
    return {};
  }
  if (call.write || call.operation == standin_operation::begin) {
    auto outcome = check_primary(call.in_term);
    if (outcome.refusal != standin_refusal::none) {
      return outcome;
    }
  }
  if (refuse_new_work_) {
    return refuse(standin_refusal::leaving, name_ + " is leaving");
  }
  if (slots_used_ >= slots_) {
    return refuse(standin_refusal::busy,
                  "all " + std::to_string(slots_) + " slots of " + name_ + " are in use");
  }
  ++slots_used_;
  return {};
}

standin_outcome
standin_member::execute(const standin_call& call)
{
  const auto open = transactions_.find(call.connection);
  const bool is_open = open != transactions_.end();
  if (call.operation == standin_operation::rollback) {
    if (is_open) {
      ++runs_[call.request_id];
    }
    connection_closed(call.connection);
    return { standin_refusal::none, {}, log_.last(), {} };
  }
  if (call.in_transaction) {
    if (!is_open || open->second.aborted) {
      return refuse(standin_refusal::wrong_term, "the transaction was rolled back");
    }
    if (call.operation == standin_operation::statement) {
      return run_statement(call, open->second.changes);
    }
    ++runs_[call.request_id];
    auto changes = std::move(open->second.changes);
    transactions_.erase(open);
    --slots_used_;
    if (!changes.empty()) {
      write(call.request_id, std::move(changes));
    }
    return { standin_refusal::none, {}, log_.last(), {} };
  }
  if (call.write || call.operation == standin_operation::begin) {
    // The member may have been fenced between admission and execution.
    auto outcome = check_primary(call.in_term);
    if (outcome.refusal != standin_refusal::none) {
      --slots_used_;
      return outcome;
    }
  }
  if (call.operation == standin_operation::begin) {
    ++runs_[call.request_id];
    transactions_.emplace(call.connection, transaction{});
    return { standin_refusal::none, {}, log_.last(), {} };
  }
  --slots_used_;
  std::vector<standin_change> changes;
  auto outcome = run_statement(call, changes);
  if (!changes.empty()) {
    write(call.request_id, std::move(changes));
    outcome.at = log_.last();
  }
  return outcome;
}

standin_outcome
standin_member::run_statement(const standin_call& call, std::vector<standin_change>& pending)
{
  auto ran = standin_statement_run(call.text, log_, pending);
  if (!ran.error.empty()) {
    return refuse(standin_refusal::bad_statement, std::move(ran.error));
  }
  ++runs_[call.request_id];
  return { standin_refusal::none, {}, log_.last(), std::move(ran.rows) };
}

void
standin_member::write(const std::string& id, std::vector<standin_change> changes)
{
  const log_position next(log_.last().position.get() + 1);
  log_.append(
    { { promised_, next }, name_, id, std::move(changes), std::chrono::steady_clock::now() });
  changed();
}

void
standin_member::connection_closed(accepted_number number)
{
  const auto open = transactions_.find(number);
  if (open == transactions_.end()) {
    return;
  }
  if (!open->second.aborted) {
    --slots_used_;
  }
  transactions_.erase(open);
}

void
standin_member::restart()
{
  abort_transactions();
  transactions_.clear();
  primary_ = false;
  changed();
}

void
standin_member::set_leaving(bool leaving)
{
  leaving_ = leaving;
  changed();
}

}
