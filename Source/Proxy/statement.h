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

// One statement of a caller. The text of reads, writes and commits is sent to the member unchanged.
struct statement
{
  std::string id;
  statement_kind kind = statement_kind::malformed;
  // Text as the caller sent it.
  std::string text;
  // Name of a setting, or the caller's name of a prepared statement.
  std::string name;
  // Value of a setting, shape of a prepared statement, or arguments of an execution.
  std::string argument;
  // For a prepared statement: true if it writes.
  bool writes = false;
};

// Transaction state of a connection after an answer.
enum class transaction_state : std::uint8_t
{
  idle,
  open,
  failed,
};

// Error of a statement. The first group guarantees that the caller's attempt left no effect; see
// leaves_no_effect().
enum class statement_error : std::uint8_t
{
  busy,
  aborted,
  lagging,
  read_only,
  misrouted,
  too_many,

  // The statement ran and failed, or it was a read whose answer was lost.
  failed,
  timed_out,
  outcome_unknown,

  unknown_database,
  unknown_key,
  malformed,
  unknown_statement,
  // A code unknown to this version; it guarantees nothing.
  other,
};

// Name of the error in logs.
std::string_view
name_of(statement_error error);

// True if the error guarantees to the caller that its attempt left no effect.
bool
leaves_no_effect(statement_error error);

// True if a member that answers with this error did not run the statement.
bool
has_not_run(statement_error error);

// The start of a text, for errors and logs. Limits how much of a caller's text they repeat.
std::string
quote(const std::string& text);

// Complete answer to one statement, from a member or from the proxy itself.
struct statement_answer
{
  std::vector<std::string> rows;
  // Set if the statement failed.
  std::optional<statement_error> error;
  std::string error_text;
  // The member's signature, or "-" for an answer of the proxy.
  std::string signature = "-";
  transaction_state state = transaction_state::idle;
  std::optional<log_point> position;
};

}
