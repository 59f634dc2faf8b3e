#include "Adapters/platform_adapter.h"

#include "Base/percent_encoding.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>
#include <utility>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;

error
unavailable_error(const platform_reply& reply)
{
  return { result_code::platform_unavailable,
           reply.status == 0
             ? "the platform did not respond"
             : "the platform responded with HTTP status " + std::to_string(reply.status) };
}

std::optional<json::value>
parse_body(const platform_reply& reply)
{
  boost::system::error_code failure;
  auto value = json::parse(reply.body, failure);
  if (failure) {
    return std::nullopt;
  }
  return value;
}

std::string
read_text(const json::object& fields, std::string_view name)
{
  const auto* value = fields.if_contains(name);
  return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::optional<table_row>
to_row(const json::value& value, const std::string& key)
{
  const auto* fields = value.if_object();
  const auto* revision = fields == nullptr ? nullptr : fields->if_contains("revision");
  if (revision == nullptr || !revision->is_int64() || revision->as_int64() < 0) {
    return std::nullopt;
  }
  table_row row;
  row.key = key.empty() ? read_text(*fields, "key") : key;
  row.value = read_text(*fields, "value");
  row.revision = static_cast<std::uint64_t>(revision->as_int64());
  return row;
}

result<table_row>
decode_get(const platform_reply& reply, const std::string& key)
{
  if (reply.status == status_not_found) {
    return table_row{ key, {}, 0 };
  }
  const auto body = parse_body(reply);
  const auto row = reply.status == status_ok && body ? to_row(*body, key) : std::nullopt;
  if (!row) {
    return unavailable_error(reply);
  }
  return *row;
}

result<table_write>
decode_put(const platform_reply& reply, const std::string& key, const std::string& value)
{
  const auto body = parse_body(reply);
  const bool valid_status = reply.status == status_ok || reply.status == status_conflict;
  auto row = valid_status && body ? to_row(*body, key) : std::nullopt;
  if (!row) {
    return unavailable_error(reply);
  }
  const bool written = reply.status == status_ok;
  if (written) {
    row->value = value;
  }
  return table_write{ written, std::move(*row) };
}

result<std::vector<table_row>>
decode_list(const platform_reply& reply)
{
  const auto body = parse_body(reply);
  const auto* fields = reply.status == status_ok && body ? body->if_object() : nullptr;
  const auto* list = fields == nullptr ? nullptr : fields->if_contains("rows");
  if (list == nullptr || !list->is_array()) {
    return unavailable_error(reply);
  }
  std::vector<table_row> rows;
  for (const auto& item : list->as_array()) {
    auto row = to_row(item, {});
    if (!row) {
      return unavailable_error(reply);
    }
    rows.push_back(std::move(*row));
  }
  return rows;
}

result<std::vector<listed_instance>>
decode_instances(const platform_reply& reply)
{
  const auto body = parse_body(reply);
  if (reply.status != status_ok || !body || !body->is_array()) {
    return unavailable_error(reply);
  }
  std::vector<listed_instance> list;
  for (const auto& item : body->as_array()) {
    const auto* fields = item.if_object();
    // The list also contains backend servers, whose state is read from the servers themselves.
    if (fields == nullptr || read_text(*fields, "kind") == "backend") {
      continue;
    }
    listed_instance listed;
    listed.instance = instance_id(read_text(*fields, "instance"));
    listed.zone = zone_id(read_text(*fields, "zone"));
    listed.address = read_text(*fields, "address");
    listed.leaving = read_text(*fields, "state") == "leaving";
    list.push_back(std::move(listed));
  }
  return list;
}

}

platform_adapter::platform_adapter(std::function<bool(platform_call)> execute)
  : execute_(std::move(execute))
{
}

void
platform_adapter::call(std::string method, std::string target, std::string body, reply_handler done)
{
  const auto id = next_id_++;
  pending_[id] = std::move(done);
  if (!execute_({ id, std::move(method), std::move(target), std::move(body) })) {
    failed_ids_.push_back(id);
  }
}

table_hooks
platform_adapter::table()
{
  table_hooks hooks;
  hooks.get = [this](std::string key, std::function<void(result<table_row>)> done) {
    auto target = "/v1/table/" + percent_encode(key, "/");
    call("GET",
         std::move(target),
         {},
         [key = std::move(key), done = std::move(done)](const auto& reply) {
           done(decode_get(reply, key));
         });
  };
  hooks.put = [this](std::string key,
                     std::string value,
                     std::uint64_t if_revision,
                     std::function<void(result<table_write>)> done) {
    auto target = "/v1/table/" + percent_encode(key, "/");
    auto body = json::serialize(json::object{ { "value", value }, { "if_revision", if_revision } });
    call("PUT",
         std::move(target),
         std::move(body),
         [key = std::move(key), value = std::move(value), done = std::move(done)](
           const auto& reply) { done(decode_put(reply, key, value)); });
  };
  hooks.list = [this](const std::string& prefix,
                      std::function<void(result<std::vector<table_row>>)> done) {
    call("GET",
         "/v1/table?prefix=" + percent_encode(prefix, "/"),
         {},
         [done = std::move(done)](const auto& reply) { done(decode_list(reply)); });
  };
  return hooks;
}

void
platform_adapter::list_instances(list_callback done)
{
  call("GET", "/v1/instances", {}, [done = std::move(done)](const auto& reply) {
    done(decode_instances(reply));
  });
}

std::function<void()>
platform_adapter::take_callback(platform_reply reply)
{
  const auto found = pending_.find(reply.id);
  if (found == pending_.end()) {
    return {};
  }
  auto done = std::move(found->second);
  pending_.erase(found);
  return [done = std::move(done), reply = std::move(reply)] { done(reply); };
}

std::vector<std::function<void()>>
platform_adapter::take_failed_callbacks()
{
  std::vector<std::function<void()>> callbacks;
  for (const auto id : std::exchange(failed_ids_, {})) {
    if (auto callback = take_callback({ id, 0, {} })) {
      callbacks.push_back(std::move(callback));
    }
  }
  return callbacks;
}

}
