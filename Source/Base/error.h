#pragma once

#include "Base/result_code.h"

#include <boost/outcome/outcome.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace persimmonshelf {

// A failure with its numbered code and a message that names the value and the place.
struct error
{
  result_code code = result_code::internal_error;
  std::string message;
};

template<typename value>
using result = boost::outcome_v2::result<value, error, boost::outcome_v2::policy::terminate>;

// A failed result of any value type.
inline auto
fail(result_code code, std::string message)
{
  return boost::outcome_v2::failure(error{ code, std::move(message) });
}

inline auto
success()
{
  return boost::outcome_v2::success();
}

}
