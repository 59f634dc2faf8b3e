#include "Engine/group_service.h"

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

// Bounds of the wait of a status request. A member answers earlier if its log grows.
constexpr duration max_status_wait = std::chrono::milliseconds(500);
constexpr duration min_status_wait = std::chrono::milliseconds(50);
// Added to the wait of a status request to give its timeout. After a timeout the connection is
// closed and a new one is opened.
constexpr duration status_timeout_margin = std::chrono::milliseconds(700);
constexpr duration connect_timeout = std::chrono::milliseconds(700);
constexpr duration command_timeout = std::chrono::milliseconds(900);
// Number of events per database kept for the status report.
constexpr std::size_t max_events = 50;
constexpr duration reopen_delay = std::chrono::milliseconds(200);
// Writes stay queued and do not run if no majority has confirmed the primary for this long.
constexpr duration max_confirmation_age = std::chrono::milliseconds(1500);

}

// Status connection to one member.
struct group_service::member_watch
{
  member_id id;
  std::string address;
  std::optional<backend_connection_id> connection;
  instant sent;
  instant reopen_at;
  log_position known_position;
};

// A watched database and the candidate that may replace its primary.
struct group_service::watched_group
{
  database_id id;
  group_view view;
  std::vector<std::unique_ptr<member_watch>> watches;
  duration status_wait = max_status_wait;
  std::deque<std::string> events;
  std::unique_ptr<promotion> candidate;
  // Must be unique, because members grant a term again to a candidate of the same name.
  std::string candidate_name;
};

group_service::group_service(backend_connection_registry& connections, hooks callbacks)
  : connections_(connections)
  , hooks_(std::move(callbacks))
{
}

group_service::~group_service() = default;

std::unique_ptr<group_service::watched_group>
group_service::make_group(const database_config& database)
{
  std::vector<member_id> members;
  for (const auto& member : database.members) {
    members.push_back(member.id);
  }
  auto view = group_view::create(members);
  if (!view) {
    return nullptr;
  }
  auto made = std::make_unique<watched_group>(
    watched_group{ database.id, std::move(view).value(), {}, {}, {}, {}, {} });
  // The precision of a member's data age is the wait of a status request, so it has to be well
  // below the database's default maximum age.
  made->status_wait = max_status_wait;
  if (database.default_max_age > duration::zero()) {
    made->status_wait = std::clamp(database.default_max_age / 4, min_status_wait, max_status_wait);
  }
  for (const auto& member : database.members) {
    auto watched = std::make_unique<member_watch>();
    watched->id = member.id;
    watched->address = member.address;
    made->watches.push_back(std::move(watched));
  }
  made->candidate_name = hooks_.candidate + "-" + std::to_string(next_candidate_++);
  auto candidate =
    promotion::create(std::move(members), promotion_settings(), make_promotion_hooks(*made));
  if (!candidate) {
    hooks_.log("database " + database.id.get() + ": " + candidate.error().message);
    return nullptr;
  }
  made->candidate = std::move(candidate).value();
  return made;
}

promotion_hooks
group_service::make_promotion_hooks(watched_group& target)
{
  promotion_hooks calls;
  calls.send_fence = [this, &target](const member_id& member, term in_term) {
    send_command(target,
                 member,
                 fence_request{ in_term, target.candidate_name },
                 [&target, member, in_term](const backend_reply& reply, instant now) {
                   if (const auto* answer = std::get_if<fence_reply>(&reply)) {
                     target.candidate->handle_fence_response(
                       now, member, in_term, answer->granted, answer->promised, answer->last);
                   }
                 });
  };
  calls.send_promote = [this, &target](const member_id& member, term in_term) {
    send_command(target,
                 member,
                 promote_request{ in_term, target.candidate_name },
                 [&target, member, in_term](const backend_reply& reply, instant now) {
                   if (const auto* answer = std::get_if<role_change_reply>(&reply)) {
                     target.candidate->handle_promote_response(
                       now, member, in_term, answer->done, answer->promised);
                   }
                 });
  };
  calls.send_follow = [this,
                       &target](const member_id& member, term in_term, const member_id& primary) {
    std::string address;
    for (const auto& watched : target.watches) {
      if (watched->id == primary) {
        address = watched->address;
      }
    }
    send_command(target,
                 member,
                 follow_request{ in_term, std::move(address) },
                 [&target, member, in_term](const backend_reply& reply, instant) {
                   if (const auto* answer = std::get_if<role_change_reply>(&reply)) {
                     target.candidate->handle_follow_response(member, in_term, answer->done);
                   }
                 });
  };
  calls.random_delay = [this](duration longest) {
    const auto bound = static_cast<std::uint64_t>(longest.count()) + 1;
    return duration(static_cast<duration::rep>(hooks_.random(bound)));
  };
  calls.log = [this, &target](const std::string& text) { record_event(target, text); };
  calls.report = [this, &target](const failover_durations& lengths) {
    hooks_.failed_over(target.id, lengths);
  };
  return calls;
}

void
group_service::record_event(watched_group& target, const std::string& text)
{
  hooks_.log("database=" + target.id.get() + " " + text);
  target.events.push_back(text);
  if (target.events.size() > max_events) {
    target.events.pop_front();
  }
}

void
group_service::send_command(watched_group& target,
                            const member_id& member,
                            backend_message message,
                            std::function<void(const backend_reply&, instant)> answered)
{
  const auto watched = std::find_if(target.watches.begin(),
                                    target.watches.end(),
                                    [&](const auto& item) { return item->id == member; });
  if (watched == target.watches.end()) {
    return;
  }
  connections_.call(
    (*watched)->address,
    std::move(message),
    command_timeout,
    [this, id = target.id, name = target.candidate_name, answered = std::move(answered)](
      const backend_reply* reply, instant now) {
      // The group may have been removed or replaced since the command was sent.
      const auto found = groups_.find(id);
      if (reply != nullptr && found != groups_.end() && found->second->candidate_name == name) {
        answered(*reply, now);
      }
    });
}

void
group_service::configure(const std::map<database_id, const database_config*>& databases,
                         instant now)
{
  const auto same = [](const watched_group& current, const database_config& wanted) {
    return std::equal(current.watches.begin(),
                      current.watches.end(),
                      wanted.members.begin(),
                      wanted.members.end(),
                      [](const auto& left, const auto& right) {
                        return left->id == right.id && left->address == right.address;
                      });
  };
  std::erase_if(groups_, [&](const auto& item) {
    const auto wanted = databases.find(item.first);
    if (wanted != databases.end() && same(*item.second, *wanted->second)) {
      return false;
    }
    close_watches(*item.second);
    return true;
  });
  for (const auto& [id, database] : databases) {
    if (groups_.contains(id)) {
      continue;
    }
    if (auto made = make_group(*database)) {
      groups_[id] = std::move(made);
    }
  }
  tick(now);
}

void
group_service::close_watches(watched_group& target)
{
  for (auto& member : target.watches) {
    if (member->connection) {
      connections_.close(*member->connection);
      member->connection.reset();
    }
  }
}

const group_view*
group_service::find(const database_id& database) const
{
  const auto found = groups_.find(database);
  return found == groups_.end() ? nullptr : &found->second->view;
}

std::optional<primary_claim>
group_service::confirmed_primary(const database_id& database, instant now) const
{
  const auto* view = find(database);
  if (view == nullptr) {
    return std::nullopt;
  }
  const auto confirmed = view->confirmed_at();
  if (!confirmed || now - *confirmed > max_confirmation_age) {
    return std::nullopt;
  }
  return view->primary();
}

std::vector<std::string>
group_service::events(const database_id& database) const
{
  const auto found = groups_.find(database);
  if (found == groups_.end()) {
    return {};
  }
  return { found->second->events.begin(), found->second->events.end() };
}

void
group_service::tick(instant now)
{
  for (auto& [id, target] : groups_) {
    for (auto& member : target->watches) {
      if (!member->connection && now >= member->reopen_at) {
        open_watch(*target, *member, now);
      }
    }
    target->candidate->tick(now, target->view);
  }
}

void
group_service::open_watch(watched_group& target, member_watch& member, instant now)
{
  member.reopen_at = now + reopen_delay;
  member.connection = connections_.open(
    member.address, connect_timeout, [this, &target, &member](backend_event& event, instant at) {
      handle_watch_event(target, member, event, at);
    });
}

void
group_service::handle_watch_event(watched_group& target,
                                  member_watch& member,
                                  backend_event& event,
                                  instant now)
{
  using event_type = backend_event::event_type;
  if (event.kind == event_type::connected) {
    request_status(target, member, now);
    return;
  }
  if (event.kind != event_type::answered) {
    handle_disconnect(member, now);
    return;
  }
  if (auto* report = std::get_if<member_report>(&event.reply)) {
    handle_status(target, member, std::move(*report), now);
    request_status(target, member, now);
    return;
  }
  hooks_.log("status response of member " + member.id.get() + " is malformed");
  connections_.close(*member.connection);
  handle_disconnect(member, now);
}

void
group_service::handle_disconnect(member_watch& member, instant now)
{
  member.connection.reset();
  member.reopen_at = now + reopen_delay;
}

void
group_service::request_status(watched_group& target, member_watch& member, instant now)
{
  member.sent = now;
  connections_.send(*member.connection,
                    watch_request{ member.known_position, target.status_wait },
                    target.status_wait + status_timeout_margin);
}

void
group_service::handle_status(watched_group& target,
                             member_watch& member,
                             member_report report,
                             instant now)
{
  if (report.member != member.id) {
    hooks_.log("status request to member " + member.id.get() + " was answered by member \"" +
               report.member.get() + "\"");
    return;
  }
  report.sent = member.sent;
  report.received = now;
  member.known_position = report.last.position;
  const auto before = target.view.primary();
  const auto applied = target.view.apply(report);
  if (!applied) {
    hooks_.log("status of member " + member.id.get() + " rejected: " + applied.error().message);
    return;
  }
  const auto primary = target.view.primary();
  if (primary && primary != before) {
    record_event(target,
                 "member " + primary->member.get() + " is the primary of term " +
                   std::to_string(primary->in_term.get()));
  }
  hooks_.changed(target.id, now);
}

}
