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

// Status of one member. `sent` is the time, on this process's clock, at which the status request
// was sent, and `received` the time at which the response arrived. For a report relayed by another
// process, `sent` must be a time that is certainly not after the member's response.
struct member_report
{
  member_id member;
  // Highest term that the member promised to, through a fence, promote or follow request.
  term promised;
  // The last entry and the term that wrote it. This is not the newest term if that term has no
  // entries yet.
  log_point last;
  // True if the member is the primary of term `promised`.
  bool primary = false;
  bool leaving = false;
  std::vector<term_start> history;
  instant sent;
  instant received;
};

// A member and the term in which it claims to be the primary.
struct primary_claim
{
  member_id member;
  term in_term;

  friend bool operator==(const primary_claim&, const primary_claim&) = default;
};

// Newest known state of one member. `last_contact` is the latest `sent` of its reports.
struct member_state
{
  term promised;
  bool primary = false;
  bool leaving = false;
  instant last_contact;
  member_log log;
};

// Location of a point relative to the log of the newest confirmed primary.
enum class point_location : std::uint8_t
{
  contained,
  // Beyond the known part of the log, or no primary has been confirmed yet.
  ahead,
  // From an older term and never in the primary's log. The write is lost; it was never
  // acknowledged.
  discarded,
};

// Requirements of a read for the member that runs it.
struct read_criteria
{
  std::optional<log_point> at_least;
  bool primary_only = false;
  // duration::max() accepts data of any age.
  duration max_age = duration::max();
  // Cost by zone distance and load; lower is better. Members without a cost are not chosen.
  std::map<member_id, std::int64_t> cost;
};

// State of one database, built from the reports of its members. Ages are upper bounds. The checks
// of what a majority holds return false if the reports do not prove it.
class group_view
{
public:
  // Fails with config_invalid if `members` is empty or contains a member twice.
  static result<group_view> create(std::vector<member_id> members);

  // Reports may arrive in any order and more than once. Fails with malformed_answer, without any
  // change, if the member is unknown or the history contradicts the last entry.
  result<void> apply(const member_report& report);

  // Returns the member that claims the highest term, unless a majority promised a higher one.
  std::optional<primary_claim> primary() const;

  // True if the log of every later primary contains the write at this point. This requires a
  // majority of members that held the write, or a later entry of the same log, before they promised
  // a term above that entry's term. Members that hold an entry of an old term under a newer promise
  // do not count: a primary of a term in between may hold a different entry at that position and be
  // promoted again.
  bool majority_holds(const log_point& point) const;

  point_location locate(const log_point& point) const;

  // Returns the point that a member must contain to serve a session that has seen `point`. For a
  // discarded point, this is the last entry of the primary's log that the session may have seen
  // before the discarded one. Otherwise it is the point itself.
  log_point required_point(const log_point& point) const;

  // True if the member's log contains the entry of that term at that position.
  bool member_contains(const member_id& member, const log_point& point) const;

  // Returns the latest instant t for which the primary claimed its term, and a majority promised no
  // higher one, in responses to requests sent at or after t. Empty without a primary.
  std::optional<instant> confirmed_at() const;

  // Returns an upper bound for the age of the member's data: the member holds every write that was
  // acknowledged longer ago than this. Empty if the age is not known.
  std::optional<duration> age(const member_id& member, instant now) const;

  // Returns the replica of the lowest cost that satisfies the criteria, or the primary if only it
  // does. Among equal costs the lowest id is chosen. Leaving members are not chosen.
  std::optional<member_id> choose_read_member(const read_criteria& criteria, instant now) const;

  // Returns null if the member is unknown or has not reported yet.
  const member_state* find(const member_id& member) const;

  const std::vector<member_id>& members() const { return members_; }
  std::size_t majority() const { return members_.size() / 2 + 1; }

private:
  struct known_member
  {
    member_state state;
    // Bounds of the time at which `state` was sampled.
    instant sampled_after;
    instant sampled_before;
    // Latest `sent` of a report that confirmed the current claim to be the primary.
    instant last_claim;
  };

  // Entries of one term that members reported before they promised a higher term. `history` is the
  // history of the term's primary up to and including this term.
  struct term_evidence
  {
    std::vector<term_start> history;
    std::map<member_id, log_position> held;
  };

  // Every write acknowledged before `valid_at` is in the log up to `point`.
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
  // Ascending by `valid_at` within a term. Checkpoints of the newest primary are limited to the
  // instant that a majority confirmed. Checkpoints of earlier primaries were reduced to that limit
  // when the primary changed.
  std::deque<checkpoint> checkpoints_;
  std::optional<term> confirmed_term_;
  member_log confirmed_log_;
};

}
