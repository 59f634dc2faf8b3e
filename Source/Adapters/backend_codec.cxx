#include "Adapters/backend_codec.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>
#include <type_traits>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

std::string_view
endpoint_path(operation kind)
{
  switch (kind) {
    case operation::statement:
      return "/v1/statement";
    case operation::begin:
      return "/v1/begin";
    case operation::commit:
      return "/v1/commit";
    case operation::rollback:
      return "/v1/rollback";
    case operation::probe:
      break;
  }
  return "/v1/status";
}

http_request
post(std::string_view target, const json::object& body)
{
  http_request request;
  request.method = "POST";
  request.target = std::string(target);
  request.body = json::serialize(body);
  return request;
}

http_request
encode(const watch_request& watch)
{
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(watch.wait);
  http_request request;
  request.method = "GET";
  request.target = "/v1/watch?after=" + std::to_string(watch.after.get()) +
                   "&wait_ms=" + std::to_string(wait.count());
  return request;
}

http_request
encode(const fence_request& fence)
{
  return post("/v1/fence", { { "term", fence.in_term.get() }, { "candidate", fence.candidate } });
}

http_request
encode(const promote_request& promote)
{
  return post("/v1/promote",
              { { "term", promote.in_term.get() }, { "candidate", promote.candidate } });
}

http_request
encode(const follow_request& follow)
{
  return post("/v1/follow",
              { { "term", follow.in_term.get() }, { "primary", follow.primary_address } });
}

http_request
encode(const backend_request& call)
{
  if (call.kind == operation::probe) {
    http_request request;
    request.method = "GET";
    request.target = "/v1/status?request_id=" + call.id.get();
    return request;
  }
  json::object body{ { "request_id", call.id.get() }, { "term", call.in_term.get() } };
  if (call.kind == operation::statement) {
    body["kind"] = call.write ? "write" : "read";
    body["statement"] = call.text;
  }
  auto request = post(endpoint_path(call.kind), body);
  request.traceparent = call.traceparent;
  return request;
}

std::optional<std::uint64_t>
read_number(const json::object& fields, std::string_view name)
{
  const auto* value = fields.if_contains(name);
  if (value == nullptr || !value->is_int64() || value->as_int64() < 0) {
    return std::nullopt;
  }
  return static_cast<std::uint64_t>(value->as_int64());
}

std::string
read_text(const json::object& fields, std::string_view name)
{
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

bool
read_flag(const json::object& fields, std::string_view name)
{
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_bool() && value->as_bool();
}

std::optional<log_point>
read_log_point(const json::object& fields, std::string_view term_name)
{
  const auto in_term = read_number(fields, term_name);
  const auto position = read_number(fields, "position");
  if (!in_term || !position) {
    return std::nullopt;
  }
  return log_point{ term(*in_term), log_position(*position) };
}

backend_reply
decode_status(const json::object& fields)
{
  const auto promised = read_number(fields, "term");
  const auto last = read_log_point(fields, "last_term");
  const auto* history = fields.if_contains("history");
  if (!promised || !last || history == nullptr || !history->is_array()) {
    return {};
  }
  member_report report;
  report.member = member_id(read_text(fields, "member"));
  report.promised = term(*promised);
  report.last = *last;
  report.primary = read_text(fields, "role") == "primary";
  report.leaving = read_flag(fields, "leaving");
  for (const auto& item : history->as_array()) {
    if (!item.is_object()) {
      return {};
    }
    const auto started = read_number(item.as_object(), "term");
    const auto first = read_number(item.as_object(), "first_position");
    if (!started || !first) {
      return {};
    }
    report.history.push_back({ term(*started), log_position(*first) });
  }
  return report;
}

backend_reply
decode_fence(const json::object& fields)
{
  const auto promised = read_number(fields, "promised");
  const auto last = read_log_point(fields, "last_term");
  if (!promised || !last) {
    return {};
  }
  return fence_reply{ read_flag(fields, "granted"), term(*promised), *last };
}

result_code
to_result_code(const std::string& error)
{
  if (error.empty()) {
    return result_code::ok;
  }
  // A leaving server has not run the request. The status of the server, which its home reads
  // separately, ends further requests.
  if (error == "busy" || error == "leaving") {
    return result_code::backend_busy;
  }
  if (error == "wrong_term") {
    return result_code::backend_wrong_term;
  }
  if (error == "not_primary") {
    return result_code::backend_not_primary;
  }
  return error == "bad_statement" ? result_code::statement_failed : result_code::malformed_answer;
}

backend_reply
decode_request_reply(const json::object& fields)
{
  backend_answer answer;
  answer.id = request_id(read_text(fields, "request_id"));
  answer.code = to_result_code(read_text(fields, "error"));
  if (answer.code != result_code::ok) {
    answer.rows = json::serialize(read_text(fields, "message"));
    return answer;
  }
  const auto at = read_log_point(fields, "term");
  if (!at) {
    return {};
  }
  answer.point = *at;
  if (const auto* rows = fields.if_contains("rows")) {
    answer.rows = json::serialize(*rows);
  }
  return answer;
}

}

http_request
encode_backend_message(const backend_message& message)
{
  return std::visit([](const auto& typed) { return encode(typed); }, message);
}

backend_reply
decode_backend_reply(const backend_message& message, const http_response& response)
{
  boost::system::error_code failure;
  const auto value = json::parse(response.body, failure);
  if (failure || !value.is_object()) {
    return {};
  }
  const auto& fields = value.as_object();
  return std::visit(
    [&](const auto& typed) -> backend_reply {
      using type = std::decay_t<decltype(typed)>;
      if constexpr (std::is_same_v<type, watch_request>) {
        return decode_status(fields);
      } else if constexpr (std::is_same_v<type, fence_request>) {
        return decode_fence(fields);
      } else if constexpr (std::is_same_v<type, backend_request>) {
        return decode_request_reply(fields);
      } else {
        const bool done = response.status == 200 && !fields.contains("error");
        return role_change_reply{ done, term(read_number(fields, "promised").value_or(0)) };
      }
    },
    message);
}

}
