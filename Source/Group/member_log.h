#pragma once

#include "Base/ids.h"

#include <vector>

namespace persimmonshelf {

// Start of a term in a log. `first_position` is the position of the term's first entry; for a term
// without entries, it is one position past the end of the log.
struct term_start
{
  term in_term;
  log_position first_position;

  friend bool operator==(const term_start&, const term_start&) = default;
};

// Summary of one log: its last entry and the position at which each term starts. Two logs with an
// entry of the same term at the same position are identical up to that entry, because a term has
// only one primary.
class member_log
{
public:
  member_log() = default;

  // `history` ascends by term. `last` is the last entry and the term that wrote it, which is older
  // than the newest term in `history` if that term has no entries.
  member_log(log_point last, std::vector<term_start> history);

  // True if the history is in ascending order and matches the term of the last entry.
  bool is_consistent() const;

  const log_point& last() const { return last_; }
  const std::vector<term_start>& history() const { return history_; }

  // True if the entry at the point's position was written in the point's term. Position 0 is part
  // of every log.
  bool contains(const log_point& point) const;

  // Returns the last entry whose position and term are both less than or equal to those of `point`.
  log_point last_entry_within(const log_point& point) const;

  // Returns the prefix that both logs are certain to share.
  member_log common_prefix(const member_log& other) const;

private:
  log_point last_;
  std::vector<term_start> history_;
};

}
