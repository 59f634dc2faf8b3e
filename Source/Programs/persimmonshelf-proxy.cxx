#include "ProxyNode/node_settings.h"
#include "ProxyNode/proxy_node.h"
#include "ProxyNode/signal_mask.h"
#include "platform/environment.h"

#include <docopt/docopt.h>

#include <malloc.h>

#include <cstdlib>
#include <iostream>

namespace {

constexpr const char* usage =
  R"(persimmonshelf-proxy: proxy instance between callers and replicated databases.

Usage:
  persimmonshelf-proxy run [--settings FILE]
  persimmonshelf-proxy check [--settings FILE]
  persimmonshelf-proxy (-h | --help)
  persimmonshelf-proxy --version

Commands:
  run    Serve until SIGTERM.
  check  Check the settings file and exit.

Options:
  --settings FILE  JSON file. By default the environment gives its path.
  -h --help        Show this text.
  --version        Show the version.

Logs go to standard output, one JSON object per line.

Exit codes:
  0  stopped after SIGTERM
  2  the command line or the settings are invalid
  3  an address cannot be bound
  4  an unexpected error left the state of the instance unknown
)";

// Buffers from this size on, in bytes, are returned to the system when they are released. By
// default the allocator raises this size up to 32 MB, and keeps the memory of messages that are
// long gone.
constexpr int returned_buffer_bytes = 128 << 10;
constexpr int exit_invalid = 2;
constexpr int exit_address = 3;
constexpr int exit_internal = 4;

}

int
main(int argc, char** argv)
{
  using namespace persimmonshelf;
  hold_back_signals();
  const auto arguments =
    docopt::docopt(usage, { argv + 1, argv + argc }, true, "persimmonshelf-proxy 0.2.0");
  const auto given = arguments.at("--settings");
  const auto path = given ? given.asString() : platform::settings_path();
  const auto settings = load_node_settings(path);
  if (!settings) {
    std::cerr << "persimmonshelf-proxy: " << settings.error().message << "\n";
    return exit_invalid;
  }
  if (arguments.at("check").asBool()) {
    std::cout << "settings are valid\n";
    return EXIT_SUCCESS;
  }
  mallopt(M_MMAP_THRESHOLD, returned_buffer_bytes);
  mallopt(M_TRIM_THRESHOLD, returned_buffer_bytes);
  auto node = proxy_node::create(settings.value());
  if (!node) {
    std::cerr << "persimmonshelf-proxy: cannot listen on " << node.error().message << "\n";
    return exit_address;
  }
  const auto served = node.value()->run();
  if (!served) {
    std::cerr << "persimmonshelf-proxy: stopped by an unexpected error: " << served.error().message
              << "\n";
    return exit_internal;
  }
  return EXIT_SUCCESS;
}
