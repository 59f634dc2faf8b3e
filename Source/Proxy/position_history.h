#pragma once

#include "Base/ids.h"
#include "Base/instant.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace persimmonshelf {

// Records, for each group, log positions that contain every commit acknowledged before a known
// time. The primary's answers supply them; reads with bounded staleness use them.
class position_history
{
public:
  // The group's primary answered with `position` to a command that was sent at `sent`, so every
  // commit acknowledged before `sent` is at or below it. The caller must make sure that the member
  // was primary then.
  void observe(const std::string& group, const log_point& position, instant sent);

  // Lowest known position that contains every commit acknowledged earlier than `bound` before
  // `now`; replicas are more likely to have a lower position than a newer one. Empty if no
  // observation is recent enough.
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
