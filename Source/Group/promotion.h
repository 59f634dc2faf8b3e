#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Base/instant.h"
#include "Base/state_chart.h"
#include "Group/group_view.h"
#include "Group/observation.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonshelf {

struct promotion_settings
{
  // A primary that was not confirmed for this long has failed.
  duration unconfirmed_limit = std::chrono::seconds(3);
  // Longest random delay before fencing. It keeps the candidates apart.
  duration max_backoff = std::chrono::seconds(1);
  // Deadline of one step.
  duration step_timeout = std::chrono::seconds(1);
  // How often one step is tried before the candidate backs off.
  unsigned max_attempts = 2;
  // A longer time between two ticks means that this process was paused: nothing was heard
  // meanwhile, which is no evidence of a failure.
  duration pause_limit = std::chrono::seconds(1);
  // A member that promised a higher term than the primary's for this long, after a candidate gave
  // up, cannot replicate until the next promotion.
  duration higher_term_limit = std::chrono::seconds(5);
  // A leaving primary gets no new work, so its database needs another one. The limit leaves its
  // last writes time to replicate.
  duration leaving_limit = std::chrono::seconds(1);
};

// How long the parts of one failover took.
struct failover_durations
{
  // From the last confirmation of the old primary to the first fence.
  duration detection{};
  // From there until a member was promoted.
  duration agreement{};
  // From there until a majority confirmed the new primary.
  duration resumption{};
};

// How a candidate acts. Answers come back through the functions of `promotion`.
struct promotion_hooks
{
  // The candidate's name in these two orders must be unique to one `promotion` object, as members
  // grant a term again to the same name: a restarted process must not use its earlier name.
  std::function<void(const member_id& member, term in_term)> send_fence;
  std::function<void(const member_id& member, term in_term)> send_promote;
  std::function<void(const member_id& member, term in_term, const member_id& primary)> send_follow;
  // A random duration from zero to `max`.
  std::function<duration(duration max)> random_delay;
  std::function<void(const std::string& text)> log;
  std::function<void(const failover_durations&)> report;
};

// Decides for one candidate when a database needs another primary, and carries the promotion out.
// Which step follows which event is in promotion.chart.json.
class promotion
{
public:
  // All hooks must be set.
  static result<std::unique_ptr<promotion>> create(std::vector<member_id> members,
                                                   promotion_settings settings,
                                                   promotion_hooks hooks);
  promotion(const promotion&) = delete;
  promotion& operator=(const promotion&) = delete;

  // To be called several times in every step and pause_limit.
  void tick(instant now, const group_view& view);

  // Answers of members, with the term of the order that they answer. `promised` is the member's
  // highest promised term and `last` its last entry with the term that wrote it. An order that
  // fails or is not answered needs no call: it is repeated at the step's deadline.
  void handle_fence_response(instant now,
                             const member_id& member,
                             term in_term,
                             bool granted,
                             term promised,
                             const log_point& last);
  void handle_promote_response(instant now,
                               const member_id& member,
                               term in_term,
                               bool accepted,
                               term promised);
  void handle_follow_response(const member_id& member, term in_term, bool accepted);

  const std::string& state() const { return chart_->state(); }

  // The term that this candidate fenced last; zero before the first one.
  term current_term() const { return term_; }

private:
  promotion(std::vector<member_id> members, promotion_settings settings, promotion_hooks hooks);
  std::map<std::string, std::function<void()>> actions();
  void raise(std::string_view event);
  void update_detection();
  bool is_needed() const;
  bool is_superseded() const;
  void raise_timers();
  void start_step();
  void start_backoff();
  void start_fencing();
  void repeat_fence();
  void start_promoting();
  void start_following();
  void send_follows();
  void follow_stragglers();
  void stop_timers();
  void report_durations();
  std::size_t majority() const { return members_.size() / 2 + 1; }

  std::vector<member_id> members_;
  promotion_settings settings_;
  promotion_hooks hooks_;
  std::optional<state_chart> chart_;

  instant now_;
  std::optional<instant> last_tick_;
  observation observation_;
  // Start of the time without confirmation.
  instant last_confirmed_;
  std::optional<instant> higher_promise_since_;
  std::optional<instant> leaving_since_;

  // The current round.
  std::optional<instant> backoff_until_;
  std::optional<instant> step_deadline_;
  unsigned attempts_ = 0;
  // Highest promise when the delay was drawn.
  term promised_at_backoff_;
  // Term of the primary that the round replaces.
  term replaced_term_;
  term term_;
  // Highest term that a member answered instead of obeying an order.
  term highest_rejecting_term_;
  std::map<member_id, log_point> granted_;
  std::set<member_id> refused_;
  // A term is used for one choice only; after the order to promote, another choice needs another
  // term.
  bool promote_sent_ = false;
  member_id chosen_;
  // Term of the last promotion that this candidate knows to have taken effect.
  term promoted_term_;
  std::set<member_id> following_;
  std::map<member_id, instant> follow_sent_;

  // Instants of the failover that is under way.
  std::optional<instant> lost_at_;
  std::optional<instant> fenced_at_;
  instant promoted_at_;
  std::optional<instant> resumed_at_;
};

}
