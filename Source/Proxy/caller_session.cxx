#include "Proxy/caller_session.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Statement time limit of routes that set none.
constexpr duration default_statement_timeout = std::chrono::seconds(2);
}

caller_session::caller_session(database_id database, std::string key, session_hooks hooks)
  : database_(std::move(database))
  , key_(std::move(key))
  , hooks_(std::make_shared<session_hooks>(std::move(hooks)))
  , self_(std::make_shared<caller_session*>(this))
{
}

caller_session::~caller_session() = default;

std::optional<statement_error>
caller_session::check_start()
{
  const auto& configuration = hooks_->configuration();
  const auto* route = configuration.route_of(database_);
  if (route == nullptr) {
    return statement_error::unknown_database;
  }
  const auto* workspace = configuration.workspace_of_key(key_);
  if (workspace != nullptr) {
    workspace_ = workspace->name;
    return std::nullopt;
  }
  return route->open_to_all ? std::nullopt
                            : std::optional<statement_error>(statement_error::unknown_key);
}

void
caller_session::answer(const statement_answer& reply)
{
  busy_ = false;
  active_.reset();
  state_ = reply.state;
  if (transaction_) {
    transaction_->idle_since = hooks_->now();
  }
  hooks_->answer(reply);
}

void
caller_session::answer_success()
{
  statement_answer reply;
  reply.state = state_;
  answer(reply);
}

void
caller_session::answer_error(statement_error error, std::string text)
{
  statement_answer reply;
  reply.error = error;
  reply.error_text = std::move(text);
  reply.state =
    state_ == transaction_state::idle ? transaction_state::idle : transaction_state::failed;
  answer(reply);
}

// Ends the statement in progress with an error. An open transaction fails with it; a failed commit
// ends the transaction.
void
caller_session::fail_statement(statement_error error, const std::string& text)
{
  if (active_) {
    const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(hooks_->now() - active_->arrived);
    hooks_->log("statement_failed",
                active_->request.id,
                std::string(name_of(error)) + ": " + text + "; group " + active_->route.group +
                  ", workspace " + workspace_.get() + ", after " + std::to_string(waited.count()) +
                  " ms, attempts " + std::to_string(active_->attempts + 1) + ", " +
                  describe_position());
    cancel_waits();
    if (active_->commits) {
      state_ = transaction_state::idle;
      transaction_.reset();
    }
  }
  answer_error(error, text);
}

bool
caller_session::is_write(const statement& request) const
{
  if (request.kind == statement_kind::execute) {
    const auto found = prepared_.find(request.name);
    return found != prepared_.end() && found->second.writes;
  }
  return request.kind == statement_kind::write;
}

void
caller_session::handle(const statement& next)
{
  busy_ = true;
  if (state_ == transaction_state::failed && next.kind != statement_kind::rollback &&
      next.kind != statement_kind::commit) {
    answer_error(statement_error::malformed, "the transaction failed and must be rolled back");
    return;
  }
  switch (next.kind) {
    case statement_kind::read:
    case statement_kind::write:
      break;
    case statement_kind::execute:
      if (!prepared_.contains(next.name)) {
        answer_error(statement_error::unknown_statement,
                     "no prepared statement " + quote(next.name));
        return;
      }
      break;
    case statement_kind::commit:
      if (state_ == transaction_state::open) {
        break;
      }
      handle_local(next);
      return;
    default:
      handle_local(next);
      return;
  }
  start_operation(next);
}

// Answers statements that need no member.
void
caller_session::handle_local(const statement& request)
{
  switch (request.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read: {
      const proxy_route* route = nullptr;
      if (state_ != transaction_state::idle) {
        answer_error(statement_error::malformed, "a transaction is already open");
        return;
      }
      if (const auto reason = refuse_access(route)) {
        answer_error(route == nullptr ? statement_error::unknown_database
                                      : statement_error::unknown_key,
                     *reason);
        return;
      }
      transaction_.emplace();
      transaction_->read_only = request.kind == statement_kind::begin_read;
      transaction_->route = *route;
      state_ = transaction_state::open;
      break;
    }
    case statement_kind::commit:
    case statement_kind::rollback:
      if (state_ == transaction_state::idle) {
        answer_error(statement_error::malformed, "no transaction is open");
        return;
      }
      roll_back_connection();
      transaction_.reset();
      state_ = transaction_state::idle;
      if (request.kind == statement_kind::commit) {
        answer_error(statement_error::aborted, "the transaction had failed and was rolled back");
        return;
      }
      break;
    case statement_kind::set:
    case statement_kind::prepare:
      if (!keep(request)) {
        hooks_->log("session_too_large", request.id, std::to_string(kept_bytes_) + " bytes");
        answer_error(statement_error::malformed,
                     "the values and prepared statements of the session would exceed " +
                       std::to_string(max_kept_bytes) + " bytes or " +
                       std::to_string(max_settings) + " values");
        return;
      }
      break;
    case statement_kind::deallocate:
      if (const auto found = prepared_.find(request.name); found != prepared_.end()) {
        kept_bytes_ -= found->first.size() + bytes_of(found->second);
        prepared_.erase(found);
      }
      break;
    default:
      answer_error(statement_error::malformed, "malformed statement");
      return;
  }
  answer_success();
}

// The reason why the session may run nothing now. Sets `route` if the database has one, and the
// workspace that holds the key now: a key may be withdrawn or given to another workspace.
std::optional<std::string>
caller_session::refuse_access(const proxy_route*& route)
{
  const auto& configuration = hooks_->configuration();
  route = configuration.route_of(database_);
  if (route == nullptr) {
    return "no route for database " + quote(database_.get());
  }
  const auto* workspace = configuration.workspace_of_key(key_);
  if (workspace == nullptr && !route->open_to_all) {
    return "unknown API key";
  }
  workspace_ = workspace != nullptr ? workspace->name : workspace_id();
  return std::nullopt;
}

// The reason why nothing can run in the name of the caller's workspace: this instance cannot know
// which one holds the key, or members cannot be told its name. Empty if there is none, or if the
// caller needs no workspace. A route that is open to all still tells the members which
// workspace holds the caller's key.
std::optional<std::string>
caller_session::workspace_refusal(const proxy_route& route) const
{
  if (route.open_to_all && workspace_.get().empty()) {
    return std::nullopt;
  }
  const auto* workspace = hooks_->configuration().workspace(workspace_);
  if (workspace != nullptr && !workspace->has_usable_name) {
    return "the name of workspace " + quote(workspace_.get()) + " cannot be sent to members";
  }
  return hooks_->key_evidence_missing();
}

// Ends the statement in progress if the caller's access changed since it was checked: the statement
// may have waited for its admission, for a connection, or for another attempt. It has not run.
// Returns true if it ended.
bool
caller_session::end_if_access_changed()
{
  const auto checked_for = workspace_;
  const proxy_route* route = nullptr;
  auto reason = refuse_access(route);
  auto error = route == nullptr ? statement_error::aborted : statement_error::unknown_key;
  if (!reason && workspace_ != checked_for) {
    reason = "the workspace of the caller's key changed";
    error = statement_error::aborted;
  }
  if (!reason) {
    reason = workspace_refusal(*route);
    error = statement_error::busy;
  }
  if (!reason) {
    return false;
  }
  roll_back_connection();
  fail_statement(error, *reason);
  return true;
}

// Checks access, starts the statement, and counts a new operation against the rate limit.
void
caller_session::start_operation(const statement& request)
{
  const proxy_route* route = nullptr;
  if (const auto reason = refuse_access(route)) {
    // The key of an open transaction was withdrawn, or the route of its database was removed.
    roll_back_connection();
    hooks_->log("access_refused", request.id, *reason);
    answer_error(route == nullptr && state_ == transaction_state::idle
                   ? statement_error::unknown_database
                   : (route == nullptr ? statement_error::aborted : statement_error::unknown_key),
                 *reason);
    return;
  }
  if (const auto missing = workspace_refusal(*route)) {
    roll_back_connection();
    hooks_->log("key_evidence_missing", request.id, *missing);
    answer_error(statement_error::busy, *missing);
    return;
  }
  active_.emplace();
  active_->request = request;
  active_->route = transaction_ ? transaction_->route : *route;
  active_->writes = is_write(request);
  active_->commits = request.kind == statement_kind::commit;
  active_->arrived = hooks_->now();
  const auto limit = active_->route.statement_timeout;
  active_->expiry =
    active_->arrived + (limit > duration::zero() ? limit : default_statement_timeout);
  if (connection_ != nullptr && connection_->workspace != workspace_) {
    // The member knows the transaction under the workspace that held the key at its start.
    roll_back_connection();
    fail_statement(statement_error::aborted, "the workspace of the caller's key changed");
    return;
  }
  if (end_evacuated_transaction()) {
    return;
  }
  const bool counted = transaction_ && transaction_->admitted;
  if (counted || workspace_.get().empty()) {
    on_admission(std::nullopt);
    return;
  }
  std::weak_ptr<caller_session*> weak = self_;
  // A token that is due after the time limit is of no use.
  const operation_urgency urgency{
    active_->route.priority,
    std::clamp(active_->route.target_latency, duration::zero(), active_->expiry - active_->arrived)
  };
  const auto waits =
    hooks_->admit(workspace_, urgency, [weak](std::optional<duration> refused_for) {
      const auto self = weak.lock();
      if (self && (*self)->active_ &&
          (*self)->active_->step == execution_step::waiting_for_admission) {
        (*self)->on_admission(refused_for);
      }
    });
  if (waits) {
    active_->admission_wait = waits;
  }
}

// Ends the waits of the statement in progress, for its admission or for a connection.
void
caller_session::cancel_waits()
{
  if (active_->admission_wait) {
    hooks_->cancel_admission(*active_->admission_wait);
    active_->admission_wait.reset();
  }
  if (active_->pool_request) {
    hooks_->cancel(*active_->pool_request);
    active_->pool_request.reset();
  }
}

void
caller_session::on_admission(std::optional<duration> refused_for)
{
  active_->admission_wait.reset();
  if (refused_for) {
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*refused_for);
    fail_statement(statement_error::busy,
                   "rate limit of " + workspace_.get() + " reached, retry after " +
                     std::to_string(wait.count()) + " ms");
    return;
  }
  if (transaction_) {
    transaction_->admitted = true;
  }
  active_->admitted_at = hooks_->now();
  active_->granted_at = active_->admitted_at;
  select_target();
  run();
}

void
caller_session::release_connection(duration elapsed)
{
  const auto number = connection_->number;
  forget_large_state();
  connection_.reset();
  in_transaction_ = false;
  hooks_->release(number, elapsed);
}

void
caller_session::close_connection()
{
  if (connection_ == nullptr) {
    return;
  }
  const auto number = connection_->number;
  connection_.reset();
  in_transaction_ = false;
  hooks_->close_connection(number);
}

// Rolls back the transaction; releases the connection once the member confirmed the rollback.
void
caller_session::roll_back_connection()
{
  if (connection_ == nullptr) {
    return;
  }
  const auto number = connection_->number;
  if (!in_transaction_) {
    release_connection(duration::zero());
    return;
  }
  if (!may_send()) {
    close_connection();
    return;
  }
  forget_large_state();
  connection_.reset();
  in_transaction_ = false;
  // The session may be destroyed before the answer arrives, so the handler keeps the hooks.
  const auto hooks = hooks_;
  hooks_->send(number,
               { .kind = member_command::command_kind::rollback },
               [hooks, number](const member_reply& reply) {
                 if (reply.lost) {
                   return;
                 }
                 if (reply.answer.error || reply.answer.state != transaction_state::idle) {
                   hooks->close_connection(number);
                   return;
                 }
                 hooks->release(number, duration::zero());
               });
}

void
caller_session::tick(instant now)
{
  if (end_evacuated_use(now)) {
    return;
  }
  if (active_) {
    if (now < active_->expiry) {
      return;
    }
    end_unfinished("the time limit was reached");
    return;
  }
  const auto limit = hooks_->configuration().configuration().transaction_idle_limit;
  if (transaction_ && connection_ != nullptr && limit > duration::zero() &&
      now - transaction_->idle_since > limit) {
    hooks_->log("transaction_idle", "-", connection_->member.get());
    roll_back_connection();
    state_ = transaction_state::failed;
  }
}

void
caller_session::give_up()
{
  if (active_) {
    end_unfinished("this instance is stopping");
  }
}

// Ends the statement in progress without its answer.
void
caller_session::end_unfinished(const std::string& reason)
{
  const bool sent = active_->step == execution_step::running;
  close_connection();
  if (!sent) {
    fail_statement(statement_error::busy, reason + " before a member was free");
  } else if (active_->commits && transaction_ && !transaction_->wrote) {
    fail_statement(statement_error::aborted, reason + " during the commit");
  } else if (transaction_ && !active_->commits) {
    fail_statement(statement_error::aborted, reason + " during the statement");
  } else {
    fail_statement(statement_error::timed_out, reason + " during the statement");
  }
}

void
caller_session::disconnect()
{
  self_.reset();
  if (active_) {
    cancel_waits();
  }
  if (connection_ == nullptr) {
    return;
  }
  if (!active_) {
    roll_back_connection();
    return;
  }
  // A statement is in progress. A single write is allowed to finish: the reset queued after it is
  // answered once it is complete, and only then is the connection released.
  const auto hooks = hooks_;
  const auto number = connection_->number;
  // A BEGIN that was sent but not answered may still take effect.
  const bool must_close =
    !may_send() || in_transaction_ || active_->step == execution_step::beginning;
  const auto connection = std::exchange(connection_, nullptr);
  if (must_close) {
    hooks->close_connection(number);
    return;
  }
  hooks->send(
    number, connection->kept.reset(), [hooks, number, connection](const member_reply& reply) {
      if (reply.lost) {
        return;
      }
      if (reply.answer.error || reply.answer.state != transaction_state::idle) {
        hooks->close_connection(number);
        return;
      }
      connection->kept.confirm();
      hooks->release(number, duration::zero());
    });
}

}
