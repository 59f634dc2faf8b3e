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
                   (file in which the members record what they receive, replaced at the start).
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
