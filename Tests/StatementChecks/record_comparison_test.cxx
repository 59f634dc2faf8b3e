#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "Checks/Statements/hostile_text.h"
#include "Checks/Statements/record_comparison.h"
#include "StandIns/standin_line_record.h"

#include <unistd.h>

#include <filesystem>
#include <memory>
#include <set>
#include <string>

using namespace persimmonshelf;
using namespace persimmonshelf::checks;

namespace {

using operation = sent_statement::operation;
using outcome = sent_statement::result;

const std::string done_lines = "DONE -\r\n";

// What one member ran on one connection, and what its callers sent.
class recorded_member
{
public:
  recorded_member()
    : path_(std::filesystem::temp_directory_path() /
            ("record-comparison-" + std::to_string(::getpid()) + ".jsonl"))
    , record_(std::move(standin_line_record::create(path_.string()).value()))
  {
  }
  ~recorded_member() { std::filesystem::remove(path_); }
  recorded_member(const recorded_member&) = delete;
  recorded_member& operator=(const recorded_member&) = delete;

  // A statement that was answered with DONE.
  sent_statement& sent(operation kind, const std::string& id, const std::string& text)
  {
    sent_statement statement;
    statement.id = id;
    statement.kind = kind;
    statement.text = text;
    statement.values = std::make_shared<const session_values>();
    statement.outcome = outcome::done;
    statement.answer = done_lines;
    return statements.add(std::move(statement));
  }

  void received(const std::string& line)
  {
    const auto before = session_;
    const auto applied = session_.apply(line);
    if (!applied) {
      session_.fail_transaction();
      record_->refused({ "m1", 1 }, line, applied.error().message);
      return;
    }
    record_->ran({ "m1", 1 }, applied.value(), before, done_lines);
    if (applied.value().kind == standin_line_statement::operation::commit) {
      session_.end_transaction();
    }
  }

  // Refused by a fault of the stand-in, or as a consequence of one.
  void refused(const std::string& line, const std::string& code, standin_line_record::reason why)
  {
    session_.fail_transaction();
    record_->refused({ "m1", 1 }, line, code, why);
  }

  // The kinds of all violations.
  std::set<std::string> violations()
  {
    record_comparison comparison(statements);
    REQUIRE(comparison.read(path_.string()));
    comparison.check_answers();
    std::set<std::string> kinds;
    for (const auto& entry : comparison.violations()) {
      kinds.insert(entry.kind);
    }
    return kinds;
  }

  sent_statements statements;

private:
  std::filesystem::path path_;
  std::unique_ptr<standin_line_record> record_;
  standin_line_session session_;
};

using kinds = std::set<std::string>;

}

TEST_CASE("what ran as it was sent is no violation")
{
  recorded_member member;
  member.sent(operation::read, "1", "READ  a b ");
  member.received("QUERY 1 AFTER 1.7 READ  a b ");
  auto& execution = member.sent(operation::execute, "2", "EXECUTE s1 k  d");
  execution.shape = "q12 READ zd";
  execution.shape_writes = true;
  execution.arguments = "k  d";
  execution.values = std::make_shared<const session_values>(session_values{ { "n", " v" } });
  member.received("QUERY - SET n  v");
  member.received("QUERY - PREPARE p7 WRITE q12 READ zd");
  member.received("QUERY 2 EXECUTE p7 k  d");
  CHECK(member.violations() == kinds{});
}

TEST_CASE("each difference between what was sent and what ran is a violation")
{
  SUBCASE("a changed text")
  {
    recorded_member member;
    member.sent(operation::read, "1", "READ  a");
    member.received("QUERY 1 READ a");
    CHECK(member.violations() == kinds{ "text_changed" });
  }
  SUBCASE("another shape and other arguments")
  {
    recorded_member member;
    auto& execution = member.sent(operation::execute, "1", "EXECUTE s1 #bd");
    execution.shape = "qa READ xy";
    execution.arguments = "#bd";
    member.received("QUERY - PREPARE r.qa READ xy READ qa READ xy");
    CHECK(member.violations() == kinds{ "not_run" });
    member.received("QUERY - PREPARE r.qa READ xy");
    member.received("QUERY 1 EXECUTE r.qa READ xy #bd");
    CHECK(member.violations() == kinds{ "execution_changed", "shape_changed" });
  }
  SUBCASE("other values")
  {
    recorded_member member;
    member.sent(operation::read, "1", "READ a");
    member.received("QUERY - SET n v");
    member.received("QUERY 1 READ a");
    CHECK(member.violations() == kinds{ "values_changed" });
  }
  SUBCASE("inside of a transaction")
  {
    recorded_member member;
    member.sent(operation::write, "1", "WRITE a b");
    member.received("QUERY - BEGIN");
    member.received("QUERY 1 WRITE a b");
    CHECK(member.violations() == kinds{ "transaction_changed" });
  }
  SUBCASE("outside of a transaction")
  {
    recorded_member member;
    member.sent(operation::write, "1", "WRITE a b").transaction = 1;
    member.received("QUERY 1 WRITE a b");
    CHECK(member.violations() == kinds{ "transaction_changed" });
  }
  SUBCASE("in the transaction of another caller")
  {
    recorded_member member;
    member.sent(operation::write, "1", "WRITE a b").transaction = 1;
    member.sent(operation::write, "2", "WRITE a b").transaction = 2;
    member.received("QUERY - BEGIN");
    member.received("QUERY 1 WRITE a b");
    member.received("QUERY 2 WRITE a b");
    CHECK(member.violations() == kinds{ "transaction_changed" });
  }
  SUBCASE("twice")
  {
    recorded_member member;
    member.sent(operation::write, "1", "WRITE a b");
    member.received("QUERY 1 WRITE a b");
    member.received("QUERY 1 WRITE a b");
    CHECK(member.violations() == kinds{ "run_twice" });
  }
  SUBCASE("never, though it was answered with DONE")
  {
    recorded_member member;
    member.sent(operation::write, "1", "WRITE a b");
    CHECK(member.violations() == kinds{ "not_run" });
  }
  SUBCASE("with another answer")
  {
    recorded_member member;
    member.sent(operation::read, "1", "READ a").answer = "ROW x\r\n" + done_lines;
    member.received("QUERY 1 READ a");
    CHECK(member.violations() == kinds{ "answer_changed" });
  }
  SUBCASE("after a promise that it did not")
  {
    recorded_member member;
    auto& write = member.sent(operation::write, "1", "WRITE a b");
    write.outcome = outcome::failed;
    write.code = "BUSY";
    member.received("QUERY 1 WRITE a b");
    CHECK(member.violations() == kinds{ "promise_broken" });
  }
  SUBCASE("a commit that rolled back and was answered with DONE")
  {
    recorded_member member;
    auto& commit = member.sent(operation::commit, "1", "COMMIT");
    commit.transaction = 1;
    member.received("QUERY - BEGIN");
    member.refused("QUERY - SET n v", "BUSY", standin_line_record::reason::fault);
    member.received("QUERY 1 COMMIT");
    CHECK(member.violations() == kinds{ "rolled_back" });
    commit.outcome = outcome::failed;
    commit.code = "ABORTED";
    CHECK(member.violations() == kinds{});
  }
  SUBCASE("a write after a refusal by a fault")
  {
    recorded_member member;
    auto& write = member.sent(operation::write, "1", "WRITE a b");
    write.outcome = outcome::failed;
    write.code = "BUSY";
    member.refused("QUERY 1 WRITE a b", "NOSTMT", standin_line_record::reason::fault);
    CHECK(member.violations() == kinds{});
    member.received("QUERY 1 WRITE a b");
    CHECK(member.violations() == kinds{ "promise_broken" });
    member.refused("QUERY 2 READ a", "NOSTMT", standin_line_record::reason::fault);
    CHECK(member.violations() == kinds{ "promise_broken", "unknown_id" });
  }
  SUBCASE("without having been sent whole")
  {
    recorded_member member;
    auto& write = member.sent(operation::write, "1", "WRITE a bcd");
    write.outcome = outcome::unknown;
    write.complete = false;
    member.received("QUERY 1 WRITE a b");
    CHECK(member.violations() == kinds{ "incomplete", "text_changed" });
  }
  SUBCASE("that nobody sent")
  {
    recorded_member member;
    member.received("QUERY 1 WRITE a b");
    member.received("QUERY - WRITE a b");
    CHECK(member.violations() == kinds{ "unknown_id", "own_statement" });
  }
  SUBCASE("refused for its form")
  {
    recorded_member member;
    member.received("QUERY - PREPARE r.q12 other READ q12 other");
    const std::string item(1 << 20, 'x');
    member.sent(operation::read, "1", "READ " + item).outcome = outcome::unknown;
    member.received("QUERY 1 READ " + item);
    CHECK(member.violations() == kinds{ "own_command_refused", "line_too_long" });
  }
}

TEST_CASE("hostile texts never end a line, and fields in the middle have no blanks")
{
  hostile_text text(1);
  for (int i = 0; i < 20'000; ++i) {
    const auto field = text.middle_field();
    REQUIRE(!field.empty());
    REQUIRE(field.find(' ') == std::string::npos);
    for (const auto& any : { field, text.last_field(), text.shape(false), text.shape(true) }) {
      REQUIRE(!any.empty());
      REQUIRE(any.find("\r\n") == std::string::npos);
    }
  }
}
