#include "session_bench.h"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

enum class step : std::uint8_t
{
  read,
  begin,
  commit,
  admit,
  open_connection,
  reply,
  lose_connection,
  // The key is withdrawn, given to another workspace, or given back.
  withdraw_key,
  move_key,
  return_key,
  // The route needs a key, or is open to all.
  close_route,
  open_route,
  evidence_lost,
  evidence_found,
};

constexpr std::array all_steps{
  step::read,
  step::begin,
  step::commit,
  step::admit,
  step::open_connection,
  step::reply,
  step::lose_connection,
  step::withdraw_key,
  step::move_key,
  step::return_key,
  step::close_route,
  step::open_route,
  step::evidence_lost,
  step::evidence_found,
};

// A session whose admissions, connections and answers arrive when the test says so. Checks each
// statement of the caller when it is sent.
class access_bench
{
public:
  access_bench()
    : bench_("stale")
  {
    bench_.opens_at_once = false;
    bench_.admits_at_once = false;
    current_ = make_configuration();
    set_route(true);
  }

  // Returns false if the step is not possible now.
  bool apply(step next)
  {
    const bool busy = bench_.session->busy();
    const auto state = bench_.session->state();
    switch (next) {
      case step::read:
        return !busy && submit(statement_kind::read, "READ 1");
      case step::begin:
        return !busy && state == transaction_state::idle && submit(statement_kind::begin, "BEGIN");
      case step::commit:
        return !busy && state == transaction_state::open &&
               submit(statement_kind::commit, "COMMIT");
      case step::admit:
        return bench_.run_admission() && check();
      case step::open_connection:
        return bench_.open_next_connection() && check();
      case step::reply:
        return reply();
      case step::lose_connection:
        if (bench_.commands.empty()) {
          return false;
        }
        bench_.lose_connection();
        return check();
      case step::withdraw_key:
        return set_keys({ "key-new" }, {});
      case step::move_key:
        return set_keys({ "key-new" }, { "key-w" });
      case step::return_key:
        return set_keys({ "key-w" }, {});
      case step::close_route:
        return set_route(false);
      case step::open_route:
        return set_route(true);
      case step::evidence_lost:
        bench_.key_evidence_missing = "no contact";
        return true;
      case step::evidence_found:
        bench_.key_evidence_missing.reset();
        return true;
    }
    return false;
  }

  const std::vector<std::string>& violations() const { return violations_; }

private:
  bool submit(statement_kind kind, const std::string& text)
  {
    bench_.submit(kind, text);
    return check();
  }

  bool reply()
  {
    if (bench_.commands.empty()) {
      return false;
    }
    const auto kind = bench_.command().kind;
    const bool begins = kind == member_command::command_kind::begin ||
                        kind == member_command::command_kind::begin_read;
    const bool continues = kind == member_command::command_kind::verbatim &&
                           bench_.command().text != "COMMIT" &&
                           bench_.session->state() == transaction_state::open;
    checked_ -= checked_ > 0 ? 1 : 0;
    bench_.reply(std::nullopt,
                 begins || continues ? transaction_state::open : transaction_state::idle);
    return check();
  }

  bool set_keys(std::vector<std::string> own, std::vector<std::string> other)
  {
    current_.workspaces.resize(1);
    current_.workspaces.push_back(make_workspace("w2", 100, 100));
    current_.workspaces[0].keys = std::move(own);
    current_.workspaces[1].keys = std::move(other);
    return publish();
  }

  bool set_route(bool open_to_all)
  {
    current_.routes[1].open_to_all = open_to_all;
    return publish();
  }

  bool publish()
  {
    current_.version = config_version(current_.version.get() + 1);
    bench_.configuration = configuration_index(current_);
    return true;
  }

  // Checks the commands that were sent since the last call.
  bool check()
  {
    checked_ = std::min(checked_, bench_.commands.size());
    for (; checked_ < bench_.commands.size(); ++checked_) {
      const auto& sent = bench_.commands[checked_];
      const bool from_caller = sent.command.kind == member_command::command_kind::verbatim ||
                               sent.command.kind == member_command::command_kind::execute;
      if (!from_caller) {
        continue;
      }
      const auto* holder = bench_.configuration.workspace_of_key("key-w");
      const auto expected = holder == nullptr ? workspace_id() : holder->name;
      const auto told = bench_.workspace_of(sent.connection);
      if (told != expected) {
        violations_.push_back(sent.command.text + " was sent in the name of \"" + told.get() +
                              "\", the key belongs to \"" + expected.get() + "\"");
      }
      const bool open_to_all = bench_.configuration.configuration().routes[1].open_to_all;
      if (holder == nullptr && !open_to_all) {
        violations_.push_back(sent.command.text + " was sent without a valid key");
      }
      if (bench_.key_evidence_missing && (holder != nullptr || !open_to_all)) {
        violations_.push_back(sent.command.text + " was sent without evidence of the key");
      }
    }
    return true;
  }

  session_bench bench_;
  fleet_configuration current_;
  // Number of pending commands that were checked.
  std::size_t checked_ = 0;
  std::vector<std::string> violations_;
};

constexpr std::size_t longest_sequence = 5;

// Plays every sequence of steps and returns the first violations.
void
explore(std::vector<step>& sequence, std::size_t& played, std::vector<std::string>& found)
{
  for (const auto next : all_steps) {
    access_bench bench;
    for (const auto earlier : sequence) {
      bench.apply(earlier);
    }
    if (!bench.apply(next)) {
      continue;
    }
    ++played;
    sequence.push_back(next);
    if (!bench.violations().empty()) {
      std::string text = bench.violations().front() + "; steps";
      for (const auto each : sequence) {
        text += " " + std::to_string(static_cast<int>(each));
      }
      found.push_back(text);
    } else if (sequence.size() < longest_sequence) {
      explore(sequence, played, found);
    }
    sequence.pop_back();
  }
}

}

// Guards against statements that reach a member in the name of a workspace that does not hold the
// caller's key any more: the key is withdrawn or moved while the statement waits for its admission,
// for a connection, or for another attempt.
TEST_CASE("a statement is sent only in the name of the workspace that holds the key then")
{
  std::vector<step> sequence;
  std::size_t played = 0;
  std::vector<std::string> found;
  explore(sequence, played, found);
  CHECK(played > 10000);
  INFO("violations: " << found.size());
  REQUIRE_MESSAGE(found.empty(), found.front());
}

// Guards against a statement that waits for its time limit although members cannot be told the name
// of its workspace.
TEST_CASE("a workspace whose name members cannot be told is refused at once")
{
  session_bench bench("writes");
  auto changed = make_configuration();
  changed.workspaces.front().has_usable_name = false;
  bench.configuration = configuration_index(changed);
  bench.submit(statement_kind::write, "WRITE a x");
  CHECK(bench.answers.back().error == statement_error::busy);
  CHECK(bench.answers.back().error_text == "the name of workspace w cannot be sent to members");
  CHECK(bench.requests.empty());
}
