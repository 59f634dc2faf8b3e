#include "Group/promotion.h"

#include "Group/promotion_chart.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <sstream>
#include <utility>

namespace persimmonshelf {

promotion::promotion(std::vector<member_id> members,
                     promotion_settings settings,
                     promotion_hooks hooks)
  : members_(std::move(members))
  , settings_(settings)
  , hooks_(std::move(hooks))
{
}

result<std::unique_ptr<promotion>>
promotion::create(std::vector<member_id> members,
                  promotion_settings settings,
                  promotion_hooks hooks)
{
  if (members.empty()) {
    return fail(result_code::config_invalid, "promotion: a database needs at least one member");
  }
  if (!hooks.send_fence || !hooks.send_promote || !hooks.send_follow || !hooks.random_delay ||
      !hooks.log || !hooks.report) {
    return fail(result_code::internal_error, "promotion: a hook is not set");
  }
  std::unique_ptr<promotion> created(new promotion(std::move(members), settings, std::move(hooks)));
  BOOST_OUTCOME_TRY(auto chart, state_chart::create(promotion_chart_text, created->actions()));
  created->chart_.emplace(std::move(chart));
  return created;
}

std::map<std::string, std::function<void()>>
promotion::actions()
{
  return {
    { "draw_delay", [this] { start_backoff(); } },
    { "start_fencing", [this] { start_fencing(); } },
    { "repeat_fence", [this] { repeat_fence(); } },
    { "start_promoting", [this] { start_promoting(); } },
    { "repeat_promote",
      [this] {
        ++attempts_;
        step_deadline_ = now_ + settings_.step_timeout;
        hooks_.send_promote(chosen_, term_);
      } },
    { "start_following", [this] { start_following(); } },
    { "repeat_follow",
      [this] {
        ++attempts_;
        send_follows();
      } },
    { "follow_stragglers", [this] { follow_stragglers(); } },
    { "report_durations", [this] { report_durations(); } },
    { "stop_timers", [this] { stop_timers(); } },
    { "restart_detection",
      [this] {
        last_confirmed_ = now_;
        higher_promise_since_.reset();
        leaving_since_.reset();
      } },
  };
}

void
promotion::raise(std::string_view event)
{
  const auto handled = chart_->handle(event);
  if (!handled) {
    hooks_.log(handled.error().message);
  }
}

void
promotion::tick(instant now, const group_view& view)
{
  now_ = now;
  if (!last_tick_) {
    last_confirmed_ = now;
  }
  const bool paused = last_tick_ && now - *last_tick_ > settings_.pause_limit;
  last_tick_ = now;
  observation_ = observe(view, now, settings_.unconfirmed_limit);
  if (observation_.primary && observation_.primary->in_term < promoted_term_) {
    // The view does not reflect this candidate's own promotion yet.
    observation_.primary.reset();
    observation_.confirmed.reset();
    observation_.confirmed_at.reset();
    observation_.stragglers.clear();
    observation_.has_higher_promise = false;
  }
  if (paused) {
    raise("paused");
    return;
  }
  update_detection();
  if (is_superseded()) {
    raise("superseded");
  }
  const auto* chosen = promote_sent_ ? view.find(chosen_) : nullptr;
  if (chosen != nullptr && chosen->primary && chosen->promised == term_ &&
      promoted_term_ != term_) {
    // The promote request succeeded but its response was lost.
    raise("promoted");
  }
  if (promoted_term_ == term_ && observation_.confirmed == primary_claim{ chosen_, term_ }) {
    if (!resumed_at_) {
      resumed_at_ = now;
    }
    if (following_.size() + 1 >= members_.size() || attempts_ > settings_.max_attempts) {
      raise("completed");
    }
  }
  raise(is_needed() ? "needed" : "not_needed");
  raise_timers();
  raise("ticked");
}

void
promotion::update_detection()
{
  if (observation_.confirmed_at) {
    last_confirmed_ = std::max(last_confirmed_, *observation_.confirmed_at);
  }
  const auto track = [this](std::optional<instant>& since, bool holds) {
    since = holds ? since.value_or(now_) : std::optional<instant>();
  };
  track(higher_promise_since_, observation_.has_higher_promise);
  track(leaving_since_,
        observation_.confirmed && observation_.leaving.contains(observation_.confirmed->member) &&
          observation_.majority_not_leaving);
}

bool
promotion::is_needed() const
{
  return now_ - last_confirmed_ >= settings_.unconfirmed_limit ||
         (higher_promise_since_ && now_ - *higher_promise_since_ >= settings_.higher_term_limit) ||
         (leaving_since_ && now_ - *leaving_since_ >= settings_.leaving_limit);
}

bool
promotion::is_superseded() const
{
  if (!observation_.confirmed || *observation_.confirmed == primary_claim{ chosen_, term_ }) {
    return false;
  }
  // After a majority is fenced, primaries of lower terms cannot acknowledge writes.
  return observation_.confirmed->in_term > (promote_sent_ ? term_ : replaced_term_);
}

void
promotion::raise_timers()
{
  if (backoff_until_ && now_ >= *backoff_until_) {
    const bool rival_active = observation_.highest_promised > std::max(promised_at_backoff_, term_);
    // A fence that cannot reach a majority would only stop a primary that other candidates can
    // reach.
    raise(rival_active || !observation_.majority_reachable ? "delay_again" : "delay_over");
  }
  if (step_deadline_ && now_ >= *step_deadline_) {
    raise(attempts_ < settings_.max_attempts ? "step_overdue" : "gave_up");
  }
}

void
promotion::start_step()
{
  backoff_until_.reset();
  attempts_ = 1;
  step_deadline_ = now_ + settings_.step_timeout;
}

void
promotion::start_backoff()
{
  if (!lost_at_) {
    lost_at_ = last_confirmed_;
    replaced_term_ = observation_.primary ? observation_.primary->in_term : term();
  }
  step_deadline_.reset();
  promised_at_backoff_ = observation_.highest_promised;
  backoff_until_ = now_ + hooks_.random_delay(settings_.max_backoff);
}

void
promotion::start_fencing()
{
  const auto above = std::max(observation_.highest_promised, highest_rejecting_term_);
  // Grants of an earlier round stay valid, because the log of a fenced member does not change under
  // that fence.
  const bool reusable = term_ != term() && !promote_sent_ && highest_rejecting_term_ < term_ &&
                        observation_.highest_promised <= term_;
  if (!reusable) {
    term_ = term(std::max(above, term_).get() + 1);
    granted_.clear();
    refused_.clear();
    promote_sent_ = false;
  }
  start_step();
  if (!fenced_at_) {
    fenced_at_ = now_;
  }
  std::ostringstream text;
  text << "fencing the members for term " << term_ << " after "
       << std::chrono::duration_cast<std::chrono::milliseconds>(now_ - last_confirmed_).count()
       << " ms without a confirmed primary";
  hooks_.log(text.str());
  // A leaving primary often has the longest log. Without a grant from it, a member that is not
  // leaving is chosen.
  const bool hand_over = leaving_since_.has_value() && observation_.majority_not_leaving;
  for (const auto& member : members_) {
    if (!granted_.contains(member) && !(hand_over && observation_.leaving.contains(member))) {
      hooks_.send_fence(member, term_);
    }
  }
  if (granted_.size() >= majority()) {
    raise("majority_fenced");
  }
}

void
promotion::repeat_fence()
{
  ++attempts_;
  step_deadline_ = now_ + settings_.step_timeout;
  for (const auto& member : members_) {
    if (!granted_.contains(member)) {
      hooks_.send_fence(member, term_);
    }
  }
}

void
promotion::handle_fence_response(instant now,
                                 const member_id& member,
                                 term in_term,
                                 bool granted,
                                 term promised,
                                 const log_point& last)
{
  now_ = now;
  if (std::find(members_.begin(), members_.end(), member) == members_.end()) {
    return;
  }
  if (!granted) {
    highest_rejecting_term_ = std::max(highest_rejecting_term_, promised);
  }
  if (in_term != term_ || promote_sent_) {
    return;
  }
  if (granted) {
    granted_[member] = last;
    if (granted_.size() >= majority()) {
      raise("majority_fenced");
    }
    return;
  }
  refused_.insert(member);
  // A rival candidate with the same term may fail to reach a majority, so this candidate keeps
  // waiting for its own majority.
  if (promised > term_ || members_.size() - refused_.size() < majority()) {
    raise("term_rejected");
  }
}

void
promotion::start_promoting()
{
  const auto rank = [this](const auto& entry) {
    return std::pair(entry.second, !observation_.leaving.contains(entry.first));
  };
  const auto best =
    std::max_element(granted_.begin(), granted_.end(), [&](const auto& left, const auto& right) {
      return rank(left) < rank(right);
    });
  chosen_ = best->first;
  promote_sent_ = true;
  start_step();
  std::ostringstream text;
  text << "promoting member " << chosen_ << " for term " << term_ << " with last entry "
       << best->second.in_term << "/" << best->second.position;
  hooks_.log(text.str());
  hooks_.send_promote(chosen_, term_);
}

void
promotion::handle_promote_response(instant now,
                                   const member_id& member,
                                   term in_term,
                                   bool accepted,
                                   term promised)
{
  now_ = now;
  if (in_term != term_ || member != chosen_ || !promote_sent_ || promoted_term_ == term_) {
    return;
  }
  if (accepted) {
    raise("promoted");
    return;
  }
  highest_rejecting_term_ = std::max(highest_rejecting_term_, promised);
  raise(promised > term_ ? "term_rejected" : "gave_up");
}

void
promotion::start_following()
{
  promoted_term_ = term_;
  promoted_at_ = now_;
  resumed_at_.reset();
  // Gives the new primary the full limit to be confirmed.
  last_confirmed_ = now_;
  higher_promise_since_.reset();
  leaving_since_.reset();
  following_.clear();
  start_step();
  send_follows();
}

void
promotion::send_follows()
{
  step_deadline_ = now_ + settings_.step_timeout;
  for (const auto& member : members_) {
    if (member != chosen_ && !following_.contains(member)) {
      follow_sent_[member] = now_;
      hooks_.send_follow(member, term_, chosen_);
    }
  }
}

void
promotion::handle_follow_response(const member_id& member, term in_term, bool accepted)
{
  if (accepted && in_term == promoted_term_ && member != chosen_ &&
      std::find(members_.begin(), members_.end(), member) != members_.end()) {
    following_.insert(member);
  }
}

void
promotion::follow_stragglers()
{
  if (!observation_.confirmed) {
    return;
  }
  for (const auto& member : observation_.stragglers) {
    const auto sent = follow_sent_.find(member);
    if (sent != follow_sent_.end() && now_ - sent->second < settings_.step_timeout) {
      continue;
    }
    follow_sent_[member] = now_;
    hooks_.send_follow(member, observation_.confirmed->in_term, observation_.confirmed->member);
  }
}

void
promotion::stop_timers()
{
  backoff_until_.reset();
  step_deadline_.reset();
  lost_at_.reset();
  fenced_at_.reset();
}

void
promotion::report_durations()
{
  hooks_.report({ fenced_at_.value_or(promoted_at_) - lost_at_.value_or(promoted_at_),
                  promoted_at_ - fenced_at_.value_or(promoted_at_),
                  resumed_at_.value_or(now_) - promoted_at_ });
}

}
