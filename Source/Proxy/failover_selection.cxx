#include "Proxy/failover.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// How long a replica may take to receive what the old primary had when it stepped down.
constexpr duration catch_up_limit = std::chrono::milliseconds(1500);

}

void
failover::query_members(const std::vector<member_id>& members,
                        const member_command& command,
                        const std::function<void(const std::map<member_id, member_status>&)>& done)
{
  const auto asked = std::make_shared<query_round>();
  asked->pending = members.size();
  if (members.empty()) {
    done(asked->answers);
    return;
  }
  for (const auto& member : members) {
    hooks_.send_command(
      member,
      command,
      [this, run = generation_, asked, member, done](std::optional<member_status> answer) {
        if (run != generation_) {
          return;
        }
        if (answer) {
          update_newest_term(*answer);
          asked->answers[member] = *answer;
        }
        if (--asked->pending == 0) {
          done(asked->answers);
        }
      });
  }
}

void
failover::query_candidates()
{
  std::vector<member_id> members;
  for (const auto& member : members_) {
    // A primary that did not step down is not asked again: its silence would hold up the rest.
    if (record_.stepped_down || member.id != record_.primary) {
      members.push_back(member.id);
    }
  }
  member_command status;
  status.kind = member_command::command_kind::status;
  query_members(members, status, [this](const auto& answers) { compare_members(answers); });
}

void
failover::compare_members(const std::map<member_id, member_status>& answers)
{
  for (const auto& [id, status] : answers) {
    if (status.primary && id != record_.primary && status.newest_term > record_.newest_term) {
      chosen_ = id;
      handle_event("already_led");
      return;
    }
  }
  if (record_.stepped_down) {
    select_candidate(answers);
    return;
  }
  pause_replicas(answers);
}

// Stops the replicas from receiving, so that none moves ahead after the comparison.
void
failover::pause_replicas(const std::map<member_id, member_status>& answers)
{
  std::vector<member_id> replicas;
  for (const auto& [id, status] : answers) {
    if (!status.primary && id != record_.primary) {
      replicas.push_back(id);
    }
  }
  member_command pause;
  pause.kind = member_command::command_kind::pause;
  pause.above_term = term(newest_term_.get() + 1);
  query_members(replicas, pause, [this](const auto& frozen) { select_candidate(frozen); });
}

void
failover::select_candidate(const std::map<member_id, member_status>& answers)
{
  const member_status* best = nullptr;
  std::optional<member_id> furthest;
  for (const auto& member : members_) {
    const auto found = answers.find(member.id);
    const bool fit = found != answers.end() && !member.draining &&
                     !excluded_members_.contains(member.id) &&
                     (member.id != record_.primary || record_.stepped_down);
    if (!fit) {
      continue;
    }
    // A former primary that is not leaving is as good as any, but others go first.
    const bool better = best == nullptr || found->second.received > best->received ||
                        (found->second.received == best->received && *furthest == record_.primary);
    if (better) {
      best = &found->second;
      furthest = member.id;
    }
  }
  if (best == nullptr) {
    // A member that was refused may run again by now.
    excluded_members_.clear();
    handle_event("none_fit");
    return;
  }
  const bool behind = final_position_ && best->received < *final_position_;
  if (behind && (sync_replicas_ > 0 || hooks_.now() - stepped_down_at_ < catch_up_limit)) {
    handle_event("none_fit");
    return;
  }
  // One replica that did not answer may be the only one that holds an acknowledged commit.
  const bool all_answered = std::all_of(
    possible_commit_holders_.begin(), possible_commit_holders_.end(), [&](const auto& holder) {
      const auto& id = holder.first;
      const auto& address = holder.second;
      const bool succeeded =
        std::any_of(members_.begin(), members_.end(), [&](const listed_member& member) {
          return member.address == address && answers.contains(member.id);
        });
      return id == record_.primary || answers.contains(id) || succeeded;
    });
  if (sync_replicas_ > 0 && !record_.stepped_down && !all_answered) {
    handle_event("none_fit");
    return;
  }
  chosen_ = furthest;
  handle_event("chosen");
}

}
