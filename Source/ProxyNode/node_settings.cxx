#include "ProxyNode/node_settings.h"

#include "Base/json_fields.h"
#include "Proxy/connection_pool.h"

#include <boost/json/array.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace persimmonshelf {

namespace {

constexpr auto invalid = result_code::settings_invalid;
constexpr std::int64_t max_duration_ms = 3'600'000;
constexpr double max_processor_cores = 1024;
constexpr std::int64_t max_tolerance = 1'000'000;
constexpr std::int64_t bytes_per_megabyte = 1 << 20;
// A process at rest uses about 11 MB, and one message of a caller takes several copies of 1 MiB.
constexpr std::int64_t min_memory_mb = 32;
constexpr std::int64_t max_memory_mb = 1 << 20;
constexpr std::int64_t default_memory_mb = 256;
// Leaves room for files, the listeners, the store and some members beside the callers.
constexpr std::int64_t min_descriptors = 256;
constexpr std::int64_t max_descriptors = 1 << 20;
constexpr std::int64_t default_evacuation_limit_ms = 5000;
constexpr std::int64_t default_drain_limit_ms =
  std::chrono::duration_cast<std::chrono::milliseconds>(default_drain_limit).count();

result<tcp_address>
address_field(json_fields& fields, std::string_view name)
{
  BOOST_OUTCOME_TRY(const auto text, fields.text(name));
  tcp_address address;
  if (!parse_address(text, address)) {
    return fail(invalid,
                fields.place() + "." + std::string(name) + ": \"" + text +
                  "\" is not an IP:port address");
  }
  return address;
}

result<duration>
milliseconds_field(json_fields& fields, std::string_view name)
{
  BOOST_OUTCOME_TRY(const auto value, fields.integer(name, 1, max_duration_ms));
  return duration(std::chrono::milliseconds(value));
}

result<duration>
seconds_field(json_fields& fields, std::string_view name)
{
  BOOST_OUTCOME_TRY(const auto value, fields.integer(name, 1, max_duration_ms / 1000));
  return duration(std::chrono::seconds(value));
}

// Number of processor cores, above zero.
result<double>
capacity_field(json_fields& fields)
{
  const auto* value = fields.find("processor_cores");
  const auto number = value != nullptr && value->is_number() ? value->to_number<double>() : 0.0;
  if (number <= 0 || number > max_processor_cores) {
    return fail(invalid,
                fields.place() + ".processor_cores: a number above 0 and at most " +
                  std::to_string(static_cast<int>(max_processor_cores)) + " is expected");
  }
  return number;
}

// What workspaces may use beyond their rates; none if the section is missing.
result<rate_tolerance>
tolerance_section(json_fields& fields)
{
  const auto* value = fields.find("rate_tolerance");
  if (value == nullptr) {
    return rate_tolerance();
  }
  BOOST_OUTCOME_TRY(auto section, json_fields::create(*value, "settings.rate_tolerance", invalid));
  rate_tolerance tolerance;
  BOOST_OUTCOME_TRY(tolerance.window, seconds_field(section, "window_s"));
  BOOST_OUTCOME_TRY(const auto operations, section.integer("operations", 0, max_tolerance));
  tolerance.operations = static_cast<double>(operations);
  const auto* fraction = section.find("fraction");
  const bool is_fraction = fraction != nullptr && fraction->is_number() &&
                           fraction->to_number<double>() >= 0 && fraction->to_number<double>() <= 1;
  if (!is_fraction) {
    return fail(invalid, section.place() + ".fraction: a number from 0 to 1 is expected");
  }
  tolerance.fraction = fraction->to_number<double>();
  BOOST_OUTCOME_TRYV(section.finish());
  return tolerance;
}

// Number of descriptors that the system allows this process.
std::int64_t
system_descriptors()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return min_descriptors;
  }
  return static_cast<std::int64_t>(std::clamp<rlim_t>(
    limit.rlim_cur, static_cast<rlim_t>(min_descriptors), static_cast<rlim_t>(max_descriptors)));
}

// The resources of the machine. If the section is missing, a small machine and the descriptors that
// the system allows are assumed: a fleet of 300 instances needs more than any fixed small number.
result<resource_limits>
resource_section(json_fields& fields)
{
  const boost::json::value missing = boost::json::object();
  const auto* value = fields.find("limits");
  BOOST_OUTCOME_TRY(
    auto section,
    json_fields::create(value == nullptr ? missing : *value, "settings.limits", invalid));
  resource_limits limits;
  BOOST_OUTCOME_TRY(
    const auto memory,
    section.integer_or("memory_mb", default_memory_mb, min_memory_mb, max_memory_mb));
  limits.memory_bytes = static_cast<std::uint64_t>(memory * bytes_per_megabyte);
  BOOST_OUTCOME_TRY(
    const auto descriptors,
    section.integer_or("descriptors", system_descriptors(), min_descriptors, max_descriptors));
  limits.descriptors = static_cast<std::uint32_t>(descriptors);
  BOOST_OUTCOME_TRYV(section.finish());
  return limits;
}

result<std::vector<std::string>>
text_list(const boost::json::value* value, const std::string& place)
{
  std::vector<std::string> texts;
  if (value == nullptr || value->is_null()) {
    return texts;
  }
  if (!value->is_array()) {
    return fail(invalid, place + ": a list is expected");
  }
  for (const auto& entry : value->as_array()) {
    if (!entry.is_string()) {
      return fail(invalid, place + ": a list of strings is expected");
    }
    texts.emplace_back(entry.as_string());
  }
  return texts;
}

result<json_fields>
section(json_fields& fields, std::string_view name)
{
  const auto* value = fields.find(name);
  if (value == nullptr) {
    return fail(invalid, "settings." + std::string(name) + " is missing");
  }
  return json_fields::create(*value, "settings." + std::string(name), invalid);
}

result<void>
parse_addresses(json_fields& fields, node_settings& settings)
{
  BOOST_OUTCOME_TRY(auto listen, section(fields, "listen"));
  BOOST_OUTCOME_TRY(settings.callers, address_field(listen, "callers"));
  BOOST_OUTCOME_TRY(settings.readiness, address_field(listen, "readiness"));
  BOOST_OUTCOME_TRY(settings.metrics, address_field(listen, "metrics"));
  BOOST_OUTCOME_TRY(settings.peers, address_field(listen, "peers"));
  BOOST_OUTCOME_TRY(settings.relay, address_field(listen, "relay"));
  BOOST_OUTCOME_TRYV(listen.finish());
  BOOST_OUTCOME_TRY(auto store, section(fields, "store"));
  BOOST_OUTCOME_TRY(settings.store, address_field(store, "address"));
  BOOST_OUTCOME_TRYV(store.finish());
  BOOST_OUTCOME_TRY(auto duties, section(fields, "duties"));
  BOOST_OUTCOME_TRY(settings.promotion_api, address_field(duties, "address"));
  BOOST_OUTCOME_TRY(const auto names, text_list(duties.find("lists"), "settings.duties.lists"));
  settings.replaces_primaries = std::find(names.begin(), names.end(), "promote") != names.end();
  return duties.finish();
}

}

result<node_settings>
parse_node_settings(std::string_view text)
{
  BOOST_OUTCOME_TRY(const auto value, parse_json(text, invalid));
  BOOST_OUTCOME_TRY(auto fields, json_fields::create(value, "settings", invalid));
  node_settings settings;
  BOOST_OUTCOME_TRY(const auto name, fields.text("instance"));
  settings.name = instance_id(name);
  BOOST_OUTCOME_TRY(const auto zone, fields.text("zone"));
  settings.zone = zone_id(zone);
  BOOST_OUTCOME_TRY(const auto seeds, text_list(fields.find("seeds"), "settings.seeds"));
  for (const auto& seed : seeds) {
    tcp_address address;
    if (!parse_address(seed, address)) {
      return fail(invalid, "settings.seeds: \"" + seed + "\" is not an IP:port address");
    }
    settings.seeds.push_back(address.address);
  }
  BOOST_OUTCOME_TRYV(parse_addresses(fields, settings));
  BOOST_OUTCOME_TRY(settings.key_revocation_limit, milliseconds_field(fields, "key_revocation_ms"));
  BOOST_OUTCOME_TRY(settings.stop_grace, seconds_field(fields, "stop_grace_s"));
  BOOST_OUTCOME_TRY(settings.configuration_apply_limit,
                    milliseconds_field(fields, "configuration_limit_ms"));
  BOOST_OUTCOME_TRY(settings.tolerance, tolerance_section(fields));
  BOOST_OUTCOME_TRY(settings.capacity, capacity_field(fields));
  BOOST_OUTCOME_TRY(settings.resources, resource_section(fields));
  BOOST_OUTCOME_TRY(
    const auto evacuation_limit,
    fields.integer_or("evacuation_limit_ms", default_evacuation_limit_ms, 1, max_duration_ms));
  settings.evacuation_limit = std::chrono::milliseconds(evacuation_limit);
  BOOST_OUTCOME_TRY(
    const auto drain_limit,
    fields.integer_or("drain_limit_ms", default_drain_limit_ms, 1, max_duration_ms));
  settings.drain_limit = std::chrono::milliseconds(drain_limit);
  BOOST_OUTCOME_TRY(settings.first_start, fields.boolean_or("first_start", false));
  BOOST_OUTCOME_TRYV(fields.finish());
  return settings;
}

result<node_settings>
load_node_settings(const std::string& path)
{
  std::ifstream file(path);
  if (!file) {
    return fail(invalid, path + ": cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  auto settings = parse_node_settings(text.str());
  if (!settings) {
    return fail(invalid, path + ": " + settings.error().message);
  }
  settings.value().path = path;
  return settings;
}

}
