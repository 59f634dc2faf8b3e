#pragma once

#include "StandIns/standin_backend_log.h"

#include <boost/json/array.hpp>

#include <chrono>
#include <string>
#include <vector>

namespace persimmonshelf {

// Checks the form of a statement; returns the reason if it is malformed, or if it changes data and
// `write` is false.
std::string
check_statement(const std::string& text, bool write);

// How long a well-formed statement holds its slot on top of the member's delay: the time of "SLEEP
// ms", else zero.
std::chrono::milliseconds
sleep_duration(const std::string& text);

struct standin_statement_outcome
{
  boost::json::array rows;
  // Not empty if the statement cannot run, such as an ADD to a value that is no number.
  std::string error;
};

// Runs a well-formed statement on the log's values with `pending` on top, and adds its change to
// `pending`.
standin_statement_outcome
standin_statement_run(const std::string& text,
                      const standin_log& log,
                      std::vector<standin_change>& pending);

}
