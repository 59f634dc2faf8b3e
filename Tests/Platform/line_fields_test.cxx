#include <doctest/doctest.h>

#include "StandIns/standin_line_session.h"
#include "platform/configuration_format.h"
#include "platform/line_protocol.h"
#include "platform/store_format.h"

#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

using namespace persimmonshelf;
using namespace persimmonshelf::platform;

namespace {

// Texts of pieces that separate fields or lines, or look like another statement.
rc::Gen<std::string>
hostile_text()
{
  const auto piece = rc::gen::element<std::string>(
    "", "a", " ", "\t", "\r", "\n", "\r\n", std::string(1, '\0'), "READ", "-", "AFTER", "1.1");
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(piece), [](const auto& pieces) {
    std::string text;
    for (const auto& next : pieces) {
      text += next;
    }
    return text;
  });
}

// The message without its end of line. It must be the only one.
std::string
only_line(const std::string& message)
{
  RC_ASSERT(message.find("\r\n") == message.size() - 2);
  return message.substr(0, message.size() - 2);
}

member_command
make_command(member_command::command_kind kind,
             const std::string& name,
             const std::string& argument)
{
  member_command command;
  command.kind = kind;
  command.name = name;
  command.argument = argument;
  command.prepared = prepared_number(7);
  return command;
}

}

// Guards against a command whose fields a member splits otherwise, or that becomes two messages.
TEST_CASE("a member reads the fields of a command that were given, or the command is refused")
{
  using command_kind = member_command::command_kind;
  CHECK(rc::check("commands", [] {
    const auto name = *hostile_text();
    const auto text = *hostile_text();
    standin_line_session member;
    if (const auto set = encode_command(make_command(command_kind::set, name, text))) {
      RC_ASSERT(member.apply(only_line(set.value())));
      RC_ASSERT(member.settings() == (std::map<std::string, std::string>{ { name, text } }));
    } else {
      RC_ASSERT(!is_inner_field(name) || text.find("\r\n") != std::string::npos);
    }
    const auto prepare = encode_command(make_command(command_kind::prepare, {}, text));
    auto execute = make_command(command_kind::execute, {}, name);
    execute.id = "id";
    const auto executed = encode_command(execute);
    if (!prepare || !executed || text.empty() || name.empty()) {
      return;
    }
    RC_ASSERT(member.apply(only_line(prepare.value())));
    const auto ran = member.apply(only_line(executed.value()));
    RC_ASSERT(ran);
    RC_ASSERT(ran.value().id == "id");
    RC_ASSERT(ran.value().shape == text);
    RC_ASSERT(ran.value().item == name);
  }));
}

// Guards against an id of a caller that is another field, or that of the proxy's own statements.
TEST_CASE("a member reads a caller's id and text, or the statement is refused")
{
  CHECK(rc::check("statements", [] {
    member_command command;
    command.id = *rc::gen::nonEmpty(hostile_text());
    command.text = "READ " + *rc::gen::nonEmpty(hostile_text());
    if (*rc::gen::arbitrary<bool>()) {
      command.min_position = log_point{ term(1), log_position(2) };
    }
    const auto line = encode_command(command);
    if (!line) {
      RC_ASSERT(!is_inner_field(command.id) || command.text.find("\r\n") != std::string::npos);
      return;
    }
    const auto ran = standin_line_session().apply(only_line(line.value()));
    RC_ASSERT(ran);
    RC_ASSERT(ran.value().id == command.id);
    RC_ASSERT(ran.value().text == command.text);
  }));
  CHECK_FALSE(parse_caller_message("QUERY - READ a"));
}

// Guards against a workspace or member whose name changes who connects, and to whom.
TEST_CASE("a start has the group, workspace and member that were given, or is refused")
{
  CHECK(rc::check("starts", [] {
    const std::vector<std::string> fields{ *hostile_text(), *hostile_text(), *hostile_text() };
    const auto start = encode_member_start(fields[0], fields[1], fields[2]);
    if (!start) {
      return;
    }
    const auto workspace = fields[1].empty() ? std::string("-") : fields[1];
    RC_ASSERT(only_line(start.value()) == "START " + fields[0] + " " + workspace + " " + fields[2]);
    RC_ASSERT(is_inner_field(fields[0]));
    RC_ASSERT(is_inner_field(workspace));
  }));
  CHECK_FALSE(is_workspace_name("-"));
  CHECK_FALSE(is_workspace_name("two words"));
  CHECK(is_workspace_name("w-1"));
  const auto configuration = parse_configuration(
    R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"a b","api_keys":["k"]}]})");
  REQUIRE(configuration);
  CHECK_FALSE(configuration.value().workspaces.front().has_usable_name);
}

// Guards against an error text that becomes a message of its own for the caller.
TEST_CASE("an answer to a caller has as many lines as messages")
{
  statement_answer answer;
  answer.error = statement_error::busy;
  answer.error_text = "rate limit of a\r\nDONE x reached";
  CHECK(encode_answer(answer) == "ERROR BUSY rate limit of a??DONE x reached\r\nREADY I -\r\n");
}

// Guards against two prepared statements with one name, and against names that grow a message.
TEST_CASE("prepared statements have short names of their own")
{
  constexpr std::uint32_t count = 60;
  constexpr std::uint32_t one_letter_names = 52;
  std::set<std::string> messages;
  auto command = make_command(member_command::command_kind::execute, {}, "k");
  for (std::uint32_t number = 1; number <= count; ++number) {
    command.prepared = prepared_number(number);
    const auto message = encode_command(command).value();
    const auto shortest = std::string("QUERY - EXECUTE a k\r\n").size();
    CHECK(message.size() == shortest + (number > one_letter_names ? 1 : 0));
    messages.insert(message);
  }
  CHECK(messages.size() == count);
}

// Guards against a message that a member drops with its connection, and the outcome with it.
TEST_CASE("a command is refused if it is longer than a message may be")
{
  using command_kind = member_command::command_kind;
  const auto empty = encode_command(make_command(command_kind::execute, {}, "")).value().size();
  const std::string longest(line_limit_bytes - empty, 'x');
  CHECK(encode_command(make_command(command_kind::execute, {}, longest)));
  CHECK_FALSE(encode_command(make_command(command_kind::execute, {}, longest + "x")));
}
