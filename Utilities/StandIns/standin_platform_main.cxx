#include "Base/error.h"
#include "StandIns/standin_platform_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <exception>
#include <iostream>

namespace {

using namespace persimmonshelf;

constexpr const char* usage =
  R"(Simulates the platform's table, objects and list of instances. Protocol: docs/standins.md.

Usage:
  standin_platform --listen=IP:PORT
  standin_platform (-h | --help)

Options:
  --listen=IP:PORT  Address on which the services listen.
  -h --help         Print this help.
)";

int
run(int argc, char** argv)
{
  const auto options = docopt::docopt(usage, { argv + 1, argv + argc });
  const auto listen = options.at("--listen").asString();
  tcp_address address;
  if (!parse_address(listen, address)) {
    std::cerr << "standin_platform: --listen: expected IP:PORT, found " << listen << "\n";
    return 2;
  }
  boost::asio::io_context context(1);
  const auto server = standin_platform::create(context, address);
  if (!server) {
    std::cerr << "standin_platform: " << server.error().message << "\n";
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
    std::cerr << "standin_platform: " << failure.what() << "\n";
    return 2;
  }
}
