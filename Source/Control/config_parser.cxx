#include "Control/config_parser.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>
#include <type_traits>

namespace persimmonshelf {

namespace json = boost::json;

namespace {

constexpr std::size_t max_listed_errors = 20;
constexpr std::size_t max_name_length = 64;
constexpr std::int64_t max_slots = 1000;
constexpr std::int64_t max_connections = 100'000;
constexpr std::int64_t max_rate = 1'000'000;
constexpr std::int64_t hour_ms = 3'600'000;

// Names become parts of URLs, table keys and metric labels, so only characters that need no
// escaping there are allowed.
bool
is_name(const std::string& text)
{
  constexpr std::string_view letters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789_.-";
  return !text.empty() && text.size() <= max_name_length &&
         text.find_first_not_of(letters) == std::string::npos;
}

bool
is_address(const std::string& text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  auto host = text.substr(0, colon);
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code failure;
  const auto address = boost::asio::ip::make_address(host, failure);
  if (failure || address.is_v6() != bracketed) {
    return false;
  }
  unsigned int port = 0;
  const auto* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  return parsed.ec == std::errc{} && parsed.ptr == end && port >= 1 && port <= 65535;
}

std::string
format_errors(const std::multimap<std::size_t, std::string>& errors)
{
  std::string text;
  std::size_t count = 0;
  for (const auto& [line, message] : errors) {
    if (count == max_listed_errors) {
      text += "\n" + std::to_string(errors.size() - count) + " further errors";
      break;
    }
    text += (count == 0 ? "" : "\n") + message;
    ++count;
  }
  return text;
}

}

config_parser::config_parser(std::string_view text)
  : locator_(text)
{
}

result<configuration>
config_parser::parse(std::string_view text)
{
  const auto root = parse_json(text, result_code::config_invalid);
  if (!root) {
    // The JSON parser reports a byte offset; operators need a line number.
    constexpr std::string_view marker = "at byte ";
    const auto& message = root.error().message;
    const auto found = message.find(marker);
    std::size_t offset = 0;
    if (found != std::string::npos) {
      std::from_chars(
        message.data() + found + marker.size(), message.data() + message.size(), offset);
    }
    return fail(result_code::config_invalid,
                "line " + std::to_string(json_locator::line_at(text, offset)) + ": " + message);
  }
  config_parser parser(text);
  parser.read_all(root.value());
  if (!parser.errors_.empty()) {
    return fail(result_code::config_invalid, format_errors(parser.errors_));
  }
  for (const auto& [line, warning] : parser.warnings_) {
    parser.config_.warnings_.push_back(warning);
  }
  parser.config_.index();
  return std::move(parser.config_);
}

void
config_parser::add_error(const std::string& path, const std::string& reason)
{
  const auto line = locator_.line_of(path);
  errors_.emplace(line, "line " + std::to_string(line) + ": " + path + ": " + reason);
}

void
config_parser::add_warning(const std::string& path, const std::string& reason)
{
  const auto line = locator_.line_of(path);
  warnings_.emplace(line, "line " + std::to_string(line) + ": " + path + ": " + reason);
}

void
config_parser::add_error(const error& failed)
{
  // Messages of json_fields have the form "<path>.<name>: <reason>"; the path of the root is empty.
  const auto& message = failed.message;
  const auto start = message.find_first_not_of('.');
  const auto colon = message.find(": ");
  add_error(message.substr(start, colon - start), message.substr(colon + 2));
}

template<typename value>
value
config_parser::value_or_default(result<value> parsed)
{
  if (parsed) {
    return std::move(parsed).value();
  }
  add_error(parsed.error());
  return value{};
}

std::string
config_parser::read_name(json_fields& fields, std::string_view field)
{
  auto parsed = fields.text(field);
  if (!parsed) {
    add_error(parsed.error());
    return {};
  }
  if (!is_name(parsed.value())) {
    add_error(fields.place() + "." + std::string(field),
              "expected 1 to 64 letters, digits, '_', '.' or '-'");
    return {};
  }
  return std::move(parsed).value();
}

void
config_parser::for_each_object(json_fields& fields,
                               std::string_view field,
                               bool required,
                               const item_reader& read)
{
  const auto path = (fields.place().empty() ? "" : fields.place() + ".") + std::string(field);
  const auto* found = fields.find(field);
  if (found == nullptr && !required) {
    return;
  }
  if (found == nullptr || !found->is_array()) {
    add_error(path, "expected an array of objects");
    return;
  }
  const auto& items = found->as_array();
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto inner_path = path + "[" + std::to_string(i) + "]";
    auto inner = json_fields::create(items[i], inner_path, result_code::config_invalid);
    if (!inner) {
      add_error(inner.error());
      continue;
    }
    read(inner.value(), inner_path);
    const auto finished = inner.value().finish();
    if (!finished) {
      add_error(finished.error());
    }
  }
}

// Returns the names of an array field with their paths. A missing field counts as an empty array.
std::vector<std::pair<std::string, std::string>>
config_parser::read_names(json_fields& fields, std::string_view field)
{
  std::vector<std::pair<std::string, std::string>> names;
  const auto path = fields.place() + "." + std::string(field);
  const auto* found = fields.find(field);
  if (found == nullptr) {
    return names;
  }
  if (!found->is_array()) {
    add_error(path, "expected an array of names");
    return names;
  }
  const auto& items = found->as_array();
  std::set<std::string> seen;
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto inner = path + "[" + std::to_string(i) + "]";
    if (!items[i].is_string()) {
      add_error(inner, "expected a name");
      continue;
    }
    std::string name(items[i].as_string());
    if (!seen.insert(name).second) {
      add_error(inner, "\"" + name + "\" is listed twice");
      continue;
    }
    names.emplace_back(inner, std::move(name));
  }
  return names;
}

void
config_parser::check_unique(const std::string& kind,
                            const std::string& path,
                            const std::string& name)
{
  if (!name.empty() && !defined_names_[kind].insert(name).second) {
    add_error(path, kind + " \"" + name + "\" is already defined");
  }
}

void
config_parser::read_workspace(json_fields& fields, const std::string& path)
{
  workspace_config workspace;
  workspace.id = workspace_id(read_name(fields, "name"));
  check_unique("workspace", path + ".name", workspace.id.get());
  workspace.rate = value_or_default(fields.integer("rate", 1, max_rate));
  workspace.burst = value_or_default(fields.integer("burst", 1, max_rate));
  config_.workspaces_.push_back(std::move(workspace));
}

void
config_parser::read_member(json_fields& fields, const std::string& path, database_config& database)
{
  member_config member;
  member.id = member_id(read_name(fields, "name"));
  check_unique("member", path + ".name", member.id.get());
  member.zone = zone_id(read_name(fields, "zone"));
  auto address = fields.text("address");
  if (!address) {
    add_error(address.error());
  } else if (!is_address(address.value())) {
    add_error(path + ".address",
              "expected an IP address and port, found \"" + address.value() + "\"");
  } else {
    member.address = std::move(address).value();
    // Two members on one server would count one copy of the data twice in a majority.
    check_unique("address", path + ".address", member.address);
  }
  database.members.push_back(std::move(member));
}

void
config_parser::read_database(json_fields& fields, const std::string& path)
{
  database_config database;
  database.id = database_id(read_name(fields, "name"));
  check_unique("database", path + ".name", database.id.get());
  database.slots = value_or_default(fields.integer("slots", 1, max_slots));
  database.connections = value_or_default(fields.integer("connections", 1, max_connections));
  database.default_max_age = std::chrono::milliseconds(
    value_or_default(fields.integer_or("default_max_age_ms", 0, 0, hour_ms)));
  for_each_object(fields, "members", true, [&](json_fields& inner, const std::string& inner_path) {
    read_member(inner, inner_path, database);
  });
  const auto count = static_cast<std::int64_t>(database.members.size());
  if (count == 0) {
    add_error(path + ".members", "expected at least one member");
  } else if (database.connections > 0 && database.connections < count) {
    add_error(path + ".connections",
              "expected at least one for each of the " + std::to_string(count) + " members");
  } else if (database.connections > 0 && database.connections_per_member() < database.slots) {
    add_warning(path + ".connections",
                "each member gets " + std::to_string(database.connections_per_member()) +
                  " connections, fewer than its " + std::to_string(database.slots) + " slots");
  }
  if (count > 0 && count % 2 == 0) {
    add_warning(path + ".members",
                "an odd number of members is recommended: " + std::to_string(count) +
                  " tolerate no more failures than " + std::to_string(count - 1));
  }
  config_.databases_.push_back(std::move(database));
}

void
config_parser::read_route(json_fields& fields, const std::string& path)
{
  route_config route;
  route.id = route_id(read_name(fields, "name"));
  check_unique("route", path + ".name", route.id.get());
  route.open = value_or_default(fields.boolean_or("open", false));
  for (auto& [name_path, name] : read_names(fields, "databases")) {
    if (defined_names_["database"].count(name) == 0) {
      add_error(name_path, "no database \"" + name + "\"");
    }
    route.databases.emplace_back(std::move(name));
  }
  for (auto& [name_path, name] : read_names(fields, "workspaces")) {
    if (defined_names_["workspace"].count(name) == 0) {
      add_error(name_path, "no workspace \"" + name + "\"");
    }
    route.workspaces.emplace_back(std::move(name));
  }
  if (route.databases.empty()) {
    add_error(path + ".databases", "expected at least one database");
  }
  if (route.open && !route.workspaces.empty()) {
    add_error(path + ".workspaces", "an open route may list no workspaces");
  }
  if (!route.open && route.workspaces.empty()) {
    add_warning(path + ".workspaces", "no workspace may use this route");
  }
  config_.routes_.push_back(std::move(route));
}

void
config_parser::read_settings(json_fields& fields)
{
  auto& settings = config_.settings_;
  const auto milliseconds = [&](std::string_view name, duration& setting, std::int64_t max) {
    const auto default_ms = std::chrono::duration_cast<std::chrono::milliseconds>(setting).count();
    setting =
      std::chrono::milliseconds(value_or_default(fields.integer_or(name, default_ms, 1, max)));
  };
  milliseconds("default_deadline_ms", settings.default_deadline, hour_ms);
  milliseconds("max_deadline_ms", settings.max_deadline, hour_ms);
  milliseconds("idle_transaction_ms", settings.idle_transaction, hour_ms);
  settings.queue_per_workspace = value_or_default(
    fields.integer_or("queue_per_workspace", settings.queue_per_workspace, 1, 100'000));
  if (settings.default_deadline > settings.max_deadline) {
    add_error("settings.default_deadline_ms", "expected at most max_deadline_ms");
  }
}

void
config_parser::read_all(const json::value& root)
{
  for (const auto& [path, line] : locator_.duplicates()) {
    errors_.emplace(line, "line " + std::to_string(line) + ": " + path + ": given twice");
  }
  auto created = json_fields::create(root, "", result_code::config_invalid);
  if (!created) {
    errors_.emplace(1, "line 1: expected an object");
    return;
  }
  auto& fields = created.value();
  for_each_object(
    fields, "workspaces", true, std::bind_front(&config_parser::read_workspace, this));
  for_each_object(fields, "databases", true, std::bind_front(&config_parser::read_database, this));
  for_each_object(fields, "routes", true, std::bind_front(&config_parser::read_route, this));
  const auto* settings = fields.find("settings");
  if (settings != nullptr) {
    auto inner = json_fields::create(*settings, "settings", result_code::config_invalid);
    if (!inner) {
      add_error(inner.error());
    } else {
      read_settings(inner.value());
      const auto finished = inner.value().finish();
      if (!finished) {
        add_error(finished.error());
      }
    }
  }
  const auto finished = fields.finish();
  if (!finished) {
    add_error(finished.error());
  }
}

}
