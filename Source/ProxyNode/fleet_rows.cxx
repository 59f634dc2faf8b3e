#include "ProxyNode/fleet_rows.h"

#include "Base/json_fields.h"
#include "platform/configuration_format.h"
#include "platform/store_format.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cmath>
#include <limits>

namespace persimmonshelf {

namespace {

constexpr auto malformed = result_code::malformed_answer;
// Capacities are stored in millionths of a processor core.
constexpr std::int64_t parts_per_core = 1'000'000;
constexpr std::int64_t max_capacity_cores = 1'000;
constexpr std::int64_t max_validity_ms = 60'000;
constexpr std::int64_t max_carriers_per_group = 10'000;
// A record that the store refuses could never be written.
static_assert(group_key_prefix.size() + platform::group_name_limit_bytes <=
              platform::row_text_limit_bytes);

}

std::string
encode_coordinator(const coordinator_row& row)
{
  return boost::json::serialize(
    boost::json::object{ { "holder", row.holder.get() },
                         { "incarnation", std::to_string(row.incarnation.get()) },
                         { "token", row.token.get() },
                         { "address", row.address },
                         { "validity_ms", row.validity.count() / 1000 },
                         { "renewal", row.renewal } });
}

namespace {

result<incarnation_id>
incarnation_field(json_fields& fields)
{
  BOOST_OUTCOME_TRY(const auto text, fields.text("incarnation"));
  // Stored as text, because incarnations use all 64 bits and JSON numbers cannot represent them.
  char* end = nullptr;
  const auto value = std::strtoull(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0') {
    return fail(malformed, fields.place() + ".incarnation: \"" + text + "\" is not a number");
  }
  return incarnation_id(value);
}

}

result<coordinator_row>
decode_coordinator(std::string_view text)
{
  BOOST_OUTCOME_TRY(const auto value, parse_json(text, malformed));
  BOOST_OUTCOME_TRY(auto fields, json_fields::create(value, "coordinator", malformed));
  coordinator_row row;
  BOOST_OUTCOME_TRY(const auto holder, fields.text("holder"));
  row.holder = instance_id(holder);
  BOOST_OUTCOME_TRY(row.incarnation, incarnation_field(fields));
  BOOST_OUTCOME_TRY(const auto token,
                    fields.integer("token", 0, std::numeric_limits<std::int64_t>::max()));
  row.token = fencing_token(static_cast<std::uint64_t>(token));
  BOOST_OUTCOME_TRY(row.address, fields.text("address"));
  BOOST_OUTCOME_TRY(const auto validity, fields.integer("validity_ms", 1, max_validity_ms));
  row.validity = std::chrono::milliseconds(validity);
  BOOST_OUTCOME_TRY(const auto renewal,
                    fields.integer("renewal", 0, std::numeric_limits<std::int64_t>::max()));
  row.renewal = static_cast<std::uint64_t>(renewal);
  return row;
}

std::string
encode_group(const group_record& record)
{
  return boost::json::serialize(boost::json::object{ { "group", record.group },
                                                     { "primary", record.primary.get() },
                                                     { "changing", record.changing },
                                                     { "stepped_down", record.stepped_down },
                                                     { "term", record.primary_term.get() },
                                                     { "era", record.recorded_in.get() } });
}

result<group_record>
decode_group(std::string_view text)
{
  BOOST_OUTCOME_TRY(const auto value, parse_json(text, malformed));
  BOOST_OUTCOME_TRY(auto fields, json_fields::create(value, "group", malformed));
  group_record record;
  BOOST_OUTCOME_TRY(record.group, fields.text("group"));
  BOOST_OUTCOME_TRY(const auto primary, fields.text("primary"));
  record.primary = member_id(primary);
  BOOST_OUTCOME_TRY(record.changing, fields.boolean_or("changing", true));
  BOOST_OUTCOME_TRY(record.stepped_down, fields.boolean_or("stepped_down", false));
  BOOST_OUTCOME_TRY(const auto number,
                    fields.integer("term", 0, std::numeric_limits<std::int64_t>::max()));
  record.primary_term = term(static_cast<std::uint64_t>(number));
  BOOST_OUTCOME_TRY(
    const auto era,
    fields.integer_or("era", 0, 0, static_cast<std::int64_t>(platform::max_store_era)));
  record.recorded_in = store_era(static_cast<std::uint64_t>(era));
  return record;
}

std::string
encode_instance(incarnation_id incarnation)
{
  return boost::json::serialize(
    boost::json::object{ { "incarnation", std::to_string(incarnation.get()) } });
}

result<incarnation_id>
decode_instance(std::string_view text)
{
  BOOST_OUTCOME_TRY(const auto value, parse_json(text, malformed));
  BOOST_OUTCOME_TRY(auto fields, json_fields::create(value, "instance", malformed));
  return incarnation_field(fields);
}

std::string
encode_plan(const carrier_plan& plan)
{
  boost::json::array carriers;
  for (const auto& entry : plan.carriers) {
    carriers.push_back(boost::json::object{
      { "instance", entry.instance.get() },
      { "zone", entry.zone.get() },
      { "address", entry.address },
      { "capacity_ppm", static_cast<std::int64_t>(std::lround(entry.capacity * parts_per_core)) },
      { "away", entry.unavailable },
      { "substitute", entry.substitute } });
  }
  return boost::json::serialize(
    boost::json::object{ { "version", plan.version },
                         { "carriers_per_group", plan.carriers_per_group },
                         { "carriers", carriers } });
}

result<carrier_plan>
decode_plan(std::string_view text)
{
  BOOST_OUTCOME_TRY(const auto value, parse_json(text, malformed));
  BOOST_OUTCOME_TRY(auto fields, json_fields::create(value, "plan", malformed));
  carrier_plan plan;
  BOOST_OUTCOME_TRY(const auto version,
                    fields.integer("version", 1, std::numeric_limits<std::int64_t>::max()));
  plan.version = static_cast<std::uint64_t>(version);
  BOOST_OUTCOME_TRY(const auto per_group,
                    fields.integer_or("carriers_per_group", 0, 0, max_carriers_per_group));
  plan.carriers_per_group = static_cast<std::uint32_t>(per_group);
  const auto* list = fields.find("carriers");
  if (list == nullptr || !list->is_array()) {
    return fail(malformed, "plan.carriers: a list is expected");
  }
  for (const auto& element : list->as_array()) {
    BOOST_OUTCOME_TRY(auto entry, json_fields::create(element, "plan.carriers", malformed));
    carrier next;
    BOOST_OUTCOME_TRY(const auto instance, entry.text("instance"));
    next.instance = instance_id(instance);
    BOOST_OUTCOME_TRY(const auto zone, entry.text("zone"));
    next.zone = zone_id(zone);
    BOOST_OUTCOME_TRY(next.address, entry.text("address"));
    BOOST_OUTCOME_TRY(const auto capacity,
                      entry.integer("capacity_ppm", 1, max_capacity_cores * parts_per_core));
    next.capacity = static_cast<double>(capacity) / parts_per_core;
    BOOST_OUTCOME_TRY(next.unavailable, entry.boolean_or("away", false));
    BOOST_OUTCOME_TRY(next.substitute, entry.boolean_or("substitute", false));
    plan.carriers.push_back(std::move(next));
  }
  return plan;
}

}
