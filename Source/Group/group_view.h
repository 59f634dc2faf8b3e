#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Base/instant.h"
#include "Group/member_log.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace persimmonshelf {

// One member's status. `sent` is when the request for it left, on this process's clock; `received`
// is when the response arrived. For a report relayed by another process, `sent` must be an instant
// that is certainly not after the member's response.
struct member_report
{
  member_id member;
  // Highest term that the member promised to, by a fence, a promotion or an order to follow.
  term promised;
  // The last entry and the term that wrote it, not the newest term without entries.
  log_point last;
  // True if the member is the primary of the term `promised`.
  bool primary = false;
  bool leaving = false;
  std::vector<term_start> history;
  instant sent;
  instant received;
};

// A member and the term in which it is the primary.
struct primary_claim
{
  member_id member;
  term in_term;

  friend bool operator==(const primary_claim&, const primary_claim&) = default;
};

// Newest known state of one member. `heard` is the latest `sent` of its reports.
struct member_state
{
  term promised;
  bool primary = false;
  bool leaving = false;
  instant last_contact;
  member_log log;
};

// Where a point lies relative to the log of the newest confirmed primary.
enum class point_location : std::uint8_t
{
  contained,
  // Not in the part of the log that is known yet, or no primary was confirmed yet.
  ahead,
  // Of an older term, and never in the primary's log: the write is lost and was not acknowledged.
  discarded,
};

// What a read needs from the member that runs it.
struct read_criteria
{
  std::optional<log_point> at_least;
  bool primary_only = false;
  // duration::max() means that any age will do.
  duration max_age = duration::max();
  // Zone distance and load; lower is better. A member that is missing here is not chosen.
  std::map<member_id, std::int64_t> cost;
};

// State of one database, built from the reports of its members. Every statement about age errs to
// the old side, and every statement about what a majority holds errs to "no".
class group_view
{
public:
  // Fails with config_invalid if `members` is empty or names a member twice.
  static result<group_view> create(std::vector<member_id> members);

  // Reports may arrive in any order and repeatedly. Fails with malformed_answer, and changes
  // nothing, if the member is unknown or the history contradicts the last entry.
  result<void> apply(const member_report& report);

  // The member that claims the highest term, unless a majority promised a higher one.
  std::optional<primary_claim> primary() const;

  // True if the write at this point is in the log of every later primary. That needs a majority of
  // members that held it, or a later entry of the same log, before they promised a term above that
  // entry's term. Holding an old term's entry under a newer promise does not count: a primary of a
  // term in between may hold another entry there and be promoted again.
  bool majority_holds(const log_point& point) const;

  point_location locate(const log_point& point) const;

  // What a session that has seen `point` needs. For a discarded point this is the last entry of the
  // primary's log that the session may have seen before the discarded one; else the point itself.
  log_point required_point(const log_point& point) const;

  // True if the member's log has the entry of that term at that position.
  bool member_contains(const member_id& member, const log_point& point) const;

  // The latest instant t such that the primary claimed its term, and a majority promised no higher
  // one, in responses to requests sent at or after t. Empty without a primary.
  std::optional<instant> confirmed_at() const;

  // Upper bound of how old the data of a member is: it holds everything that was acknowledged more
  // than this long ago. Empty if nothing is known.
  std::optional<duration> age(const member_id& member, instant now) const;

  // The cheapest replica that satisfies the criteria, else the primary if it does. Equal costs are
  // decided by the order of the ids. Leaving members are not chosen.
  std::optional<member_id> choose_read_member(const read_criteria& criteria, instant now) const;

  // Null if the member is unknown or has not reported yet.
  const member_state* find(const member_id& member) const;

  const std::vector<member_id>& members() const { return members_; }
  std::size_t majority() const { return members_.size() / 2 + 1; }

private:
  struct known_member
  {
    member_state state;
    // Bounds of when `state` was sampled.
    instant sampled_after;
    instant sampled_before;
    // Latest `sent` of a report with the current claim to be primary.
    instant last_claim;
  };

  // Entries of one term that members reported while they had promised no higher term. `history` is
  // that of the term's primary up to this term.
  struct term_evidence
  {
    std::vector<term_start> history;
    std::map<member_id, log_position> held;
  };

  // Everything acknowledged before `valid_at` is in the log up to `point`.
  struct checkpoint
  {
    term in_term;
    instant valid_at;
    log_point point;
  };

  explicit group_view(std::vector<member_id> members);
  void add_evidence(const member_report& report, const member_log& log);
  static void update(known_member& known, const member_report& report, member_log log, bool first);
  void add_checkpoint(const member_report& report);
  bool qualifies(const member_id& member, const read_criteria& criteria, instant now) const;

  std::vector<member_id> members_;
  std::map<member_id, known_member> known_;
  std::map<term, term_evidence> evidence_;
  // Ascending by `valid_at` within a term. Those of the newest primary count only up to the instant
  // that a majority confirmed; those of earlier primaries were cut down to it already.
  std::deque<checkpoint> checkpoints_;
  std::optional<term> confirmed_term_;
  member_log confirmed_log_;
};

}
