#pragma once

#include "Base/result_code.h"

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace persimmonshelf {

// An error: its result code and a message that states the invalid value and where it was found.
struct error
{
  result_code code = result_code::internal_error;
  std::string message;
};

// A value or an error. Access to the one that is absent terminates the process.
template<typename value>
using result = boost::outcome_v2::result<value, error, boost::outcome_v2::policy::terminate>;

// Converts to a failed result of any value type.
inline auto
fail(result_code code, std::string message)
{
  return boost::outcome_v2::failure(error{ code, std::move(message) });
}

// Converts to a successful result<void>.
inline auto
success()
{
  return boost::outcome_v2::success();
}

}
