#include "Proxy/caller_session.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Maximum number of attempts of one statement at members that report that they did not run it.
constexpr std::uint32_t attempt_limit = 4;
// Maximum number of retries of a read whose answer was lost. Retries after errors count as well.
constexpr std::uint32_t read_retry_limit = 2;

}

void
caller_session::statement_answered(const member_reply& reply)
{
  if (reply.lost) {
    reply_lost();
    return;
  }
  if (reply.unsent) {
    end_unsent(reply.answer);
    return;
  }
  // A member that refuses writes does not lead.
  if (reply.answer.position && active_->sent_to_primary &&
      reply.answer.error != statement_error::read_only) {
    hooks_->observe_position(
      connection_->group, connection_->member, *reply.answer.position, reply.sent);
  }
  if (reply.answer.error == statement_error::unknown_statement) {
    connection_->kept.forget();
  }
  if (reply.answer.error && !transaction_ &&
      retry_on_another_member(*reply.answer.error, reply.answer.state)) {
    return;
  }
  finish(reply);
}

// Ends a statement that could not be sent to the member.
void
caller_session::end_unsent(const statement_answer& reason)
{
  roll_back_connection();
  fail_statement(*reason.error, reason.error_text);
}

// Handles an error after which the member ran nothing: retries at another member until the limit of
// attempts. A transaction that has begun cannot move to another member.
bool
caller_session::retry_on_another_member(statement_error error, transaction_state state)
{
  if (error == statement_error::lagging) {
    hooks_->observe_lag(connection_->member, true);
  }
  if (!has_not_run(error) || active_->attempts + 1 >= attempt_limit) {
    return false;
  }
  ++active_->attempts;
  hooks_->log("not_run_by_member",
              active_->request.id,
              connection_->member.get() + ", " + describe_position());
  const auto member = connection_->member;
  if (error == statement_error::misrouted || state != transaction_state::idle) {
    close_connection();
  } else {
    release_connection(duration::zero());
  }
  if (error == statement_error::lagging) {
    // The position may belong to a term that was rolled back; only the primary is certain to have
    // every commit.
    active_->needs_primary = true;
    active_->min_position.reset();
  } else if (!active_->needs_primary) {
    active_->excluded_member = member;
  }
  acquire();
  return true;
}

// The connection broke, or no answer will arrive.
void
caller_session::reply_lost()
{
  const auto step = active_->step;
  connection_.reset();
  const bool began = std::exchange(in_transaction_, false);
  const bool sent = step == execution_step::running;
  if (!began && (!sent || !active_->writes) && ++active_->attempts <= read_retry_limit) {
    acquire();
    return;
  }
  if (active_->commits) {
    const bool wrote = transaction_ && transaction_->wrote;
    if (sent && wrote) {
      fail_statement(statement_error::outcome_unknown, "the answer to the commit was lost");
    } else {
      fail_statement(statement_error::aborted, "the transaction was lost before its commit");
    }
    return;
  }
  if (transaction_) {
    fail_statement(statement_error::aborted, "the connection of the transaction was lost");
    return;
  }
  if (!sent) {
    fail_statement(statement_error::busy, "no member could be reached");
    return;
  }
  fail_statement(active_->writes ? statement_error::outcome_unknown : statement_error::failed,
                 "the member's answer was lost");
}

// What a read at a replica was chosen by, for the lines about its request.
std::string
caller_session::describe_position() const
{
  if (!active_->evidence) {
    return "no position";
  }
  return describe(*active_->evidence, hooks_->now());
}

// Logs where the time was spent if a statement exceeded the target latency of the whole operation.
void
caller_session::log_if_late(const member_reply& reply) const
{
  if (reply.received - active_->arrived <= active_->route.target_latency) {
    return;
  }
  const auto text = [](instant from, instant to) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count());
  };
  hooks_->log("late",
              active_->request.id,
              "admission " + text(active_->arrived, active_->admitted_at) + " ms, connection " +
                text(active_->admitted_at, active_->granted_at) + " ms, preparation " +
                text(active_->granted_at, reply.sent) + " ms, member " +
                text(reply.sent, reply.received) + " ms, member " + connection_->member.get() +
                ", attempts " + std::to_string(active_->attempts + 1) + ", " + describe_position());
}

// Reports the time of the operation if the statement completes it.
void
caller_session::report_run_time(const member_reply& reply)
{
  auto elapsed = std::chrono::duration_cast<duration>(reply.received - active_->admitted_at);
  if (transaction_) {
    elapsed = transaction_->run_time += elapsed;
  }
  if (hooks_->operation_ran && !reply.answer.error && (!transaction_ || active_->commits)) {
    hooks_->operation_ran(active_->route.priority, elapsed);
  }
}

void
caller_session::finish(const member_reply& reply)
{
  log_if_late(reply);
  report_run_time(reply);
  auto result = reply.answer;
  const bool succeeded = !result.error;
  if (succeeded && active_->min_position) {
    hooks_->observe_lag(connection_->member, false);
  }
  const bool durable =
    (active_->commits && transaction_ && transaction_->wrote) || (active_->writes && !transaction_);
  const auto group = connection_->group;
  if (succeeded && durable) {
    if (!hooks_->commit_is_valid(group, connection_->member)) {
      close_connection();
      fail_statement(statement_error::outcome_unknown,
                     "the primary may have been replaced before the commit");
      return;
    }
    if (result.position) {
      auto& own = session_commits_[group];
      own = std::max(own, *result.position);
    }
  }
  if (result.error) {
    hooks_->log("member_error",
                active_->request.id,
                connection_->member.get() + " " + result.error_text + ", " + describe_position());
    // The caller's statement is prepared; only the member's connection has lost it.
    if (result.error == statement_error::unknown_statement) {
      result.error = statement_error::aborted;
      result.error_text = "the member lost the prepared statement";
    }
  }
  const auto elapsed = std::chrono::duration_cast<duration>(reply.received - reply.sent);
  if (!transaction_) {
    // A connection that the member does not report as idle must not be shared.
    if (result.state == transaction_state::idle) {
      release_connection(elapsed);
    } else {
      close_connection();
    }
    result.state = transaction_state::idle;
  } else if (active_->commits) {
    transaction_.reset();
    in_transaction_ = false;
    if (result.state == transaction_state::idle) {
      release_connection(elapsed);
    } else {
      close_connection();
    }
    result.state = transaction_state::idle;
  } else if (result.error) {
    result.state = transaction_state::failed;
    roll_back_connection();
  } else if (result.state != transaction_state::open) {
    close_connection();
    fail_statement(statement_error::outcome_unknown, "the member ended the transaction");
    return;
  }
  answer(result);
}

}
