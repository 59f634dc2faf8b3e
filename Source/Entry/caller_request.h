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

// One request as a caller sent it, before any check but its syntax.
struct caller_request
{
  route_id route;
  // The presented workspace key; empty if none came. Never copied beyond the admission check.
  std::string key;
  caller_operation operation = caller_operation::statement;
  database_id database;
  std::string statement;
  bool write = false;
  // Session token of the caller; empty for a new session.
  std::string session;
  // Oldest data that a read accepts; the database's default if empty.
  std::optional<duration> max_age;
  // Time that the caller waits; the fleet's default if empty.
  std::optional<duration> deadline;
  bool idempotent = false;
  transaction_id transaction;
  // The caller lost an answer of this session, so a read must see a write it does not know of.
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
  // A position of the session token was discarded by a change of primary.
  bool session_discarded = false;
  bool from_replica = false;
};

}
