#include "Adapters/settings.h"

#include "Base/json_fields.h"

#include <fstream>
#include <sstream>

namespace persimmonshelf {

namespace {

constexpr auto invalid = result_code::settings_invalid;
constexpr std::size_t min_secret_length = 16;

result<tcp_address>
read_address(json_fields& fields, std::string_view name)
{
  BOOST_OUTCOME_TRY(auto text, fields.text(name));
  tcp_address address;
  if (!parse_address(text, address)) {
    return fail(invalid,
                fields.place() + "." + std::string(name) + ": expected IP:PORT, found \"" + text +
                  "\"");
  }
  return address;
}

result<std::vector<std::string>>
read_seed_peers(json_fields& fields)
{
  std::vector<std::string> peers;
  const auto* value = fields.find("seed_peers");
  if (value == nullptr) {
    return peers;
  }
  if (!value->is_array()) {
    return fail(invalid, "settings.seed_peers: expected an array of IP:PORT");
  }
  for (const auto& element : value->as_array()) {
    tcp_address address;
    if (!element.is_string() || !parse_address(std::string(element.as_string()), address)) {
      return fail(invalid, "settings.seed_peers: expected an array of IP:PORT");
    }
    peers.emplace_back(element.as_string());
  }
  return peers;
}

}

result<instance_settings>
parse_settings(std::string_view text)
{
  BOOST_OUTCOME_TRY(auto value, parse_json(text, invalid));
  BOOST_OUTCOME_TRY(auto fields, json_fields::create(value, "settings", invalid));
  instance_settings settings;
  BOOST_OUTCOME_TRY(auto instance, fields.text("instance"));
  BOOST_OUTCOME_TRY(auto zone, fields.text("zone"));
  if (instance.empty() || zone.empty()) {
    return fail(invalid, "settings.instance and settings.zone: must not be empty");
  }
  settings.instance = instance_id(std::move(instance));
  settings.zone = zone_id(std::move(zone));
  BOOST_OUTCOME_TRY(settings.caller_address, read_address(fields, "caller_address"));
  BOOST_OUTCOME_TRY(settings.operator_address, read_address(fields, "operator_address"));
  BOOST_OUTCOME_TRY(settings.peer_address, read_address(fields, "peer_address"));
  BOOST_OUTCOME_TRY(settings.metrics_address, read_address(fields, "metrics_address"));
  BOOST_OUTCOME_TRY(settings.platform_address, read_address(fields, "platform_address"));
  BOOST_OUTCOME_TRY(settings.seed_peers, read_seed_peers(fields));
  BOOST_OUTCOME_TRY(settings.session_secret, fields.text("session_secret"));
  if (settings.session_secret.size() < min_secret_length) {
    return fail(invalid, "settings.session_secret: expected at least 16 characters");
  }
  BOOST_OUTCOME_TRY(auto drain_ms, fields.integer_or("drain_timeout_ms", 30000, 0, 3600000));
  settings.drain_timeout = std::chrono::milliseconds(drain_ms);
  BOOST_OUTCOME_TRY(settings.caller_connection_limit,
                    fields.integer_or("caller_connection_limit", 20000, 1, 1000000));
  BOOST_OUTCOME_TRY(auto idle_s, fields.integer_or("caller_idle_timeout_s", 120, 1, 86400));
  settings.caller_idle_timeout = std::chrono::seconds(idle_s);
  BOOST_OUTCOME_TRY(fields.finish());
  return settings;
}

result<instance_settings>
load_settings(const std::string& path)
{
  std::ifstream file(path);
  if (!file) {
    return fail(invalid, path + ": cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto parsed = parse_settings(text.str());
  if (!parsed) {
    return fail(parsed.error().code, path + ": " + parsed.error().message);
  }
  return parsed;
}

}
