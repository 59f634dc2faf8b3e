#pragma once

#include "Home/home_types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace persimmonshelf {

// Connection pool of one member. Opens connections up to a limit, keeps them open, and hands out
// only those whose last answer was valid and on time. Decides when the member counts as down.
class backend_pool
{
public:
  struct options
  {
    // Maximum number of connections, including those being opened.
    std::size_t max_connections = 16;
    // Number of connections kept open in advance, so that a statement rarely waits for a connection
    // to open.
    std::size_t target_connections = 4;
    duration connect_timeout = std::chrono::seconds(1);
    // An idle connection is probed after this time, so that an unresponsive one is detected before
    // a statement is sent on it.
    duration probe_idle_after = std::chrono::seconds(2);
    duration probe_timeout = std::chrono::milliseconds(500);
    // Delay after a failed connection attempt; doubles with each failure up to the maximum.
    duration min_reopen_delay = std::chrono::milliseconds(50);
    duration max_reopen_delay = std::chrono::seconds(1);
  };

  struct hooks
  {
    std::function<void(connection_number)> open;
    std::function<void(connection_number)> close;
    // Sends a status request; the result is reported with `probe_ended`.
    std::function<void(connection_number)> probe;
  };

  // Why a connection is closed. After `unresponsive` all idle connections are probed before use.
  enum class fault
  {
    none,
    broken,
    unresponsive,
  };

  backend_pool(options pool_options, hooks pool_hooks);

  // Takes the most recently used idle connection; none if no connection is available.
  std::optional<connection_number> acquire();
  bool has_idle() const;

  // Returns a connection whose last answer was valid, on time and for the right request.
  void release(connection_number number, instant now);

  // Closes a connection that must not be used again. An unknown number is ignored.
  void discard(connection_number number, fault reason, instant now);

  void connected(connection_number number, bool ok, instant now);
  // True while a probe on the connection is unanswered.
  bool is_probing(connection_number number) const;
  void probe_ended(connection_number number, bool ok, instant now);

  // Opens missing connections, probes idle ones, and fails overdue connection attempts and probes.
  void tick(instant now);

  // While the member is leaving, the pool has no idle connections and opens none. Idle connections
  // are closed at once; after `set_leaving(false)` connections are reopened at the next tick.
  void set_leaving(bool leaving);
  void resize(std::size_t max_connections, std::size_t target_connections, instant now);

  // True after a new connection failed and until a connection answers again.
  bool down() const { return down_; }
  std::size_t size() const { return connections_.size(); }
  bool contains(connection_number number) const { return connections_.contains(number); }

private:
  enum class connection_state
  {
    opening,
    idle,
    busy,
    probing,
  };

  struct connection
  {
    connection_state state = connection_state::opening;
    instant state_since;
    // True until the first valid answer.
    bool unverified = true;
  };

  std::size_t count(connection_state wanted) const;
  void open_missing(instant now);
  void probe(connection_number number, connection& target, instant now);
  void probe_idle_connections(instant now);
  void mark_up();
  void record_failed_attempt(instant now);
  void update_down();
  void close_excess();

  options options_;
  hooks hooks_;
  std::map<connection_number, connection> connections_;
  std::uint64_t last_number_ = 0;
  bool leaving_ = false;
  // Set by a failure, cleared by the next valid answer. While set, new connections are opened one
  // at a time and probed before use.
  bool probe_before_use_ = false;
  // True if a new connection failed since the last valid answer.
  bool new_connection_failed_ = false;
  bool down_ = false;
  instant next_open_;
  duration reopen_delay_{ 0 };
};

}
