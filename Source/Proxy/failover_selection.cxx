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
    hooks_.send_command(
      member,
      command,
      [this, generation = generation_, round, id = member, done](
        std::optional<member_status> answer) {
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
      });
  }
}

void
failover::query_candidates()
{
  std::map<member_id, member_command> commands;
  for (const auto& member : members_) {
    // A primary that did not step down is not queried again, because waiting for its answer would
    // delay the others.
    if (record_.stepped_down || member.id != record_.primary) {
      commands[member.id].kind = member_command::command_kind::status;
    }
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
  if (record_.stepped_down) {
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
    if (id == record_.primary) {
      continue;
    }
    auto& command = commands[id];
    command.kind = status.primary ? member_command::command_kind::demote
                                  : member_command::command_kind::pause;
    command.above_term = term(newest_term_.get() + 1);
    if (status.primary) {
      hooks_.log(group_, "former_primary", id.get());
    }
  }
  query_members(commands, [this](const auto& frozen) { select_candidate(frozen); });
}

void
failover::select_candidate(const std::map<member_id, member_status>& answers)
{
  const member_status* best = nullptr;
  std::optional<member_id> most_advanced;
  for (const auto& member : members_) {
    const auto found = answers.find(member.id);
    const bool eligible = found != answers.end() && !found->second.primary && !member.draining &&
                          !excluded_members_.contains(member.id) &&
                          (member.id != record_.primary || record_.stepped_down);
    if (!eligible) {
      continue;
    }
    // A former primary that is not leaving is eligible, but other members at the same position are
    // preferred.
    const bool better =
      best == nullptr || found->second.received > best->received ||
      (found->second.received == best->received && *most_advanced == record_.primary);
    if (better) {
      best = &found->second;
      most_advanced = member.id;
    }
  }
  if (best == nullptr) {
    // A member whose promotion was refused may be running again by now.
    excluded_members_.clear();
    handle_event("none_fit");
    return;
  }
  const bool behind = final_position_ && best->received < *final_position_;
  if (behind && (sync_replicas_ > 0 || hooks_.now() - stepped_down_at_ < catch_up_timeout)) {
    handle_event("none_fit");
    return;
  }
  // A replica that did not answer may be the only one with an acknowledged commit.
  const bool all_answered = std::all_of(
    possible_commit_holders_.begin(), possible_commit_holders_.end(), [&](const auto& holder) {
      const auto& id = holder.first;
      const auto& address = holder.second;
      const bool successor_answered =
        std::any_of(members_.begin(), members_.end(), [&](const listed_member& member) {
          return member.address == address && answers.contains(member.id);
        });
      return id == record_.primary || answers.contains(id) || successor_answered;
    });
  if (sync_replicas_ > 0 && !record_.stepped_down && !all_answered) {
    handle_event("none_fit");
    return;
  }
  chosen_ = most_advanced;
  handle_event("chosen");
}

}
