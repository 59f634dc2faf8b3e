#include "Proxy/failover.h"

#include "Proxy/failover_chart.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Pause before members are compared or a record is written again.
constexpr duration retry_pause = std::chrono::milliseconds(60);
// Pause before a procedure that ended starts again, such as when the store refused its record.
constexpr duration restart_pause = std::chrono::milliseconds(100);
// A promoted member leads after some hundred milliseconds.
constexpr duration leads_limit = std::chrono::milliseconds(2500);

}

result<std::unique_ptr<failover>>
failover::create(std::string group, hooks calls)
{
  std::unique_ptr<failover> made(new failover(std::move(group), std::move(calls)));
  BOOST_OUTCOME_TRY(auto chart, state_chart::create(failover_chart_text, made->actions()));
  made->chart_.emplace(std::move(chart));
  return made;
}

failover::failover(std::string group, hooks calls)
  : group_(std::move(group))
  , hooks_(std::move(calls))
{
}

std::map<std::string, std::function<void()>>
failover::actions()
{
  return { { "record_change", [this] { record_change(); } },
           { "demote_primary", [this] { demote_primary(); } },
           { "start_fence", [this] { start_fence(); } },
           { "choose", [this] { choose(); } },
           { "choose_later",
             [this] {
               retry_wanted_ = true;
               retry_at_ = hooks_.now() + retry_pause;
             } },
           { "publish_later",
             [this] {
               retry_wanted_ = true;
               retry_at_ = hooks_.now() + retry_pause;
             } },
           { "exclude", [this] { excluded_.insert(*chosen_); } },
           { "promote", [this] { promote(); } },
           { "confirm",
             [this] {
               confirm_until_ = hooks_.now() + leads_limit;
               confirm();
             } },
           { "publish", [this] { publish(); } },
           { "forget", [this] {
              ++run_;
              retry_wanted_ = false;
              next_start_ = hooks_.now() + restart_pause;
            } } };
}

void
failover::raise(const std::string& event)
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
                      std::map<member_id, std::string> possible_holders)
{
  possible_holders_ = std::move(possible_holders);
  members_ = std::move(members);
  sync_replicas_ = sync_replicas;
}

const listed_member*
failover::listed(const member_id& id) const
{
  const auto found = std::find_if(
    members_.begin(), members_.end(), [&](const listed_member& member) { return member.id == id; });
  return found == members_.end() ? nullptr : &*found;
}

void
failover::start(const member_id& primary, primary_trouble trouble)
{
  if (under_way() || trouble == primary_trouble::none || hooks_.now() < next_start_) {
    return;
  }
  ++run_;
  record_ = {};
  record_.group = group_;
  record_.primary = primary;
  record_.changing = true;
  record_.in_term = newest_term_;
  final_position_.reset();
  excluded_.clear();
  chosen_.reset();
  raise(trouble == primary_trouble::leaving ? "leaving" : "lost");
}

void
failover::resume(const group_record& record, std::uint64_t revision)
{
  if (under_way()) {
    return;
  }
  ++run_;
  record_ = record;
  newest_term_ = std::max(newest_term_, record.in_term);
  final_position_.reset();
  excluded_.clear();
  chosen_.reset();
  recorded_revision_ = revision;
  raise("resumed");
}

void
failover::duty_lost()
{
  raise("duty_lost");
}

void
failover::learn_term(const member_status& status)
{
  newest_term_ = std::max({ newest_term_, status.newest_term, status.held });
}

void
failover::record_change()
{
  record_.in_term = std::max(record_.in_term, newest_term_);
  hooks_.record(record_, [this, run = run_](bool written, std::uint64_t revision) {
    if (run != run_) {
      return;
    }
    recorded_revision_ = revision;
    recorded_at_ = hooks_.now();
    raise(written ? "recorded" : "not_recorded");
  });
}

void
failover::start_fence()
{
  recorded_at_ = hooks_.now();
}

// Asks the old primary to give up the lead. What it answered before that is valid.
void
failover::demote_primary()
{
  const auto run = run_;
  const auto primary = record_.primary;
  member_command status;
  status.kind = member_command::command_kind::status;
  hooks_.ask(primary, status, [this, run, primary](std::optional<member_status> answer) {
    if (run != run_) {
      return;
    }
    if (!answer) {
      raise("not_reached");
      return;
    }
    learn_term(*answer);
    member_command demote;
    demote.kind = member_command::command_kind::demote;
    demote.above = term(newest_term_.get() + 1);
    hooks_.ask(primary, demote, [this, run](std::optional<member_status> after) {
      if (run != run_) {
        return;
      }
      if (!after || after->primary) {
        raise("not_reached");
        return;
      }
      learn_term(*after);
      record_.stepped_down = true;
      final_position_ = after->received;
      stepped_at_ = hooks_.now();
      raise("stepped_down");
    });
  });
}

void
failover::promote()
{
  if (!hooks_.may_promote()) {
    retry_wanted_ = true;
    retry_at_ = hooks_.now() + retry_pause;
    return;
  }
  chosen_above_ = newest_term_;
  hooks_.log(group_, "promote", chosen_->get());
  hooks_.promote(group_, *chosen_, [this, run = run_](promote_outcome outcome) {
    if (run != run_) {
      return;
    }
    switch (outcome) {
      case promote_outcome::accepted:
        raise("accepted");
        return;
      case promote_outcome::refused:
        raise("refused");
        return;
      case promote_outcome::unanswered:
        raise("unanswered");
        return;
    }
  });
}

void
failover::confirm()
{
  member_command status;
  status.kind = member_command::command_kind::status;
  hooks_.ask(*chosen_, status, [this, run = run_](std::optional<member_status> answer) {
    // The answer may come before the chart has left the step that asked.
    if (run != run_ || (chart_->state() != "confirming" && chart_->state() != "promoting")) {
      return;
    }
    if (answer) {
      learn_term(*answer);
    }
    if (answer && answer->primary) {
      raise("leads");
      return;
    }
    if (hooks_.now() > confirm_until_) {
      raise("not_leading");
      return;
    }
    retry_wanted_ = true;
    retry_at_ = hooks_.now() + retry_pause;
  });
}

void
failover::publish()
{
  auto record = record_;
  record.primary = *chosen_;
  record.changing = false;
  record.in_term = newest_term_;
  hooks_.record(record, [this, run = run_](bool written, std::uint64_t) {
    if (run == run_) {
      raise(written ? "recorded" : "not_recorded");
    }
  });
}

void
failover::tick()
{
  if (chart_->state() == "fencing" && hooks_.fence_complete(recorded_revision_, recorded_at_)) {
    raise("fenced");
    return;
  }
  if (!retry_wanted_ || hooks_.now() < retry_at_) {
    return;
  }
  retry_wanted_ = false;
  if (chart_->state() == "choosing") {
    choose();
  } else if (chart_->state() == "promoting") {
    promote();
  } else if (chart_->state() == "confirming") {
    confirm();
  } else if (chart_->state() == "publishing") {
    publish();
  }
}

}
