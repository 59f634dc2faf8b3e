#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "Base/utf8.h"
#include "ProxyNode/compression.h"
#include "ProxyNode/fleet_messages.h"
#include "ProxyNode/fleet_rows.h"
#include "ProxyNode/member_list_reader.h"
#include "ProxyNode/node_settings.h"
#include "StandIns/standin_target.h"
#include "platform/base64.h"
#include "platform/configuration_format.h"
#include "platform/line_protocol.h"
#include "platform/row_fields.h"
#include "platform/store_format.h"

#include <boost/json.hpp>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

using namespace persimmonshelf;
using namespace persimmonshelf::platform;

namespace {

statement
parse_query(const std::string& text)
{
  const auto message = parse_caller_message("QUERY 7 " + text);
  REQUIRE(message);
  REQUIRE(message.value());
  return *message.value();
}

}

// Guards against statements that are parsed as another kind: each text of the protocol, and near
// misses.
TEST_CASE("each statement text is parsed to its kind")
{
  CHECK(parse_query("BEGIN").kind == statement_kind::begin);
  CHECK(parse_query("BEGIN READ").kind == statement_kind::begin_read);
  CHECK(parse_query("BEGIN WRITE").kind == statement_kind::malformed);
  CHECK(parse_query("COMMIT").kind == statement_kind::commit);
  CHECK(parse_query("COMMIT now").kind == statement_kind::malformed);
  CHECK(parse_query("READ a").kind == statement_kind::read);
  CHECK(parse_query("READ").kind == statement_kind::malformed);
  CHECK(parse_query("WRITE a").kind == statement_kind::malformed);
  CHECK(parse_query("WRITE a b c").kind == statement_kind::write);
  CHECK(parse_query("AFTER 1.2 READ a").kind == statement_kind::malformed);
  const auto prepared = parse_query("PREPARE s1 WRITE q 2");
  CHECK(prepared.kind == statement_kind::prepare);
  CHECK(prepared.writes);
  CHECK(prepared.argument == "q 2");
  CHECK(parse_query("PREPARE s1 SOME q").kind == statement_kind::malformed);
  const auto executed = parse_query("EXECUTE s1 k some data");
  CHECK(executed.name == "s1");
  CHECK(executed.argument == "k some data");
  CHECK(parse_query("SET a").name == "a");
  CHECK_FALSE(parse_caller_message("QUERY 7 "));
  CHECK_FALSE(parse_caller_message("QUERY"));
}

// Guards against commands that change a caller's text or that the member would not recognise.
TEST_CASE("commands are encoded in the form of the protocol")
{
  member_command command;
  command.id = "5c";
  command.text = "READ 1a4";
  command.min_position = log_point{ term(3), log_position(1207) };
  CHECK(encode_command(command).value() == "QUERY 5c AFTER 3.1207 READ 1a4\r\n");
  command = {};
  command.kind = member_command::command_kind::demote;
  command.above_term = term(4);
  CHECK(encode_command(command).value() == "QUERY - DEMOTE 4\r\n");
  CHECK(encode_member_start("g", "w", "i-1").value() == "START g w i-1\r\n");
  statement_answer answer;
  answer.rows = { "one" };
  answer.signature = "7.1f3";
  CHECK(encode_answer(answer) == "ROW one\r\nDONE 7.1f3\r\nREADY I -\r\n");
  answer.error = statement_error::outcome_unknown;
  answer.error_text = "lost";
  CHECK(encode_answer(answer) == "ERROR UNKNOWN lost\r\nREADY I -\r\n");
}

TEST_CASE("a member's messages are decoded")
{
  const auto ready = parse_member_message("READY E 3.1209");
  REQUIRE(ready);
  CHECK(ready.value().state == transaction_state::failed);
  CHECK(ready.value().position == log_point{ term(3), log_position(1209) });
  CHECK_FALSE(parse_member_message("READY X -"));
  CHECK_FALSE(parse_member_message("READY I 3"));
  CHECK_FALSE(parse_member_message("DONE"));
  CHECK_FALSE(parse_member_message("HELLO"));
  const auto error = parse_member_message("ERROR NEWCODE text");
  REQUIRE(error);
  CHECK(error.value().error == statement_error::other);
  const auto status = parse_member_status("replica 3 3.1209 0 12 2 17");
  REQUIRE(status);
  CHECK(status.value().received == log_point{ term(3), log_position(1209) });
  CHECK_FALSE(parse_member_status("replica 3 x 0"));
}

// Guards against crashes and silent acceptance of arbitrary bytes from callers, members, the store,
// other writers of its tables, and other instances.
TEST_CASE("arbitrary bytes are parsed or refused with an error")
{
  CHECK(rc::check("parsers", [](const std::string& bytes) {
    for (const auto& prefix :
         { std::string(), std::string("QUERY "), std::string("READY I "), std::string("START ") }) {
      const auto line = prefix + bytes;
      static_cast<void>(parse_session_start(line));
      static_cast<void>(parse_caller_message(line));
      static_cast<void>(parse_member_message(line));
      static_cast<void>(parse_member_status(line));
    }
    static_cast<void>(parse_page(bytes, store_era(0)));
    static_cast<void>(parse_configuration(bytes));
    static_cast<void>(
      parse_member_row({ "servers", "i", bytes, store_version(store_era(0), 1), false }));
    static_cast<void>(decode_coordinator(bytes));
    static_cast<void>(decode_group(bytes));
    static_cast<void>(parse_node_settings(bytes));
    static_cast<void>(decode_datagram("r" + bytes));
    static_cast<void>(decode_datagram("v" + bytes));
    static_cast<void>(decode_datagram("z" + bytes));
    static_cast<void>(decode_datagram("z" + compress_bytes("v" + bytes)));
    const auto decoded = decode_base64(encode_base64(bytes));
    RC_ASSERT(decoded == bytes);
  }));
}

// Guards against a single invalid entry that makes the whole members list unusable.
TEST_CASE("a row of the members table is accepted only if it describes a usable member")
{
  const std::string good =
    R"({"service":"g","address":"10.0.0.1:80","zone":"z","version":"v1","slots":3,"state":"ready",)"
    R"("warmup_left_ms":0,"db_role":"replica","seq":4,"born":1700000000000})";
  const auto member =
    parse_member_row({ "servers", "i-1", good, store_version(store_era(0), 1), false });
  REQUIRE(member);
  CHECK(member.value().slots == 3);
  CHECK(member.value().started_at_ms == 1700000000000);
  for (
    const auto& bad :
    { R"({})",
      R"([1])",
      R"({"service":"g","address":"a","zone":"z","state":"odd","db_role":"replica","seq":1})",
      R"({"service":"g","address":"a","zone":"z","state":"ready","db_role":"king","seq":1})",
      R"({"service":7,"address":"a","zone":"z","state":"ready","db_role":"replica","seq":1})" }) {
    CHECK_FALSE(parse_member_row({ "servers", "i-1", bad, store_version(store_era(0), 1), false }));
  }
}

// Guards against odd rows that take the wrong zone out of use or break log lines and datagrams.
TEST_CASE("only rows with a valid zone evacuate one")
{
  const auto zone_of = [](const std::string& key, const std::string& value = "{}") {
    return parse_evacuation({ "op", key, value, store_version(store_era(0), 1), false });
  };
  CHECK(zone_of("evacuate/z1").value() == zone_id("z1"));
  CHECK(zone_of("evacuate/z1", "").value() == zone_id("z1"));
  for (const std::string other : { "config", "evacuate", "evacuated/z1", "" }) {
    CHECK(zone_of(other).value() == std::nullopt);
  }
  for (const std::string& bad : { std::string("evacuate/"),
                                  std::string("evacuate/a b"),
                                  std::string("evacuate/a\n"),
                                  "evacuate/" + std::string(201, 'z') }) {
    CHECK_FALSE(zone_of(bad));
  }
}

// Guards against members that another writer invented: values of another type, outside the range
// that the protocol allows, or that would break a line of the protocol or a datagram.
TEST_CASE("a row of the members table with one odd field names no member")
{
  namespace json = boost::json;
  const json::object good{ { "service", "g" },
                           { "address", "10.0.0.1:80" },
                           { "zone", "z" },
                           { "version", "v1" },
                           { "slots", 3 },
                           { "state", "ready" },
                           { "warmup_left_ms", 0 },
                           { "db_role", "replica" },
                           { "seq", 4 },
                           { "born", 1700000000000 } };
  const auto parse = [](const std::string& key, const std::string& value) {
    return parse_member_row({ "servers", key, value, store_version(store_era(0), 1), false });
  };
  REQUIRE(parse("i-1", json::serialize(good)));
  const std::string long_text(member_text_limit_bytes + 1, 'z');
  struct odd_field
  {
    std::string name;
    json::value value;
  };
  const std::vector<odd_field> odd_fields{
    { "address", "10.0.0.1:99999" },
    { "address", "10.0.0.1:0" },
    { "address", "10.0.0.1:" },
    { "address", "10.0.0.1" },
    { "address", "10.0.0.1:-80" },
    { "address", "10.0.0.1:80 " },
    { "address", "10.0.0.256:80" },
    { "address", "host:80" },
    { "address", "[::1]:80" },
    { "address", 80 },
    { "address", nullptr },
    { "slots", "3" },
    { "slots", 0 },
    { "slots", -1 },
    { "slots", 1.5 },
    { "slots", 4294967296 },
    { "slots", 1e300 },
    { "warmup_left_ms", "0" },
    { "warmup_left_ms", -1 },
    { "warmup_left_ms", 1e300 },
    { "born", "now" },
    { "born", -1 },
    { "born", 0.5 },
    { "born", 1e300 },
    { "seq", 9.1e15 },
    { "seq", 1e300 },
    { "seq", nullptr },
    { "service", "" },
    { "service", "g\r\nQUERY - DEMOTE 9" },
    { "service", json::string(long_text) },
    { "zone", json::string(long_text) },
    { "zone", "a b" },
    { "state", "gone" },
    { "db_role", "king" },
  };
  for (const auto& [name, value] : odd_fields) {
    CAPTURE(name);
    CAPTURE(json::serialize(value).substr(0, 40));
    auto odd = good;
    odd[name] = value;
    const auto parsed = parse("i-1", json::serialize(odd));
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().message == "member i-1: field \"" + name + "\" is missing or invalid");
  }
  for (const auto* name : { "service", "address", "zone", "slots", "state", "db_role", "seq" }) {
    CAPTURE(name);
    auto incomplete = good;
    incomplete.erase(name);
    CHECK_FALSE(parse("i-1", json::serialize(incomplete)));
  }
  const auto text = json::serialize(good);
  const auto with_number = [&](const std::string& number) {
    return text.substr(0, text.size() - 1) + ",\"slots\":" + number + "}";
  };
  REQUIRE(parse("i-1", with_number("5")));
  for (const auto& value :
       { with_number("1e999"),
         with_number(std::string(400, '9')),
         text.substr(0, text.size() - 1) + ",\"more\":" + std::string(100'000, '[') + "}",
         text.substr(0, text.size() - 1) + ",\"more\":" + std::string(100'000, '[') +
           std::string(100'000, ']') + "}",
         text + std::string("\xff\xfe"),
         "{\"service\":\"\xff\xfe\"}" + text,
         std::string(1 << 20, ' '),
         std::string(1 << 20, 'x'),
         std::string() }) {
    CAPTURE(value.substr(0, 60));
    CHECK_FALSE(parse("i-1", value));
  }
  for (const auto& key :
       { std::string(), std::string("i 1"), std::string("i\r\nQUERY"), std::string(201, 'i') }) {
    CAPTURE(key);
    const auto parsed = parse(key, text);
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().message.find('\n') == std::string::npos);
  }
  CHECK(parse("i/1", text));
}

// Guards against an odd row that costs the members beside it, or fills the log at each read.
TEST_CASE("unusable rows are left out of the members' list and reported once for each change")
{
  const std::string good =
    R"({"service":"g","address":"10.0.0.1:80","zone":"z","version":"v1","slots":3,"state":"ready",)"
    R"("warmup_left_ms":0,"db_role":"replica","seq":4,"born":1700000000000})";
  std::map<std::string, store_row> rows;
  const auto put = [&](const std::string& key, const std::string& value) {
    rows[key] = { "servers", key, value, store_version(store_era(0), 1), false };
  };
  put("i-1", good);
  put("odd", "{}");
  put("i-2", good);
  member_list_reader reader;
  auto list = reader.read(rows);
  CHECK(list.members.size() == 2);
  CHECK(list.new_problems.size() == 1);
  CHECK(reader.unusable_rows() == 1);
  CHECK(reader.read(rows).new_problems.empty());
  put("odd", "[");
  CHECK(reader.read(rows).new_problems.size() == 1);
  put("odd", good);
  list = reader.read(rows);
  CHECK(list.members.size() == 3);
  CHECK(list.new_problems.empty());
  CHECK(reader.unusable_rows() == 0);
  put("odd", "[");
  CHECK(reader.read(rows).new_problems.size() == 1);
}

// Guards against keys of other writers that change the rest of a call: a row whose key has a blank,
// "&" or a line end made the next page of its table unreadable, and so the table.
TEST_CASE("targets of read calls carry any table and key unchanged")
{
  CHECK(rc::check("parameters", [](const std::string& table, const std::string& key) {
    const auto target = row_target(table, key);
    RC_ASSERT(target.find_first_of(std::string_view(" \t\r\n#\0", 6)) == std::string::npos);
    RC_ASSERT(path_of(target) == "/rows-get");
    RC_ASSERT(query_value(target, "table") == table);
    RC_ASSERT(query_value(target, "from") == key);
    RC_ASSERT(query_value(target, "limit") == "1");
    RC_ASSERT(query_value(feed_target(table, store_version(store_era(1), 7), 8), "table") == table);
    RC_ASSERT(query_value(feed_target(table, store_version(store_era(1), 7), 8), "after") == "7");
  }));
  CHECK(query_value(read_target("servers", "a&limit=1"), "from") == "a&limit=1");
  CHECK(query_value(read_target("servers", "a b\r\nX: 1"), "from") == "a b\r\nX: 1");
  CHECK(read_target("servers", "") == "/rows-get?table=servers&part=");
}

// Guards against rows that share only their key with another one: a feed carries all parts of its
// table, and the fleet's rows have none.
TEST_CASE("rows of other parts are not rows of the page")
{
  const auto page =
    parse_page(R"({"ver":9,"rows":[{"table":"op","part":"","key":"config","ver":7},)"
               R"({"table":"op","part":"old","key":"config","ver":8},)"
               R"({"table":"op","part":"old","key":"config","ver":9,"deleted":true},)"
               R"({"table":"op","key":"evacuate/z","ver":5}]})",
               store_era(4));
  REQUIRE(page);
  REQUIRE(page.value().rows.size() == 2);
  CHECK(page.value().rows[0].version == store_version(store_era(4), 7));
  CHECK(page.value().rows[1].key == "evacuate/z");
  CHECK(page.value().newest == store_version(store_era(4), 9));
}

// Guards against an answer whose era is unknown and that would pass for one of another era.
TEST_CASE("only a whole number is an era of the store")
{
  REQUIRE(parse_era(""));
  CHECK(parse_era("").value() == store_era(0));
  CHECK(parse_era("17").value() == store_era(17));
  CHECK(parse_era("8388607").value() == store_era(max_store_era));
  for (const auto* text : { "8388608", "99999999999999999999999", "-1", "1.0", " 1", "one" }) {
    CHECK_FALSE(parse_era(text));
  }
}

// Guards against a choice between two versions by their revisions, which are given out again.
TEST_CASE("versions are ordered by their era first")
{
  CHECK(store_version(store_era(1), 900) < store_version(store_era(2), 7));
  CHECK(store_version(store_era(2), 7) < store_version(store_era(2), 8));
  CHECK(store_version() < store_version(store_era(0), 1));
}

TEST_CASE("a configuration is decoded")
{
  const auto configuration = parse_configuration(
    R"({"version":7,"routes":[{"name":"r","host":"db","kind":"bounded_staleness","timeout_ms":2000,)"
    R"("target_latency_ms":500,"priority":2,"service":"g","max_staleness_ms":1500,"public":false}],)"
    R"("services":[{"name":"g","max_conns":54,"sync_replicas":1}],"limits":{"tx_idle_ms":3000},)"
    R"("tenants":[{"name":"w","api_keys":["k1","k2"],"priority":1,"rate_per_s":13.5,"burst":20}]})");
  REQUIRE(configuration);
  const auto& route = configuration.value().routes.at(0);
  CHECK(route.database == database_id("db"));
  CHECK(route.max_staleness == std::chrono::milliseconds(1500));
  CHECK(configuration.value().groups.at(0).max_connections == 54);
  CHECK(configuration.value().workspaces.at(0).keys.size() == 2);
  CHECK(configuration.value().workspaces.at(0).priority == 1);
  const auto unstated = parse_configuration(
    R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"w","api_keys":[]}]})");
  REQUIRE(unstated);
  CHECK(unstated.value().workspaces.at(0).priority == lowest_priority);
  CHECK(configuration.value().transaction_idle_limit == std::chrono::seconds(3));
  for (const auto* bad : { R"({"routes":[],"services":[]})",
                           R"({"version":7,"services":[]})",
                           R"({"version":7,"routes":[]})",
                           R"({"version":7,"routes":{},"services":[]})",
                           R"({"version":7,"routes":[],"services":[],"tenants":{}})" }) {
    CHECK_FALSE(parse_configuration(bad));
  }
}

// Guards against one odd entry that keeps a whole version, with its withdrawn keys, from any
// effect.
TEST_CASE("an odd entry of a configuration costs no other entry")
{
  const auto parsed = parse_configuration(
    R"({"version":7,"routes":[{"name":"r"},7,{"name":"r","host":"db","service":"g","kind":"odd"},)"
    R"({"name":"r","host":"db","service":"g","kind":"primary"}],)"
    R"("services":[{},{"name":"g","max_conns":54},null],)"
    R"("tenants":[{"name":"w","api_keys":["k1",2,"k2"]},{"name":"v"},"u",{"name":"t","api_keys":[]}]})");
  REQUIRE(parsed);
  const auto& configuration = parsed.value();
  REQUIRE(configuration.routes.size() == 1);
  CHECK(configuration.routes.front().kind == consistency::primary);
  REQUIRE(configuration.groups.size() == 1);
  CHECK(configuration.groups.front().max_connections == 54);
  REQUIRE(configuration.workspaces.size() == 2);
  CHECK(configuration.workspaces.front().keys == std::vector<std::string>{ "k1", "k2" });
  CHECK(configuration.unusable_entries ==
        std::vector<std::string>{ "a route must have name, host, service and kind",
                                  "a route is not a JSON object",
                                  "route r: field \"kind\" is missing or invalid",
                                  "a service has no name",
                                  "a service has no name",
                                  "tenant w: a key is not a text",
                                  "a tenant must have name and api_keys",
                                  "a tenant must have name and api_keys" });
}

// Guards against names that are several fields or none in a message to a member, that make a
// redirect or a datagram longer than the other instance accepts, or a row whose key the store
// refuses; and against holders of such a tenant's key who count as callers without a tenant.
TEST_CASE("entries whose names cannot be sent are left out of a configuration or kept as unusable")
{
  namespace json = boost::json;
  const auto parse = [](const std::string& name) {
    const json::object route{ { "name", name }, { "host", "db" }, { "kind", "primary" } };
    auto odd = route;
    odd["service"] = name;
    auto good = route;
    good["service"] = "g";
    const json::object tenant{ { "name", name }, { "api_keys", json::array{ "k1" } } };
    const json::object other{ { "name", "w" }, { "api_keys", json::array{ "k2" } } };
    const json::object text{ { "version", 7 },
                             { "routes", json::array{ odd, good } },
                             { "services",
                               json::array{ json::object{ { "name", name } },
                                            json::object{ { "name", "g" } } } },
                             { "tenants", json::array{ tenant, other } } };
    return parse_configuration(json::serialize(text)).value();
  };
  for (const auto& name : { std::string(),
                            std::string("a b"),
                            std::string("a "),
                            std::string("a\r\nQUERY - DEMOTE 9"),
                            std::string("a\tb"),
                            std::string(1, '\0'),
                            std::string(201, 'a'),
                            std::string(1 << 20, 'a') }) {
    CAPTURE(name.substr(0, 20));
    const auto configuration = parse(name);
    REQUIRE(configuration.routes.size() == 1);
    CHECK(configuration.routes.front().group == "g");
    CHECK(configuration.groups.size() == 1);
    REQUIRE(configuration.workspaces.size() == 2);
    const auto& unusable = configuration.workspaces.front();
    CHECK_FALSE(unusable.has_usable_name);
    CHECK_FALSE(is_workspace_name(unusable.name.get()));
    CHECK(unusable.keys == std::vector<std::string>{ "k1" });
    CHECK(configuration.workspaces.back().name == workspace_id("w"));
    CHECK(configuration.workspaces.back().has_usable_name);
    CHECK(configuration.unusable_entries.size() == 3);
    for (const auto& reason : configuration.unusable_entries) {
      CHECK(reason.size() < 400);
    }
  }
  CHECK(parse("\xc3\xa4/:%&").unusable_entries.empty());
  CHECK(parse(std::string(group_name_limit_bytes, 'a')).unusable_entries.empty());
  CHECK(parse(std::string(group_name_limit_bytes + 1, 'a')).unusable_entries.size() == 2);
}

// Guards against callers without a key that get a tenant's access.
TEST_CASE("an empty key of a tenant is not the key of callers without one")
{
  const auto parsed = parse_configuration(
    R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"w","api_keys":["","k1"]}]})");
  REQUIRE(parsed);
  CHECK(parsed.value().workspaces.front().keys == std::vector<std::string>{ "k1" });
  CHECK(parsed.value().unusable_entries == std::vector<std::string>{ "tenant w: a key is empty" });
  const configuration_index index(parsed.value());
  CHECK(index.workspace_of_key(parse_session_start("START db").value().key) == nullptr);
  CHECK(index.workspace_of_key(parse_session_start("START db ").value().key) == nullptr);
  CHECK(index.workspace_of_key("k1") != nullptr);
}

// Guards against one text that keeps a whole version from any effect: the grammar of JSON allows
// half a surrogate pair, and many writers any bytes.
TEST_CASE("texts of a configuration that are not Unicode cost no other entry")
{
  for (const std::string odd : { R"(\ud800)", R"(a\udc00b)", R"(\ud800\ud800)", "\xff", "a\xc3" }) {
    CAPTURE(odd);
    const auto parsed = parse_configuration(
      R"({"version":7,"services":[{"name":"g"},{"name":")" + odd + R"("}],"routes":[)" +
      R"({"name":"\\ud800\ud83d\ude00","host":"db","service":"g","kind":"primary"},)" +
      R"({"name":"r","host":")" + odd + R"(","service":"g","kind":"primary"}],)" +
      R"("tenants":[{"name":")" + odd + R"(","api_keys":[]},{"name":"w","api_keys":["k1",")" + odd +
      R"("]}]})");
    REQUIRE(parsed);
    CHECK(parsed.value().groups.size() == 1);
    REQUIRE(parsed.value().routes.size() == 1);
    CHECK(parsed.value().routes.front().name == "\\ud800\xf0\x9f\x98\x80");
    REQUIRE(parsed.value().workspaces.size() == 2);
    CHECK_FALSE(parsed.value().workspaces.front().has_usable_name);
    CHECK(parsed.value().workspaces.back().keys == std::vector<std::string>{ "k1" });
    CHECK(parsed.value().unusable_entries.size() == 4);
  }
}

TEST_CASE("an error in the settings names the missing section")
{
  const auto missing = parse_node_settings(R"({"instance":"a","zone":"z"})");
  REQUIRE_FALSE(missing);
  CHECK(missing.error().message.find("settings.listen") != std::string::npos);
}

// Guards against fields of reports and views that are lost or changed by encoding and decoding.
TEST_CASE("reports and views are unchanged after encoding and decoding")
{
  instance_report report;
  report.instance = instance_id("a");
  report.incarnation = incarnation_id(0xffffffffffffffffULL);
  report.clock = instant(std::chrono::seconds(5));
  report.shares[workspace_id("w")] = 5;
  report.used[workspace_id("w")] = 2;
  report.waiting[workspace_id("v")] = 3;
  report.waiting_by_priority[workspace_id("v")] = { { 0, 1 }, { 4, 2 } };
  report.positions["g"] = { { term(3), log_position(4) },
                            instant(std::chrono::seconds(4)),
                            { member_id("m"), instance_id("b") } };
  report.reachability.push_back({ member_id("m"), std::chrono::milliseconds(7) });
  report.view = applied_view{
    fencing_token(8), 12, instant(std::chrono::seconds(3)), std::chrono::milliseconds(20)
  };
  report.grant_token = fencing_token(9);
  report.shares_view = { fencing_token(7), 11 };
  const auto read = decode_datagram(encode_report(report)).report;
  REQUIRE(read);
  CHECK(read->incarnation == report.incarnation);
  CHECK(read->positions.at("g").observed_at == report.positions.at("g").observed_at);
  CHECK(read->positions.at("g").source.member == member_id("m"));
  CHECK(read->positions.at("g").source.observer == instance_id("b"));
  CHECK(read->waiting.at(workspace_id("v")) == 3);
  CHECK(read->waiting_by_priority == report.waiting_by_priority);
  CHECK(read->view == report.view);
  CHECK(read->grant_token == report.grant_token);
  CHECK(read->shares_view == report.shares_view);
  CHECK_FALSE(decode_datagram(encode_report({})).report->view);

  fleet_view view;
  view.holder = instance_id("c");
  view.token = fencing_token(9);
  view.configuration_age = std::chrono::milliseconds(20);
  view.groups.push_back({ "g", member_id("m"), true, false, term(3) });
  view.grant.tokens[workspace_id("w")] = 1.5;
  view.grant.waiting_elsewhere[workspace_id("w")] = {};
  view.grant.waiting_elsewhere[workspace_id("v")] = { { 0, 1 }, { 3, 2 } };
  view.positions["g"] = { { term(3), log_position(4) },
                          std::chrono::milliseconds(30),
                          { member_id("m"), instance_id("b") } };
  view.evacuated_zones = { zone_id("z1"), zone_id("z2") };
  view.evacuations_version = store_version(store_era(2), 12);
  view.evacuations_age = std::chrono::milliseconds(40);
  view.groups_version = store_version(store_era(3), 8);
  view.groups = { { "g", member_id("m"), true, false, term(4), store_era(3) } };
  view.lease_version = store_version(store_era(4), 7);
  const auto seen = decode_datagram(encode_view(view)).view;
  REQUIRE(seen);
  CHECK(seen->evacuated_zones == view.evacuated_zones);
  CHECK(seen->evacuations_version == view.evacuations_version);
  CHECK(seen->evacuations_age == view.evacuations_age);
  CHECK(seen->groups_version == view.groups_version);
  CHECK(seen->groups == view.groups);
  instance_report with_records;
  with_records.records_ahead = view.groups;
  with_records.clock = instant(std::chrono::seconds(40));
  with_records.removals.members = {
    { member_id("m"), "g", "10.0.0.1:3", instant(std::chrono::seconds(38)) }
  };
  with_records.removals.complete_since = instant(std::chrono::seconds(5));
  REQUIRE(decode_datagram(encode_report(with_records)).report);
  const auto decoded = *decode_datagram(encode_report(with_records)).report;
  CHECK(decoded.records_ahead == view.groups);
  CHECK(decoded.removals == with_records.removals);
  CHECK_FALSE(decode_datagram(encode_report({})).report->removals.complete_since);
  CHECK(seen->lease_version == view.lease_version);
  CHECK(decode_datagram(encode_view({})).view->evacuations_version == store_version());
  CHECK(seen->token == view.token);
  CHECK(seen->groups == view.groups);
  CHECK_FALSE(seen->shares);
  CHECK(seen->positions.at("g").age == view.positions.at("g").age);
  CHECK(seen->positions.at("g").source.member == member_id("m"));
  CHECK(seen->positions.at("g").source.observer == instance_id("b"));
  CHECK_FALSE(seen->groups_age);
  CHECK(seen->grant.tokens.at(workspace_id("w")) == doctest::Approx(1.5));
  CHECK_FALSE(seen->grant.tokens.contains(workspace_id("v")));
  CHECK(seen->grant.waiting_elsewhere == view.grant.waiting_elsewhere);
}

// Guards against names and values that are lost or changed in the fleet's rows or in a write to the
// store. Every name comes from JSON and is therefore UTF-8.
TEST_CASE("any names are unchanged in rows and writes")
{
  CHECK(rc::check("rows", [](const std::string& bytes, const std::string& other, bool flag) {
    const auto name = replace_invalid_utf8(bytes, "?");
    const group_record record{ name,    member_id(other.empty() ? name : "m"),
                               flag,    !flag,
                               term(3), store_era(2) };
    RC_ASSERT(decode_group(encode_group(record)).value() == record);
    coordinator_row row;
    row.holder = instance_id(name);
    row.address = name;
    row.validity = std::chrono::seconds(2);
    const auto read = decode_coordinator(encode_coordinator(row));
    RC_ASSERT(read.value().holder == row.holder);
    RC_ASSERT(read.value().address == row.address);
    carrier_plan plan;
    plan.version = 2;
    plan.carriers.push_back({ instance_id(name), zone_id(name), name, 0.5, flag, !flag });
    RC_ASSERT(decode_plan(encode_plan(plan)).value() == plan);
    const auto body =
      boost::json::parse(encode_write({ { name, name, store_version(store_era(1), 7), other } }))
        .as_object();
    const auto& put = body.at("puts").at(0);
    RC_ASSERT(put.at("table").as_string() == std::string_view(name));
    RC_ASSERT(put.at("key").as_string() == std::string_view(name));
    RC_ASSERT(decode_base64(std::string(put.at("value").as_string())) == other);
    RC_ASSERT(body.at("expected_rev").at(0).at("key") == put.at("key"));
    const auto removal = boost::json::parse(encode_remove(name, { name, "k" }));
    RC_ASSERT(removal.at("remove").as_array().size() == 2U);
    RC_ASSERT(removal.at("remove").at(0).at("key") == put.at("key"));
    const auto promotion = boost::json::parse(encode_promote(name, "m"));
    RC_ASSERT(promotion.at("service") == put.at("key"));
  }));
}

// Guards against one name with odd bytes for which a whole report or view is dropped.
TEST_CASE("any names reach the other instance in reports and views")
{
  CHECK(rc::check("names", [](const std::string& name, const std::string& other) {
    instance_report report;
    report.instance = instance_id(name);
    report.zone = zone_id(other);
    report.demands[workspace_id(name)] = 1;
    report.shares[workspace_id(other)] = 2;
    report.positions[name].source = { member_id(other), instance_id(name) };
    report.reachability.push_back({ member_id(name), duration() });
    const auto read = decode_datagram(encode_report(report)).report;
    RC_ASSERT(read.has_value());
    RC_ASSERT(read->instance == report.instance);
    RC_ASSERT(read->zone == report.zone);
    RC_ASSERT(read->demands == report.demands);
    RC_ASSERT(read->shares == report.shares);
    RC_ASSERT(read->positions.at(name).source.member == member_id(other));
    RC_ASSERT(read->reachability.front().member == member_id(name));
    fleet_view view;
    view.holder = instance_id(name);
    view.groups.push_back({ name, member_id(other), true, false, term(3) });
    view.members.emplace();
    view.members->push_back({ member_id(name), other, name, zone_id(other) });
    view.grant.tokens[workspace_id(name)] = 1;
    view.evacuated_zones = { zone_id(name), zone_id(other) };
    view.plan.emplace();
    view.plan->version = 1;
    view.plan->carriers.push_back({ instance_id(name), zone_id(other), name });
    const auto seen = decode_datagram(encode_view(view)).view;
    RC_ASSERT(seen.has_value());
    RC_ASSERT(seen->holder == view.holder);
    RC_ASSERT(seen->groups == view.groups);
    RC_ASSERT(seen->members == view.members);
    RC_ASSERT(seen->grant.tokens == view.grant.tokens);
    RC_ASSERT(seen->evacuated_zones == view.evacuated_zones);
    RC_ASSERT(seen->plan == view.plan);
  }));
}

// A view of 90 workspaces and 20 groups. Guards against control traffic between zones that grows
// with the length of names, and against a small datagram that expands until the memory is used up.
TEST_CASE("large datagrams are compressed, and decompressed up to a limit")
{
  fleet_view view;
  view.shares.emplace();
  for (int number = 0; number < 90; ++number) {
    const workspace_id workspace("workspace" + std::to_string(number));
    (*view.shares)[workspace] = static_cast<rate_share_ppm>(number) * 700;
    view.grant.tokens[workspace] = number * 0.3;
  }
  for (int number = 0; number < 20; ++number) {
    const auto group = "group" + std::to_string(number);
    view.groups.push_back({ group, member_id(group + "-member"), false, false, term(3) });
  }
  std::size_t names = 0;
  for (const auto& [workspace, tokens] : view.grant.tokens) {
    names += 2 * workspace.get().size();
  }
  const auto bytes = encode_view(view);
  CHECK(bytes.size() < names);
  const auto read = decode_datagram(bytes).view;
  REQUIRE(read);
  CHECK(read->shares == view.shares);
  CHECK(read->groups == view.groups);

  const auto bomb = compress_bytes(std::string(8 << 20, 'v'));
  CHECK(bomb.size() < 65'507);
  CHECK_FALSE(decompress_bytes(bomb, 1 << 20));
  CHECK_FALSE(decode_datagram("z" + bomb).view);
  CHECK_FALSE(decompress_bytes(bytes.substr(1, bytes.size() / 2), 1 << 20));
  CHECK(decompress_bytes(compress_bytes(""), 10) == std::string());
}
