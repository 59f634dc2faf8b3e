#include "Adapters/operator_client.h"
#include "Base/digest.h"
#include "Control/configuration.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace persimmonshelf;

constexpr const char* usage =
  R"(Controls a fleet of persimmonshelf instances through any one of them.

Usage:
  persimmonshelf check-config FILE
  persimmonshelf [options] config show
  persimmonshelf [options] config diff FILE
  persimmonshelf [options] config dry-run FILE
  persimmonshelf [options] config set FILE [--expect=VERSION]
  persimmonshelf [options] key give WORKSPACE [--note=TEXT]
  persimmonshelf [options] key revoke DIGEST
  persimmonshelf [options] key revoke --key-file=FILE
  persimmonshelf [options] key list
  persimmonshelf [options] status [fleet]
  persimmonshelf [options] status database NAME
  persimmonshelf [options] status workspace NAME
  persimmonshelf [options] account MONTH
  persimmonshelf [options] trace REQUEST
  persimmonshelf [options] drain
  persimmonshelf (-h | --help)

Commands:
  check-config    Validate FILE locally, without an instance; print each error with its line.
  config show     Print the configuration in force.
  config diff     Print what FILE would change, without checking for concurrent edits.
  config dry-run  Validate FILE like "set", without changing anything.
  config set      Make FILE the configuration in force. With --expect the edit is refused if
                  another version is in force; the error lists what has changed since.
  key give        Create a key for a workspace. It is printed once and cannot be retrieved later.
  key revoke      Revoke a key, given by a prefix of its DIGEST, as shown by "key list", or by a
                  file that contains the key.
  key list        Print digest, workspace and state of every key; the keys are not stored.
  status          Print the state of the fleet, a database or a workspace.
  account         Print the usage of each workspace in a month, such as 2026-11.
  trace           Print the steps of a REQUEST, given by the request id in its answer.
  drain           Stop the instance at --at after it has finished its requests in flight.

Options:
  --at=IP:PORT       Operator address of an instance. If absent, PERSIMMONSHELF_AT is used.
  --author=NAME      Author to record for a configuration edit. If absent, USER is used.
  --edit-id=ID       Id of a change. Repeating a change with the same id applies it only once; use
                     this after a change without a response. If absent, a random id is used.
  --timeout-ms=MS    Time limit for connecting, and for the response [default: 10000].
  --json             Print the response as JSON.
  --expect=VERSION   Version that FILE is based on.
  --note=TEXT        Note to show in "key list".
  --key-file=FILE    File that contains the key.
  -h --help          Show this text.

FILE may be "-" for standard input. Keys are not accepted as arguments, because other users of the
machine can see the command line.

Example of an edit that detects concurrent edits:
  persimmonshelf config show > text.json        # prints "version: 41" to standard error
  persimmonshelf config diff text.json          # after editing
  persimmonshelf config set text.json --expect 41

Exit codes:
  0  success
  1  refused; the printed result code is explained in docs/result-codes.md
  2  invalid command line or unreadable file
  3  no valid response from the instance; repeat a change with its --edit-id
)";

using arguments = std::map<std::string, docopt::value>;

// An invalid command line. The message never contains an argument that may be a key.
struct usage_failure : std::runtime_error
{
  using std::runtime_error::runtime_error;
};

std::string
text_or(const arguments& given, const char* name, const std::string& fallback)
{
  const auto& value = given.at(name);
  return value ? value.asString() : fallback;
}

std::string
environment(const char* name)
{
  const auto* value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

std::string
read_file(const std::string& name)
{
  if (name == "-") {
    return { std::istreambuf_iterator<char>(std::cin), {} };
  }
  std::ifstream file(name, std::ios::binary);
  if (!file) {
    throw usage_failure(name + ": cannot be read");
  }
  return { std::istreambuf_iterator<char>(file), {} };
}

std::uint64_t
number_of(const arguments& given, const char* name)
{
  const auto text = given.at(name).asString();
  if (text.empty() || text.size() > 18 ||
      text.find_first_not_of("0123456789") != std::string::npos) {
    throw usage_failure(std::string(name) + ": expected a number");
  }
  return std::stoull(text);
}

// Validates a configuration file, prints its errors and warnings, and returns the exit code.
operator_exit
check_config(const std::string& file)
{
  const auto parsed = configuration::parse(read_file(file));
  if (!parsed) {
    std::cerr << "600 config_invalid: " << file << "\n" << parsed.error().message << "\n";
    return operator_exit::refused;
  }
  for (const auto& warning : parsed.value().warnings()) {
    std::cerr << "warning: " << warning << "\n";
  }
  std::cout << file << ": valid; " << parsed.value().routes().size() << " routes, "
            << parsed.value().databases().size() << " databases, "
            << parsed.value().workspaces().size() << " workspaces\n";
  return operator_exit::ok;
}

operator_command
build_config(const arguments& given, const std::string& edit_id)
{
  const auto is = [&](const char* word) { return given.at(word).asBool(); };
  if (is("show")) {
    return show_config();
  }
  config_edit edit;
  edit.content = read_file(given.at("FILE").asString());
  if (is("diff")) {
    return diff_config(edit.content);
  }
  const auto user = environment("USER");
  edit.author = text_or(given, "--author", user.empty() ? "unknown" : user);
  edit.edit_id = edit_id;
  edit.dry_run = is("dry-run");
  if (given.at("--expect")) {
    edit.expect = number_of(given, "--expect");
  }
  return set_config(edit);
}

operator_command
build_key(const arguments& given, const std::string& edit_id)
{
  if (given.at("list").asBool()) {
    return list_keys();
  }
  if (given.at("give").asBool()) {
    return create_key(given.at("WORKSPACE").asString(), text_or(given, "--note", {}), edit_id);
  }
  if (given.at("--key-file")) {
    return revoke_key_by_value(read_file(given.at("--key-file").asString()), edit_id);
  }
  return revoke_key(given.at("DIGEST").asString(), edit_id);
}

operator_command
build(const arguments& given)
{
  const auto is = [&](const char* word) { return given.at(word).asBool(); };
  std::ostringstream random_id;
  random_id << std::hex << random_bits();
  const auto edit_id = text_or(given, "--edit-id", random_id.str());
  if (is("config")) {
    return build_config(given, edit_id);
  }
  if (is("key")) {
    return build_key(given, edit_id);
  }
  if (is("status")) {
    if (is("database") || is("workspace")) {
      return show_status(is("database") ? "database" : "workspace", given.at("NAME").asString());
    }
    return show_status();
  }
  if (is("account")) {
    return show_account(given.at("MONTH").asString());
  }
  if (is("trace")) {
    return show_trace(given.at("REQUEST").asString());
  }
  return drain_instance();
}

arguments
parse(const std::vector<std::string>& words)
{
  for (const auto& word : words) {
    if (word.find("pskey_") != std::string::npos) {
      throw usage_failure(
        "an argument contains a workspace key; revoke that key and use --key-file");
    }
  }
  try {
    return docopt::docopt_parse(usage, words, true, false);
  } catch (const docopt::DocoptArgumentError&) {
    throw usage_failure("unknown command or option; see persimmonshelf --help");
  }
}

int
run(const std::vector<std::string>& words)
{
  const auto given = parse(words);
  if (given.at("check-config").asBool()) {
    return static_cast<int>(check_config(given.at("FILE").asString()));
  }
  const auto at = text_or(given, "--at", environment("PERSIMMONSHELF_AT"));
  tcp_address address;
  if (!parse_address(at, address)) {
    throw usage_failure(at.empty() ? "give an operator address with --at or PERSIMMONSHELF_AT"
                                   : "--at: expected IP:PORT, found " + at);
  }
  const std::chrono::milliseconds timeout(number_of(given, "--timeout-ms"));
  const operator_client client(address, timeout, given.at("--json").asBool());
  const auto report = client.run(build(given));
  std::cout << report.output;
  std::cerr << report.notes;
  return static_cast<int>(report.exit);
}

}

int
main(int argc, char** argv)
{
  try {
    return run({ argv + 1, argv + argc });
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << usage;
    return static_cast<int>(operator_exit::ok);
  } catch (const std::exception& failure) {
    std::cerr << "persimmonshelf: " << failure.what() << "\n";
    return static_cast<int>(operator_exit::usage);
  }
}
