#include "StandIns/standin_backend_server.h"

#include "Base/json_fields.h"
#include "StandIns/standin_backend_statement.h"
#include "StandIns/standin_target.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace persimmonshelf {

namespace json = boost::json;
using clock = std::chrono::steady_clock;

namespace {

std::string
text_field(const json::object& fields, std::string_view name)
{
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

term
term_field(const json::object& fields)
{
  const auto* value = fields.if_contains("term");
  if (value == nullptr || !value->is_int64() || value->as_int64() < 0) {
    return {};
  }
  return term(static_cast<std::uint64_t>(value->as_int64()));
}

standin_reply
reply(const json::object& body, unsigned status = 200)
{
  standin_reply answer;
  answer.response.status = status;
  answer.response.body = json::serialize(body);
  return answer;
}

standin_reply
closing()
{
  standin_reply none;
  none.close_without_answer = true;
  return none;
}

json::object
refusal_body(const std::string& id, std::string_view refusal, std::string_view message)
{
  return { { "request_id", id }, { "error", refusal }, { "message", message } };
}

unsigned
status_of(standin_refusal refusal)
{
  if (refusal == standin_refusal::none) {
    return 200;
  }
  return refusal == standin_refusal::bad_statement ? 400 : 409;
}

}

standin_backend::standin_backend(boost::asio::io_context& context,
                                 const standin_backend_options& options)
  : context_(context)
  , options_(options)
  , member_(options.member, options.slots, [this] { member_changed(); })
{
}

standin_backend::~standin_backend()
{
  lifetime_.reset();
}

result<std::unique_ptr<standin_backend>>
standin_backend::create(boost::asio::io_context& context, const standin_backend_options& options)
{
  std::unique_ptr<standin_backend> backend(new standin_backend(context, options));
  auto* self = backend.get();
  standin_listener::hooks hooks;
  hooks.request = [self](const standin_request& request, const responder& respond) {
    self->handle(request, respond);
  };
  hooks.closed = [self](accepted_number number) { self->connection_closed(number); };
  hooks.exempt = [](std::string_view target) {
    return target.starts_with("/control") || target.starts_with("/replication/");
  };
  auto listener = standin_listener::create(
    context, { options.listen, options.connections, options.connect_delay }, std::move(hooks));
  if (!listener) {
    return std::move(listener).as_failure();
  }
  self->listener_ = std::move(listener).value();
  self->replication_ = std::make_unique<standin_replication>(context, self->member_, options.peers);
  self->replication_->set_delay(options.replication_delay);
  if (options.primary) {
    self->member_.start_as_primary();
  }
  return backend;
}

void
standin_backend::run_after(std::chrono::milliseconds delay, std::function<void()> run)
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
standin_backend::handle(const standin_request& request, const responder& respond)
{
  const auto path = path_of(request.http.target);
  if (path.starts_with("/control")) {
    handle_control(request, respond);
    return;
  }
  if (path == "/replication/append") {
    handle_append(request, respond);
    return;
  }
  record_workspace_key(request);
  if (seen_connections_.insert(request.connection).second && silence_new_connections_) {
    silent_connections_.insert(request.connection);
  }
  if (silent_connections_.contains(request.connection)) {
    return;
  }
  // If a connection becomes silent while its request is being executed, that request is not
  // answered either.
  const responder guarded = [this, respond, connection = request.connection](standin_reply answer) {
    if (!silent_connections_.contains(connection)) {
      respond(std::move(answer));
    }
  };
  if (request.http.method == "GET") {
    const auto id = query_value(request.http.target, "request_id");
    if (path == "/v1/status") {
      guarded(reply(status(id)));
    } else if (path == "/v1/watch") {
      start_watch(request, guarded);
    } else {
      guarded(reply(refusal_body(id, "bad_statement", "unknown target"), 404));
    }
    return;
  }
  const auto body = parse_json(request.http.body, result_code::bad_request);
  if (!body || !body.value().is_object()) {
    const auto message =
      body ? std::string("request body: expected a JSON object") : body.error().message;
    guarded(reply(refusal_body({}, "bad_statement", message), 400));
    return;
  }
  const auto& fields = body.value().as_object();
  if (path == "/v1/statement") {
    handle_call(standin_operation::statement, request, fields, guarded);
  } else if (path == "/v1/begin") {
    handle_call(standin_operation::begin, request, fields, guarded);
  } else if (path == "/v1/commit") {
    handle_call(standin_operation::commit, request, fields, guarded);
  } else if (path == "/v1/rollback") {
    handle_call(standin_operation::rollback, request, fields, guarded);
  } else {
    handle_term_request(request, fields, guarded);
  }
}

void
standin_backend::connection_closed(accepted_number number)
{
  std::erase_if(watches_, [&](const auto& item) {
    if (item.second.connection != number) {
      return false;
    }
    item.second.timer->cancel();
    return true;
  });
  member_.connection_closed(number);
  silent_connections_.erase(number);
  seen_connections_.erase(number);
}

void
standin_backend::handle_term_request(const standin_request& request,
                                     const json::object& fields,
                                     const responder& respond)
{
  const auto path = path_of(request.http.target);
  const auto id = text_field(fields, "request_id");
  const auto in_term = term_field(fields);
  const auto candidate = text_field(fields, "candidate");
  auto refusal = standin_refusal::none;
  json::object body;
  if (path == "/v1/fence") {
    body["granted"] = member_.fence(in_term, candidate);
  } else if (path == "/v1/promote") {
    refusal = member_.promote(in_term, candidate);
  } else if (path == "/v1/follow") {
    refusal = member_.follow(in_term);
  } else {
    respond(reply(refusal_body(id, "bad_statement", "unknown target"), 404));
    return;
  }
  if (refusal != standin_refusal::none) {
    const auto promised =
      "term " + std::to_string(member_.promised().get()) + " is already promised";
    respond(reply(refusal_body(id, name_of(refusal), promised), status_of(refusal)));
    return;
  }
  const auto last = member_.log().last();
  body["promised"] = member_.promised().get();
  body["term"] = member_.promised().get();
  body["last_term"] = last.in_term.get();
  body["position"] = last.position.get();
  if (!id.empty()) {
    body["request_id"] = id;
  }
  respond(reply(body));
}

void
standin_backend::handle_append(const standin_request& request, const responder& respond)
{
  const auto body = parse_json(request.http.body, result_code::bad_request);
  auto append = body ? append_from_json(body.value()) : std::nullopt;
  if (!append || down_ || replication_->is_refused(append->origin)) {
    respond(closing());
    return;
  }
  if (append->held < replication_->delay()) {
    // The sender has not used this member's replication delay yet; the answer contains the delay.
    append->entries.clear();
  }
  const auto outcome = member_.accept(*append);
  json::object answer{ { "delay_ms", replication_->delay().count() },
                       { "promised", member_.promised().get() } };
  if (outcome.refusal == standin_refusal::wrong_term) {
    answer["error"] = name_of(outcome.refusal);
  } else {
    answer["accepted"] = outcome.refusal == standin_refusal::none;
    answer["matched"] = outcome.matched.get();
  }
  respond(reply(answer));
}

void
standin_backend::handle_call(standin_operation operation,
                             const standin_request& request,
                             const json::object& fields,
                             const responder& respond)
{
  standin_call call;
  call.connection = request.connection;
  call.operation = operation;
  call.request_id = text_field(fields, "request_id");
  call.in_term = term_field(fields);
  const auto kind = text_field(fields, "kind");
  call.write = kind == "write";
  call.text = text_field(fields, "statement");
  const bool has_kind = call.write || kind == "read";
  if (call.request_id.empty() || (operation == standin_operation::statement && !has_kind)) {
    answer_call(refusal_body(call.request_id, "bad_statement", "request_id or kind is missing"),
                400,
                respond);
    return;
  }
  if (member_.is_leaving()) {
    const bool over = clock::now() - leaving_since_ > leaving_grace_;
    member_.refuse_new_work(over);
    ++(over ? calls_after_grace_ : calls_while_leaving_);
  }
  const auto admitted = member_.admit(call);
  if (admitted.refusal != standin_refusal::none) {
    answer_call(refusal_body(call.request_id, name_of(admitted.refusal), admitted.message),
                status_of(admitted.refusal),
                respond);
    return;
  }
  const bool is_statement = operation == standin_operation::statement;
  const auto delay = is_statement ? options_.statement_delay + sleep_duration(call.text)
                                  : std::chrono::milliseconds(0);
  run_after(delay, [this, call, respond] { finish_call(call, respond); });
}

void
standin_backend::finish_call(const standin_call& call, const responder& respond)
{
  const auto outcome = member_.execute(call);
  if (outcome.refusal != standin_refusal::none) {
    answer_call(refusal_body(call.request_id, name_of(outcome.refusal), outcome.message),
                status_of(outcome.refusal),
                respond);
    return;
  }
  if (drop_answers_ > 0) {
    --drop_answers_;
    respond(closing());
    return;
  }
  json::object body{ { "request_id", call.request_id },
                     { "term", outcome.at.in_term.get() },
                     { "position", outcome.at.position.get() },
                     { "rows", outcome.rows } };
  answer_call(std::move(body), 200, respond);
}

void
standin_backend::answer_call(json::object body, unsigned status, const responder& respond)
{
  if (wrong_ids_ > 0) {
    --wrong_ids_;
    body["request_id"] = "standin-wrong-id";
  }
  auto answer = reply(body, status);
  if (truncate_answers_ > 0) {
    --truncate_answers_;
    answer.truncate = true;
  }
  run_after(answer_delay_, [respond, answer = std::move(answer)] { respond(answer); });
}

}
