#include "Base/json_fields.h"
#include "StandIns/standin_feed_store.h"
#include "StandIns/standin_line_group.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace {

using namespace persimmonshelf;
namespace json = boost::json;

constexpr const char* usage =
  R"(Simulates what persimmonshelf-proxy speaks to: the platform's store and one group of members.

Usage:
  standin_line_platform --settings=FILE
  standin_line_platform (-h | --help)

Options:
  --settings=FILE  JSON file: store (IP:PORT), group, statement_ms, members (list of id, address,
                   zone, primary), configuration (contents of the row config) and optionally record
                   (file in which the members record what they receive, replaced at the start) and
                   faults: seed, shares of 1,000 messages lost, cut, closed and delayed, delay_ms
                   (longest delay), and under session and statements those refused with BUSY,
                   FAILED, TIMEOUT and NOSTMT. What is absent does not go wrong.
  -h --help        Print this help.
)";

// Slots that the rows of the members state. The members accept any number of connections.
constexpr unsigned stated_slots = 6;

tcp_address
address_of(const json::value& value)
{
  tcp_address address;
  const std::string text(value.as_string());
  if (!parse_address(text, address)) {
    throw std::invalid_argument("expected IP:PORT, found " + text);
  }
  return address;
}

std::string
text_of(const json::value& value)
{
  return std::string(value.as_string());
}

// The number of that name; 0 if it is absent.
unsigned
number_of(const json::object& settings, std::string_view name)
{
  const auto* value = settings.if_contains(name);
  return value == nullptr ? 0 : value->to_number<unsigned>();
}

standin_line_faults::refusals
refusals_of(const json::object& faults, std::string_view group)
{
  standin_line_faults::refusals rates{};
  if (const auto* settings = faults.if_contains(group)) {
    for (std::size_t i = 0; i < rates.size(); ++i) {
      rates.at(i) = number_of(settings->as_object(), standin_line_faults::codes.at(i));
    }
  }
  return rates;
}

standin_line_faults::options
faults_of(const json::object& settings)
{
  standin_line_faults::options faults;
  faults.seed = number_of(settings, "seed");
  faults.session = refusals_of(settings, "session");
  faults.statements = refusals_of(settings, "statements");
  faults.lost = number_of(settings, "lost");
  faults.cut = number_of(settings, "cut");
  faults.closed = number_of(settings, "closed");
  faults.delayed = number_of(settings, "delayed");
  faults.longest_delay = std::chrono::milliseconds(number_of(settings, "delay_ms"));
  return faults;
}

standin_line_group::options
group_of(const json::value& settings)
{
  standin_line_group::options group;
  group.name = text_of(settings.at("group"));
  group.statement_time =
    std::chrono::milliseconds(settings.at("statement_ms").to_number<std::int64_t>());
  if (const auto* record = settings.as_object().if_contains("record")) {
    group.record = text_of(*record);
  }
  if (const auto* faults = settings.as_object().if_contains("faults")) {
    group.faults = faults_of(faults->as_object());
  }
  for (const auto& entry : settings.at("members").as_array()) {
    group.members.push_back(
      { text_of(entry.at("id")), address_of(entry.at("address")), entry.at("primary").as_bool() });
  }
  return group;
}

void
write_rows(standin_feed_store& store, const json::value& settings)
{
  for (const auto& entry : settings.at("members").as_array()) {
    const json::object row{ { "service", settings.at("group") },
                            { "address", entry.at("address") },
                            { "zone", entry.at("zone") },
                            { "slots", stated_slots },
                            { "state", "ready" },
                            { "warmup_left_ms", 0 },
                            { "db_role", entry.at("primary").as_bool() ? "primary" : "replica" },
                            { "seq", 1 } };
    store.put("servers", text_of(entry.at("id")), json::serialize(row));
  }
  store.put("op", "config", json::serialize(settings.at("configuration")));
}

int
run(int argc, char** argv)
{
  const auto options = docopt::docopt(usage, { argv + 1, argv + argc });
  const auto path = options.at("--settings").asString();
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  const auto settings = json::parse(text.str());
  boost::asio::io_context context(1);
  const auto store = standin_feed_store::create(context, address_of(settings.at("store")));
  if (!store) {
    std::cerr << "standin_line_platform: " << store.error().message << "\n";
    return 1;
  }
  write_rows(*store.value(), settings);
  const auto group = standin_line_group::create(context, group_of(settings));
  if (!group) {
    std::cerr << "standin_line_platform: " << group.error().message << "\n";
    return 1;
  }
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
  context.run();
  return 0;
}

}

int
main(int argc, char** argv)
{
  try {
    return run(argc, argv);
  } catch (const std::exception& failure) {
    std::cerr << "standin_line_platform: " << failure.what() << "\n";
    return 2;
  }
}
