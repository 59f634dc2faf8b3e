#pragma once

#include "Scheduling/scheduling_types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace persimmonshelf {

// Moving average of the time for which connections to one member are held. A disturbance of a few
// statements does not raise it: it is the smaller of a fast and a slow average.
class hold_time_average
{
public:
  void record(duration held, instant now);

  // Empty without enough recent measurements.
  std::optional<duration> value(instant now) const;

private:
  double fast_us_ = 0;
  double slow_us_ = 0;
  std::size_t samples_ = 0;
  instant recorded_at_{};
};

// What one member of a group offers to waiting requests.
struct member_capacity
{
  bool is_usable_primary = false;
  // False if the member takes no reads.
  bool serves_reads = true;
  // Largest number of connections of this instance to the member.
  std::size_t connections = 0;
  // Empty if it was not measured; the shortest one in the group then counts.
  std::optional<duration> hold_time;
};

// How fast the members of a group finish work, from which the wait of a queued request follows.
class group_capacity
{
public:
  // Empty if no member was measured. `statement_time` is the time of one statement; no connection
  // counts as held for a shorter time.
  static std::optional<group_capacity> create(const std::vector<member_capacity>& members,
                                              duration statement_time);

  // Time after which a request behind `ahead` others is granted a connection, at least one
  // statement. Empty if no member can serve it at present.
  std::optional<duration> wait_behind(std::size_t ahead, bool needs_primary) const;

  duration statement_time() const { return statement_time_; }

private:
  group_capacity() = default;

  // Connections that become free, per microsecond.
  double primary_rate_ = 0;
  double read_rate_ = 0;
  duration statement_time_{};
};

// A request that would expire before its turn.
struct unservable_request
{
  request_number number;
  // Estimated time until its turn.
  duration wait{};
  duration retry_after{};
};

// Finds the requests that would clearly expire before their turn. `ordered` is the order of the
// grants. Requests that are found do not count as ahead of later ones.
std::vector<unservable_request>
find_unservable(const std::vector<const queued_request*>& ordered,
                const group_capacity& capacity,
                instant now);

// True if no request can be unservable, because even one behind `waiting` others would not expire
// before its turn. Cheaper than find_unservable().
bool
all_servable(std::size_t waiting,
             instant earliest_expiry,
             const group_capacity& capacity,
             instant now);

// Adds up to half of the time, dependent on the request's number, so that callers that were refused
// together do not return together.
duration
spread_retry(duration retry_after, request_number number);

}
