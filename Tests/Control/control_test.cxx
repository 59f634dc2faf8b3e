#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "Control/configuration.h"
#include "Control/key_set.h"
#include "Control/rendezvous.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

using namespace persimmonshelf;

namespace {

std::string
read_file(const std::filesystem::path& path)
{
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string
parse_outcome(const std::string& text)
{
  const auto parsed = configuration::parse(text);
  if (!parsed) {
    return parsed.error().message + "\n";
  }
  std::string lines = "accepted\n";
  for (const auto& warning : parsed.value().warnings()) {
    lines += warning + "\n";
  }
  return lines;
}

configuration
load(const std::string& name)
{
  return configuration::parse(read_file(std::filesystem::path(PERSIMMONSHELF_TEST_DIR) / name))
    .value();
}

}

// Guards against accepting an invalid configuration, or rejecting it without the line and reason.
// The expected output of NAME.json is in NAME.expected.
TEST_CASE("configuration texts are accepted or rejected as expected")
{
  std::size_t cases = 0;
  for (const auto& file : std::filesystem::directory_iterator(PERSIMMONSHELF_TEST_DIR)) {
    if (file.path().extension() != ".json") {
      continue;
    }
    ++cases;
    auto expected = file.path();
    expected.replace_extension(".expected");
    CAPTURE(file.path().filename().string());
    CHECK(parse_outcome(read_file(file.path())) == read_file(expected));
  }
  CHECK(cases >= 8);
}

// Guards against an error list that fills the operator's terminal.
TEST_CASE("at most 20 errors are listed")
{
  std::string text = R"({"databases": [], "routes": [], "workspaces": [)";
  for (int i = 0; i < 30; ++i) {
    text += std::string(i == 0 ? "" : ",") + R"({"name": "w)" + std::to_string(i) +
            R"(", "rate": 0, "burst": 1})";
  }
  const auto lines = parse_outcome(text + "]}");
  CHECK(std::count(lines.begin(), lines.end(), '\n') == 21);
  CHECK(lines.find("10 further errors") != std::string::npos);
}

// Guards against lookups that refer to the source of a moved or copied configuration.
TEST_CASE("a copied configuration finds its own entries")
{
  const auto copy = load("valid.json");
  CHECK(copy.find_route(route_id("orders"))->allows(workspace_id("a")));
  CHECK(copy.find_route(route_id("none")) == nullptr);
  CHECK(copy.find_workspace(workspace_id("a"))->rate == 10);
  CHECK(copy.find_database(database_id("main"))->connections_per_member() == 16);
  const auto location = copy.find_member(member_id("main-2"));
  REQUIRE(location.member != nullptr);
  CHECK(location.member->zone == zone_id("z2"));
  CHECK(location.database->id == database_id("main"));
  CHECK(copy.zones().size() == 3);
}

// Guards against omitting a change from the difference shown to the operator.
TEST_CASE("the difference of two configurations is described")
{
  const auto before = load("valid.json");
  CHECK(describe_difference(before, before).empty());
  const std::vector<std::string> expected = {
    "database main member main-3: address [2001:db8::3]:5000 -> 192.0.2.3:5000",
    "database spare: added (slots 1, connections 1, default_max_age_ms 0)",
    "database spare member spare-1: added (zone z1, address 192.0.2.9:5000)",
    "route status: removed",
    "settings: queue_per_workspace 100 -> 50",
    "workspace a: rate 10 -> 20",
    "workspace b: removed",
  };
  CHECK(describe_difference(before, load("changed.json")) == expected);
}

// Guards against storing a key itself, and against accepting a key after its revocation.
TEST_CASE("keys are found by digest until they are revoked")
{
  key_set keys;
  const auto first = key_set::generate_key();
  const auto second = key_set::generate_key();
  CHECK(first != second);
  CHECK(first.size() == 70);
  // A key rotation needs two active keys of one workspace.
  REQUIRE(keys.add(sha256(first), workspace_id("a"), "old"));
  REQUIRE(keys.add(sha256(second), workspace_id("a"), "new"));
  CHECK(keys.add(sha256(first), workspace_id("a"), "again"));
  CHECK_FALSE(keys.add(sha256(first), workspace_id("b"), ""));
  const auto text = keys.text(config_version(7));
  CHECK(text.find(first) == std::string::npos);
  auto stored = key_set::parse(text).value();
  CHECK(stored.version() == config_version(7));
  CHECK(stored.entries().size() == 2);
  CHECK(stored.find(first)->workspace == workspace_id("a"));
  CHECK(stored.find(first + "0") == nullptr);
  CHECK(stored.find("") == nullptr);

  REQUIRE(stored.revoke(first));
  CHECK(stored.find(first) == nullptr);
  CHECK(stored.find(second) != nullptr);
  CHECK_FALSE(stored.add(sha256(first), workspace_id("a"), ""));
  REQUIRE(stored.revoke(to_hex(sha256(second)).substr(0, 8)));
  CHECK(stored.find(sha256(second)) == nullptr);
  CHECK(key_set::parse(stored.text(config_version(8))).value().find(second) == nullptr);
}

// Guards against revoking the wrong key, and against a key in an error message.
TEST_CASE("a revocation that does not match exactly one key is rejected")
{
  key_set keys;
  auto digest = sha256("x");
  REQUIRE(keys.add(digest, workspace_id("a"), ""));
  digest.back() ^= 1U;
  REQUIRE(keys.add(digest, workspace_id("a"), ""));
  const auto hex = to_hex(digest);
  CHECK(keys.revoke(hex.substr(0, 8)).error().code == result_code::bad_request);
  CHECK(keys.revoke(hex.substr(0, 7)).error().code == result_code::bad_request);
  CHECK(keys.revoke("not hexadecimal").error().code == result_code::bad_request);
  CHECK(keys.revoke("00000000").error().code == result_code::not_found);
  const auto unknown = keys.revoke("pskey_secret");
  CHECK(unknown.error().code == result_code::not_found);
  CHECK(unknown.error().message.find("secret") == std::string::npos);
  CHECK(keys.revoke(hex));
}

// Guards against silently losing a key entry or its state.
TEST_CASE("invalid key documents are rejected")
{
  const std::string digest(64, 'a');
  const auto entry = [](const std::string& hex, const std::string& rest) {
    return R"({"digest":")" + hex + R"(","workspace":"a",)" + rest + "}";
  };
  const auto good = entry(digest, R"("state":"active","note":"")");
  CHECK(key_set::parse(R"({"version":1,"keys":[)" + good + "]}"));
  for (const auto& bad : { good + "," + good,
                           entry("ab", R"("state":"active")"),
                           entry(digest, R"("state":"paused")"),
                           entry(digest, R"("state":"active","extra":1)"),
                           std::string("1") }) {
    CAPTURE(bad);
    CHECK_FALSE(key_set::parse(R"({"version":1,"keys":[)" + bad + "]}"));
  }
  CHECK_FALSE(key_set::parse(R"({"keys":[]})"));
}

// Guards against a hash change between releases, after which instances would disagree, against
// uneven distribution, and against moving keys whose chosen name still exists.
TEST_CASE("rendezvous hashing is stable, even and moves few keys")
{
  // Computed by a separate program from the published FNV-1a and fmix64 constants.
  CHECK(rendezvous::hash("instance-1") == 0x108e41dbe137bf1eULL);
  std::vector<std::string> names;
  for (int i = 0; i < 10; ++i) {
    names.push_back("instance-" + std::to_string(i));
  }
  const std::vector<std::string> fewer(names.begin(), names.end() - 1);
  const std::vector<std::string> reversed(names.rbegin(), names.rend());
  std::map<std::string, int> load;
  for (int i = 0; i < 10000; ++i) {
    const auto key = "database-" + std::to_string(i);
    const auto chosen = *rendezvous::pick(key, names);
    ++load[chosen];
    CHECK(rendezvous::pick(key, reversed) == chosen);
    if (chosen != names.back()) {
      CHECK(rendezvous::pick(key, fewer) == chosen);
    }
  }
  for (const auto& [name, count] : load) {
    // The expected count is 1000 with a standard deviation of 30.
    CHECK(count > 850);
    CHECK(count < 1150);
  }
  const auto ranked = rendezvous::rank("k", names, 3);
  CHECK(ranked.size() == 3);
  CHECK(ranked.front() == *rendezvous::pick("k", names));
  CHECK(rendezvous::rank("k", names, 20).size() == 10);
  CHECK_FALSE(rendezvous::pick("k", {}).has_value());
}
