// Runs caller sessions against a fleet while a script injects faults, then compares every answer
// with the logs of the backend servers. Checks the reported outcomes, not the response times.

#include "Checks/check_session.h"
#include "Checks/log_contents.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <tuple>

namespace {

constexpr const char* usage =
  R"(session_check: checks the outcomes reported to callers against the logs of the backend servers.

Usage:
  session_check --callers=LIST --members=LIST --key-file=FILE --database=NAME
                [--sessions=N] [--seconds=N] [--seed=N] [--think-ms=N]
  session_check (-h | --help)

Options:
  --callers=LIST    Caller addresses of the instances, comma separated.
  --members=LIST    Addresses of the database's members, comma separated.
  --key-file=FILE   File with the workspace key.
  --database=NAME   Name of the database.
  --sessions=N      Concurrent sessions [default: 12].
  --seconds=N       Duration of the run in seconds [default: 20].
  --seed=N          Seed of the random choices of the sessions [default: 1].
  --think-ms=N      Pause of a session between requests in milliseconds [default: 20].
)";

}

int
main(int argc, char** argv)
{
  using namespace persimmonshelf;
  using namespace persimmonshelf::checks;
  const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true, "");
  options settings;
  for (const auto& text : split_list(arguments.at("--callers").asString())) {
    tcp_address address;
    if (!parse_address(text, address)) {
      std::cerr << "session_check: --callers: expected IP:PORT, found " << text << "\n";
      return 2;
    }
    settings.callers.push_back(address);
  }
  std::ifstream key_file(arguments.at("--key-file").asString());
  std::getline(key_file, settings.key);
  settings.database = arguments.at("--database").asString();
  settings.think_time = std::chrono::milliseconds(arguments.at("--think-ms").asLong());
  settings.end =
    std::chrono::steady_clock::now() + std::chrono::seconds(arguments.at("--seconds").asLong());

  totals results;
  asio::io_context context;
  std::vector<std::shared_ptr<session>> sessions;
  const auto seed = static_cast<unsigned>(arguments.at("--seed").asLong());
  for (int i = 0; i < arguments.at("--sessions").asLong(); ++i) {
    sessions.push_back(std::make_shared<session>(
      context, settings, i, seed * 1000 + static_cast<unsigned>(i), results));
    sessions.back()->start();
  }
  context.run();

  log_contents newest;
  for (const auto& text : split_list(arguments.at("--members").asString())) {
    tcp_address address;
    log_contents log;
    if (parse_address(text, address) && read_log(address, log) &&
        std::tie(log.last_term, log.position) >= std::tie(newest.last_term, newest.position)) {
      newest = std::move(log);
    }
  }
  for (const auto& checked : sessions) {
    check_writes(checked->writes(), checked->key(), newest, results);
    check_writes(checked->pairs(), checked->key() + "left", newest, results);
    check_writes(checked->pairs(), checked->key() + "right", newest, results);
  }
  for (const auto& pair : newest.split_pairs) {
    results.violations.push_back("transaction with " + pair + " is only partly in the log");
  }
  std::cout << "writes " << results.writes << ", reads " << results.reads << " ("
            << results.replica_reads << " by replicas), transactions " << results.transactions
            << ", not run " << results.refused << ", unknown " << results.unknown
            << ", lost answers " << results.lost_answers << ", log entries " << newest.position
            << ", last term " << newest.last_term << "\n";
  for (const auto& [code, count] : results.codes) {
    std::cout << code << ": " << count << "\n";
  }
  for (const auto& text : results.violations) {
    std::cout << "violation: " << text << "\n";
  }
  std::cout << (results.violations.empty() ? "no violation" : "violations found") << "\n";
  return results.violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}
