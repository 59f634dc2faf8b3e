#pragma once

#include "Base/error.h"
#include "Entry/caller_request.h"
#include "Net/http_types.h"

namespace persimmonshelf {

// Translates a caller's HTTP request. Errors are bad_request and name the field; they never contain
// the key.
result<caller_request>
decode_caller_request(const http_request& request);

// Translates an answer; every code has a fixed HTTP status.
http_response
encode_caller_answer(const caller_answer& answer);

// Answer that refuses a request before it was run.
caller_answer
make_not_run_answer(result_code code, std::string message);

}
