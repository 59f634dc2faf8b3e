#include "Proxy/record_confirmation.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Pause before the members are asked again.
constexpr duration retry_pause = std::chrono::milliseconds(200);
// How long members that do not answer are waited for: one of them may lead in a newer term. The
// entry of a member that ended is removed from the list within three intervals of its reports.
constexpr duration silent_member_timeout = std::chrono::milliseconds(3000);

}

record_confirmation::record_confirmation(std::string group, hooks callbacks)
  : group_(std::move(group))
  , hooks_(std::move(callbacks))
{
}

void
record_confirmation::tick(const group_record* known, const std::vector<listed_member>& members)
{
  const auto now = hooks_.now();
  if (in_progress_ || now < retry_at_ || members.empty()) {
    return;
  }
  if (!started_at_) {
    started_at_ = now;
  }
  known_ = known == nullptr ? std::nullopt : std::optional<group_record>(*known);
  if (known_ && known_->changing) {
    write(*known_);
    return;
  }
  ask(members);
}

void
record_confirmation::ask(const std::vector<listed_member>& members)
{
  in_progress_ = true;
  asked_ = members.size();
  pending_ = members.size();
  answers_.clear();
  member_command status;
  status.kind = member_command::command_kind::status;
  for (const auto& member : members) {
    hooks_.send_command(
      member.id, status, [this, id = member.id](std::optional<member_status> answer) {
        if (answer) {
          answers_[id] = *answer;
        }
        if (--pending_ == 0) {
          compare_answers();
        }
      });
  }
}

void
record_confirmation::compare_answers()
{
  auto newest = known_ ? known_->primary_term : term();
  for (const auto& [id, status] : answers_) {
    newest = std::max(newest, status.newest_term);
  }
  const auto leader = std::find_if(answers_.begin(), answers_.end(), [&](const auto& answer) {
    return answer.second.primary && answer.second.newest_term == newest;
  });
  const bool waited = hooks_.now() - *started_at_ >= silent_member_timeout;
  if (leader != answers_.end() && (answers_.size() == asked_ || waited)) {
    hooks_.log(group_, "primary_confirmed", leader->first.get());
    group_record record;
    record.group = group_;
    record.primary = leader->first;
    record.primary_term = newest;
    write(record);
    return;
  }
  if (waited && !primary_is_lost_) {
    hooks_.log(group_, "primary_not_confirmed", known_ ? known_->primary.get() : "");
    primary_is_lost_ = true;
  }
  retry_later();
}

void
record_confirmation::write(const group_record& record)
{
  in_progress_ = true;
  hooks_.write_record(record, [this](bool, const store_version&) {
    // A record that was written is found in the store's state; another attempt is made otherwise.
    retry_later();
  });
}

void
record_confirmation::retry_later()
{
  in_progress_ = false;
  retry_at_ = hooks_.now() + retry_pause;
}

}
