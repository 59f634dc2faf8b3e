#include "Adapters/operator_client.h"

#include "Adapters/operator_text.h"
#include "Base/digest.h"
#include "Base/json_fields.h"
#include "Net/percent_encoding.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <set>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

// A month's account of a large fleet is the largest answer.
constexpr std::size_t response_limit_bytes = 64U << 20U;

operator_request
get(std::string target)
{
  operator_request request;
  request.target = std::move(target);
  return request;
}

operator_request
post(std::string target, const json::object& body, std::string edit_id = {})
{
  operator_request request;
  request.method = "POST";
  request.target = std::move(target);
  request.body = json::serialize(body);
  request.edit_id = std::move(edit_id);
  return request;
}

std::string
text_of(const json::object& fields, std::string_view name)
{
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

}

operator_request
show_config()
{
  auto request = get("/v1/config");
  request.print = operator_request::output::content;
  return request;
}

operator_request
diff_config(const std::string& content)
{
  return post("/v1/config/diff", { { "content", content } });
}

operator_request
set_config(const config_edit& edit)
{
  json::object body{ { "content", edit.content },
                     { "author", edit.author },
                     { "edit_id", edit.edit_id },
                     { "dry_run", edit.dry_run } };
  if (edit.expect) {
    body["expect"] = *edit.expect;
  }
  return post("/v1/config", body, edit.dry_run ? std::string() : edit.edit_id);
}

operator_request
give_key(const std::string& workspace, const std::string& note, const std::string& edit_id)
{
  auto request = post(
    "/v1/keys", { { "workspace", workspace }, { "note", note }, { "edit_id", edit_id } }, edit_id);
  request.print = operator_request::output::key;
  return request;
}

operator_request
revoke_key(const std::string& digest_prefix, const std::string& edit_id)
{
  return post(
    "/v1/keys/revoke", { { "digest_prefix", digest_prefix }, { "edit_id", edit_id } }, edit_id);
}

operator_request
revoke_key_text(const std::string& key, const std::string& edit_id)
{
  constexpr std::string_view space = " \t\r\n";
  const auto start = std::min(key.find_first_not_of(space), key.size());
  const auto end = key.find_last_not_of(space);
  const auto trimmed =
    end == std::string::npos ? std::string() : key.substr(start, end + 1 - start);
  return post(
    "/v1/keys/revoke", { { "digest", to_hex(sha256(trimmed)) }, { "edit_id", edit_id } }, edit_id);
}

operator_request
list_keys()
{
  return get("/v1/keys");
}

operator_request
show_status()
{
  return get("/v1/status");
}

operator_request
show_status(const std::string& kind, const std::string& name)
{
  return get("/v1/status/" + kind + "/" + percent_encode(name, ":"));
}

operator_request
show_account(const std::string& month)
{
  return get("/v1/account/" + percent_encode(month, ":"));
}

operator_request
show_trace(const std::string& id)
{
  return get("/v1/trace/" + percent_encode(id, ":"));
}

operator_request
drain_instance()
{
  return post("/v1/drain", {});
}

operator_client::operator_client(tcp_address address, duration timeout, bool raw)
  : address_(std::move(address))
  , timeout_(timeout)
  , raw_(raw)
{
}

operator_report
operator_client::run(const operator_request& request) const
{
  boost::asio::io_context context(1);
  const auto connection = http_connection::create(context, response_limit_bytes);
  std::optional<operator_report> report;
  connection->connect(address_, timeout_, [&](const std::string& reason) {
    if (!reason.empty()) {
      report = unreachable(request, { false, reason });
      return;
    }
    http_request message;
    message.method = request.method;
    message.target = request.target;
    message.body = request.body;
    connection->send(
      message, timeout_, [&](const http_failure* failure, const http_response& response) {
        report = failure != nullptr ? unreachable(request, *failure) : print(request, response);
        connection->close();
      });
  });
  context.run();
  return report.value_or(operator_report{ operator_exit::unreachable, {}, "no answer\n" });
}

operator_report
operator_client::unreachable(const operator_request& request, const http_failure& failure) const
{
  operator_report report;
  report.exit = operator_exit::unreachable;
  report.notes = "persimmonshelf: " + address_.address + ":" + std::to_string(address_.port) +
                 ": " + failure.reason + "\n";
  if (!request.edit_id.empty()) {
    report.notes += failure.may_have_been_sent
                      ? "The change may have been made. Repeat the command with --edit-id " +
                          request.edit_id + " to make it at most once.\n"
                      : "Nothing was sent.\n";
  }
  return report;
}

operator_report
operator_client::print(const operator_request& request, const http_response& response) const
{
  const auto body = parse_json(response.body, result_code::malformed_answer);
  const auto* fields = body ? body.value().if_object() : nullptr;
  const auto* code = fields == nullptr ? nullptr : fields->if_contains("code");
  if (code == nullptr || !code->is_int64()) {
    return unreachable(request,
                       { true,
                         "not an answer of an operator address (HTTP status " +
                           std::to_string(response.status) + ")" });
  }
  operator_report report;
  const bool accepted = code->as_int64() == 0;
  report.exit = accepted ? operator_exit::ok : operator_exit::refused;
  if (raw_) {
    report.output = (accepted ? response.body : redact_keys(response.body)) + "\n";
    return report;
  }
  std::set<std::string, std::less<>> hidden{ "code", "name", "message" };
  const auto message = text_of(*fields, "message");
  if (!accepted) {
    report.notes = "persimmonshelf: " + std::to_string(code->as_int64()) + " " +
                   text_of(*fields, "name") + ": " + message + "\n";
    report.notes += render_fields(*fields, hidden);
    report.notes = redact_keys(report.notes);
    return report;
  }
  if (request.print == operator_request::output::fields) {
    report.output = message.empty() ? "" : message + "\n";
    report.output += render_fields(*fields, hidden);
    return report;
  }
  const auto* main = request.print == operator_request::output::content ? "content" : "key";
  report.output = text_of(*fields, main);
  if (!report.output.ends_with('\n')) {
    report.output += "\n";
  }
  hidden.insert(main);
  report.notes = redact_keys(render_fields(*fields, hidden));
  return report;
}

}
