#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace persimmonshelf {

// An HTTP request, sent or received. Of the received headers, only those that this project uses are
// kept.
struct http_request
{
  std::string method;
  std::string target;
  std::string authorization;
  std::string traceparent;
  std::string body;
  bool keep_alive = true;
  // Additional headers of a request to send; empty for received requests.
  std::vector<std::pair<std::string, std::string>> headers{};
  // Name of the header of the response to keep; empty for none.
  std::string kept_header{};
};

struct http_response
{
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  // The connection closes after this response.
  bool close = false;
  // Value of the header that the request named; empty if the response has none.
  std::string kept_header{};
};

// Identifies an accepted connection; not reused during the lifetime of the server.
using accepted_number = std::uint64_t;

}
