#pragma once

#include "Base/fair_share.h"
#include "Scheduling/scheduling_types.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace persimmonshelf {

// At least one of so many grants goes to a lower class while one waits, so that every class makes
// progress and the most urgent one keeps seven eighths of the connections.
inline constexpr std::size_t lower_class_interval = 8;

// The requests of one group that wait for a connection, in the order in which they should get one:
// by class, within a class by the workspaces' shares of connection time (start-time fair queueing)
// where these differ by more than a tolerance, otherwise by target time. With one class and one
// workspace, the order is that of the target times. Transactions that hold a connection are not in
// the queue.
class waiting_queue
{
public:
  // Requests of one class and workspace that the same connections can serve. If the first cannot
  // get a connection, neither can the others.
  struct waiting_lane
  {
    // Unique in the queue and never used again.
    std::uint64_t number = 0;
    request_number first;
    // Arrival of the request that has waited longest.
    instant oldest_arrival{};
  };

  // The number of the request must be new.
  void push(queued_request request);

  // Removes a request that was cancelled or refused. Does nothing if it does not wait.
  void remove(request_number number);

  // The lanes in the order in which their first requests should get a connection.
  std::vector<waiting_lane> lanes(instant now);

  // Removes the request and charges its workspace for the connection from now on. Does nothing if
  // it does not wait.
  void begin_use(request_number number, connection_number connection, instant now);

  // The connection is no longer used. `measured` is false if no statement ran on it. Does nothing
  // if the connection was not in use.
  void end_use(connection_number connection, bool measured, instant now);

  // The requests in the order in which they should be granted if no other arrives. The pointers are
  // valid until the queue changes.
  std::vector<const queued_request*> expected_order() const;

  // Null if the request does not wait.
  const queued_request* find(request_number number) const;
  const std::map<request_number, queued_request>& requests() const { return requests_; }
  bool empty() const { return requests_.empty(); }
  // Number of the waiting requests of each class.
  std::map<request_class, std::size_t> count_by_class() const;

private:
  struct lane_entry
  {
    instant target;
    request_number number;
    instant arrived;

    friend auto operator<=>(const lane_entry&, const lane_entry&) = default;
  };
  struct lane_entries
  {
    std::uint64_t number = 0;
    std::set<lane_entry> entries;
  };
  // One workspace in one class.
  struct flow
  {
    fair_share share;
    std::map<connection_requirement, lane_entries> lanes;
  };
  struct class_state
  {
    std::map<workspace_id, flow> flows;
    double virtual_time_us = 0;
    std::size_t waiting = 0;
    std::size_t in_use = 0;
    // Grants to more urgent classes since the last one to this class.
    std::size_t passed_over = 0;
  };
  struct connection_use
  {
    request_class priority;
    workspace_id workspace;
    instant since;
  };

  bool lower_class_is_due() const;
  std::vector<class_state*> classes_in_order();
  void count_grant(const request_class& granted);
  void remove_if_idle(const request_class& priority);

  std::map<request_number, queued_request> requests_;
  std::map<request_class, class_state> classes_;
  std::map<connection_number, connection_use> uses_;
  // Grants that passed over a waiting lower class since the last one to such a class.
  std::size_t passing_grants_ = 0;
  std::uint64_t last_lane_ = 0;
};

}
