#pragma once

#include "Base/ids.h"
#include "Base/instant.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Where an observed position comes from.
struct position_source
{
  // Member that answered with the position.
  member_id member;
  // Instance that received the answer.
  instance_id observer;
};

// The primary of a group answered with `position` to a command that was sent at `observed_at`, so
// every commit acknowledged before that time is at or below it.
struct timed_position
{
  log_point position;
  instant observed_at{};
  position_source source;
};

// Text for logs: the position, its age and its source.
std::string
describe(const timed_position& observed, instant now);

// What became of an observation.
enum class observation_outcome : std::uint8_t
{
  taken,
  // An observation with a later date or a higher position is known already.
  outdated,
  // It is dated after the present, and therefore refused.
  impossible,
};

std::string_view
name_of(observation_outcome outcome);

// Records, for each group, log positions that contain every commit acknowledged before a known
// time. The primary's answers supply them; reads with bounded staleness use them.
class position_history
{
public:
  // Records an observation unless it is older than a known one or dated after `now`. The caller
  // must make sure that the member was primary when it was made.
  observation_outcome observe(const std::string& group,
                              const timed_position& observed,
                              instant now);

  // Lowest known position that contains every commit acknowledged earlier than `bound` before
  // `now`; replicas are more likely to have a lower position than a newer one. Empty if no
  // observation is recent enough.
  std::optional<timed_position> position_for(const std::string& group,
                                             duration bound,
                                             instant now) const;

  // Newest observation of the group.
  std::optional<timed_position> newest(const std::string& group) const;

private:
  std::map<std::string, std::deque<timed_position>> observations_;
};

}
