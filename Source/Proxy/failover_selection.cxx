#include "Proxy/failover.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Time limit for a replica to receive everything up to the position at which the old primary
// stepped down.
constexpr duration catch_up_timeout = std::chrono::milliseconds(1500);

}

void
failover::query_members(const std::map<member_id, member_command>& commands,
                        const std::function<void(const std::map<member_id, member_status>&)>& done)
{
  const auto round = std::make_shared<query_round>();
  round->pending = commands.size();
  if (commands.empty()) {
    done(round->answers);
    return;
  }
  for (const auto& [member, command] : commands) {
    const auto& id = member;
    auto answered =
      [this, generation = generation_, round, id, done](std::optional<member_status> answer) {
        if (generation != generation_) {
          return;
        }
        if (answer) {
          update_newest_term(*answer);
          round->answers[id] = *answer;
        }
        if (--round->pending == 0) {
          done(round->answers);
        }
      };
    hooks_.send_command(id, command, std::move(answered));
  }
}

// Members to ask for their state. Those in zones that nothing may be sent to any more are left out
// unless one of them may have to lead or may alone hold acknowledged commits.
std::set<member_id>
failover::queried_members() const
{
  std::set<member_id> all;
  std::set<member_id> usable;
  for (const auto& member : members_) {
    // A primary that did not step down is not queried again, because waiting for its answer would
    // delay the others.
    if (!record_.stepped_down && member.id == record_.primary) {
      continue;
    }
    all.insert(member.id);
    if (!evacuation_.left.contains(member.id)) {
      usable.insert(member.id);
    }
  }
  const bool others_may_suffice = sync_replicas_ == 0 || (final_position_ && !catch_up_ended());
  return others_may_suffice && !usable.empty() ? usable : all;
}

void
failover::query_candidates()
{
  std::map<member_id, member_command> commands;
  for (const auto& id : queried_members()) {
    commands[id].kind = member_command::command_kind::status;
  }
  query_members(commands, [this](const auto& answers) { compare_members(answers); });
}

void
failover::compare_members(const std::map<member_id, member_status>& answers)
{
  if (const auto successor = find_successor(answers)) {
    chosen_ = successor;
    chosen_term_ = answers.at(*successor).newest_term;
    handle_event("already_led");
    return;
  }
  if (final_position_) {
    select_candidate(answers);
    return;
  }
  freeze_members(answers);
}

// The member that an earlier coordinator promoted without recording it, if there is one. A former
// primary that was cut off when its own successor was promoted still calls itself primary, so only
// one that leads in a later term than the recorded primary, and than every other answer, counts.
std::optional<member_id>
failover::find_successor(const std::map<member_id, member_status>& answers) const
{
  auto newest = term(record_.primary_term.get() + 1);
  for (const auto& [id, status] : answers) {
    newest = std::max(newest, status.newest_term);
  }
  for (const auto& [id, status] : answers) {
    if (status.primary && id != record_.primary && status.newest_term >= newest) {
      return id;
    }
  }
  return std::nullopt;
}

// Stops the replicas from receiving entries, so that none advances after the comparison, and makes
// former primaries step down, so that they can be compared too.
void
failover::freeze_members(const std::map<member_id, member_status>& answers)
{
  std::map<member_id, member_command> commands;
  for (const auto& [id, status] : answers) {
    auto& command = commands[id];
    command.kind =
      status.primary ? member_command::command_kind::demote : member_command::command_kind::pause;
    command.above_term = term(newest_term_.get() + 1);
    if (status.primary) {
      hooks_.log(group_, "former_primary", id.get());
    }
  }
  query_members(commands, [this](const auto& frozen) { select_candidate(frozen); });
}

// Chooses the member to promote: the most advanced one that has every commit which may have been
// acknowledged. Waits while there is none.
void
failover::select_candidate(const std::map<member_id, member_status>& answers)
{
  const auto required = required_position(answers);
  const auto fits = [&](const listed_member* member) {
    return member != nullptr && answers.at(member->id).received >= *required;
  };
  const auto* best = required ? best_candidate(answers, false) : nullptr;
  // Members in evacuated zones lead only if the others had their time to receive all commits.
  const bool last_resort = required && !evacuation_.leaving.empty() && !fits(best) &&
                           (!final_position_ || catch_up_ended());
  if (last_resort) {
    best = best_candidate(answers, true);
  }
  if (fits(best)) {
    chosen_ = best->id;
    chosen_as_last_resort_ = evacuation_.leaving.contains(best->id);
    chosen_position_ = answers.at(best->id).received;
    handle_event("chosen");
    return;
  }
  std::string reason = "no member that may lead answers";
  if (!required) {
    reason = holders_.complete ? "a member that may hold commits does not answer"
                               : "members that left the list lately may be unknown";
  } else if (best != nullptr) {
    reason = best->id.get() + " lacks commits that another member received";
  }
  if (reason != wait_reason_) {
    wait_reason_ = reason;
    hooks_.log(group_, "waiting", reason);
  }
  // A member whose promotion was refused may be running again by now.
  excluded_members_.clear();
  handle_event("none_fit");
}

// The position that the new primary must have. Empty if it is not known, because a member that may
// hold acknowledged commits did not answer or may be unknown.
std::optional<log_point>
failover::required_position(const std::map<member_id, member_status>& answers) const
{
  const bool may_catch_up = final_position_ && !catch_up_ended();
  if (sync_replicas_ == 0) {
    return may_catch_up ? *final_position_ : log_point();
  }
  log_point newest;
  for (const auto& [id, status] : answers) {
    newest = std::max(newest, status.received);
  }
  if (final_position_ && (may_catch_up || newest >= *final_position_)) {
    return final_position_;
  }
  // Entries that only the old primary received were not acknowledged.
  const bool all_answered =
    std::all_of(holders_.members.begin(), holders_.members.end(), [&](const auto& holder) {
      const auto& id = holder.first;
      const auto& address = holder.second;
      const bool successor_answered =
        std::any_of(members_.begin(), members_.end(), [&](const listed_member& member) {
          return member.address == address && answers.contains(member.id);
        });
      return id == record_.primary || answers.contains(id) || successor_answered;
    });
  return all_answered && holders_.complete ? std::optional<log_point>(newest) : std::nullopt;
}

bool
failover::catch_up_ended() const
{
  return hooks_.now() - stepped_down_at_ >= catch_up_timeout;
}

const listed_member*
failover::best_candidate(const std::map<member_id, member_status>& answers,
                         bool include_evacuated) const
{
  const listed_member* best = nullptr;
  for (const auto& member : members_) {
    const auto found = answers.find(member.id);
    if (found == answers.end() || found->second.primary || excluded_members_.contains(member.id) ||
        !may_lead(member) || excluded_by_zone(member.id, include_evacuated)) {
      continue;
    }
    const auto& received = found->second.received;
    if (best == nullptr || received > answers.at(best->id).received ||
        (received == answers.at(best->id).received && reluctance(member) < reluctance(*best))) {
      best = &member;
    }
  }
  return best;
}

// True if a member outside the evacuated zones is listed that may lead.
bool
failover::may_lead_elsewhere() const
{
  return std::any_of(members_.begin(), members_.end(), [&](const listed_member& member) {
    return !evacuation_.leaving.contains(member.id) && !excluded_members_.contains(member.id) &&
           may_lead(member);
  });
}

// True if the zone of the chosen member was evacuated after the choice, and a member elsewhere may
// lead instead.
bool
failover::choice_is_outdated() const
{
  return !chosen_as_last_resort_ && evacuation_.leaving.contains(*chosen_) && may_lead_elsewhere();
}

// True if the member's zone does not allow the choice. Once nothing may be sent to the zone, the
// member would have to be replaced again without being asked.
bool
failover::excluded_by_zone(const member_id& id, bool include_evacuated) const
{
  if (!evacuation_.leaving.contains(id)) {
    return false;
  }
  return !include_evacuated || (evacuation_.left.contains(id) && may_lead_elsewhere());
}

bool
failover::may_lead(const listed_member& member) const
{
  if (member.id == record_.primary && !record_.stepped_down) {
    return false;
  }
  // A member that is leaving must be replaced again soon. It leads only if it alone may have
  // acknowledged commits, once the others had their time to receive them.
  return !member.draining || (sync_replicas_ > 0 && (!final_position_ || catch_up_ended()));
}

// Of the members at the same position, the one with the lowest number is promoted: a former primary
// may fail again, and a member that is leaving certainly does.
int
failover::reluctance(const listed_member& member) const
{
  if (member.draining) {
    return 2;
  }
  return member.id == record_.primary ? 1 : 0;
}

}
