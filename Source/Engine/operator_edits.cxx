#include "Engine/operator_service.h"

#include "Base/json_fields.h"
#include "Engine/operator_answer.h"

#include <boost/json/array.hpp>

#include <cstdint>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

// Time limits of an operator's command: for storing an edit, and then for the acknowledgement of a
// stored key set.
constexpr duration edit_timeout = std::chrono::seconds(5);
constexpr duration key_acceptance_timeout = std::chrono::seconds(5);
constexpr std::string_view default_author = "operator";

json::array
to_array(const std::vector<std::string>& lines)
{
  json::array array;
  for (const auto& line : lines) {
    array.emplace_back(line);
  }
  return array;
}

// A parsed request to change the configuration.
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
    reply(encode_operator_error(read.error()));
    return;
  }
  const auto parsed = configuration::parse(read.value().edit.content);
  if (!parsed) {
    reply(encode_operator_error(parsed.error()));
    return;
  }
  const auto before = control.config();
  const auto lines = describe_difference(before, parsed.value());
  json::object answer{ { "changes", to_array(lines) },
                       { "warnings", to_array(parsed.value().warnings()) } };
  if (read.value().dry_run) {
    answer["version"] = control.config_document().version().get();
    reply(encode_operator_answer(result_code::ok, "valid; nothing was changed", std::move(answer)));
    return;
  }
  auto edit = std::move(read.value().edit);
  edit.deadline = now + edit_timeout;
  if (edit.edit_id.empty()) {
    edit.edit_id = random_edit_id(random_bits);
  }
  control.publish(control_service::document_name::config,
                  std::move(edit),
                  now,
                  [this, before, answer, reply](result<document_version> outcome) {
                    auto fields = answer;
                    if (outcome) {
                      fields["version"] = outcome.value().version.get();
                      fields["edit_id"] = outcome.value().edit_id;
                      reply(encode_operator_answer(result_code::ok, "accepted", std::move(fields)));
                      return;
                    }
                    if (outcome.error().code != result_code::config_conflict) {
                      reply(encode_operator_error(outcome.error()));
                      return;
                    }
                    // The response lists what the concurrent edit changed.
                    const auto& current = engine_.control().config();
                    reply(encode_operator_answer(
                      result_code::config_conflict,
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
    reply(encode_operator_error({ result_code::bad_request, "body.content: expected a string" }));
    return;
  }
  const auto parsed = configuration::parse(std::string_view(content->as_string()));
  if (!parsed) {
    reply(encode_operator_error(parsed.error()));
    return;
  }
  const auto lines = describe_difference(engine_.control().config(), parsed.value());
  reply(encode_operator_answer(result_code::ok, "", { { "changes", to_array(lines) } }));
}

std::string
operator_service::derive_key(const std::string& workspace, const std::string& edit_id) const
{
  // Derived from the edit id, so that a command repeated after a lost answer returns the same key.
  const auto text = "workspace key\n" + workspace + "\n" + edit_id;
  return "pskey_" + to_hex(hmac_sha256(engine_.settings().session_secret, text));
}

void
operator_service::add_key(const json::value& body, const respond& reply, instant now)
{
  constexpr auto invalid = result_code::bad_request;
  auto fields = json_fields::create(body, "body", invalid);
  if (!fields) {
    reply(encode_operator_error(fields.error()));
    return;
  }
  const auto workspace = fields.value().text("workspace");
  const auto note = fields.value().text_or("note", "");
  const auto edit_id = fields.value().text_or("edit_id", random_edit_id(random_bits));
  const auto finished = fields.value().finish();
  for (const auto* field : { &workspace, &note, &edit_id }) {
    if (!*field) {
      reply(encode_operator_error(field->error()));
      return;
    }
  }
  if (!finished) {
    reply(encode_operator_error(finished.error()));
    return;
  }
  if (engine_.control().config().find_workspace(workspace_id(workspace.value())) == nullptr) {
    reply(encode_operator_answer(result_code::not_found,
                                 "workspace \"" + workspace.value() + "\" is not configured",
                                 {},
                                 404));
    return;
  }
  const auto key = derive_key(workspace.value(), edit_id.value());
  auto changed = engine_.control().keys();
  const auto given = changed.add(sha256(key), workspace_id(workspace.value()), note.value());
  if (!given) {
    reply(encode_operator_error(given.error()));
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
    reply(encode_operator_error(fields.error()));
    return;
  }
  const auto prefix = fields.value().text_or("digest_prefix", "");
  const auto digest = fields.value().text_or("digest", "");
  const auto edit_id = fields.value().text_or("edit_id", random_edit_id(random_bits));
  const auto finished = fields.value().finish();
  if (!prefix || !digest || !edit_id || !finished) {
    reply(encode_operator_error(
      { result_code::bad_request, "body: expected digest_prefix or digest, and edit_id" }));
    return;
  }
  auto changed = engine_.control().keys();
  const auto revoked = changed.revoke(digest.value().empty() ? prefix.value() : digest.value());
  if (!revoked) {
    reply(encode_operator_error(revoked.error()));
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
  auto& control = engine_.control();
  document_edit edit;
  edit.expected_version = control.key_document().version();
  edit.content = changed.text(config_version(edit.expected_version.get() + 1));
  edit.author = default_author;
  edit.edit_id = edit_id;
  edit.deadline = now + edit_timeout;
  control.publish(
    control_service::document_name::keys,
    std::move(edit),
    now,
    [this, body, reply](result<document_version> outcome) {
      if (!outcome) {
        reply(encode_operator_error(outcome.error()));
        return;
      }
      pending_key_changes_.push_back(
        { outcome.value().version, body, reply, engine_.now() + key_acceptance_timeout });
    });
}

}
