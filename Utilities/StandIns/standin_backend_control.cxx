#include "StandIns/standin_backend_server.h"

#include "Base/json_fields.h"
#include "StandIns/standin_target.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <limits>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

// Prefix of every workspace key. Workspace keys must never be sent to a backend server.
constexpr std::string_view workspace_key_prefix = "pskey_";

constexpr std::int64_t max_switch_value = std::numeric_limits<std::int32_t>::max();

}

std::string
standin_backend::control(const json::object& switches)
{
  const json::value value(switches);
  auto created = json_fields::create(value, "control", result_code::bad_request);
  auto& fields = created.value();
  const auto current_delay = replication_->delay().count();
  const auto replication =
    fields.integer_or("replication_delay_ms", current_delay, 0, max_switch_value);
  const auto statement =
    fields.integer_or("statement_delay_ms", options_.statement_delay.count(), 0, max_switch_value);
  const auto late = fields.integer_or("late_ms", answer_delay_.count(), 0, max_switch_value);
  const auto grace =
    fields.integer_or("leaving_grace_ms", leaving_grace_.count(), 0, max_switch_value);
  const auto drop = fields.integer_or("drop_answer_after_run", drop_answers_, 0, max_switch_value);
  const auto truncate =
    fields.integer_or("truncate_answer", truncate_answers_, 0, max_switch_value);
  const auto wrong = fields.integer_or("wrong_id", wrong_ids_, 0, max_switch_value);
  const auto silent = fields.boolean_or("silent", false);
  const auto silent_new = fields.boolean_or("silent_new", silence_new_connections_);
  const auto leaving = fields.boolean_or("leaving", member_.is_leaving());
  const auto down = fields.boolean_or("down", down_);
  const auto* refuse = fields.find("refuse_peers");
  for (const auto* number :
       { &replication, &statement, &late, &grace, &grace, &drop, &truncate, &wrong }) {
    if (!*number) {
      return number->error().message;
    }
  }
  for (const auto* flag : { &silent, &silent_new, &leaving, &down }) {
    if (!*flag) {
      return flag->error().message;
    }
  }
  std::set<std::string> refused;
  if (refuse != nullptr) {
    if (!refuse->is_array()) {
      return "control.refuse_peers: expected a list of member names";
    }
    for (const auto& name : refuse->as_array()) {
      if (!name.is_string() || !options_.peers.contains(std::string(name.as_string()))) {
        return "control.refuse_peers: unknown member: " + json::serialize(name);
      }
      refused.insert(std::string(name.as_string()));
    }
  }
  if (const auto known = fields.finish(); !known) {
    return known.error().message;
  }

  replication_->set_delay(std::chrono::milliseconds(replication.value()));
  if (refuse != nullptr) {
    replication_->set_refused(std::move(refused));
  }
  options_.statement_delay = std::chrono::milliseconds(statement.value());
  answer_delay_ = std::chrono::milliseconds(late.value());
  leaving_grace_ = std::chrono::milliseconds(grace.value());
  drop_answers_ = drop.value();
  truncate_answers_ = truncate.value();
  wrong_ids_ = wrong.value();
  silence_new_connections_ = silent_new.value();
  if (silent.value()) {
    const auto open = listener_->clients();
    silent_connections_.insert(open.begin(), open.end());
  }
  if (leaving.value() != member_.is_leaving()) {
    leaving_since_ = std::chrono::steady_clock::now();
    member_.refuse_new_work(false);
    member_.set_leaving(leaving.value());
  }
  if (down.value() != down_) {
    set_down(down.value());
  }
  return {};
}

void
standin_backend::set_down(bool down)
{
  down_ = down;
  replication_->set_down(down);
  listener_->refuse_clients(down);
  if (!down) {
    return;
  }
  member_.restart();
  for (const auto number : listener_->clients()) {
    listener_->close(number);
  }
}

json::object
standin_backend::statements() const
{
  json::object runs;
  for (const auto& [id, times] : member_.runs()) {
    runs[id] = times;
  }
  json::array seen;
  for (const auto& text : requests_with_key_) {
    seen.push_back(json::value(text));
  }
  return { { "member", member_.name() },
           { "runs", std::move(runs) },
           { "key_text", std::move(seen) },
           { "calls_while_leaving", calls_while_leaving_ },
           { "calls_after_grace", calls_after_grace_ },
           { "free_slots", member_.free_slots() },
           { "client_connections", listener_->clients().size() } };
}

void
standin_backend::handle_control(const standin_request& request, const responder& respond)
{
  standin_reply answer;
  const auto path = path_of(request.http.target);
  if (path == "/control/log") {
    const auto from_text = query_value(request.http.target, "from");
    std::uint64_t from = 1;
    std::from_chars(from_text.data(), from_text.data() + from_text.size(), from);
    json::array entries;
    const auto last = member_.log().last().position.get();
    for (auto next = std::max<std::uint64_t>(from, 1); next <= last; ++next) {
      entries.push_back(to_json(member_.log().at(log_position(next))));
    }
    answer.response.body = json::serialize(
      json::object{ { "member", member_.name() }, { "entries", std::move(entries) } });
  } else if (path == "/control/statements") {
    answer.response.body = json::serialize(statements());
  } else if (request.http.method == "POST") {
    const auto body = parse_json(request.http.body, result_code::bad_request);
    std::string reason = "request body: expected a JSON object";
    if (!body) {
      reason = body.error().message;
    } else if (body.value().is_object()) {
      reason = control(body.value().as_object());
    }
    answer.response.status = reason.empty() ? 200 : 400;
    answer.response.body = json::serialize(json::object{ { "message", reason } });
  } else {
    answer.response.status = 404;
    answer.response.body = R"({"message":"unknown target"})";
  }
  respond(answer);
}

void
standin_backend::record_workspace_key(const standin_request& request)
{
  const auto text =
    request.http.method + " " + request.http.target + "\n" + request.headers + request.http.body;
  if (text.find(workspace_key_prefix) != std::string::npos) {
    requests_with_key_.push_back(text);
  }
}

}
