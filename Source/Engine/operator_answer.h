#pragma once

#include "Base/error.h"

#include <boost/json/object.hpp>

#include <string>

namespace persimmonshelf {

struct operator_answer
{
  unsigned status = 200;
  std::string body;
};

// JSON answer with the code, its name and a message beside the fields of `body`.
operator_answer
encode_operator_answer(result_code code,
                       const std::string& message,
                       boost::json::object body = {},
                       unsigned status = 200);

operator_answer
encode_operator_error(const error& failure);

}
