#pragma once

#include "Base/error.h"

#include <boost/json/object.hpp>

#include <string>

namespace persimmonshelf {

// HTTP response to an operator's command.
struct operator_answer
{
  unsigned status = 200;
  std::string body;
};

// Returns a JSON response that contains the fields of `body` and the code, its name and the
// message.
operator_answer
encode_operator_answer(result_code code,
                       const std::string& message,
                       boost::json::object body = {},
                       unsigned status = 200);

operator_answer
encode_operator_error(const error& failure);

}
