#include "Engine/trace_store.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

// Layout of a traceparent header of version 00, in characters.
constexpr std::size_t trace_id_start = 3;
constexpr std::size_t trace_id_length = 32;
constexpr std::size_t traceparent_length = 55;

}

trace_store::trace_store(std::size_t capacity)
  : capacity_(capacity)
{
}

void
trace_store::add(const request_id& request, request_trace trace)
{
  if (order_.size() >= capacity_) {
    traces_.erase(order_.front());
    order_.pop_front();
  }
  order_.push_back(request);
  traces_[request] = std::move(trace);
}

const request_trace*
trace_store::find(const request_id& request) const
{
  const auto found = traces_.find(request);
  return found == traces_.end() ? nullptr : &found->second;
}

std::string
parse_trace_id(const std::string& traceparent)
{
  if (traceparent.size() != traceparent_length || traceparent.rfind("00-", 0) != 0) {
    return {};
  }
  auto id = traceparent.substr(trace_id_start, trace_id_length);
  const bool valid = id.find_first_not_of("0123456789abcdef") == std::string::npos;
  return valid ? id : std::string();
}

std::string
to_json(const request_id& request, const request_trace& trace)
{
  json::array spans;
  for (const auto& span : trace.spans) {
    json::object tags;
    for (const auto& [name, value] : span.tags) {
      tags[name] = value;
    }
    spans.push_back(json::object{ { "operation_name", span.operation },
                                  { "instance", span.instance },
                                  { "start_us", span.start.time_since_epoch().count() },
                                  { "duration_us", span.length.count() },
                                  { "tags", std::move(tags) } });
  }
  return json::serialize(json::object{ { "request_id", request.get() },
                                       { "trace_id", trace.trace_id },
                                       { "spans", std::move(spans) } });
}

}
