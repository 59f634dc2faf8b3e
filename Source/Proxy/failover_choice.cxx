#include "Proxy/failover.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// How long a replica may take to receive what the old primary had when it stepped down.
constexpr duration catch_up_limit = std::chrono::milliseconds(1500);

}

void
failover::ask_all(const std::vector<member_id>& members,
                  const member_command& command,
                  const std::function<void(const std::map<member_id, member_status>&)>& done)
{
  const auto asked = std::make_shared<round>();
  asked->open = members.size();
  if (members.empty()) {
    done(asked->answers);
    return;
  }
  for (const auto& member : members) {
    hooks_.ask(member,
               command,
               [this, run = run_, asked, member, done](std::optional<member_status> answer) {
                 if (run != run_) {
                   return;
                 }
                 if (answer) {
                   learn_term(*answer);
                   asked->answers[member] = *answer;
                 }
                 if (--asked->open == 0) {
                   done(asked->answers);
                 }
               });
  }
}

void
failover::choose()
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
  ask_all(members, status, [this](const auto& answers) { compare(answers); });
}

void
failover::compare(const std::map<member_id, member_status>& answers)
{
  for (const auto& [id, status] : answers) {
    if (status.primary && id != record_.primary && status.newest_term > record_.in_term) {
      chosen_ = id;
      raise("already_led");
      return;
    }
  }
  if (record_.stepped_down) {
    pick(answers);
    return;
  }
  freeze(answers);
}

// Stops the replicas from receiving, so that none moves ahead after the comparison.
void
failover::freeze(const std::map<member_id, member_status>& answers)
{
  std::vector<member_id> replicas;
  for (const auto& [id, status] : answers) {
    if (!status.primary && id != record_.primary) {
      replicas.push_back(id);
    }
  }
  member_command pause;
  pause.kind = member_command::command_kind::pause;
  pause.above = term(newest_term_.get() + 1);
  ask_all(replicas, pause, [this](const auto& frozen) { pick(frozen); });
}

void
failover::pick(const std::map<member_id, member_status>& answers)
{
  const member_status* best = nullptr;
  std::optional<member_id> furthest;
  for (const auto& member : members_) {
    const auto found = answers.find(member.id);
    const bool fit = found != answers.end() && !member.draining && !excluded_.contains(member.id) &&
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
    excluded_.clear();
    raise("none_fit");
    return;
  }
  const bool behind = final_position_ && best->received < *final_position_;
  if (behind && (sync_replicas_ > 0 || hooks_.now() - stepped_at_ < catch_up_limit)) {
    raise("none_fit");
    return;
  }
  // One replica that did not answer may be the only one that holds an acknowledged commit.
  const bool all_answered =
    std::all_of(possible_holders_.begin(), possible_holders_.end(), [&](const auto& holder) {
      const auto& id = holder.first;
      const auto& address = holder.second;
      const bool succeeded =
        std::any_of(members_.begin(), members_.end(), [&](const listed_member& member) {
          return member.address == address && answers.contains(member.id);
        });
      return id == record_.primary || answers.contains(id) || succeeded;
    });
  if (sync_replicas_ > 0 && !record_.stepped_down && !all_answered) {
    raise("none_fit");
    return;
  }
  chosen_ = furthest;
  raise("chosen");
}

}
