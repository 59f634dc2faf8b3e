#pragma once

#include "Proxy/caller_session.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Runs one session from the messages of its caller: the first one begins it, the others are its
// statements, one at a time. Does not know how messages travel.
class session_driver
{
public:
  struct handlers
  {
    // Hooks for the session; the answer hook is set by the driver.
    std::function<session_hooks()> make_session_hooks;
    // False while no configuration is known: the session then waits to begin.
    std::function<bool()> can_begin;
    // True while this instance knows an older configuration than the caller has seen the effects
    // of.
    std::function<bool()> configuration_outdated;
    // Messages to the caller, each with its end of line.
    std::function<void(std::string_view)> write;
    // Nothing more will be written: closes after what was written has been sent.
    std::function<void()> finish;
    // Reports each answered statement and the time it took.
    std::function<void(const statement_answer&, duration)> statement_answered;
  };

  static std::shared_ptr<session_driver> create(handlers callbacks);

  // A message of the caller, without its end of line.
  void handle_line(std::string_view line);
  void tick(instant now);

  // True if no statement is in flight and no transaction is open.
  bool idle() const;
  // True if no statement is in flight.
  bool between_statements() const;

  // The caller left or is sent away: gives back what the session holds.
  void disconnect();

private:
  explicit session_driver(handlers callbacks);
  void start_session();
  void run_next_statement();
  bool wait_for_configuration();
  void answer(const statement_answer& reply);
  void finish();

  handlers handlers_;
  // The answer hook of the session holds a weak pointer to this.
  std::weak_ptr<session_driver> self_;
  std::unique_ptr<caller_session> session_;
  // First message of a session that waits to begin, and since when.
  std::optional<std::string> first_line_;
  instant first_line_received_at_{};
  std::deque<std::string> queued_lines_;
  // Since when the next statement waits for a newer configuration.
  std::optional<instant> configuration_wait_since_;
  instant statement_began_at_{};
  bool dispatching_ = false;
  bool closed_ = false;
};

}
