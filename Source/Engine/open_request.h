#pragma once

#include "Engine/entry_service.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// State of a caller's request from its arrival to its answer.
struct entry_service::open_request
{
  caller_request request;
  respond reply;
  workspace_id workspace;
  sha256_digest key_digest{};
  bool has_key = false;
  session_state session;
  std::optional<instance_id> owner;
  instant started;
  instant deadline;
  // Destination of the current attempt.
  instance_id home;
  incarnation_id home_incarnation;
  std::optional<request_id> attempt;
  std::optional<wire::forward_answer> answer;
  std::vector<trace_span> spans;
  std::string trace_id;
  instant sent;
  bool dispatched = false;
  bool admitted = false;
};

// Formats a number as 16 hexadecimal digits, for the ids of requests and traces.
std::string
hex(std::uint64_t number);
}
