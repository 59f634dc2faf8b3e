#pragma once

#include "Base/ids.h"

#include <vector>

namespace persimmonshelf {

// Start of a term in a log: `first_position` is the position of the term's first entry. A term
// without entries yet starts one position past the end of the log.
struct term_start
{
  term in_term;
  log_position first_position;

  friend bool operator==(const term_start&, const term_start&) = default;
};

// Shape of one log: its last entry and where each term starts in it. Two logs that have an entry of
// the same term at the same position are equal up to that entry, because a term has one primary.
class member_log
{
public:
  member_log() = default;

  // `history` ascends by term. `last` is the last entry with the term that wrote it, which is older
  // than the newest term in `history` while that term has no entry.
  member_log(log_point last, std::vector<term_start> history);

  // True if the history ascends and agrees with the last entry's term.
  bool is_consistent() const;

  const log_point& last() const { return last_; }
  const std::vector<term_start>& history() const { return history_; }

  // True if the entry at the point's position was written in the point's term. Position 0 is part
  // of every log.
  bool contains(const log_point& point) const;

  // The last entry whose position and term are both at or below those of `point`.
  log_point last_entry_within(const log_point& point) const;

  // The part that both logs certainly share.
  member_log common_prefix(const member_log& other) const;

private:
  log_point last_;
  std::vector<term_start> history_;
};

}
