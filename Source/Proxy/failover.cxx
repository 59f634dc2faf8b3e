#include "Proxy/failover.h"

#include "Proxy/failover_chart.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Pause before members are compared or a record is written again.
constexpr duration retry_pause = std::chrono::milliseconds(60);
// Pause after a replacement ended before another one starts, for example after the store refused
// its record.
constexpr duration restart_pause = std::chrono::milliseconds(100);
// Pause before a leaving member that had to be promoted is replaced again. Each attempt stops the
// writes for about as long.
constexpr duration planned_restart_pause = std::chrono::milliseconds(3000);
// A promoted member becomes primary after some hundred milliseconds.
constexpr duration promotion_timeout = std::chrono::milliseconds(2500);

}

result<std::unique_ptr<failover>>
failover::create(std::string group, hooks callbacks)
{
  std::unique_ptr<failover> created(new failover(std::move(group), std::move(callbacks)));
  BOOST_OUTCOME_TRY(auto chart, state_chart::create(failover_chart_text, created->actions()));
  created->chart_.emplace(std::move(chart));
  return created;
}

failover::failover(std::string group, hooks callbacks)
  : group_(std::move(group))
  , hooks_(std::move(callbacks))
{
}

std::map<std::string, std::function<void()>>
failover::actions()
{
  return { { "record_change", [this] { record_change(); } },
           { "demote_primary", [this] { demote_primary(); } },
           { "start_fence", [this] { start_fence(); } },
           { "choose", [this] { query_candidates(); } },
           { "choose_later", [this] { retry_choice(); } },
           { "publish_later", [this] { retry_later(); } },
           // The old primary stepped down, so nobody leads until the replacement is finished.
           { "record_later", [this] { retry_later(); } },
           { "await_fence", [this] { await_fence(); } },
           { "exclude", [this] { excluded_members_.insert(*chosen_); } },
           { "promote", [this] { promote(); } },
           { "confirm",
             [this] {
               confirm_until_ = hooks_.now() + promotion_timeout;
               confirm();
             } },
           { "publish", [this] { publish(); } },
           { "forget", [this] { end_replacement(); } } };
}

void
failover::handle_event(const std::string& event)
{
  const auto before = chart_->state();
  const auto handled = chart_->handle(event);
  if (!handled) {
    hooks_.log(group_, "chart_error", handled.error().message);
    return;
  }
  if (before != chart_->state()) {
    hooks_.log(group_, event, before + " -> " + chart_->state());
  }
}

void
failover::set_members(std::vector<listed_member> members,
                      std::uint32_t sync_replicas,
                      commit_holders holders)
{
  holders_ = std::move(holders);
  members_ = std::move(members);
  sync_replicas_ = sync_replicas;
}

const listed_member*
failover::find_member(const member_id& id) const
{
  const auto found = std::find_if(
    members_.begin(), members_.end(), [&](const listed_member& member) { return member.id == id; });
  return found == members_.end() ? nullptr : &*found;
}

void
failover::begin_replacement(const group_record& record)
{
  ++generation_;
  record_ = record;
  newest_term_ = std::max(newest_term_, record.primary_term);
  final_position_.reset();
  excluded_members_.clear();
  chosen_.reset();
  chosen_as_last_resort_ = false;
  step_down_pending_ = false;
  wait_reason_.clear();
}

void
failover::start(const group_record& recorded, replacement_reason reason)
{
  const bool planned =
    reason == replacement_reason::leaving || reason == replacement_reason::evacuated;
  if (in_progress() || reason == replacement_reason::none || hooks_.now() < earliest_start_ ||
      (planned && hooks_.now() < earliest_planned_start_)) {
    return;
  }
  begin_replacement(recorded);
  record_.changing = true;
  record_.stepped_down = false;
  // A primary to which nothing may be sent cannot be asked to step down first.
  const bool steps_down = planned && !evacuation_.left.contains(recorded.primary);
  handle_event(steps_down ? "leaving" : "lost");
}

void
failover::resume(const group_record& record, const store_version& version)
{
  if (in_progress()) {
    return;
  }
  begin_replacement(record);
  recorded_version_ = version;
  handle_event("resumed");
}

void
failover::end_replacement()
{
  ++generation_;
  retry_pending_ = false;
  earliest_start_ = hooks_.now() + restart_pause;
  const auto* primary = chosen_ ? find_member(*chosen_) : nullptr;
  if (primary != nullptr && (primary->draining || chosen_as_last_resort_)) {
    earliest_planned_start_ = hooks_.now() + planned_restart_pause;
  }
}

void
failover::retry_later()
{
  retry_pending_ = true;
  retry_at_ = hooks_.now() + retry_pause;
}

// Compares the members again after a pause. With synchronous replicas the old primary, which has
// every commit, may return before the members that are waited for.
void
failover::retry_choice()
{
  retry_later();
  if (sync_replicas_ > 0 && !final_position_ && !step_down_pending_) {
    demote_primary();
  }
}

void
failover::duty_lost()
{
  handle_event("duty_lost");
}

void
failover::update_newest_term(const member_status& status)
{
  newest_term_ = std::max({ newest_term_, status.newest_term, status.promised_term });
}

void
failover::record_change()
{
  hooks_.write_record(record_,
                      [this, generation = generation_](bool written, const store_version& version) {
                        if (generation != generation_) {
                          return;
                        }
                        recorded_version_ = version;
                        recorded_at_ = hooks_.now();
                        handle_event(written ? "recorded" : "not_recorded");
                      });
}

void
failover::start_fence()
{
  recorded_at_ = hooks_.now();
}

// Asks the old primary to step down. Its answers before that are valid.
void
failover::demote_primary()
{
  const auto generation = generation_;
  const auto primary = record_.primary;
  if (evacuation_.left.contains(primary)) {
    // Nothing may be sent to its zone any more. The fence ends its use without its answer, and
    // commits that only it received were not acknowledged.
    return;
  }
  step_down_pending_ = true;
  member_command status;
  status.kind = member_command::command_kind::status;
  hooks_.send_command(
    primary, status, [this, generation, primary](std::optional<member_status> answer) {
      if (generation != generation_) {
        return;
      }
      if (!answer) {
        step_down_failed();
        return;
      }
      update_newest_term(*answer);
      if (answer->primary) {
        record_.primary_term = std::max(record_.primary_term, answer->newest_term);
      }
      member_command demote;
      demote.kind = member_command::command_kind::demote;
      demote.above_term = term(newest_term_.get() + 1);
      hooks_.send_command(primary, demote, [this, generation](std::optional<member_status> after) {
        if (generation != generation_) {
          return;
        }
        if (!after || after->primary) {
          step_down_failed();
          return;
        }
        step_down_pending_ = false;
        update_newest_term(*after);
        if (chart_->state() == "awaiting_fence" || chart_->state() == "promoting" ||
            chart_->state() == "confirming" || chart_->state() == "publishing") {
          // Another member was chosen meanwhile.
          return;
        }
        record_.stepped_down = true;
        final_position_ = after->received;
        stepped_down_at_ = hooks_.now();
        handle_event("stepped_down");
      });
    });
}

void
failover::step_down_failed()
{
  step_down_pending_ = false;
  handle_event("not_reached");
}

bool
failover::fence_complete() const
{
  return hooks_.fence_complete(recorded_version_, recorded_at_);
}

// Until the fence is complete, an instance may still read at the old primary and take its answers
// for the primary's, even after it stepped down. They are true as long as no other member leads.
void
failover::await_fence()
{
  if (fence_complete()) {
    handle_event("fenced");
    return;
  }
  retry_later();
}

// Asks the chosen member again while the fence is waited for, because a restart may have cost it
// its log. One that does not answer stays chosen: it may alone have caught up in time.
void
failover::check_choice()
{
  member_command status;
  status.kind = member_command::command_kind::status;
  hooks_.send_command(
    *chosen_, status, [this, generation = generation_](std::optional<member_status> answer) {
      if (generation != generation_ || chart_->state() != "awaiting_fence") {
        return;
      }
      if (answer) {
        update_newest_term(*answer);
      }
      if (answer && answer->received < chosen_position_) {
        handle_event("none_fit");
        return;
      }
      retry_later();
    });
}

void
failover::promote()
{
  if (!hooks_.may_promote()) {
    retry_later();
    return;
  }
  hooks_.log(group_, "promote", chosen_->get());
  hooks_.promote(group_, *chosen_, [this, generation = generation_](promote_outcome outcome) {
    if (generation != generation_) {
      return;
    }
    switch (outcome) {
      case promote_outcome::accepted:
        handle_event("accepted");
        return;
      case promote_outcome::refused:
        handle_event("refused");
        return;
      case promote_outcome::unanswered:
        handle_event("unanswered");
        return;
    }
  });
}

void
failover::confirm()
{
  member_command status;
  status.kind = member_command::command_kind::status;
  hooks_.send_command(
    *chosen_, status, [this, generation = generation_](std::optional<member_status> answer) {
      // The answer may arrive before the chart has left the state that sent the command.
      if (generation != generation_ ||
          (chart_->state() != "confirming" && chart_->state() != "promoting")) {
        return;
      }
      if (answer) {
        update_newest_term(*answer);
      }
      if (answer && answer->primary) {
        chosen_term_ = answer->newest_term;
        handle_event("leads");
        return;
      }
      if (hooks_.now() > confirm_until_) {
        handle_event("not_leading");
        return;
      }
      retry_later();
    });
}

void
failover::publish()
{
  auto record = record_;
  record.primary = *chosen_;
  record.changing = false;
  record.stepped_down = false;
  record.primary_term = chosen_term_;
  hooks_.write_record(record, [this, generation = generation_](bool written, const store_version&) {
    if (generation == generation_) {
      handle_event(written ? "recorded" : "not_recorded");
    }
  });
}

void
failover::tick()
{
  if (chart_->state() == "awaiting_fence" && choice_is_outdated()) {
    retry_pending_ = false;
    handle_event("none_fit");
    return;
  }
  const bool awaits_fence = chart_->state() == "fencing" || chart_->state() == "awaiting_fence";
  if (awaits_fence && fence_complete()) {
    retry_pending_ = false;
    handle_event("fenced");
    return;
  }
  if (!retry_pending_ || hooks_.now() < retry_at_) {
    return;
  }
  retry_pending_ = false;
  if (chart_->state() == "recording_step") {
    record_change();
  } else if (chart_->state() == "choosing") {
    query_candidates();
  } else if (chart_->state() == "awaiting_fence") {
    check_choice();
  } else if (chart_->state() == "promoting") {
    promote();
  } else if (chart_->state() == "confirming") {
    confirm();
  } else if (chart_->state() == "publishing") {
    publish();
  }
}

}
