#include "Engine/operator_answer.h"

#include <boost/json/serialize.hpp>

namespace persimmonshelf {

namespace json = boost::json;

operator_answer
encode_operator_answer(result_code code,
                       const std::string& message,
                       json::object body,
                       unsigned status)
{
  body["code"] = static_cast<unsigned>(code);
  body["name"] = name_of(code);
  body["message"] = message;
  return { status, json::serialize(body) };
}

operator_answer
encode_operator_error(const error& failure)
{
  const bool unavailable = failure.code == result_code::platform_unavailable;
  return encode_operator_answer(failure.code, failure.message, {}, unavailable ? 503 : 400);
}

}
