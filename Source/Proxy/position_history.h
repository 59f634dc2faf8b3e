#pragma once

#include "Base/ids.h"
#include "Base/instant.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace persimmonshelf {

// Knows, for each group, which log position contained every commit that was acknowledged before
// some instant. Fed by the answers of the primary; asked by reads that may be a stated time old.
class position_history
{
public:
  // The group's primary answered with `position` to a command that was sent at `sent`: every commit
  // acknowledged before `sent` is at or below it. The caller vouches that the member led then.
  void observe(const std::string& group, const log_point& position, instant sent);

  // Position that contains everything acknowledged `bound` before `now`; the lowest known one, as
  // replicas are the likelier to have it. Empty if no observation is young enough.
  std::optional<log_point> position_for(const std::string& group,
                                        duration bound,
                                        instant now) const;

  // Newest observation of the group.
  struct observation
  {
    log_point position;
    instant sent;
  };
  std::optional<observation> newest(const std::string& group) const;

private:
  std::map<std::string, std::deque<observation>> observations_;
};

}
