#pragma once

#include "Base/digest.h"
#include "Base/ids.h"
#include "Base/instant.h"
#include "Base/result_code.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmonshelf {

// Number of one connection to a member; a home never uses a number twice.
using connection_number = strong<struct connection_tag, std::uint64_t>;

// What a request does. `probe` is used between home and backend adapter only: it asks for the
// member's status to learn whether an idle connection still answers.
enum class operation : std::uint8_t
{
  statement,
  begin,
  commit,
  rollback,
  probe,
};

// A request forwarded to the home of a member. `text` is opaque to the home.
struct home_request
{
  request_id id;
  workspace_id workspace;
  operation kind = operation::statement;
  bool write = false;
  bool idempotent = false;
  std::string text;
  // On this process's clock; the request is not sent at or after this time.
  instant expires;
  // Empty outside a transaction.
  transaction_id transaction;
  // All zero on routes that are open to all.
  sha256_digest key_digest{};
  std::string traceparent;
  bool needs_primary = false;
  std::optional<log_point> min_log_point;
  // Zero stands for no limit.
  duration max_age{ 0 };
};

// The end of a request. `id` is the id of the request that it answers.
struct home_answer
{
  request_id id;
  result_code code = result_code::internal_error;
  run_outcome outcome = run_outcome::unknown;
  std::string message;
  std::string rows;
  // Where the statement ran; for an unknown write the term it was sent in, with the position if the
  // member reported one.
  log_point point;
  // True if a write of unknown outcome may still appear in the log.
  bool write_pending = false;
  transaction_id transaction;
  duration queue_time{ 0 };
  duration backend_time{ 0 };
  duration replication_time{ 0 };
};

// A request as the backend adapter sends it. It carries no workspace and no key digest.
struct backend_request
{
  request_id id;
  // Zero for a read that any member may answer.
  term in_term;
  bool write = false;
  std::string text;
  operation kind = operation::statement;
  duration timeout{ 0 };
  std::string traceparent;
};

// A whole answer of a backend server. `code` is ok, statement_failed, backend_busy,
// backend_wrong_term or backend_not_primary; any other code counts as a damaged answer.
struct backend_answer
{
  request_id id;
  result_code code = result_code::internal_error;
  std::string rows;
  log_point point;
};

}
