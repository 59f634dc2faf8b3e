#include "Proxy/caller_session.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Longest id and text of a statement before which a position fits into one message to a member, in
// bytes.
constexpr std::size_t max_positioned_bytes = (1 << 20) - 128;

// The command that prepares a connection, as the log shows it. Values are left out.
std::string
describe(const member_command& command)
{
  using command_kind = member_command::command_kind;
  std::string text(name_of(command.kind));
  if (command.kind == command_kind::set) {
    text.append(" ").append(quote(command.name));
  }
  if (command.kind == command_kind::prepare) {
    text.append(" ").append(std::to_string(command.prepared.get()));
    text.append(command.writes ? " as write \"" : " as read \"");
    text.append(quote(command.argument)).append("\"");
  }
  return text;
}

void
log_refused_preparation(const session_hooks& hooks,
                        const std::string& id,
                        const std::string& command,
                        const statement_answer& answer)
{
  hooks.log("preparation_refused",
            id,
            command + ", answered " + std::string(name_of(*answer.error)) + " " +
              quote(answer.error_text));
}

}

// Decides whether the statement, or the transaction that it starts, needs the primary, and which
// position a replica must have.
void
caller_session::select_target()
{
  const auto& route = active_->route;
  active_->min_position.reset();
  active_->evidence.reset();
  active_->needs_primary = true;
  const bool may_write = transaction_ ? !transaction_->read_only : active_->writes;
  if (may_write || route.kind == consistency::primary) {
    return;
  }
  // Only the primary has every commit without a position that says so.
  if (!transaction_ &&
      active_->request.id.size() + active_->request.text.size() > max_positioned_bytes) {
    return;
  }
  active_->evidence = hooks_->position_for_staleness(route.group, route.max_staleness);
  if (!active_->evidence) {
    return;
  }
  auto position = active_->evidence->position;
  if (route.kind == consistency::read_your_writes) {
    const auto own = session_commits_.find(route.group);
    if (own != session_commits_.end()) {
      position = std::max(position, own->second);
    }
  }
  active_->needs_primary = false;
  active_->min_position = position;
}

void
caller_session::run()
{
  if (connection_ == nullptr) {
    acquire();
    return;
  }
  if (connection_->state == pooled_connection::connection_state::closed) {
    close_connection();
    fail_statement(statement_error::aborted, "the connection of the transaction was lost");
    return;
  }
  if (transaction_primary_changed()) {
    close_connection();
    fail_statement(statement_error::aborted, "the primary of the transaction was replaced");
    return;
  }
  prepare_connection();
}

// True if the connection leads to the member that may be used as the primary now.
bool
caller_session::is_at_primary() const
{
  return is_usable_primary(hooks_->primary_of(connection_->group), connection_->member);
}

bool
caller_session::transaction_primary_changed() const
{
  return transaction_ && !transaction_->read_only && !is_at_primary();
}

void
caller_session::acquire()
{
  connection_request request;
  request.group = active_->route.group;
  request.workspace = workspace_;
  request.needs_primary = active_->needs_primary;
  request.settings = settings_;
  const auto* workspace = hooks_->configuration().workspace(workspace_);
  request.priority = { active_->route.priority,
                       workspace == nullptr ? lowest_priority : workspace->priority };
  request.target = active_->arrived + active_->route.target_latency;
  // Past the target latency another instance serves the caller better than this queue.
  request.expiry = std::min(
    active_->expiry, active_->arrived + std::max(active_->route.target_latency, duration::zero()));
  request.excluded_member = active_->excluded_member;
  active_->step = execution_step::waiting_for_connection;
  std::weak_ptr<caller_session*> weak = self_;
  const auto pool_request = hooks_->acquire(
    std::move(request),
    [weak](std::shared_ptr<pooled_connection> connection) {
      if (const auto self = weak.lock()) {
        (*self)->connection_granted(std::move(connection));
      }
    },
    [weak](statement_error error, const std::string& reason) {
      if (const auto self = weak.lock()) {
        (*self)->connection_refused(error, reason);
      }
    });
  // The handler may have run already, and may even have answered the statement.
  if (active_ && active_->step == execution_step::waiting_for_connection &&
      connection_ == nullptr) {
    active_->pool_request = pool_request;
  }
}

void
caller_session::connection_granted(std::shared_ptr<pooled_connection> connection)
{
  connection_ = std::move(connection);
  in_transaction_ = false;
  active_->granted_at = hooks_->now();
  active_->pool_request.reset();
  if (!end_if_access_changed()) {
    prepare_connection();
  }
}

void
caller_session::connection_refused(statement_error error, const std::string& reason)
{
  active_->pool_request.reset();
  fail_statement(error, reason);
}

// Applies the session's settings and prepared statements to the connection. All commands are sent
// at once; the statement follows after the last answer.
void
caller_session::prepare_connection()
{
  active_->step = execution_step::preparing_connection;
  std::optional<prepared_statement> statement;
  if (active_->request.kind == statement_kind::execute) {
    statement = prepared_.at(active_->request.name);
  }
  auto commands = connection_->kept.prepare(settings_, statement);
  if (commands.empty()) {
    send_begin();
    return;
  }
  const auto number = connection_->number;
  std::weak_ptr<caller_session*> weak = self_;
  // The first refusal of these commands.
  const auto refusal = std::make_shared<std::optional<statement_answer>>();
  const auto hooks = hooks_;
  const auto id = active_->request.id;
  for (std::size_t i = 0; i < commands.size(); ++i) {
    const bool last = i + 1 == commands.size();
    const auto description = connection_->member.get() + " connection " +
                             std::to_string(number.get()) + ": " + describe(commands[i]);
    if (commands[i].kind == member_command::command_kind::prepare) {
      hooks_->log("statement_prepared", active_->request.id, description);
    }
    hooks_->send(number, std::move(commands[i]), [=](const member_reply& reply) {
      if (reply.answer.error) {
        log_refused_preparation(*hooks, id, description, reply.answer);
        if (!*refusal) {
          *refusal = reply.answer;
        }
      }
      const auto self = weak.lock();
      if (!last || !self || !(*self)->active_) {
        return;
      }
      if (reply.lost) {
        (*self)->reply_lost();
      } else if (*refusal) {
        (*self)->preparation_refused(**refusal, reply.answer.state);
      } else {
        (*self)->connection_prepared(reply.answer.state);
      }
    });
  }
}

// All commands that prepare the connection were carried out.
void
caller_session::connection_prepared(transaction_state state)
{
  const auto expected = in_transaction_ ? transaction_state::open : transaction_state::idle;
  if (state != expected) {
    hooks_->close_connection(connection_->number);
    reply_lost();
    return;
  }
  connection_->kept.confirm();
  send_begin();
}

// A member refused a command that prepares its connection, or it could not be sent, so nothing of
// the statement ran. The connection stays usable: its state counts as unknown until a reset.
void
caller_session::preparation_refused(const statement_answer& refusal, transaction_state state)
{
  const auto error = *refusal.error;
  // A malformed command stays one. Anything else is retried like a statement that did not run.
  const bool is_malformed = error == statement_error::malformed;
  if (!in_transaction_ && !is_malformed &&
      retry_on_another_member(has_not_run(error) ? error : statement_error::busy, state)) {
    return;
  }
  if (!in_transaction_ && state != transaction_state::idle) {
    close_connection();
  } else {
    roll_back_connection();
  }
  fail_statement(leaves_no_effect(error) || is_malformed ? error : statement_error::aborted,
                 "the connection could not be prepared: " + quote(refusal.error_text));
}

// The primary may change between the grant of a connection and the statement.
bool
caller_session::primary_changed_before_send() const
{
  return active_->needs_primary && !in_transaction_ && !is_at_primary();
}

void
caller_session::send_begin()
{
  if (leave_evacuated_member()) {
    return;
  }
  if (primary_changed_before_send()) {
    release_connection(duration::zero());
    acquire();
    return;
  }
  if (!transaction_ || in_transaction_) {
    send_statement();
    return;
  }
  active_->step = execution_step::beginning;
  member_command command;
  command.kind = transaction_->read_only ? member_command::command_kind::begin_read
                                         : member_command::command_kind::begin;
  command.min_position = active_->min_position;
  std::weak_ptr<caller_session*> weak = self_;
  hooks_->send(connection_->number, std::move(command), [weak](const member_reply& reply) {
    if (const auto self = weak.lock(); self && (*self)->active_) {
      (*self)->begin_answered(reply);
    }
  });
}

void
caller_session::begin_answered(const member_reply& reply)
{
  if (reply.lost) {
    reply_lost();
    return;
  }
  if (reply.answer.error) {
    if (retry_on_another_member(*reply.answer.error, reply.answer.state)) {
      return;
    }
    close_connection();
    fail_statement(has_not_run(*reply.answer.error) ? *reply.answer.error
                                                    : statement_error::aborted,
                   reply.answer.error_text);
    return;
  }
  if (reply.answer.state != transaction_state::open) {
    close_connection();
    fail_statement(statement_error::aborted, "the member began no transaction");
    return;
  }
  in_transaction_ = true;
  send_statement();
}

void
caller_session::send_statement()
{
  if (end_if_access_changed() || end_evacuated_transaction()) {
    return;
  }
  active_->step = execution_step::running;
  const auto& request = active_->request;
  member_command command;
  command.id = request.id;
  if (request.kind == statement_kind::execute) {
    command.kind = member_command::command_kind::execute;
    command.prepared = *connection_->kept.number_of(prepared_.at(request.name));
    command.argument = request.argument;
  } else {
    command.text = request.text;
  }
  if (!transaction_) {
    command.min_position = active_->min_position;
  }
  if (transaction_ && active_->writes) {
    transaction_->wrote = true;
  }
  active_->sent_to_primary = is_at_primary();
  std::weak_ptr<caller_session*> weak = self_;
  hooks_->send(connection_->number, std::move(command), [weak](const member_reply& reply) {
    if (const auto self = weak.lock(); self && (*self)->active_) {
      (*self)->statement_answered(reply);
    }
  });
}

}
