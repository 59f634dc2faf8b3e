#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace persimmonshelf {

// One HTTP request as the adapters see it; only the headers that this project uses are kept.
struct http_request
{
  std::string method;
  std::string target;
  std::string authorization;
  std::string traceparent;
  std::string body;
  bool keep_alive = true;
  // Further headers of a request that this process sends.
  std::vector<std::pair<std::string, std::string>> headers{};
};

struct http_response
{
  unsigned status = 200;
  std::string body;
  std::string content_type = "application/json";
  // Closes the connection after this response.
  bool close = false;
};

// Identifies one accepted connection for the life of the server.
using accepted_number = std::uint64_t;

}
