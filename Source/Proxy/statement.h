#pragma once

#include "Base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

enum class statement_kind : std::uint8_t
{
  begin,
  begin_read,
  commit,
  rollback,
  read,
  write,
  set,
  prepare,
  execute,
  deallocate,
  malformed,
};

// One statement of a caller. Reads, writes and commits travel to the member with `text` unchanged.
struct statement
{
  std::string id;
  statement_kind kind = statement_kind::malformed;
  // As the caller sent it.
  std::string text;
  // Setting's name, or the caller's name of a prepared statement.
  std::string name;
  // Setting's value, a prepared statement's shape, or the arguments of an execution.
  std::string argument;
  // Of a prepared statement: true if it writes.
  bool writes = false;
};

// Transaction state of a connection after an answer.
enum class transaction_state : std::uint8_t
{
  idle,
  open,
  failed,
};

// What an error says of the statement. The first group promises that nothing of the caller's
// attempt is kept; see keeps_nothing().
enum class statement_error : std::uint8_t
{
  busy,
  aborted,
  lagging,
  read_only,
  misrouted,
  too_many,

  // Ran and failed, or its answer was lost and it only reads.
  failed,
  timed_out,
  outcome_unknown,

  unknown_database,
  unknown_key,
  malformed,
  unknown_statement,
  // A code that this version does not know; it promises nothing.
  other,
};

// Name in logs.
std::string_view
name_of(statement_error error);

// True if the error tells the caller that nothing of its attempt is kept.
bool
leaves_no_effect(statement_error error);

// True if a member that answers with this error has not run the statement.
bool
has_not_run(statement_error error);

// Whole answer to one statement, from a member or from the proxy itself.
struct statement_answer
{
  std::vector<std::string> rows;
  // Set if the statement failed.
  std::optional<statement_error> error;
  std::string error_text;
  // Member's signature, or "-" for an answer of the proxy.
  std::string signature = "-";
  transaction_state state = transaction_state::idle;
  std::optional<log_point> position;
};

}
