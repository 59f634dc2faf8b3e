#include "Proxy/caller_session.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Attempts of one statement at members that answer that they have not run it.
constexpr std::uint32_t attempt_limit = 4;
// A read whose answer was lost is asked once more elsewhere.
constexpr std::uint32_t lost_read_limit = 2;

}

void
caller_session::statement_answered(const member_reply& reply)
{
  if (reply.lost) {
    reply_lost();
    return;
  }
  if (reply.answer.position) {
    hooks_->observe_position(link_->group, link_->member, *reply.answer.position, reply.sent);
  }
  if (reply.answer.error && !transaction_ &&
      try_elsewhere(*reply.answer.error, reply.answer.state)) {
    return;
  }
  finish(reply);
}

// A member answered that it ran nothing: asks another one while time is left. Inside a begun
// transaction there is no other place.
bool
caller_session::try_elsewhere(statement_error error, transaction_state state)
{
  if (error == statement_error::lagging) {
    hooks_->observe_lag(link_->member, true);
  }
  if (!has_not_run(error) || work_->attempts + 1 >= attempt_limit) {
    return false;
  }
  ++work_->attempts;
  hooks_->log("not_run_by_member", work_->request.id, link_->member.get());
  if (error == statement_error::unknown_statement) {
    link_->prepared.clear();
  }
  const auto member = link_->member;
  if (error == statement_error::misrouted || state != transaction_state::idle) {
    drop_link();
  } else {
    release_link(duration::zero());
  }
  if (error == statement_error::lagging) {
    // The position may belong to a term that was rolled back: only the primary surely has all.
    work_->needs_primary = true;
    work_->after.reset();
  } else if (!work_->needs_primary) {
    work_->avoid = member;
  }
  acquire();
  return true;
}

// The connection broke or its answer will not come.
void
caller_session::reply_lost()
{
  const auto at = work_->at;
  link_.reset();
  const bool began = std::exchange(link_in_transaction_, false);
  const bool sent = at == execution_step::running;
  if (!began && (!sent || !work_->writes) && ++work_->attempts <= lost_read_limit) {
    acquire();
    return;
  }
  if (work_->commits) {
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
  fail_statement(work_->writes ? statement_error::outcome_unknown : statement_error::failed,
                 "the answer was lost");
}

// A statement that took longer than the whole operation should: says where the time went.
void
caller_session::log_if_late(const member_reply& reply) const
{
  if (reply.received - work_->arrived <= work_->route.target_latency) {
    return;
  }
  const auto text = [](instant from, instant to) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count());
  };
  hooks_->log("late",
              work_->request.id,
              "admission " + text(work_->arrived, work_->admitted_at) + " ms, connection " +
                text(work_->admitted_at, work_->granted_at) + " ms, preparation " +
                text(work_->granted_at, reply.sent) + " ms, member " +
                text(reply.sent, reply.received) + " ms, member " + link_->member.get() +
                ", attempts " + std::to_string(work_->attempts + 1));
}

void
caller_session::finish(const member_reply& reply)
{
  log_if_late(reply);
  auto result = reply.answer;
  const bool succeeded = !result.error;
  if (succeeded && work_->after) {
    hooks_->observe_lag(link_->member, false);
  }
  const bool durable =
    (work_->commits && transaction_ && transaction_->wrote) || (work_->writes && !transaction_);
  const auto group = link_->group;
  if (succeeded && durable) {
    if (!hooks_->commit_is_valid(group, link_->member)) {
      drop_link();
      fail_statement(statement_error::outcome_unknown,
                     "the primary may have been replaced before the commit");
      return;
    }
    if (result.position) {
      auto& own = own_commits_[group];
      own = std::max(own, *result.position);
    }
  }
  if (result.error) {
    hooks_->log("member_error", work_->request.id, link_->member.get() + " " + result.error_text);
  }
  const auto elapsed = std::chrono::duration_cast<duration>(reply.received - reply.sent);
  if (!transaction_) {
    // A connection that is not idle by the member's own word is not shared.
    if (result.state == transaction_state::idle) {
      release_link(elapsed);
    } else {
      drop_link();
    }
    result.state = transaction_state::idle;
  } else if (work_->commits) {
    transaction_.reset();
    link_in_transaction_ = false;
    if (result.state == transaction_state::idle) {
      release_link(elapsed);
    } else {
      drop_link();
    }
    result.state = transaction_state::idle;
  } else if (result.error) {
    result.state = transaction_state::failed;
    roll_back_link();
  }
  answer(result);
}

}
