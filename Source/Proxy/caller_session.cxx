#include "Proxy/caller_session.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Attempts of one statement at members that answer that they have not run it.
constexpr std::uint32_t attempt_limit = 4;
// A read whose answer was lost is asked once more elsewhere.
constexpr std::uint32_t lost_read_limit = 2;
// Statement time limit of routes that name none.
constexpr duration default_statement_timeout = std::chrono::seconds(2);

// Name of a prepared statement on member connections. Sessions share connections and their names
// collide, so the name is made from what the statement is.
std::string
member_name_of(const prepared_statement& prepared)
{
  return (prepared.writes ? "w." : "r.") + prepared.shape;
}

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
caller_session::answer(statement_answer reply)
{
  busy_ = false;
  work_.reset();
  state_ = reply.state;
  if (transaction_) {
    transaction_->resting_since = hooks_->now();
  }
  hooks_->answer(reply);
}

void
caller_session::answer_done()
{
  statement_answer reply;
  reply.state = state_;
  answer(std::move(reply));
}

void
caller_session::answer_error(statement_error error, std::string text)
{
  statement_answer reply;
  reply.error = error;
  reply.error_text = std::move(text);
  reply.state =
    state_ == transaction_state::idle ? transaction_state::idle : transaction_state::failed;
  answer(std::move(reply));
}

// Ends the statement in flight with an error. The transaction, if any, fails with it; a commit ends
// it.
void
caller_session::fail_statement(statement_error error, const std::string& text)
{
  if (work_) {
    hooks_->log("statement_failed", work_->request.id, text);
    if (work_->ticket) {
      hooks_->cancel(*work_->ticket);
    }
    if (work_->commits) {
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
caller_session::handle(statement next)
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
        answer_error(statement_error::unknown_statement, "no prepared statement of this name");
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

// Answers what needs no member.
void
caller_session::handle_local(const statement& request)
{
  switch (request.kind) {
    case statement_kind::begin:
    case statement_kind::begin_read: {
      const proxy_route* route = nullptr;
      if (state_ != transaction_state::idle) {
        answer_error(statement_error::malformed, "a transaction is open already");
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
      roll_back_link();
      transaction_.reset();
      state_ = transaction_state::idle;
      if (request.kind == statement_kind::commit) {
        answer_error(statement_error::aborted, "the transaction had failed and was rolled back");
        return;
      }
      break;
    case statement_kind::set:
      values_[request.name] = request.argument;
      break;
    case statement_kind::prepare:
      prepared_[request.name] = { request.argument, request.writes };
      break;
    case statement_kind::deallocate:
      prepared_.erase(request.name);
      break;
    default:
      answer_error(statement_error::malformed, "the statement is not understood");
      return;
  }
  answer_done();
}

// The reason why the session may not run anything now; sets the route if there is one.
std::optional<std::string>
caller_session::refuse_access(const proxy_route*& route)
{
  const auto& configuration = hooks_->configuration();
  route = configuration.route_of(database_);
  if (route == nullptr) {
    return "no route has this database";
  }
  const auto* workspace = configuration.workspace_of_key(key_);
  if (workspace == nullptr && !route->open_to_all) {
    return "the key is not known";
  }
  if (workspace != nullptr) {
    workspace_ = workspace->name;
  }
  return std::nullopt;
}

// Checks access, sets up the work and has a new operation counted against the limit.
void
caller_session::start_operation(const statement& request)
{
  const proxy_route* route = nullptr;
  if (const auto reason = refuse_access(route)) {
    // The key of an open transaction was withdrawn, or its database removed.
    roll_back_link();
    hooks_->log("access_refused", request.id, *reason);
    answer_error(route == nullptr && state_ == transaction_state::idle
                   ? statement_error::unknown_database
                   : (route == nullptr ? statement_error::aborted : statement_error::unknown_key),
                 *reason);
    return;
  }
  if (!route->open_to_all) {
    if (const auto missing = hooks_->key_evidence_missing()) {
      roll_back_link();
      hooks_->log("key_evidence_missing", request.id, *missing);
      answer_error(statement_error::busy, *missing);
      return;
    }
  }
  work_.emplace();
  work_->request = request;
  work_->route = transaction_ ? transaction_->route : *route;
  work_->writes = is_write(request);
  work_->commits = request.kind == statement_kind::commit;
  work_->arrived = hooks_->now();
  const auto limit = work_->route.statement_timeout;
  work_->expiry = work_->arrived + (limit > duration::zero() ? limit : default_statement_timeout);
  const bool counted = transaction_ && transaction_->admitted;
  if (counted || workspace_.get().empty()) {
    admitted(std::nullopt);
    return;
  }
  std::weak_ptr<caller_session*> weak = self_;
  hooks_->admit(workspace_, [weak](std::optional<duration> refused_for) {
    const auto self = weak.lock();
    if (self && (*self)->work_ && (*self)->work_->at == step::waiting_for_admission) {
      (*self)->admitted(refused_for);
    }
  });
}

void
caller_session::admitted(std::optional<duration> refused_for)
{
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
  choose_place();
  run();
}

// Decides whether the statement, or the transaction that it begins, needs the primary, and which
// position a replica must have.
void
caller_session::choose_place()
{
  const auto& route = work_->route;
  work_->after.reset();
  work_->needs_primary = true;
  const bool may_write = transaction_ ? !transaction_->read_only : work_->writes;
  if (may_write || route.kind == consistency::primary) {
    return;
  }
  auto position = hooks_->fresh_position(route.group, route.max_staleness);
  if (!position) {
    return;
  }
  if (route.kind == consistency::read_your_writes) {
    const auto own = own_commits_.find(route.group);
    if (own != own_commits_.end()) {
      position = std::max(*position, own->second);
    }
  }
  work_->needs_primary = false;
  work_->after = position;
}

void
caller_session::run()
{
  if (link_ == nullptr) {
    acquire();
    return;
  }
  if (link_->state == member_link::link_state::closed) {
    drop_link();
    fail_statement(statement_error::aborted, "the connection of the transaction was lost");
    return;
  }
  if (lead_was_lost()) {
    drop_link();
    fail_statement(statement_error::aborted, "the primary of the transaction was replaced");
    return;
  }
  prepare_link();
}

bool
caller_session::lead_was_lost() const
{
  if (!transaction_ || transaction_->read_only) {
    return false;
  }
  const auto leader = hooks_->leader(link_->group);
  return !leader || !leader->usable || leader->member != link_->member;
}

void
caller_session::acquire()
{
  link_request request;
  request.group = work_->route.group;
  request.workspace = workspace_;
  request.needs_primary = work_->needs_primary;
  request.values = values_;
  request.priority = work_->route.priority;
  request.target = work_->arrived + work_->route.target_latency;
  // Past the aim the caller is better served by another instance than by this queue.
  request.expiry = std::min(
    work_->expiry, work_->arrived + std::max(work_->route.target_latency, duration::zero()));
  request.avoid = work_->avoid;
  work_->at = step::waiting_for_link;
  std::weak_ptr<caller_session*> weak = self_;
  const auto ticket = hooks_->acquire(
    std::move(request),
    [weak](std::shared_ptr<member_link> link) {
      if (const auto self = weak.lock()) {
        (*self)->granted(std::move(link));
      }
    },
    [weak](statement_error error, const std::string& reason) {
      if (const auto self = weak.lock()) {
        (*self)->refused(error, reason);
      }
    });
  // The handler may have run already, and even have answered the statement.
  if (work_ && work_->at == step::waiting_for_link && link_ == nullptr) {
    work_->ticket = ticket;
  }
}

void
caller_session::granted(std::shared_ptr<member_link> link)
{
  link_ = std::move(link);
  link_in_transaction_ = false;
  work_->ticket.reset();
  prepare_link();
}

void
caller_session::refused(statement_error error, const std::string& reason)
{
  work_->ticket.reset();
  fail_statement(error, reason);
}

// Brings the connection's settings and prepared statements in line with the session's. All commands
// go out at once; the statement follows after the last answer.
void
caller_session::prepare_link()
{
  work_->at = step::preparing_link;
  std::vector<member_command> commands;
  const bool foreign_value =
    std::any_of(link_->values.begin(), link_->values.end(), [&](const auto& entry) {
      return !values_.contains(entry.first);
    });
  if (foreign_value) {
    commands.push_back({ .kind = member_command::command_kind::reset });
    link_->values.clear();
    link_->prepared.clear();
  }
  for (const auto& [name, value] : values_) {
    const auto found = link_->values.find(name);
    if (found == link_->values.end() || found->second != value) {
      commands.push_back(
        { .kind = member_command::command_kind::set, .name = name, .argument = value });
    }
  }
  link_->values = values_;
  if (work_->request.kind == statement_kind::execute) {
    const auto& prepared = prepared_.at(work_->request.name);
    if (link_->prepared.insert(prepared).second) {
      commands.push_back({ .kind = member_command::command_kind::prepare,
                           .name = member_name_of(prepared),
                           .argument = prepared.shape,
                           .writes = prepared.writes });
    }
  }
  if (commands.empty()) {
    send_begin();
    return;
  }
  const auto number = link_->number;
  std::weak_ptr<caller_session*> weak = self_;
  const auto failed = std::make_shared<bool>(false);
  for (std::size_t i = 0; i < commands.size(); ++i) {
    const bool last = i + 1 == commands.size();
    hooks_->send(number, std::move(commands[i]), [weak, last, failed](const member_reply& reply) {
      *failed = *failed || reply.lost || reply.answer.error.has_value();
      const auto self = weak.lock();
      if (!last || !self || !(*self)->work_) {
        return;
      }
      if (!*failed) {
        (*self)->send_begin();
        return;
      }
      // Nothing of the caller's was sent. The connection's settings are unknown now.
      if (!reply.lost) {
        (*self)->hooks_->abandon((*self)->link_->number);
      }
      (*self)->reply_lost();
    });
  }
}

// The lead may change between the grant of a connection and the statement.
bool
caller_session::place_was_lost() const
{
  if (!work_->needs_primary || link_in_transaction_) {
    return false;
  }
  const auto leader = hooks_->leader(link_->group);
  return !leader || !leader->usable || leader->member != link_->member;
}

void
caller_session::send_begin()
{
  if (place_was_lost()) {
    release_link(duration::zero());
    acquire();
    return;
  }
  if (!transaction_ || link_in_transaction_) {
    send_statement();
    return;
  }
  work_->at = step::beginning;
  member_command command;
  command.kind = transaction_->read_only ? member_command::command_kind::begin_read
                                         : member_command::command_kind::begin;
  command.after = work_->after;
  std::weak_ptr<caller_session*> weak = self_;
  hooks_->send(link_->number, std::move(command), [weak](const member_reply& reply) {
    if (const auto self = weak.lock(); self && (*self)->work_) {
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
    if (try_elsewhere(*reply.answer.error)) {
      return;
    }
    drop_link();
    fail_statement(has_not_run(*reply.answer.error) ? *reply.answer.error
                                                    : statement_error::aborted,
                   reply.answer.error_text);
    return;
  }
  link_in_transaction_ = true;
  send_statement();
}

void
caller_session::send_statement()
{
  work_->at = step::running;
  const auto& request = work_->request;
  member_command command;
  command.id = request.id;
  if (request.kind == statement_kind::execute) {
    command.kind = member_command::command_kind::execute;
    command.name = member_name_of(prepared_.at(request.name));
    command.argument = request.argument;
  } else {
    command.text = request.text;
  }
  if (!transaction_) {
    command.after = work_->after;
  }
  if (transaction_ && work_->writes) {
    transaction_->wrote = true;
  }
  std::weak_ptr<caller_session*> weak = self_;
  hooks_->send(link_->number, std::move(command), [weak](const member_reply& reply) {
    if (const auto self = weak.lock(); self && (*self)->work_) {
      (*self)->statement_answered(reply);
    }
  });
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
  if (reply.answer.error && !transaction_ && try_elsewhere(*reply.answer.error)) {
    return;
  }
  finish(reply);
}

// A member answered that it ran nothing: asks another one while time is left. Inside a begun
// transaction there is no other place.
bool
caller_session::try_elsewhere(statement_error error)
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
  if (error == statement_error::misrouted) {
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
  const bool sent = at == step::running;
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

void
caller_session::finish(const member_reply& reply)
{
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
    result.state = transaction_state::idle;
    release_link(elapsed);
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
  answer(std::move(result));
}

void
caller_session::release_link(duration elapsed)
{
  const auto number = link_->number;
  link_.reset();
  link_in_transaction_ = false;
  hooks_->release(number, elapsed);
}

void
caller_session::drop_link()
{
  if (link_ == nullptr) {
    return;
  }
  const auto number = link_->number;
  link_.reset();
  link_in_transaction_ = false;
  hooks_->abandon(number);
}

// Ends the transaction on the connection; the connection is used again once the member confirmed.
void
caller_session::roll_back_link()
{
  if (link_ == nullptr) {
    return;
  }
  const auto number = link_->number;
  if (!link_in_transaction_) {
    release_link(duration::zero());
    return;
  }
  link_.reset();
  link_in_transaction_ = false;
  // The session may be gone when the answer comes, so the handler holds the hooks.
  const auto hooks = hooks_;
  hooks_->send(number,
               { .kind = member_command::command_kind::rollback },
               [hooks, number](const member_reply& reply) {
                 if (reply.lost) {
                   return;
                 }
                 if (reply.answer.error || reply.answer.state != transaction_state::idle) {
                   hooks->abandon(number);
                   return;
                 }
                 hooks->release(number, duration::zero());
               });
}

void
caller_session::tick(instant now)
{
  if (work_) {
    if (now < work_->expiry) {
      return;
    }
    const bool sent = work_->at == step::running;
    drop_link();
    if (!sent) {
      fail_statement(statement_error::busy, "no member was free within the time limit");
    } else if (work_->commits && transaction_ && !transaction_->wrote) {
      fail_statement(statement_error::aborted, "the commit took longer than the time limit");
    } else if (transaction_ && !work_->commits) {
      fail_statement(statement_error::aborted, "the statement took longer than the time limit");
    } else {
      fail_statement(statement_error::timed_out, "the statement took longer than the time limit");
    }
    return;
  }
  const auto limit = hooks_->configuration().configuration().transaction_idle_limit;
  if (transaction_ && link_ != nullptr && limit > duration::zero() &&
      now - transaction_->resting_since > limit) {
    hooks_->log("transaction_idle", "-", link_->member.get());
    roll_back_link();
    state_ = transaction_state::failed;
  }
}

void
caller_session::abandon()
{
  self_.reset();
  if (work_ && work_->ticket) {
    hooks_->cancel(*work_->ticket);
  }
  if (link_ == nullptr) {
    return;
  }
  if (!work_) {
    roll_back_link();
    return;
  }
  // A statement is in flight. A single write may end by itself; its connection is closed later by
  // the reply's owner, so that the member is not interrupted.
  const auto hooks = hooks_;
  const auto number = link_->number;
  const bool in_transaction = link_in_transaction_;
  link_->values.clear();
  link_->prepared.clear();
  link_.reset();
  if (in_transaction) {
    hooks->abandon(number);
    return;
  }
  hooks->send(number,
              { .kind = member_command::command_kind::reset },
              [hooks, number](const member_reply& reply) {
                if (!reply.lost) {
                  hooks->release(number, duration::zero());
                }
              });
}

}
