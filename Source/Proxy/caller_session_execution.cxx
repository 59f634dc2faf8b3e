#include "Proxy/caller_session.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Name of a prepared statement on member connections. Sessions share connections and their names
// collide, so the name is made from what the statement is.
std::string
member_name_of(const prepared_statement& prepared)
{
  return (prepared.writes ? "w." : "r.") + prepared.shape;
}

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
  work_->at = execution_step::waiting_for_link;
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
  if (work_ && work_->at == execution_step::waiting_for_link && link_ == nullptr) {
    work_->ticket = ticket;
  }
}

void
caller_session::granted(std::shared_ptr<member_link> link)
{
  link_ = std::move(link);
  link_in_transaction_ = false;
  work_->granted_at = hooks_->now();
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
  work_->at = execution_step::preparing_link;
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
  work_->at = execution_step::beginning;
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
    if (try_elsewhere(*reply.answer.error, reply.answer.state)) {
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
  work_->at = execution_step::running;
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

}
