#pragma once

#include "Home/home_types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace persimmonshelf {

// Connections of one member: opens them up to a cap, keeps them open, and hands out only those
// whose last answer was whole and on time. It decides when the member counts as down.
class backend_pool
{
public:
  struct options
  {
    // Most connections open or opening at a time.
    std::size_t max_connections = 16;
    // Connections kept open; a statement then does not wait for a connection to open.
    std::size_t target_connections = 4;
    duration connect_timeout = std::chrono::seconds(1);
    // An idle connection is probed after this time, so that a silent one is found before a
    // statement is sent on it.
    duration probe_idle_after = std::chrono::seconds(2);
    duration probe_timeout = std::chrono::milliseconds(500);
    // Wait before the next attempt after a failed one; doubles up to the limit.
    duration min_reopen_delay = std::chrono::milliseconds(50);
    duration max_reopen_delay = std::chrono::seconds(1);
  };

  struct hooks
  {
    std::function<void(connection_number)> open;
    std::function<void(connection_number)> close;
    // Sends a status request with a deadline; its end is reported with `probe_ended`.
    std::function<void(connection_number)> probe;
  };

  // Why a connection is closed. After `silent` the other idle connections are probed before use.
  enum class fault
  {
    none,
    broken,
    unresponsive,
  };

  backend_pool(options settings, hooks calls);

  // Takes the idle connection that was used last; none if no connection may be used.
  std::optional<connection_number> acquire();
  bool has_idle() const;

  // Returns a connection whose last answer was whole, on time and of the right request.
  void release(connection_number number, instant now);

  // Closes a connection that must not be used again. A number that is not open is ignored.
  void discard(connection_number number, fault reason, instant now);

  void connected(connection_number number, bool ok, instant now);
  // True if the connection waits for the answer to a probe.
  bool is_probing(connection_number number) const;
  void probe_ended(connection_number number, bool ok, instant now);

  // Opens missing connections, probes idle ones and ends overdue attempts and probes.
  void tick(instant now);

  // Takes effect on idle connections at once; connections are opened again at the next tick.
  void set_leaving(bool leaving);
  void resize(std::size_t cap, std::size_t kept_open, instant now);

  // True after a fresh connection failed and no other connection answered since.
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
    // Start of the present state.
    instant state_since;
    // True until the first whole answer.
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
  // Set by a failure, cleared by the next whole answer. While it is set, new connections are opened
  // one at a time and probed before use.
  bool probe_before_use_ = false;
  // True if a fresh connection failed since the last whole answer.
  bool new_connection_failed_ = false;
  bool down_ = false;
  instant next_open_;
  duration reopen_delay_{ 0 };
};

}
