#include "Adapters/daemon.h"
#include "Adapters/settings.h"

#include <docopt/docopt.h>
#include <glog/logging.h>

#include <cstdlib>
#include <iostream>

namespace {

constexpr const char* usage =
  R"(persimmonshelfd: entry instance of the persimmonshelf database proxy.

Usage:
  persimmonshelfd --settings FILE [--check]
  persimmonshelfd (-h | --help)
  persimmonshelfd --version

Options:
  --settings FILE  JSON file with the instance's name, zone, addresses and secrets.
  --check          Check the settings file and exit.
  -h --help        Show this text.
  --version        Show the version.

On SIGTERM, SIGINT or the command "persimmonshelf drain" the instance drains:
it refuses new requests, finishes those in flight and exits. Logs go to
standard error.

Exit codes:
  0  the drain completed
  1  the drain timed out with requests in flight
  2  the command line or the settings are invalid
  3  an address cannot be bound
)";

constexpr int exit_timed_out = 1;
constexpr int exit_invalid = 2;
constexpr int exit_address = 3;

}

int
main(int argc, char** argv)
{
  using namespace persimmonshelf;
  const auto arguments =
    docopt::docopt(usage, { argv + 1, argv + argc }, true, "persimmonshelfd 0.1.0");
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  const auto settings = load_settings(arguments.at("--settings").asString());
  if (!settings) {
    std::cerr << "persimmonshelfd: " << settings.error().message << "\n";
    return exit_invalid;
  }
  if (arguments.at("--check").asBool()) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  auto instance = daemon::create(settings.value());
  if (!instance) {
    std::cerr << "persimmonshelfd: cannot listen on " << instance.error().message << "\n";
    return exit_address;
  }
  return instance.value()->run() ? EXIT_SUCCESS : exit_timed_out;
}
