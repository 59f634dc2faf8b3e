#include "Engine/operator_service.h"

#include "Base/json_fields.h"
#include "Engine/status_report.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <memory>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

// How long an operator waits for an edit to be stored, and for a key set to be acknowledged.
constexpr duration edit_limit = std::chrono::seconds(5);
constexpr duration force_limit = std::chrono::seconds(5);
constexpr std::string_view default_author = "operator";

operator_answer
encode(result_code code, const std::string& message, json::object body = {}, unsigned status = 200)
{
  body["code"] = static_cast<unsigned>(code);
  body["name"] = name_of(code);
  body["message"] = message;
  return { status, json::serialize(body) };
}

operator_answer
encode(const error& failure)
{
  const bool unavailable = failure.code == result_code::platform_unavailable;
  return encode(failure.code, failure.message, {}, unavailable ? 503 : 400);
}

std::vector<std::string_view>
split(std::string_view path)
{
  std::vector<std::string_view> parts;
  while (!path.empty()) {
    const auto slash = path.find('/');
    parts.push_back(path.substr(0, slash));
    path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
  }
  return parts;
}

json::array
to_array(const std::vector<std::string>& lines)
{
  json::array array;
  for (const auto& line : lines) {
    array.emplace_back(line);
  }
  return array;
}

void
answer_section(const std::optional<json::object>& section,
               const std::string& what,
               const operator_service::respond& reply)
{
  if (!section) {
    reply(encode(result_code::not_found, what + " is not configured", {}, 404));
    return;
  }
  reply(encode(result_code::ok, "", *section));
}

}

operator_service::operator_service(engine& target, std::function<void()> drain)
  : engine_(target)
  , drain_(std::move(drain))
{
}

void
operator_service::handle(const operator_request& request, const respond& reply, instant now)
{
  constexpr std::string_view prefix = "/v1/";
  const std::string_view target(request.target);
  if (target.substr(0, prefix.size()) != prefix) {
    reply(encode(result_code::not_found, "unknown target " + request.target, {}, 404));
    return;
  }
  const auto path = target.substr(prefix.size());
  if (request.method == "GET") {
    get(path, reply, now);
    return;
  }
  post(path, request.body, reply, now);
}

void
operator_service::get(std::string_view path, const respond& reply, instant now)
{
  const auto parts = split(path);
  auto& control = engine_.control();
  const std::string name(parts.empty() ? std::string_view() : parts.back());
  if (path == "config") {
    const auto& document = control.config_document();
    reply(encode(result_code::ok,
                 "",
                 { { "version", document.version().get() },
                   { "author", document.state().in_force.author },
                   { "content", document.content() } }));
  } else if (path == "keys") {
    json::array keys;
    for (const auto& key : control.keys().entries()) {
      keys.push_back(json::object{ { "digest", to_hex(key.digest) },
                                   { "workspace", key.workspace.get() },
                                   { "state", name_of(key.state) },
                                   { "note", key.note } });
    }
    reply(encode(
      result_code::ok,
      "",
      { { "version", control.key_document().version().get() }, { "keys", std::move(keys) } }));
  } else if (path == "status") {
    reply(encode(result_code::ok, "", describe_fleet(engine_, now)));
  } else if (parts.size() == 3 && parts[0] == "status" && parts[1] == "database") {
    answer_section(
      describe_database(engine_, database_id(name), now), "database \"" + name + "\"", reply);
  } else if (parts.size() == 3 && parts[0] == "status" && parts[1] == "workspace") {
    auto section = describe_workspace(engine_, workspace_id(name), now);
    if (section) {
      (*section)["usage_here"] = engine_.account().usage(workspace_id(name));
    }
    answer_section(section, "workspace \"" + name + "\"", reply);
  } else if (parts.size() == 2 && parts[0] == "account") {
    engine_.account().report(name, [reply](result<std::string> text) {
      if (!text) {
        reply(encode(text.error()));
        return;
      }
      reply(encode(result_code::ok, "", { { "account", json::parse(text.value()) } }));
    });
  } else if (parts.size() == 2 && parts[0] == "trace") {
    const auto* trace = engine_.entry().traces().find(request_id(name));
    if (trace == nullptr) {
      reply(encode(result_code::not_found,
                   "no trace of request " + name + " here; ask the instance that took it",
                   {},
                   404));
      return;
    }
    reply(encode(result_code::ok, "", json::parse(to_json(request_id(name), *trace)).as_object()));
  } else {
    reply(encode(result_code::not_found, "unknown target /v1/" + std::string(path), {}, 404));
  }
}

void
operator_service::post(std::string_view path,
                       const std::string& text,
                       const respond& reply,
                       instant now)
{
  if (path == "drain") {
    drain_();
    reply(encode(result_code::ok, "the planned stop has begun"));
    return;
  }
  const auto body = parse_json(text.empty() ? "{}" : text, result_code::bad_request);
  if (!body) {
    reply(encode(body.error()));
    return;
  }
  if (path == "config") {
    set_config(body.value(), reply, now);
  } else if (path == "config/diff") {
    diff_config(body.value(), reply);
  } else if (path == "keys") {
    give_key(body.value(), reply, now);
  } else if (path == "keys/revoke") {
    revoke_key(body.value(), reply, now);
  } else {
    reply(encode(result_code::not_found, "unknown target /v1/" + std::string(path), {}, 404));
  }
}

namespace {

// The fields of an edit of the configuration.
struct config_edit
{
  document_edit edit;
  bool dry_run = false;
};

result<config_edit>
read_edit(const json::value& body, config_version held)
{
  constexpr auto invalid = result_code::bad_request;
  BOOST_OUTCOME_TRY(auto fields, json_fields::create(body, "body", invalid));
  config_edit read;
  BOOST_OUTCOME_TRY(read.edit.content, fields.text("content"));
  BOOST_OUTCOME_TRY(read.edit.author, fields.text_or("author", std::string(default_author)));
  BOOST_OUTCOME_TRY(read.edit.edit_id, fields.text_or("edit_id", ""));
  BOOST_OUTCOME_TRY(read.dry_run, fields.boolean_or("dry_run", false));
  const auto fallback = static_cast<std::int64_t>(held.get());
  BOOST_OUTCOME_TRY(auto expected, fields.integer_or("expect", fallback, 0, INT64_MAX));
  read.edit.expected_version = config_version(static_cast<std::uint64_t>(expected));
  BOOST_OUTCOME_TRY(fields.finish());
  return read;
}

std::string
random_edit_id(const std::function<std::uint64_t()>& bits)
{
  return std::to_string(bits()) + "-" + std::to_string(bits());
}

}

void
operator_service::set_config(const json::value& body, const respond& reply, instant now)
{
  auto& control = engine_.control();
  auto read = read_edit(body, control.config_document().version());
  if (!read) {
    reply(encode(read.error()));
    return;
  }
  const auto parsed = configuration::parse(read.value().edit.content);
  if (!parsed) {
    reply(encode(parsed.error()));
    return;
  }
  const auto before = control.config();
  const auto lines = describe_difference(before, parsed.value());
  json::object answer{ { "changes", to_array(lines) },
                       { "warnings", to_array(parsed.value().warnings()) } };
  if (read.value().dry_run) {
    answer["version"] = control.config_document().version().get();
    reply(encode(result_code::ok, "valid; nothing was changed", std::move(answer)));
    return;
  }
  auto edit = std::move(read.value().edit);
  edit.deadline = now + edit_limit;
  if (edit.edit_id.empty()) {
    edit.edit_id = random_edit_id(random_bits);
  }
  control.config_document().publish(
    std::move(edit), now, [this, before, answer, reply](result<document_version> outcome) {
      auto fields = answer;
      if (outcome) {
        fields["version"] = outcome.value().version.get();
        fields["edit_id"] = outcome.value().edit_id;
        reply(encode(result_code::ok, "accepted", std::move(fields)));
        return;
      }
      if (outcome.error().code != result_code::config_conflict) {
        reply(encode(outcome.error()));
        return;
      }
      // Tells the second of two operators what the first one changed.
      const auto& current = engine_.control().config();
      reply(encode(result_code::config_conflict,
                   outcome.error().message,
                   { { "version", engine_.control().config_document().version().get() },
                     { "changes", to_array(describe_difference(before, current)) } },
                   409));
    });
}

void
operator_service::diff_config(const json::value& body, const respond& reply)
{
  const auto* fields = body.if_object();
  const auto* content = fields == nullptr ? nullptr : fields->if_contains("content");
  if (content == nullptr || !content->is_string()) {
    reply(encode({ result_code::bad_request, "body.content: expected a string" }));
    return;
  }
  const auto parsed = configuration::parse(std::string_view(content->as_string()));
  if (!parsed) {
    reply(encode(parsed.error()));
    return;
  }
  const auto lines = describe_difference(engine_.control().config(), parsed.value());
  reply(encode(result_code::ok, "", { { "changes", to_array(lines) } }));
}

std::string
operator_service::derive_key(const std::string& workspace, const std::string& edit_id) const
{
  // A command that is repeated with its edit id after a lost answer prints the same key again.
  const auto text = "workspace key\n" + workspace + "\n" + edit_id;
  return "pskey_" + to_hex(hmac_sha256(engine_.settings().session_secret, text));
}

void
operator_service::give_key(const json::value& body, const respond& reply, instant now)
{
  constexpr auto invalid = result_code::bad_request;
  auto fields = json_fields::create(body, "body", invalid);
  if (!fields) {
    reply(encode(fields.error()));
    return;
  }
  const auto workspace = fields.value().text("workspace");
  const auto note = fields.value().text_or("note", "");
  const auto edit_id = fields.value().text_or("edit_id", random_edit_id(random_bits));
  const auto finished = fields.value().finish();
  for (const auto* field : { &workspace, &note, &edit_id }) {
    if (!*field) {
      reply(encode(field->error()));
      return;
    }
  }
  if (!finished) {
    reply(encode(finished.error()));
    return;
  }
  if (engine_.control().config().find_workspace(workspace_id(workspace.value())) == nullptr) {
    reply(encode(result_code::not_found,
                 "workspace \"" + workspace.value() + "\" is not configured",
                 {},
                 404));
    return;
  }
  const auto key = derive_key(workspace.value(), edit_id.value());
  auto changed = engine_.control().keys();
  const auto given = changed.give(sha256(key), workspace_id(workspace.value()), note.value());
  if (!given) {
    reply(encode(given.error()));
    return;
  }
  publish_keys(
    changed, edit_id.value(), { { "key", key }, { "digest", to_hex(sha256(key)) } }, reply, now);
}

void
operator_service::revoke_key(const json::value& body, const respond& reply, instant now)
{
  auto fields = json_fields::create(body, "body", result_code::bad_request);
  if (!fields) {
    reply(encode(fields.error()));
    return;
  }
  const auto prefix = fields.value().text_or("digest_prefix", "");
  const auto digest = fields.value().text_or("digest", "");
  const auto edit_id = fields.value().text_or("edit_id", random_edit_id(random_bits));
  const auto finished = fields.value().finish();
  if (!prefix || !digest || !edit_id || !finished) {
    reply(
      encode({ result_code::bad_request, "body: expected digest_prefix or digest, and edit_id" }));
    return;
  }
  auto changed = engine_.control().keys();
  const auto revoked = changed.revoke(digest.value().empty() ? prefix.value() : digest.value());
  if (!revoked) {
    reply(encode(revoked.error()));
    return;
  }
  publish_keys(changed,
               edit_id.value(),
               { { "digest", to_hex(revoked.value().digest) },
                 { "workspace", revoked.value().workspace.get() } },
               reply,
               now);
}

void
operator_service::publish_keys(const key_set& changed,
                               const std::string& edit_id,
                               const json::object& body,
                               const respond& reply,
                               instant now)
{
  auto& document = engine_.control().key_document();
  document_edit edit;
  edit.expected_version = document.version();
  edit.content = changed.text(config_version(edit.expected_version.get() + 1));
  edit.author = default_author;
  edit.edit_id = edit_id;
  edit.deadline = now + edit_limit;
  document.publish(std::move(edit), now, [this, body, reply](result<document_version> outcome) {
    if (!outcome) {
      reply(encode(outcome.error()));
      return;
    }
    waiting_.push_back({ outcome.value().version, body, reply, engine_.now() + force_limit });
  });
}

void
operator_service::tick(instant now)
{
  std::erase_if(waiting_, [&](waiting_change& change) {
    const auto progress = engine_.control().acknowledged(change.version, now);
    auto body = change.body;
    body["version"] = change.version.get();
    if (progress.accepted) {
      change.reply(encode(result_code::ok, "accepted", std::move(body)));
      return true;
    }
    if (now < change.give_up) {
      return false;
    }
    json::array zones;
    std::string names;
    for (const auto& zone : progress.missing) {
      zones.emplace_back(zone.get());
      names += (names.empty() ? "" : ", ") + zone.get();
    }
    body["zones"] = std::move(zones);
    change.reply(encode(result_code::stored_not_in_force,
                        "stored, not yet in force in zones " + names,
                        std::move(body)));
    return true;
  });
}

}
