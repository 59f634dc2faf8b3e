#include "StandIns/standin_platform_server.h"

#include "Base/json_fields.h"
#include "StandIns/standin_target.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <limits>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

constexpr std::string_view table_prefix = "/v1/table/";
constexpr std::string_view objects_prefix = "/v1/objects/";
constexpr std::int64_t max_switch_value = std::numeric_limits<std::int32_t>::max();

// Name of the client, which is its bearer token.
std::string
client_of(const standin_request& request)
{
  constexpr std::string_view scheme = "Bearer ";
  const std::string_view header = request.http.authorization;
  return std::string(header.starts_with(scheme) ? header.substr(scheme.size()) : header);
}

standin_reply
reply(const json::value& body, unsigned status = 200)
{
  standin_reply answer;
  answer.response.status = status;
  answer.response.body = json::serialize(body);
  return answer;
}

standin_reply
refusal(unsigned status, std::string_view message)
{
  return reply(json::object{ { "message", message } }, status);
}

json::object
to_json(const table_row& row)
{
  return { { "key", row.key }, { "value", row.value }, { "revision", row.revision } };
}

// Parses one write. For a single write, `key` is the key in the request target; otherwise the key
// is a field of `value`.
result<standin_table_write>
parse_write(const json::value& value, std::optional<std::string> key)
{
  auto created = json_fields::create(value, "write", result_code::bad_request);
  if (!created) {
    return std::move(created).as_failure();
  }
  auto& fields = created.value();
  standin_table_write write;
  auto named = key ? result<std::string>(std::move(*key)) : fields.text("key");
  if (!named) {
    return std::move(named).as_failure();
  }
  write.key = std::move(named).value();
  auto text = fields.text("value");
  if (!text) {
    return std::move(text).as_failure();
  }
  write.value = std::move(text).value();
  if (fields.find("if_revision") != nullptr) {
    auto revision = fields.integer("if_revision", 0, std::numeric_limits<std::int64_t>::max());
    if (!revision) {
      return std::move(revision).as_failure();
    }
    write.if_revision = static_cast<std::uint64_t>(revision.value());
  }
  if (const auto known = fields.finish(); !known) {
    return known.as_failure();
  }
  return write;
}

}

standin_platform::standin_platform(boost::asio::io_context& context)
  : context_(context)
  , instances_(json::array())
{
}

standin_platform::~standin_platform()
{
  lifetime_.reset();
}

result<std::unique_ptr<standin_platform>>
standin_platform::create(boost::asio::io_context& context, const tcp_address& listen)
{
  std::unique_ptr<standin_platform> platform(new standin_platform(context));
  auto* self = platform.get();
  standin_listener::hooks hooks;
  hooks.request = [self](const standin_request& request, const responder& respond) {
    self->handle(request, respond);
  };
  hooks.exempt = [](std::string_view target) { return target.starts_with("/control"); };
  standin_listener_options options;
  options.address = listen;
  auto listener = standin_listener::create(context, options, std::move(hooks));
  if (!listener) {
    return std::move(listener).as_failure();
  }
  self->listener_ = std::move(listener).value();
  return platform;
}

void
standin_platform::run_after(std::chrono::milliseconds delay, std::function<void()> run)
{
  if (delay.count() <= 0) {
    run();
    return;
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
  timer->async_wait([timer, run = std::move(run), lifetime = std::weak_ptr<int>(lifetime_)](
                      boost::system::error_code failure) {
    if (!failure && !lifetime.expired()) {
      run();
    }
  });
}

void
standin_platform::handle(const standin_request& request, const responder& respond)
{
  if (request.http.target.starts_with("/control")) {
    handle_control(request, respond);
    return;
  }
  standin_reply closing;
  closing.close_without_answer = true;
  const auto client = client_of(request);
  if (silent_ || cut_clients_.contains(client)) {
    return;
  }
  if (outage_) {
    respond(refusal(503, "the platform is unavailable"));
    return;
  }
  if (drop_requests_ > 0) {
    --drop_requests_;
    respond(closing);
    return;
  }
  // Half of the delay precedes the execution and half follows it, so that a client that times out
  // cannot infer whether its request was executed.
  run_after(delay_ / 2, [this, request, respond, closing, client] {
    const bool is_write = request.http.method != "GET";
    auto& count = request_counts_[client];
    ++(is_write ? count.writes : count.reads);
    auto answer = run(request);
    if (is_write && lose_answers_ > 0) {
      --lose_answers_;
      answer = closing;
    }
    run_after(delay_ - delay_ / 2, [this, respond, client, answer = std::move(answer)] {
      if (!silent_ && !cut_clients_.contains(client)) {
        respond(answer);
      }
    });
  });
}

standin_reply
standin_platform::run(const standin_request& request)
{
  const auto path = path_of(request.http.target);
  if (path == "/v1/instances" && request.http.method == "GET") {
    return reply(instances_);
  }
  if (path == "/v1/table/transaction" && request.http.method == "POST") {
    return run_transaction(request);
  }
  if (path == "/v1/table" && request.http.method == "GET") {
    json::array rows;
    for (const auto& row : store_.list(query_value(request.http.target, "prefix"))) {
      rows.push_back(to_json(row));
    }
    return reply(json::object{ { "rows", std::move(rows) } });
  }
  if (path.starts_with(table_prefix)) {
    return run_table(request, path);
  }
  if (path.starts_with(objects_prefix)) {
    return run_object(request, path);
  }
  return refusal(404, "unknown target");
}

standin_reply
standin_platform::run_table(const standin_request& request, std::string_view path)
{
  const auto key = decode_target_part(path.substr(table_prefix.size()));
  if (request.http.method == "GET") {
    const auto row = store_.get(key);
    return reply(to_json(row), row.revision == 0 ? 404 : 200);
  }
  if (request.http.method != "PUT") {
    return refusal(405, "expected GET or PUT");
  }
  const auto body = parse_json(request.http.body, result_code::bad_request);
  if (!body) {
    return refusal(400, body.error().message);
  }
  auto write = parse_write(body.value(), key);
  if (!write) {
    return refusal(400, write.error().message);
  }
  if (const auto conflict = store_.write({ write.value() }, client_of(request))) {
    return reply(to_json(*conflict), 409);
  }
  return reply(json::object{ { "revision", store_.get(key).revision } });
}

standin_reply
standin_platform::run_transaction(const standin_request& request)
{
  const auto body = parse_json(request.http.body, result_code::bad_request);
  if (!body) {
    return refusal(400, body.error().message);
  }
  const auto* object = body.value().if_object();
  const auto* list = object == nullptr ? nullptr : object->if_contains("writes");
  if (list == nullptr || !list->is_array()) {
    return refusal(400, "writes: expected a list");
  }
  std::vector<standin_table_write> writes;
  for (const auto& item : list->as_array()) {
    auto write = parse_write(item, std::nullopt);
    if (!write) {
      return refusal(400, write.error().message);
    }
    writes.push_back(std::move(write).value());
  }
  if (const auto conflict = store_.write(writes, client_of(request))) {
    return reply(to_json(*conflict), 409);
  }
  json::array revisions;
  for (const auto& write : writes) {
    revisions.push_back(store_.get(write.key).revision);
  }
  return reply(json::object{ { "revisions", std::move(revisions) } });
}

standin_reply
standin_platform::run_object(const standin_request& request, std::string_view path)
{
  const auto key = decode_target_part(path.substr(objects_prefix.size()));
  if (request.http.method == "PUT") {
    store_.put_object(key, request.http.body);
    return reply(json::object{});
  }
  const auto* content = store_.object(key);
  if (content == nullptr) {
    return refusal(404, "object does not exist");
  }
  standin_reply answer;
  answer.response.body = *content;
  answer.response.content_type = "application/octet-stream";
  return answer;
}

std::string
standin_platform::set_instances(const json::value& body)
{
  const auto* object = body.if_object();
  const auto* list = object == nullptr ? &body : object->if_contains("instances");
  if (list == nullptr || !list->is_array()) {
    return "instances: expected a list";
  }
  std::int64_t after_ms = 0;
  if (object != nullptr) {
    auto fields = json_fields::create(body, "instances", result_code::bad_request);
    fields.value().find("instances");
    const auto delay = fields.value().integer_or("after_ms", 0, 0, max_switch_value);
    const auto known = fields.value().finish();
    if (!delay || !known) {
      return delay ? known.error().message : delay.error().message;
    }
    after_ms = delay.value();
  }
  run_after(std::chrono::milliseconds(after_ms), [this, next = *list] { instances_ = next; });
  return {};
}

std::string
standin_platform::control(const json::object& switches)
{
  const json::value value(switches);
  auto created = json_fields::create(value, "control", result_code::bad_request);
  auto& fields = created.value();
  const auto delay = fields.integer_or("delay_ms", delay_.count(), 0, max_switch_value);
  const auto lose = fields.integer_or("lose_answers", lose_answers_, 0, max_switch_value);
  const auto drop = fields.integer_or("drop_requests", drop_requests_, 0, max_switch_value);
  const auto outage = fields.boolean_or("outage", outage_);
  const auto silent = fields.boolean_or("silent", silent_);
  const auto* cut = fields.find("cut");
  for (const auto* number : { &delay, &lose, &drop }) {
    if (!*number) {
      return number->error().message;
    }
  }
  if (!outage || !silent) {
    return outage ? silent.error().message : outage.error().message;
  }
  std::set<std::string> clients;
  if (cut != nullptr) {
    if (!cut->is_array()) {
      return "control.cut: expected a list of client names";
    }
    for (const auto& client : cut->as_array()) {
      if (!client.is_string()) {
        return "control.cut: expected a client name, found " + json::serialize(client);
      }
      clients.insert(std::string(client.as_string()));
    }
  }
  if (const auto known = fields.finish(); !known) {
    return known.error().message;
  }
  if (cut != nullptr) {
    cut_clients_ = std::move(clients);
  }
  delay_ = std::chrono::milliseconds(delay.value());
  lose_answers_ = lose.value();
  drop_requests_ = drop.value();
  outage_ = outage.value();
  silent_ = silent.value();
  return {};
}

void
standin_platform::handle_control(const standin_request& request, const responder& respond)
{
  const auto path = path_of(request.http.target);
  if (path == "/control/history") {
    respond(reply(store_.history(query_value(request.http.target, "key"))));
    return;
  }
  if (path == "/control/counts") {
    json::object clients;
    for (const auto& [client, count] : request_counts_) {
      clients[client] = json::object{ { "reads", count.reads }, { "writes", count.writes } };
    }
    respond(reply(clients));
    return;
  }
  const auto body = parse_json(request.http.body, result_code::bad_request);
  std::string reason = "request body: expected a JSON object";
  if (!body) {
    reason = body.error().message;
  } else if (path == "/control/instances") {
    reason = set_instances(body.value());
  } else if (body.value().is_object()) {
    reason = control(body.value().as_object());
  }
  respond(reply(json::object{ { "message", reason } }, reason.empty() ? 200 : 400));
}

}
