#pragma once

#include "StandIns/standin_backend_log.h"

#include <boost/json/array.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace persimmonshelf {

// Checks the syntax of a statement. Returns an error message if it is malformed, or if it changes
// data and `write` is false; otherwise returns an empty string.
std::string
check_statement(const std::string& text, bool write);

// Time for which a well-formed statement holds its slot in addition to the member's statement
// delay: the operand of "SLEEP ms", zero for every other statement.
std::chrono::milliseconds
sleep_duration(const std::string& text);

struct standin_statement_outcome
{
  boost::json::array rows;
  // Error message if the statement cannot be executed, such as an ADD to a value that is not an
  // integer; otherwise empty.
  std::string error;
};

// Executes a well-formed statement on the state of the log with `pending` applied, and appends its
// change to `pending`.
standin_statement_outcome
standin_statement_run(const std::string& text,
                      const standin_log& log,
                      std::vector<standin_change>& pending);

}
