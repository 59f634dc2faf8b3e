#pragma once

#include "Base/ids.h"
#include "Base/instant.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace persimmonshelf {

// One step of a request. Times are on the clock of the instance that records the trace.
struct trace_span
{
  std::string operation;
  std::string instance;
  instant start;
  duration length{};
  std::vector<std::pair<std::string, std::string>> tags;
};

struct request_trace
{
  // 32 hexadecimal digits, from the caller's traceparent header if there is one.
  std::string trace_id;
  std::vector<trace_span> spans;
};

// Keeps the traces of the most recent caller requests of this instance. If it is full, the oldest
// trace is dropped.
class trace_store
{
public:
  explicit trace_store(std::size_t capacity);

  void add(const request_id& request, request_trace trace);
  const request_trace* find(const request_id& request) const;

private:
  std::size_t capacity_;
  std::deque<request_id> order_;
  std::unordered_map<request_id, request_trace> traces_;
};

// Returns the trace id of a W3C traceparent header, or an empty string if the header is malformed.
std::string
parse_trace_id(const std::string& traceparent);

// Formats a trace as JSON like the mock tracer of OpenTracing: a list of spans with operation,
// start, duration and tags.
std::string
to_json(const request_id& request, const request_trace& trace);

}
