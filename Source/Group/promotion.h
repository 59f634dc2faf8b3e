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

// Timeouts and limits of a promotion.
struct promotion_settings
{
  // A primary that is not confirmed for this long is treated as failed.
  duration unconfirmed_limit = std::chrono::seconds(3);
  // Upper bound of the random delay before fencing. The delay keeps candidates from fencing at the
  // same time.
  duration max_backoff = std::chrono::seconds(1);
  // Time limit for one attempt of a step.
  duration step_timeout = std::chrono::seconds(1);
  // Attempts of a step before the candidate backs off.
  unsigned max_attempts = 2;
  // A longer interval between two ticks means that this process was paused. No reports arrived
  // during the pause, which is not evidence of a failure.
  duration pause_limit = std::chrono::seconds(1);
  // A member that promised a higher term than the primary's, after a candidate gave up, cannot
  // replicate until the next promotion. If this lasts for `higher_term_limit`, a promotion is
  // started.
  duration higher_term_limit = std::chrono::seconds(5);
  // A leaving primary receives no new requests, so the database needs another primary. This delay
  // leaves its last writes time to replicate.
  duration leaving_limit = std::chrono::seconds(1);
};

// Durations of the phases of one failover.
struct failover_durations
{
  // From the last confirmation of the old primary to the first fence.
  duration detection{};
  // From the first fence until a member was promoted.
  duration agreement{};
  // From the promotion until a majority confirmed the new primary.
  duration resumption{};
};

// Callbacks through which a candidate sends requests and reports progress. Responses are passed to
// the handle_... functions of `promotion`.
struct promotion_hooks
{
  // The candidate name in these two requests must be unique to one `promotion` object, because
  // members grant a term again to the same name. A restarted process must not reuse its earlier
  // name.
  std::function<void(const member_id& member, term in_term)> send_fence;
  std::function<void(const member_id& member, term in_term)> send_promote;
  std::function<void(const member_id& member, term in_term, const member_id& primary)> send_follow;
  // Returns a random duration from zero to `max`.
  std::function<duration(duration max)> random_delay;
  std::function<void(const std::string& text)> log;
  std::function<void(const failover_durations&)> report;
};

// Decides, for one candidate, when a database needs a new primary, and carries out the promotion.
// The state transitions are defined in promotion.chart.json.
class promotion
{
public:
  // All hooks must be set.
  static result<std::unique_ptr<promotion>> create(std::vector<member_id> members,
                                                   promotion_settings settings,
                                                   promotion_hooks hooks);
  promotion(const promotion&) = delete;
  promotion& operator=(const promotion&) = delete;

  // Must be called several times within each `step_timeout` and `pause_limit`.
  void tick(instant now, const group_view& view);

  // Handle the responses of members. `in_term` is the term of the request, `promised` the member's
  // highest promised term, and `last` its last entry with the term that wrote it. A request that
  // fails or gets no response needs no call: it is repeated after `step_timeout`.
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

  // The term of this candidate's last fencing; zero before the first one.
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
  // Last time at which the primary was confirmed.
  instant last_confirmed_;
  std::optional<instant> higher_promise_since_;
  std::optional<instant> leaving_since_;

  // State of the current promotion round.
  std::optional<instant> backoff_until_;
  std::optional<instant> step_deadline_;
  unsigned attempts_ = 0;
  // Highest promised term when the back-off delay started.
  term promised_at_backoff_;
  // Term of the primary that this round replaces.
  term replaced_term_;
  term term_;
  // Highest promised term in a response that rejected a request.
  term highest_rejecting_term_;
  std::map<member_id, log_point> granted_;
  std::set<member_id> refused_;
  // A term is used to promote only one member. After the promote request was sent, choosing another
  // member requires a new term.
  bool promote_sent_ = false;
  member_id chosen_;
  // Term of this candidate's last promotion that is known to have succeeded.
  term promoted_term_;
  std::set<member_id> following_;
  std::map<member_id, instant> follow_sent_;

  // Times of the failover in progress.
  std::optional<instant> lost_at_;
  std::optional<instant> fenced_at_;
  instant promoted_at_;
  std::optional<instant> resumed_at_;
};

}
