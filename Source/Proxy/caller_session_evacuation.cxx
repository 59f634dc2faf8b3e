#include "Proxy/caller_session.h"

namespace persimmonshelf {

// When the use of the connection ends; empty if its zone is not evacuated.
std::optional<evacuation_deadlines>
caller_session::evacuation() const
{
  return connection_ != nullptr && hooks_->evacuation_of ? hooks_->evacuation_of(connection_->zone)
                                                         : std::nullopt;
}

// False if nothing may be sent on the connection any more.
bool
caller_session::may_send() const
{
  const auto deadlines = evacuation();
  return !deadlines || hooks_->now() < deadlines->use_ends;
}

// Rolls back a transaction at an evacuated member once its time is over, and ends a statement in
// flight that would exceed the limit. Returns true if it ended something.
bool
caller_session::end_evacuated_use(instant now)
{
  const auto deadlines = evacuation();
  if (!deadlines) {
    return false;
  }
  if (active_) {
    if (now < deadlines->use_ends) {
      return false;
    }
    end_unfinished("the zone " + connection_->zone.get() + " is evacuated");
    return true;
  }
  if (!transaction_ || now < deadlines->transactions_end) {
    return false;
  }
  hooks_->log("transaction_evacuated", "-", connection_->member.get());
  roll_back_connection();
  transaction_->evacuated = true;
  return true;
}

// Gives up the connection for another one if its zone was evacuated before the transaction or
// statement began there. Returns true if it did.
bool
caller_session::leave_evacuated_member()
{
  if (in_transaction_ || !evacuation()) {
    return false;
  }
  close_connection();
  acquire();
  return true;
}

// Ends the statement in progress if its transaction was rolled back because of an evacuation, or
// has to be. Returns true if it ended.
bool
caller_session::end_evacuated_transaction()
{
  if (!transaction_) {
    return false;
  }
  const auto deadlines = evacuation();
  if (!transaction_->evacuated && !(deadlines && hooks_->now() >= deadlines->transactions_end)) {
    return false;
  }
  roll_back_connection();
  transaction_->evacuated = false;
  fail_statement(statement_error::aborted, "the zone of the transaction's member is evacuated");
  return true;
}

}
