#pragma once

#include "Proxy/coordinator_messages.h"

#include <optional>

namespace persimmonshelf {

// Follows the coordinator at one instance: decides which of its views count and which parts of them
// may be used, and dates this instance's reports by the newest complete view. Times are on a clock
// that counts time in suspension.
class coordinator_follower
{
public:
  // Part of a view that the receiver uses.
  enum class view_use : std::uint8_t
  {
    none,
    // Only the token grant: the view answers a token request.
    tokens,
    // Only the carrier plan: the receiver runs no sessions.
    plan,
    complete,
  };

  explicit coordinator_follower(incarnation_id own);

  // Decides about a view that arrived at `now` and remembers it if it counts.
  view_use accept(const fleet_view& view, instant now);

  // Views with a lower token than that of the newest coordinator row that was read are ignored.
  void raise_min_token(fencing_token token);

  // Notes that this instance told the coordinator at `now` that it runs no sessions and has dropped
  // its shares. Of a view that answers an earlier report only the plan is used.
  void record_plan_report(instant now) { plan_reported_at_ = now; }

  // The newest complete view, for a report that is made at `now`.
  std::optional<applied_view> newest_complete_view(instant now) const;

  const applied_shares& shares_view() const { return shares_view_; }

  // Token of the newest coordinator of which any view was accepted; zero if there is none. It
  // numbers the token grants.
  fencing_token token() const { return token_; }
  fencing_token min_token() const { return min_token_; }
  // Newest token that is known, from views or from the coordinator row.
  fencing_token newest_token() const;
  // This instance's clock in the newest report that a view answered.
  instant last_echo_clock() const { return last_echo_clock_; }

private:
  incarnation_id own_;
  fencing_token token_;
  fencing_token min_token_;
  // Number of the newest view of any kind.
  std::uint64_t view_number_ = 0;
  std::optional<applied_view> newest_complete_;
  instant newest_complete_at_{};
  applied_shares shares_view_;
  instant last_echo_clock_{};
  std::optional<instant> plan_reported_at_;
};

}
