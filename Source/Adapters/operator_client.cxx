#include "Adapters/operator_client.h"

#include "Adapters/operator_text.h"
#include "Base/digest.h"
#include "Base/json_fields.h"
#include "Base/percent_encoding.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <set>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

// The largest response is the monthly account of a large fleet.
constexpr std::size_t response_limit_bytes = 64U << 20U;

operator_command
get(std::string target)
{
  operator_command command;
  command.target = std::move(target);
  return command;
}

operator_command
post(std::string target, const json::object& body, std::string edit_id = {})
{
  operator_command command;
  command.method = "POST";
  command.target = std::move(target);
  command.body = json::serialize(body);
  command.edit_id = std::move(edit_id);
  return command;
}

std::string
read_text(const json::object& fields, std::string_view name)
{
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

}

operator_command
show_config()
{
  auto command = get("/v1/config");
  command.print = operator_command::output::content;
  return command;
}

operator_command
diff_config(const std::string& content)
{
  return post("/v1/config/diff", { { "content", content } });
}

operator_command
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

operator_command
create_key(const std::string& workspace, const std::string& note, const std::string& edit_id)
{
  auto command = post(
    "/v1/keys", { { "workspace", workspace }, { "note", note }, { "edit_id", edit_id } }, edit_id);
  command.print = operator_command::output::key;
  return command;
}

operator_command
revoke_key(const std::string& digest_prefix, const std::string& edit_id)
{
  return post(
    "/v1/keys/revoke", { { "digest_prefix", digest_prefix }, { "edit_id", edit_id } }, edit_id);
}

operator_command
revoke_key_by_value(const std::string& key, const std::string& edit_id)
{
  constexpr std::string_view space = " \t\r\n";
  const auto start = std::min(key.find_first_not_of(space), key.size());
  const auto end = key.find_last_not_of(space);
  const auto trimmed =
    end == std::string::npos ? std::string() : key.substr(start, end + 1 - start);
  return post(
    "/v1/keys/revoke", { { "digest", to_hex(sha256(trimmed)) }, { "edit_id", edit_id } }, edit_id);
}

operator_command
list_keys()
{
  return get("/v1/keys");
}

operator_command
show_status()
{
  return get("/v1/status");
}

operator_command
show_status(const std::string& kind, const std::string& name)
{
  return get("/v1/status/" + kind + "/" + percent_encode(name, ":"));
}

operator_command
show_account(const std::string& month)
{
  return get("/v1/account/" + percent_encode(month, ":"));
}

operator_command
show_trace(const std::string& id)
{
  return get("/v1/trace/" + percent_encode(id, ":"));
}

operator_command
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
operator_client::run(const operator_command& command) const
{
  boost::asio::io_context context(1);
  const auto connection = http_connection::create(context, response_limit_bytes);
  std::optional<operator_report> report;
  connection->connect(address_, timeout_, [&](const std::string& reason) {
    if (!reason.empty()) {
      report = report_no_response(command, { false, reason });
      return;
    }
    http_request message;
    message.method = command.method;
    message.target = command.target;
    message.body = command.body;
    connection->send(
      message, timeout_, [&](const http_failure* failure, const http_response& response) {
        report = failure != nullptr ? report_no_response(command, *failure)
                                    : format_response(command, response);
        connection->close();
      });
  });
  context.run();
  return report.value_or(operator_report{ operator_exit::unreachable, {}, "no response\n" });
}

operator_report
operator_client::report_no_response(const operator_command& command,
                                    const http_failure& failure) const
{
  operator_report report;
  report.exit = operator_exit::unreachable;
  report.notes = "persimmonshelf: " + address_.address + ":" + std::to_string(address_.port) +
                 ": " + failure.reason + "\n";
  if (!command.edit_id.empty()) {
    report.notes += failure.may_have_been_sent
                      ? "The change may have been made. Repeat the command with --edit-id " +
                          command.edit_id + " to make it at most once.\n"
                      : "Nothing was sent.\n";
  }
  return report;
}

operator_report
operator_client::format_response(const operator_command& command,
                                 const http_response& response) const
{
  const auto body = parse_json(response.body, result_code::malformed_answer);
  const auto* fields = body ? body.value().if_object() : nullptr;
  const auto* code = fields == nullptr ? nullptr : fields->if_contains("code");
  if (code == nullptr || !code->is_int64()) {
    return report_no_response(command,
                              { true,
                                "the response is not from an operator address (HTTP status " +
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
  const auto message = read_text(*fields, "message");
  if (!accepted) {
    report.notes = "persimmonshelf: " + std::to_string(code->as_int64()) + " " +
                   read_text(*fields, "name") + ": " + message + "\n";
    report.notes += render_fields(*fields, hidden);
    report.notes = redact_keys(report.notes);
    return report;
  }
  if (command.print == operator_command::output::fields) {
    report.output = message.empty() ? "" : message + "\n";
    report.output += render_fields(*fields, hidden);
    return report;
  }
  const auto* main_field = command.print == operator_command::output::content ? "content" : "key";
  report.output = read_text(*fields, main_field);
  if (!report.output.ends_with('\n')) {
    report.output += "\n";
  }
  hidden.insert(main_field);
  report.notes = redact_keys(render_fields(*fields, hidden));
  return report;
}

}
