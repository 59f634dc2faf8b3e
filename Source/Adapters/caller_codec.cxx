#include "Adapters/caller_codec.h"

#include "Base/json_fields.h"

#include <boost/json/serialize.hpp>

#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

constexpr auto invalid = result_code::bad_request;
constexpr std::string_view route_prefix = "/v1/routes/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::int64_t max_duration_ms = 24LL * 3600 * 1000;

result<caller_operation>
parse_operation(std::string_view name)
{
  if (name == "statement") {
    return caller_operation::statement;
  }
  if (name == "begin") {
    return caller_operation::begin;
  }
  if (name == "commit") {
    return caller_operation::commit;
  }
  if (name == "rollback") {
    return caller_operation::rollback;
  }
  return fail(invalid, "path: unknown operation \"" + std::string(name) + "\"");
}

result<void>
read_target(std::string_view target, caller_request& request)
{
  if (target.substr(0, route_prefix.size()) != route_prefix) {
    return fail(invalid, "path: expected /v1/routes/ROUTE/OPERATION");
  }
  const auto rest = target.substr(route_prefix.size());
  const auto slash = rest.find('/');
  if (slash == 0 || slash == std::string_view::npos) {
    return fail(invalid, "path: expected /v1/routes/ROUTE/OPERATION");
  }
  request.route = route_id(std::string(rest.substr(0, slash)));
  BOOST_OUTCOME_TRY(request.operation, parse_operation(rest.substr(slash + 1)));
  return success();
}

result<std::optional<duration>>
read_duration_ms(json_fields& fields, std::string_view name, std::int64_t minimum)
{
  const auto* value = fields.find(name);
  if (value == nullptr) {
    return std::optional<duration>();
  }
  BOOST_OUTCOME_TRY(auto amount, fields.integer(name, minimum, max_duration_ms));
  return std::optional<duration>(std::chrono::milliseconds(amount));
}

result<void>
read_statement_kind(json_fields& fields, caller_request& request)
{
  BOOST_OUTCOME_TRY(auto kind, fields.text("kind"));
  if (kind != "read" && kind != "write") {
    return fail(invalid, "body.kind: expected \"read\" or \"write\", found \"" + kind + "\"");
  }
  request.write = kind == "write";
  return success();
}

unsigned
http_status_of(result_code code, run_outcome outcome)
{
  if (outcome == run_outcome::done) {
    return 200;
  }
  if (outcome == run_outcome::unknown) {
    return 504;
  }
  switch (code) {
    case result_code::key_missing:
    case result_code::key_rejected:
      return 401;
    case result_code::bad_session_token:
    case result_code::workspace_not_allowed:
      return 403;
    case result_code::unknown_route:
    case result_code::unknown_database:
    case result_code::unknown_transaction:
      return 404;
    case result_code::transaction_lost:
      return 409;
    case result_code::body_too_large:
      return 413;
    case result_code::rate_exceeded:
      return 429;
    case result_code::bad_request:
      return 400;
    default:
      return 503;
  }
}

}

result<caller_request>
decode_caller_request(const http_request& message)
{
  caller_request request;
  if (message.method != "POST") {
    return fail(invalid, "method: expected POST");
  }
  BOOST_OUTCOME_TRY(read_target(message.target, request));
  if (message.authorization.rfind(bearer_prefix, 0) == 0) {
    request.key = message.authorization.substr(bearer_prefix.size());
  }
  request.traceparent = message.traceparent;
  BOOST_OUTCOME_TRY(auto value, parse_json(message.body, invalid));
  BOOST_OUTCOME_TRY(auto fields, json_fields::create(value, "body", invalid));
  BOOST_OUTCOME_TRY(auto database, fields.text("database"));
  request.database = database_id(std::move(database));
  BOOST_OUTCOME_TRY(request.session, fields.text_or("session", ""));
  BOOST_OUTCOME_TRY(request.deadline, read_duration_ms(fields, "deadline_ms", 1));
  BOOST_OUTCOME_TRY(request.max_age, read_duration_ms(fields, "max_age_ms", 0));
  BOOST_OUTCOME_TRY(request.idempotent, fields.boolean_or("idempotent", false));
  BOOST_OUTCOME_TRY(request.after_lost_answer, fields.boolean_or("after_lost_answer", false));
  BOOST_OUTCOME_TRY(auto transaction, fields.text_or("transaction", ""));
  request.transaction = transaction_id(std::move(transaction));
  if (request.operation == caller_operation::statement) {
    BOOST_OUTCOME_TRY(request.statement, fields.text("statement"));
    BOOST_OUTCOME_TRY(read_statement_kind(fields, request));
  }
  const bool ends_transaction = request.operation == caller_operation::commit ||
                                request.operation == caller_operation::rollback;
  if (ends_transaction && request.transaction.get().empty()) {
    return fail(invalid, "body.transaction: expected the id returned by begin");
  }
  BOOST_OUTCOME_TRY(fields.finish());
  return request;
}

http_response
encode_caller_answer(const caller_answer& answer)
{
  json::object body;
  body["outcome"] = name_of(answer.outcome);
  body["code"] = static_cast<unsigned>(answer.code);
  body["name"] = name_of(answer.code);
  if (!answer.message.empty()) {
    body["message"] = answer.message;
  }
  if (!answer.session.empty()) {
    body["session"] = answer.session;
  }
  if (!answer.transaction.get().empty()) {
    body["transaction"] = answer.transaction.get();
  }
  if (answer.session_discarded) {
    body["session_notice"] = "discarded";
  }
  if (!answer.request.get().empty()) {
    body["request_id"] = answer.request.get();
  }
  if (!answer.trace.empty()) {
    body["trace"] = answer.trace;
  }
  if (answer.outcome == run_outcome::done) {
    body["from_replica"] = answer.from_replica;
  }
  auto text = json::serialize(body);
  if (!answer.rows.empty()) {
    // The rows are JSON text from the backend server. They are appended without being parsed again.
    text.pop_back();
    text += ",\"rows\":" + answer.rows + "}";
  }
  http_response response;
  response.status = http_status_of(answer.code, answer.outcome);
  response.body = std::move(text);
  return response;
}

caller_answer
make_not_run_answer(result_code code, std::string message)
{
  caller_answer answer;
  answer.code = code;
  answer.outcome = run_outcome::not_run;
  answer.message = std::move(message);
  return answer;
}

}
