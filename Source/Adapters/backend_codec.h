#pragma once

#include "Engine/backend_connection.h"
#include "Net/http_types.h"

#include <string>

namespace persimmonshelf {

// Encodes a message to a backend server as an HTTP request.
http_request
encode_backend_message(const backend_message& message);

// Decodes the HTTP response to `message`. Returns monostate if the response is not valid for it.
backend_reply
decode_backend_reply(const backend_message& message, const http_response& response);

}
