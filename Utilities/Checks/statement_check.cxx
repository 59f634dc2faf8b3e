// Runs callers with hostile texts in all fields against instances of persimmonshelf-proxy, then
// compares what the members of standin_line_platform recorded with what the callers sent.

#include "Checks/Statements/record_comparison.h"
#include "Checks/Statements/statement_caller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <docopt/docopt.h>

#include <chrono>
#include <cstdint>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace persimmonshelf;
using namespace persimmonshelf::checks;

constexpr const char* usage =
  R"(statement_check: compares the statements that members ran with those that callers sent.

Usage:
  statement_check --instances=LIST --record=FILE --databases=LIST --key=KEY
                  [--open=LIST] [--callers=N] [--seconds=N] [--count=N] [--seed=N]
                  [--prepared=USE] [--long=N] [--print=N]
  statement_check (-h | --help)

Options:
  --instances=LIST  Caller addresses of the instances, comma separated.
  --record=FILE     Record of standin_line_platform for this run.
  --databases=LIST  Names of databases, comma separated. Each session takes one.
  --open=LIST       Databases that anyone may use, comma separated. Some sessions go there without
                    a key or with an unknown one.
  --key=KEY         Workspace key of all callers.
  --callers=N       Callers for each instance [default: 6].
  --seconds=N       Duration of the run in seconds [default: 20].
  --count=N         Most statements of a caller [default: 100000].
  --seed=N          Seed of the random choices [default: 1].
  --prepared=USE    Prepared statements of the callers: none, plain (shapes without blanks) or any
                    [default: any].
  --long=N          Share of the statements near the longest message, of 1,000 [default: 4].
  --print=N         Most violations of each kind to print [default: 10].
)";

// Members finish what they have received after the last caller has left.
constexpr std::chrono::milliseconds settling_time{ 1500 };

std::vector<std::string>
split_list(const std::string& list)
{
  std::vector<std::string> parts;
  std::istringstream text(list);
  for (std::string part; std::getline(text, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

prepared_use
prepared_use_of(const std::string& text)
{
  if (text == "none") {
    return prepared_use::none;
  }
  if (text == "plain") {
    return prepared_use::plain;
  }
  if (text == "any") {
    return prepared_use::any;
  }
  throw std::invalid_argument("--prepared: expected none, plain or any, found " + text);
}

std::uint64_t
number_of(const docopt::value& option)
{
  const auto number = option.asLong();
  if (number < 0) {
    throw std::invalid_argument("expected a number of at least 0, found " + std::to_string(number));
  }
  return static_cast<std::uint64_t>(number);
}

// Runs the callers until their end.
void
run_callers(const std::map<std::string, docopt::value>& options,
            sent_statements& sent,
            caller_totals& totals)
{
  boost::asio::io_context context(1);
  caller_options common;
  common.databases = split_list(options.at("--databases").asString());
  if (const auto& open = options.at("--open")) {
    common.open_databases = split_list(open.asString());
  }
  common.key = options.at("--key").asString();
  common.end =
    std::chrono::steady_clock::now() + std::chrono::seconds(number_of(options.at("--seconds")));
  common.statements = number_of(options.at("--count"));
  common.prepared = prepared_use_of(options.at("--prepared").asString());
  common.long_per_thousand = static_cast<unsigned>(number_of(options.at("--long")));
  std::vector<std::unique_ptr<statement_caller>> callers;
  for (const auto& text : split_list(options.at("--instances").asString())) {
    if (!parse_address(text, common.address)) {
      throw std::invalid_argument("--instances: expected IP:PORT, found " + text);
    }
    for (std::uint64_t i = 0; i < number_of(options.at("--callers")); ++i) {
      // Far apart, so that neighbouring seeds share no caller.
      const auto seed = number_of(options.at("--seed")) * 100'000 + callers.size();
      callers.push_back(std::make_unique<statement_caller>(context, common, seed, sent, totals));
      boost::asio::co_spawn(context, callers.back()->run(), [](const std::exception_ptr& failure) {
        if (failure) {
          std::rethrow_exception(failure);
        }
      });
    }
  }
  context.run();
}

// Prints the first violations of each kind, and the number of each kind.
std::size_t
print_violations(const caller_totals& totals, const record_comparison& comparison, std::size_t most)
{
  auto violations = comparison.violations();
  for (const auto& text : totals.violations) {
    violations.push_back({ "answer", text });
  }
  std::map<std::string, std::size_t> kinds;
  for (const auto& entry : violations) {
    if (++kinds[entry.kind] <= most) {
      std::cout << "violation: " << entry.kind << ": " << entry.text << "\n";
    }
  }
  for (const auto& [kind, count] : kinds) {
    std::cout << "violations of kind " << kind << ": " << count << "\n";
  }
  return violations.size();
}

int
run(int argc, char** argv)
{
  const auto options = docopt::docopt(usage, { argv + 1, argv + argc }, true, "");
  sent_statements sent;
  caller_totals totals;
  run_callers(options, sent, totals);
  std::this_thread::sleep_for(settling_time);
  record_comparison comparison(sent);
  if (const auto read = comparison.read(options.at("--record").asString()); !read) {
    std::cerr << "statement_check: " << read.error().message << "\n";
    return 2;
  }
  comparison.check_answers();
  const auto violations = print_violations(totals, comparison, number_of(options.at("--print")));
  std::uint64_t done = 0;
  for (const auto& [address, count] : totals.done) {
    std::cout << "done at " << address << ": " << count << "\n";
    done += count;
  }
  for (const auto& [code, count] : totals.codes) {
    std::cout << "answered " << code << ": " << count << "\n";
  }
  for (const auto& [name, count] : comparison.counts()) {
    std::cout << name << ": " << count << "\n";
  }
  std::cout << "statement_check: seed " << options.at("--seed").asString() << ", sessions "
            << totals.sessions << " (refused " << totals.refused_sessions << ", lost "
            << totals.lost_sessions << "), statements " << sent.entries().size() << " (long "
            << totals.long_statements << ", ahead " << totals.sent_ahead << ", left "
            << totals.left_unanswered << "), transactions " << totals.transactions << ", done "
            << done << ", timeouts " << totals.timeouts << ", violations " << violations << "\n";
  if (done == 0) {
    std::cout << "statement_check: no statement was run for a caller\n";
  }
  return violations == 0 && done > 0 ? 0 : 1;
}

}

int
main(int argc, char** argv)
{
  try {
    return run(argc, argv);
  } catch (const std::exception& failure) {
    std::cerr << "statement_check: " << failure.what() << "\n";
    return 2;
  }
}
