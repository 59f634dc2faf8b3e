#pragma once

#include "Proxy/coordinator_messages.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace persimmonshelf {

// How long after its newest answered report an instance uses only tokens of the coordinator's pool.
// After that it uses its own share of the rate. The coordinator stops counting on the instance's
// pool use earlier.
inline constexpr duration pool_token_lifetime = std::chrono::milliseconds(700);

// Without an answer for this long, contact to the coordinator is uncertain: a report or its
// answer is missing.
inline constexpr duration answer_expected_within = std::chrono::milliseconds(400);

// A new coordinator knows within this time what instances may still use of earlier grants.
inline constexpr duration coordinator_settling_time = std::chrono::milliseconds(3000);

// What a workspace may use beyond its rate and burst in any window, over all instances, because
// they count together only while they are in contact.
struct rate_tolerance
{
  duration window = std::chrono::seconds(5);
  double operations = 0;
  // Fraction of what rate and burst allow in the window.
  double fraction = 0;

  friend bool operator==(const rate_tolerance&, const rate_tolerance&) = default;
};

// Limits the rate of each workspace at one instance: to the tokens granted from the coordinator's
// pool, or, while no coordinator answers, to the instance's share of rate and burst. While contact
// to the coordinator is lost or new, each instance may also use its share of half of the tolerance,
// so that a change of coordinator refuses few operations below the rate. Also measures demand.
class rate_limiter
{
public:
  explicit rate_limiter(rate_tolerance tolerance = {})
    : tolerance_(tolerance)
  {
  }

  enum class verdict : std::uint8_t
  {
    granted,
    // No token is left here; the pool may have more.
    wait_for_grant,
    refused,
  };

  void set_workspaces(const std::vector<proxy_workspace>& workspaces, instant now);

  // Sets the shares that apply while no coordinator answers, valid until `until`.
  void set_shares(const rate_share_table& shares, instant until, instant now);

  // Replaces the tokens left of the previous grant by those of a new one. A grant with the number
  // of the previous one is ignored. `answered_report` is the time of the newest report that the
  // coordinator has answered.
  void apply_grant(const token_grant& grant, instant answered_report, instant now);

  // Takes a token for one operation if there is one. `counted` is true if the operation adds to the
  // demand; false for a retry.
  verdict take(const workspace_id& workspace, bool counted, instant now);

  // Takes a token for an operation that waited for a grant in vain: the coordinator does not
  // answer.
  bool take_unanswered(const workspace_id& workspace, instant now);

  // Another instance took the coordinator role. It counts on what instances may still use, and
  // grants less than the rate for some seconds.
  void coordinator_changed(instant now);

  // Counts an operation that waits behind others and therefore takes no token yet.
  void count_operation(const workspace_id& workspace, instant now);

  // Forecast of the tokens of a workspace at this instance.
  struct token_supply
  {
    // Tokens that are left, and the part of the next one that has probably accrued. Negative if
    // more was used than the newest grant contained.
    double tokens = 0;
    // Expected tokens per second: while the pool answers, what this instance took lately, at least
    // its share and at most the whole rate; otherwise its share of the rate.
    double per_s = 0;
    // Tokens of the workspace per second, over all instances.
    double rate = 0;
    // Requests that the pool could not serve at other instances, by priority; empty if unknown.
    std::optional<std::map<std::uint32_t, double>> waiting_elsewhere{};
  };
  token_supply supply(const workspace_id& workspace, instant now);

  // True while tokens come from the pool.
  bool uses_pool(instant now) const { return now < pool_tokens_until_; }

  // Recent demand in operations per second, by workspace.
  std::map<workspace_id, double> demands(instant now);
  // Tokens used of the newest grant, for a report that is sent at `now` with these numbers of
  // waiting requests. Tokens used after the report that a grant answers are subtracted from the
  // grant.
  std::map<workspace_id, double> usage_for_report(const std::map<workspace_id, double>& waiting,
                                                  instant now);
  std::uint64_t grant_number() const { return grant_; }
  const rate_share_table& shares() const { return shares_; }

private:
  struct workspace_bucket
  {
    double rate = 0;
    double burst = 0;
    double tokens = 0;
    // Tokens of the share that were left when the pool answered again. They are used first, and are
    // not part of any grant.
    double carried = 0;
    double used = 0;
    // Requests that waited when the newest report was made.
    double waiting = 0;
    // Time up to which the bucket was refilled from the share.
    instant filled_at{};
    double demand = 0;
    // Recently admitted operations per second.
    double admitted = 0;
    instant demand_updated_at{};
    // When the newest tokens of the pool arrived.
    instant supplied_at{};
    std::optional<std::map<std::uint32_t, double>> waiting_elsewhere{};
    // True if the newest grant was too small for the waiting requests.
    bool exhausted = false;
    // Part of the tolerance that is left, and the time up to which it was refilled.
    double tolerance = 0;
    instant tolerance_filled_at{};
  };
  bool take_tolerance(const workspace_id& workspace, workspace_bucket& from, instant now) const;
  bool contact_is_uncertain(instant now) const;
  void fill(const workspace_id& workspace, workspace_bucket& filled, instant now) const;
  static void decay(workspace_bucket& measured, instant now);
  static void count_admitted(workspace_bucket& measured, instant now);
  double share_of(const workspace_id& workspace) const;

  rate_tolerance tolerance_;
  std::optional<instant> coordinator_changed_at_;
  std::map<workspace_id, workspace_bucket> buckets_;
  rate_share_table shares_;
  instant shares_valid_until_{};
  instant pool_tokens_until_{};
  instant carried_until_{};
  std::uint64_t grant_ = 0;
  // Tokens used of the newest grant at the time of each recent report.
  std::deque<std::pair<instant, std::map<workspace_id, double>>> reported_usage_;
};

}
