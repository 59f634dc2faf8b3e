#include "Group/member_log.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace persimmonshelf {

member_log::member_log(log_point last, std::vector<term_start> history)
  : last_(last.position == log_position{} ? log_point{} : last)
  , history_(std::move(history))
{
}

bool
member_log::is_consistent() const
{
  for (std::size_t i = 1; i < history_.size(); ++i) {
    if (history_[i].in_term <= history_[i - 1].in_term ||
        history_[i].first_position < history_[i - 1].first_position) {
      return false;
    }
  }
  return contains(last_);
}

bool
member_log::contains(const log_point& point) const
{
  if (point.position == log_position{}) {
    return true;
  }
  if (point.position > last_.position) {
    return false;
  }
  for (auto start = history_.rbegin(); start != history_.rend(); ++start) {
    if (start->first_position <= point.position) {
      return start->in_term == point.in_term;
    }
  }
  return false;
}

log_point
member_log::last_entry_within(const log_point& point) const
{
  std::uint64_t end = std::min(last_.position, point.position).get();
  for (auto start = history_.rbegin(); start != history_.rend(); ++start) {
    if (start->first_position.get() > end) {
      continue;
    }
    if (start->in_term <= point.in_term) {
      return { start->in_term, log_position(end) };
    }
    end = start->first_position.get() - 1;
  }
  return {};
}

member_log
member_log::common_prefix(const member_log& other) const
{
  // Terms ascend along a log, so the last shared entry is at or before every candidate.
  log_point shared = last_;
  while (true) {
    const log_point theirs = other.last_entry_within(shared);
    shared = last_entry_within(theirs);
    if (shared == theirs) {
      break;
    }
  }
  return { shared, history_ };
}

}
