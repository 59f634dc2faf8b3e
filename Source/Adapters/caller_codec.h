#pragma once

#include "Base/error.h"
#include "Entry/caller_request.h"
#include "Net/http_types.h"

namespace persimmonshelf {

// Decodes a caller's HTTP request. Fails with bad_request; the message names the invalid field and
// never contains the workspace key.
result<caller_request>
decode_caller_request(const http_request& request);

// Encodes an answer as an HTTP response. The HTTP status is determined by the outcome and code.
http_response
encode_caller_answer(const caller_answer& answer);

// Creates the answer to a request that was rejected before it ran.
caller_answer
make_not_run_answer(result_code code, std::string message);

}
