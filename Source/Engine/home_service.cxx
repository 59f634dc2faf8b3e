#include "Engine/served_member.h"

#include "Engine/wire_convert.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

// Connections per member that are reserved for group_service. Each home of a database keeps one
// status connection to every member and a promotion opens one more; they count against the member's
// connection limit.
constexpr std::int64_t reserved_connections = 4;

}

home_service::home_service(backend_connection_registry& connections,
                           group_service& groups,
                           hooks callbacks)
  : connections_(connections)
  , groups_(groups)
  , hooks_(std::move(callbacks))
{
}

home_service::~home_service() = default;

void
home_service::configure(const std::map<member_id, configuration::member_location>& members,
                        const fleet_settings& settings,
                        instant now)
{
  now_ = now;
  for (auto& [id, served] : members_) {
    const auto wanted = members.find(id);
    const bool same = wanted != members.end() && wanted->second.member->address == served->address;
    if (!same && !served->retired) {
      served->retired = true;
      served->home->drain(now);
    }
  }
  for (const auto& [id, place] : members) {
    const auto known = members_.find(id);
    if (known == members_.end() || (known->second->retired && known->second->home->drained())) {
      remove_member(id);
      members_[id] = make_member(place, settings);
      continue;
    }
    if (known->second->retired && !draining_ && known->second->address == place.member->address) {
      // The member is reassigned here while an old transaction is still open. The transaction may
      // last long, and waiting for its end would leave the member without a home.
      known->second->retired = false;
      known->second->home->resume();
    }
    if (!known->second->retired) {
      known->second->home->resize(
        static_cast<std::size_t>(place.database->slots),
        static_cast<std::size_t>(std::max<std::int64_t>(
          1, place.database->connections_per_member() - reserved_connections)),
        now);
    }
  }
}

std::unique_ptr<home_service::served_member>
home_service::make_member(const configuration::member_location& place,
                          const fleet_settings& settings)
{
  auto served = std::make_unique<served_member>();
  served->id = place.member->id;
  served->database = place.database->id;
  served->address = place.member->address;
  member_home_options options;
  options.member = place.member->id;
  options.slots = static_cast<std::size_t>(place.database->slots);
  options.queue.per_workspace = static_cast<std::size_t>(settings.queue_per_workspace);
  options.pool.max_connections = static_cast<std::size_t>(
    std::max<std::int64_t>(1, place.database->connections_per_member() - reserved_connections));
  options.transaction.instance = hooks_.instance;
  options.transaction.incarnation = hooks_.incarnation;
  options.transaction.idle_timeout = settings.idle_transaction;
  served->home = std::make_unique<member_home>(options, make_home_hooks(*served));
  return served;
}

home_service::served_member*
home_service::find_target(const wire::forward_request& request)
{
  auto id = member_id(request.member());
  if (!request.transaction().empty()) {
    const auto known = transactions_.find(transaction_id(request.transaction()));
    if (known == transactions_.end()) {
      return nullptr;
    }
    id = known->second;
  }
  const auto found = members_.find(id);
  return found == members_.end() ? nullptr : found->second.get();
}

void
home_service::reject(const requester& to,
                     const wire::forward_request& request,
                     result_code code,
                     const std::string& message,
                     instant now)
{
  wire::forward_answer answer;
  answer.set_request_id(request.request_id());
  answer.set_code(static_cast<std::uint32_t>(code));
  answer.set_outcome(static_cast<std::uint32_t>(run_outcome::not_run));
  answer.set_message(message);
  answer.set_member(request.member());
  add_view(database_id(request.database()), answer, now);
  hooks_.answer(to, std::move(answer));
}

void
home_service::submit(const requester& from, const wire::forward_request& request, instant now)
{
  now_ = now;
  const auto database = database_id(request.database());
  auto* target = find_target(request);
  if (target == nullptr || (target->retired && request.transaction().empty())) {
    const bool in_transaction = !request.transaction().empty();
    reject(from,
           request,
           in_transaction ? result_code::unknown_transaction : result_code::wrong_home,
           in_transaction ? "the transaction is not open on this instance"
                          : "member " + request.member() + " is not served by this instance",
           now);
    return;
  }
  if (request.target_incarnation() != hooks_.incarnation.get()) {
    const std::string reason = "the request was sent to another incarnation of this instance";
    reject(from, request, result_code::home_unreachable, reason, now);
    return;
  }
  auto converted = to_home_request(request);
  const auto claim = groups_.confirmed_primary(database, now);
  const auto seen_term = converted.min_log_point ? converted.min_log_point->in_term : term();
  if (converted.needs_primary && claim && claim->in_term < seen_term) {
    reject(from,
           request,
           result_code::no_primary,
           "the session has seen a later term than that of the confirmed primary",
           now);
    return;
  }
  open_request entry{ from, database, false, converted.needs_primary };
  const auto* view = groups_.find(database);
  if (view != nullptr && converted.min_log_point && !request.session().pending()) {
    entry.session_discarded = view->locate(*converted.min_log_point) == point_location::discarded;
  }
  // A duplicate keeps the first requester. Attempts have unique ids, so duplicates occur only if a
  // message is delivered twice.
  open_.try_emplace(converted.id, std::move(entry));
  target->home->submit(std::move(converted), now);
}

void
home_service::handle_answer(served_member& target, const home_answer& answer)
{
  const auto found = open_.find(answer.id);
  if (found == open_.end()) {
    return;
  }
  const auto entry = std::move(found->second);
  open_.erase(found);
  if (!answer.transaction.get().empty()) {
    transactions_[answer.transaction] = target.id;
  }
  auto message = to_wire(answer);
  message.set_member(target.id.get());
  message.mutable_session()->set_database(target.database.get());
  message.set_session_discarded(entry.session_discarded);
  const auto claim = groups_.confirmed_primary(target.database, now_);
  message.set_from_replica(answer.outcome == run_outcome::done && !entry.needs_primary &&
                           (!claim || claim->member != target.id));
  add_view(target.database, message, now_);
  hooks_.answer(entry.from, std::move(message));
}

void
home_service::add_view(const database_id& database, wire::forward_answer& answer, instant now) const
{
  const auto claim = groups_.confirmed_primary(database, now);
  if (!claim) {
    return;
  }
  auto* view = answer.mutable_view();
  view->set_database(database.get());
  view->set_primary(claim->member.get());
  view->set_term(claim->in_term.get());
}

void
home_service::group_changed(const database_id& database, instant now)
{
  now_ = now;
  const auto* view = groups_.find(database);
  for (auto& [id, served] : members_) {
    if (served->database != database) {
      continue;
    }
    const auto* state = view == nullptr ? nullptr : view->find(id);
    served->home->set_leaving(state != nullptr && state->leaving);
    served->home->group_changed(now);
  }
}

void
home_service::revoke_key(const sha256_digest& key_digest, instant now)
{
  now_ = now;
  for (auto& [id, served] : members_) {
    served->home->revoke_key(key_digest, now);
  }
}

void
home_service::drain(instant now)
{
  now_ = now;
  draining_ = true;
  for (auto& [id, served] : members_) {
    served->home->drain(now);
  }
}

bool
home_service::drained() const
{
  for (const auto& [id, served] : members_) {
    if (!served->home->drained()) {
      return false;
    }
  }
  return true;
}

void
home_service::tick(instant now)
{
  now_ = now;
  std::vector<member_id> drained_members;
  for (auto& [id, served] : members_) {
    served->home->tick(now);
    if (served->retired && served->home->drained()) {
      drained_members.push_back(id);
    }
  }
  for (const auto& id : drained_members) {
    remove_member(id);
  }
}

void
home_service::remove_member(const member_id& id)
{
  const auto found = members_.find(id);
  if (found == members_.end()) {
    return;
  }
  for (const auto& [number, connection] : found->second->connections) {
    connections_.close(connection);
  }
  members_.erase(found);
  std::erase_if(transactions_, [&](const auto& item) { return item.second == id; });
}

std::set<database_id>
home_service::databases() const
{
  std::set<database_id> all;
  for (const auto& [id, served] : members_) {
    all.insert(served->database);
  }
  return all;
}

std::map<member_id, home_stats>
home_service::stats() const
{
  std::map<member_id, home_stats> all;
  for (const auto& [id, served] : members_) {
    all[id] = served->home->stats();
  }
  return all;
}

}
