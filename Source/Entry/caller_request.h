#pragma once

#include "Base/ids.h"
#include "Base/instant.h"
#include "Base/result_code.h"

#include <chrono>
#include <optional>
#include <string>

namespace persimmonshelf {

enum class caller_operation : std::uint8_t
{
  statement,
  begin,
  commit,
  rollback,
};

// A request as a caller sent it. Only its syntax has been checked.
struct caller_request
{
  route_id route;
  // Workspace key of the caller; empty if none was sent. Not copied past the admission check.
  std::string key;
  caller_operation operation = caller_operation::statement;
  database_id database;
  std::string statement;
  bool write = false;
  // Session token; empty for a new session.
  std::string session;
  // Maximum age of the data that a read returns; the default of the database if empty.
  std::optional<duration> max_age;
  // Time limit for the answer; the default of the fleet if empty.
  std::optional<duration> deadline;
  bool idempotent = false;
  transaction_id transaction;
  // The caller did not receive an earlier answer of this session. A read must then also see writes
  // that are missing from the session token.
  bool after_lost_answer = false;
  std::string traceparent;
};

struct caller_answer
{
  result_code code = result_code::internal_error;
  run_outcome outcome = run_outcome::unknown;
  std::string message;
  // JSON text of the rows; empty if there are none.
  std::string rows;
  std::string session;
  request_id request;
  transaction_id transaction;
  std::string trace;
  // A position in the session token was discarded by a change of primary.
  bool session_discarded = false;
  bool from_replica = false;
};

}
