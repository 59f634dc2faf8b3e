#pragma once

#include "Engine/backend_connection.h"
#include "Net/http_types.h"

#include <string>

namespace persimmonshelf {

// HTTP form of a message to a backend server.
http_request
encode_backend_message(const backend_message& message);

// Understands the answer to `message`; monostate if it is not a valid answer to it.
backend_reply
decode_backend_reply(const backend_message& message, const http_response& response);

}
