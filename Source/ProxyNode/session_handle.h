#pragma once

#include "Base/instant.h"

#include <functional>
#include <string_view>

namespace persimmonshelf {

// Where the messages of a caller's connection go: to a session that runs here, or to the carrier
// that runs it.
struct session_handle
{
  // True if the session runs on this instance.
  bool local = false;
  // A message of the caller, without its end of line.
  std::function<void(std::string_view line)> handle_line;
  std::function<void(instant now)> tick;
  // True if no statement is in flight and no transaction is open.
  std::function<bool()> idle;
  // True if no statement is in flight.
  std::function<bool()> between_statements;
  // The caller left or is sent away: gives back what the session holds.
  std::function<void()> disconnect;
};

// Where a session's messages to its caller go.
struct caller_output
{
  // Messages, each with its end of line.
  std::function<void(std::string_view text)> write;
  // Nothing more will be written: closes after what was written has been sent.
  std::function<void()> finish;
};

}
