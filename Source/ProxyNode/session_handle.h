#pragma once

#include "Base/instant.h"

#include <functional>
#include <string_view>

namespace persimmonshelf {

// Receives the messages of a caller's connection for a session that runs here or on a carrier.
struct session_handle
{
  // True if the session runs on this instance.
  bool local = false;
  // Handles a message of the caller, without its end of line.
  std::function<void(std::string_view line)> handle_line;
  std::function<void(instant now)> tick;
  // True if no statement is in flight and no transaction is open.
  std::function<bool()> idle;
  // True if no statement is in flight.
  std::function<bool()> between_statements;
  // The caller disconnected or the session is closed here: releases what the session holds.
  std::function<void()> disconnect;
  // Answers the statements in flight at once, with what is known about them. Optional.
  std::function<void()> give_up = {};
  // True if the session should run elsewhere: once idle, its caller should reconnect. Optional.
  std::function<bool(instant now)> should_move = {};
};

// Receives a session's messages to its caller.
struct caller_output
{
  // Writes messages, each with its end of line.
  std::function<void(std::string_view text)> write;
  // Nothing more will be written. The caller's connection closes after pending writes.
  std::function<void()> finish;
  // Ends the session and its connection at once because of the memory that it holds. Pending writes
  // are dropped. Optional.
  std::function<void()> abort = {};
};

}
