#pragma once

#include "Base/digest.h"
#include "Base/ids.h"
#include "Base/instant.h"
#include "Base/result_code.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmonshelf {

// Identifies one connection to a member. A member home never reuses a number.
using connection_number = strong<struct connection_tag, std::uint64_t>;

// Kind of a request. `probe` is internal to the member home and the backend adapter: it requests
// the status of the member to check that an idle connection still answers.
enum class operation : std::uint8_t
{
  statement,
  begin,
  commit,
  rollback,
  probe,
};

// A request forwarded to the home of a member, which is the instance that owns the queue and the
// connections of the member. `text` is opaque to the home.
struct home_request
{
  request_id id;
  workspace_id workspace;
  operation kind = operation::statement;
  bool write = false;
  bool idempotent = false;
  std::string text;
  // By the clock of this process. The request is not sent at or after this time.
  instant expires;
  // Empty outside a transaction.
  transaction_id transaction;
  // All zero on routes that require no key.
  sha256_digest key_digest{};
  std::string traceparent;
  bool needs_primary = false;
  // A read must see the log up to this point; not limited if empty.
  std::optional<log_point> min_log_point;
  // Maximum age of the data that a read returns; zero means no limit.
  duration max_age{ 0 };
};

// The final result of the request with the same id.
struct home_answer
{
  request_id id;
  result_code code = result_code::internal_error;
  run_outcome outcome = run_outcome::unknown;
  std::string message;
  std::string rows;
  // Log point at which the statement ran. For a write of unknown outcome: the term in which it was
  // sent, and the position if the member reported one.
  log_point point;
  // True if the outcome of a write is unknown and the write may still appear in the log.
  bool write_pending = false;
  transaction_id transaction;
  duration queue_time{ 0 };
  duration backend_time{ 0 };
  duration replication_time{ 0 };
};

// A request as the backend adapter sends it, without workspace and key digest.
struct backend_request
{
  request_id id;
  // Term in which the request may run; zero for a read that any member may answer.
  term in_term;
  bool write = false;
  std::string text;
  operation kind = operation::statement;
  duration timeout{ 0 };
  std::string traceparent;
};

// A complete answer of a backend server. `code` is ok, statement_failed, backend_busy,
// backend_wrong_term or backend_not_primary; any other code counts as a malformed answer.
struct backend_answer
{
  request_id id;
  result_code code = result_code::internal_error;
  std::string rows;
  log_point point;
};

}
