#include "Base/error.h"
#include "StandIns/standin_backend_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <exception>
#include <iostream>
#include <sstream>
#include <string>

namespace {

using namespace persimmonshelf;

constexpr const char* usage =
  R"(Simulates one backend server of a replicated database. Protocol: docs/standins.md.

Usage:
  standin_backend --listen=IP:PORT --member=NAME [--peers=LIST] [--slots=N] [--connections=N]
                  [--connect-delay-ms=MS] [--statement-delay-ms=MS] [--replication-delay-ms=MS]
                  [--primary]
  standin_backend (-h | --help)

Options:
  --listen=IP:PORT           Address on which the member listens.
  --member=NAME              Name of the member.
  --peers=LIST               Members of the group as NAME=IP:PORT,NAME=IP:PORT.
  --slots=N                  Maximum of concurrent statements and transactions [default: 3].
  --connections=N            Maximum of concurrent client connections [default: 50].
  --connect-delay-ms=MS      Minimum time from the accept to the first request [default: 12].
  --statement-delay-ms=MS    Time for which a statement holds its slot [default: 0].
  --replication-delay-ms=MS  Replication delay of the member as a replica, and minimum delay
                             of the others while it is the primary [default: 0].
  --primary                  Start as primary of term 1.
  -h --help                  Print this help.
)";

bool
parse_peers(const std::string& list, std::map<std::string, tcp_address>& peers)
{
  std::istringstream items(list);
  for (std::string item; std::getline(items, item, ',');) {
    const auto equals = item.find('=');
    tcp_address address;
    if (equals == std::string::npos || !parse_address(item.substr(equals + 1), address)) {
      std::cerr << "standin_backend: --peers: expected NAME=IP:PORT, found " << item << "\n";
      return false;
    }
    peers[item.substr(0, equals)] = address;
  }
  return true;
}

int
run(int argc, char** argv)
{
  const auto options = docopt::docopt(usage, { argv + 1, argv + argc });
  const auto number = [&](const char* name) { return options.at(name).asLong(); };
  standin_backend_options backend;
  const auto listen = options.at("--listen").asString();
  if (!parse_address(listen, backend.listen)) {
    std::cerr << "standin_backend: --listen: expected IP:PORT, found " << listen << "\n";
    return 2;
  }
  if (options.at("--peers") && !parse_peers(options.at("--peers").asString(), backend.peers)) {
    return 2;
  }
  backend.member = options.at("--member").asString();
  backend.slots = static_cast<std::size_t>(number("--slots"));
  backend.connections = static_cast<std::size_t>(number("--connections"));
  backend.connect_delay = std::chrono::milliseconds(number("--connect-delay-ms"));
  backend.statement_delay = std::chrono::milliseconds(number("--statement-delay-ms"));
  backend.replication_delay = std::chrono::milliseconds(number("--replication-delay-ms"));
  backend.primary = options.at("--primary").asBool();

  boost::asio::io_context context(1);
  const auto server = standin_backend::create(context, backend);
  if (!server) {
    std::cerr << "standin_backend: " << server.error().message << "\n";
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
    std::cerr << "standin_backend: " << failure.what() << "\n";
    return 2;
  }
}
