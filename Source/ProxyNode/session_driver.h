#pragma once

#include "Proxy/caller_session.h"
#include "Resources/memory_budget.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Runs one session from the messages of its caller. The first message begins the session and the
// others are its statements, which run one at a time. Independent of how messages are transported.
class session_driver
{
public:
  struct handlers
  {
    // Returns the hooks for the session. The driver replaces the answer hook.
    std::function<session_hooks()> make_session_hooks;
    // Returns false while no configuration is known. The session then waits to begin.
    std::function<bool()> can_begin;
    // Returns true while this instance has an older configuration than one whose effects the caller
    // may have seen.
    std::function<bool()> configuration_outdated;
    // Writes messages to the caller, each with its end of line.
    std::function<void(std::string_view)> write;
    // Nothing more will be written. The caller's connection closes after pending writes.
    std::function<void()> finish;
    // Reports each answered statement and the time it took.
    std::function<void(const statement_answer&, duration)> statement_answered;
    // Opens the account for the bytes that the session holds. Optional.
    std::function<memory_budget::account(std::function<void()> end)> open_account = {};
  };

  static std::shared_ptr<session_driver> create(handlers callbacks);

  // Handles a message of the caller, without its end of line.
  void handle_line(std::string_view line);
  void tick(instant now);

  // True if no statement is in flight and no transaction is open.
  bool idle() const;
  // True if no statement is in flight.
  bool between_statements() const;

  // Answers the statement in flight with what is known about it, and refuses those that wait.
  void give_up();

  // The caller disconnected or the session is closed here: releases what the session holds.
  void disconnect();

private:
  explicit session_driver(handlers callbacks);
  void start_session();
  void run_next_statement();
  bool wait_for_configuration();
  void answer(const statement_answer& reply);
  void finish();
  void update_account();

  handlers handlers_;
  // The session's answer hook holds a weak pointer to this object.
  std::weak_ptr<session_driver> self_;
  std::unique_ptr<caller_session> session_;
  // First message of a session that has not begun yet, and when it was received.
  std::optional<std::string> first_line_;
  instant first_line_received_at_{};
  std::deque<std::string> queued_lines_;
  memory_budget::account account_;
  std::size_t queued_bytes_ = 0;
  // Size of the message in progress.
  std::size_t active_bytes_ = 0;
  // When the next statement began to wait for a newer configuration.
  std::optional<instant> configuration_wait_since_;
  instant statement_began_at_{};
  bool dispatching_ = false;
  bool closed_ = false;
};

}
