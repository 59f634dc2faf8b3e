#include <doctest/doctest.h>

#include "StandIns/standin_line_session.h"
#include "platform/line_protocol.h"
#include "session_bench.h"

#include <random>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;
using command_kind = member_command::command_kind;

// Guards against numbers that stand for another shape at the member, a member that keeps more than
// the bounds, and a state that counts as known although a command was refused.
TEST_CASE("a member has what its connection is known to keep, within the bounds")
{
  std::mt19937 random(1);
  const auto draw = [&](std::size_t end) { return random() % end; };
  standin_line_session member;
  const auto apply = [&](const member_command& command) {
    const auto line = platform::encode_command(command).value();
    return member.apply(std::string_view(line).substr(0, line.size() - 2));
  };
  member_session kept;
  // True while the member must have the statement that is used all the time.
  bool has_hot = false;
  const prepared_statement hot{ "hot", true };
  for (int i = 0; i < 10000; ++i) {
    const session_settings settings{ { i % 2500 < 2490 ? "a" : "b", std::to_string(draw(2)) } };
    const std::string text(i % 2500 < 2000 ? 1 : draw(300'000), 'q');
    const prepared_statement cold{ std::to_string(draw(900)) + text, draw(2) == 0 };
    const auto& statement = i % 2 == 0 ? hot : cold;
    const auto commands = kept.prepare(settings, statement);
    const bool refused = !commands.empty() && draw(1000) == 0;
    const auto accepted = refused ? draw(commands.size()) : commands.size();
    for (std::size_t at = 0; at < accepted; ++at) {
      const auto before = member.prepared_count();
      REQUIRE(apply(commands[at]));
      has_hot = has_hot && commands[at].kind != command_kind::reset;
      if (commands[at].kind == command_kind::prepare) {
        REQUIRE(member.prepared_count() == before + 1);
        REQUIRE((statement != hot || !has_hot));
      }
    }
    REQUIRE(kept.has_settings(settings) == commands.empty());
    if (refused) {
      continue;
    }
    kept.confirm();
    has_hot = has_hot || statement == hot;
    REQUIRE((kept.has_settings(settings) && member.settings() == settings));
    const auto number = kept.number_of(statement);
    REQUIRE((number && number->get() <= member_session::max_prepared));
    REQUIRE(member.prepared_count() <= member_session::max_prepared);
    const auto ran =
      apply({ .kind = command_kind::execute, .id = "x", .prepared = *number, .argument = "k v" });
    REQUIRE((ran && ran.value().shape == statement.shape));
    REQUIRE((ran.value().kind == standin_line_statement::operation::write) == statement.writes);
    if (draw(1000) == 0) {
      kept.forget();
    }
  }
}

// Guards against a transaction that goes on elsewhere without its first statements.
TEST_CASE("a refused preparation in a transaction rolls it back")
{
  session_bench bench("writes");
  bench.submit(statement_kind::begin, "BEGIN");
  bench.submit(statement_kind::write, "WRITE a x");
  bench.reply(std::nullopt, transaction_state::open);
  bench.reply(std::nullopt, transaction_state::open);
  bench.submit(statement_kind::set, "SET a 1", "a", "1");
  bench.submit(statement_kind::write, "WRITE b x");
  bench.reply(statement_error::busy, transaction_state::open);
  CHECK(bench.answers.back().error == statement_error::busy);
  REQUIRE(bench.commands.size() == 1);
  CHECK(bench.command().kind == command_kind::rollback);
}
