#include "Engine/operator_service.h"

#include "Base/json_fields.h"
#include "Engine/operator_answer.h"
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

void
answer_section(const std::optional<json::object>& section,
               const std::string& what,
               const operator_service::respond& reply)
{
  if (!section) {
    reply(encode_operator_answer(result_code::not_found, what + " is not configured", {}, 404));
    return;
  }
  reply(encode_operator_answer(result_code::ok, "", *section));
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
    reply(
      encode_operator_answer(result_code::not_found, "unknown target " + request.target, {}, 404));
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
    reply(encode_operator_answer(result_code::ok,
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
    reply(encode_operator_answer(
      result_code::ok,
      "",
      { { "version", control.key_document().version().get() }, { "keys", std::move(keys) } }));
  } else if (path == "status") {
    reply(encode_operator_answer(result_code::ok, "", describe_fleet(engine_, now)));
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
        reply(encode_operator_error(text.error()));
        return;
      }
      reply(
        encode_operator_answer(result_code::ok, "", { { "account", json::parse(text.value()) } }));
    });
  } else if (parts.size() == 2 && parts[0] == "trace") {
    const auto* trace = engine_.entry().traces().find(request_id(name));
    if (trace == nullptr) {
      reply(
        encode_operator_answer(result_code::not_found,
                               "no trace of request " + name +
                                 " on this instance; query the instance that received the request",
                               {},
                               404));
      return;
    }
    reply(encode_operator_answer(
      result_code::ok, "", json::parse(to_json(request_id(name), *trace)).as_object()));
  } else {
    reply(encode_operator_answer(
      result_code::not_found, "unknown target /v1/" + std::string(path), {}, 404));
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
    reply(encode_operator_answer(result_code::ok, "the planned stop has begun"));
    return;
  }
  const auto body = parse_json(text.empty() ? "{}" : text, result_code::bad_request);
  if (!body) {
    reply(encode_operator_error(body.error()));
    return;
  }
  if (path == "config") {
    set_config(body.value(), reply, now);
  } else if (path == "config/diff") {
    diff_config(body.value(), reply);
  } else if (path == "keys") {
    add_key(body.value(), reply, now);
  } else if (path == "keys/revoke") {
    revoke_key(body.value(), reply, now);
  } else {
    reply(encode_operator_answer(
      result_code::not_found, "unknown target /v1/" + std::string(path), {}, 404));
  }
}

void
operator_service::tick(instant now)
{
  std::erase_if(pending_key_changes_, [&](pending_key_change& change) {
    const auto progress = engine_.control().evidence().acknowledged(change.version, now);
    auto body = change.body;
    body["version"] = change.version.get();
    if (progress.accepted) {
      change.reply(encode_operator_answer(result_code::ok, "accepted", std::move(body)));
      return true;
    }
    if (now < change.deadline) {
      return false;
    }
    json::array zones;
    std::string names;
    for (const auto& zone : progress.missing) {
      zones.emplace_back(zone.get());
      names += (names.empty() ? "" : ", ") + zone.get();
    }
    body["zones"] = std::move(zones);
    change.reply(encode_operator_answer(result_code::stored_not_in_force,
                                        "stored, but not yet in effect in zones " + names,
                                        std::move(body)));
    return true;
  });
}

}
