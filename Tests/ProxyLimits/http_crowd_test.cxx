#include "client_crowd.h"
#include "messages.h"

#include <doctest/doctest.h>

using namespace persimmonshelf;

// Guards against clients of the HTTP listeners that use up the memory or the descriptors of an
// instance, with the same behaviours as the callers' crowds.

namespace {

using listener = proxy_fleet::listener;

const std::vector<listener> http_listeners{ listener::readiness,
                                            listener::metrics,
                                            listener::peers };
constexpr std::size_t body_size = 1 << 20;

// A request with a body of the stated size, of which `sent` bytes are sent.
std::string
request_with_body(std::size_t stated, std::size_t sent)
{
  return "POST /metrics HTTP/1.1\r\nHost: test\r\nContent-Length: " + std::to_string(stated) +
         "\r\n\r\n" + std::string(sent, 'x');
}

}

// 300 clients with three requests of 1 MiB each.
TEST_CASE("HTTP clients that send many large requests in one piece")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(
    *fleet, http_listeners, 100, { .text = repeated(request_with_body(body_size, body_size), 3) });
}

// 300 clients with one request of 1 MiB each.
TEST_CASE("HTTP clients that send large requests in small pieces")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(*fleet,
              http_listeners,
              100,
              { .text = request_with_body(body_size, body_size), .piece = 1000 });
}

// 150 clients, half of whose requests state a length above the limit of the body; the others have
// a header that does not end.
TEST_CASE("HTTP clients that send requests far larger than the limit")
{
  const auto fleet = proxy_fleet::create_single();
  const std::string endless_header = "GET /" + std::string(8 * body_size, 'x');
  check_crowd(
    *fleet, http_listeners, 25, { .text = request_with_body(8 * body_size, 8 * body_size) });
  check_crowd(*fleet, http_listeners, 25, { .text = endless_header });
}

// 150 clients with 5,000 requests each.
TEST_CASE("HTTP clients that send ahead and do not read the answers")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(
    *fleet,
    http_listeners,
    50,
    { .text = repeated("GET /metrics HTTP/1.1\r\nHost: test\r\n\r\n", 5000), .reads = false });
}

// 300 clients with 1 MB each of a body that does not end.
TEST_CASE("HTTP clients that stop in the middle of a request")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(*fleet, http_listeners, 100, { .text = request_with_body(body_size, 1'000'000) });
}

// 720 connections with a part of a header.
TEST_CASE("HTTP connections that never complete a header")
{
  const auto fleet = proxy_fleet::create_single();
  check_crowd(*fleet, http_listeners, 240, { .text = "GET /metrics HT" });
}
