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

// One hop of a request. Times are on the recording instance's clock.
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
  // 32 hexadecimal digits, taken over from the caller's traceparent if it sent one.
  std::string trace_id;
  std::vector<trace_span> spans;
};

// The traces of the last requests that this instance took from callers. Bounded; the oldest trace
// is forgotten first.
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

// Trace id of a W3C traceparent header; empty if the header is malformed.
std::string
parse_trace_id(const std::string& traceparent);

// JSON of a trace in the form of OpenTracing's mock tracer: a list of spans with operation, start,
// duration and tags.
std::string
to_json(const request_id& request, const request_trace& trace);

}
