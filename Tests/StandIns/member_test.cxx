#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "StandIns/standin_backend_member.h"

using namespace persimmonshelf;

namespace {

standin_call
make_call(accepted_number connection, standin_operation operation, const std::string& text = {})
{
  standin_call call;
  call.connection = connection;
  call.operation = operation;
  call.request_id = "r-" + text;
  call.in_term = term(1);
  call.write = true;
  call.text = text;
  return call;
}

standin_refusal
run(standin_member& member, standin_call call)
{
  const auto admitted = member.admit(call);
  return admitted.refusal != standin_refusal::none ? admitted.refusal
                                                   : member.execute(call).refusal;
}

// All entries of `from` after `position`, in the form in which a primary sends them.
standin_append
append_after(const standin_member& from, std::uint64_t position)
{
  const auto& log = from.log();
  standin_append append;
  append.in_term = from.promised();
  append.origin = from.name();
  append.previous = { log.term_at(log_position(position)), log_position(position) };
  for (auto next = position + 1; next <= log.last().position.get(); ++next) {
    append.entries.push_back(log.at(log_position(next)));
  }
  return append;
}

}

// Guards against one term being promised to two candidates, against the promotion of a member that
// the candidate did not fence, and against writes of a fenced primary in its old term.
TEST_CASE("fence and promote")
{
  standin_member member("a", 2);
  member.start_as_primary();
  CHECK_FALSE(member.fence(term(1), "x"));
  CHECK(member.promote(term(2), "x") == standin_refusal::not_promised);
  CHECK(member.fence(term(3), "x"));
  CHECK_FALSE(member.is_primary());
  CHECK_FALSE(member.fence(term(3), "y"));
  CHECK_FALSE(member.fence(term(2), "x"));
  CHECK_FALSE(member.fence(term(4), ""));
  CHECK(member.promote(term(3), "y") == standin_refusal::not_promised);
  CHECK(member.promote(term(2), "x") == standin_refusal::wrong_term);
  CHECK(run(member, make_call(1, standin_operation::statement, "PUT k v")) ==
        standin_refusal::wrong_term);
  auto later = make_call(1, standin_operation::statement, "PUT k v");
  later.in_term = term(3);
  CHECK(run(member, later) == standin_refusal::not_primary);
  CHECK(member.log().state().empty());
  CHECK(member.promote(term(3), "x") == standin_refusal::none);
  CHECK(run(member, later) == standin_refusal::none);
  CHECK(member.log().last() == log_point{ term(3), log_position(3) });
}

// Guards against a repeated fence or promotion that is refused or writes another first entry of the
// term.
TEST_CASE("fence and promote are idempotent for a candidate and term")
{
  standin_member member("a", 2);
  for (int i = 0; i < 2; ++i) {
    CHECK(member.fence(term(1), "x"));
  }
  for (int i = 0; i < 3; ++i) {
    CHECK(member.promote(term(1), "x") == standin_refusal::none);
  }
  CHECK(member.log().last().position == log_position(1));
  CHECK(member.fence(term(1), "x"));
  CHECK(member.is_primary());
}

// Guards against a replaced primary whose unreplicated writes stay visible after it follows the new
// primary, and against a member that accepts entries of the replaced primary after a fence.
TEST_CASE("conflicting entries are truncated, entries of a lower term are refused")
{
  standin_member old_primary("a", 2);
  standin_member next_primary("b", 2);
  old_primary.start_as_primary();
  CHECK(run(old_primary, make_call(1, standin_operation::statement, "ADD n 1")) ==
        standin_refusal::none);
  CHECK(next_primary.accept(append_after(old_primary, 0)).matched == log_position(2));
  CHECK(run(old_primary, make_call(1, standin_operation::statement, "ADD n 10")) ==
        standin_refusal::none);
  CHECK(run(old_primary, make_call(1, standin_operation::statement, "PUT lost 1")) ==
        standin_refusal::none);

  CHECK(next_primary.fence(term(2), "x"));
  CHECK(next_primary.accept(append_after(old_primary, 2)).refusal == standin_refusal::wrong_term);
  CHECK(next_primary.promote(term(2), "x") == standin_refusal::none);

  const auto outcome = old_primary.accept(append_after(next_primary, 2));
  CHECK(outcome.refusal == standin_refusal::none);
  CHECK(outcome.matched == log_position(3));
  CHECK_FALSE(old_primary.is_primary());
  CHECK(old_primary.log().last() == next_primary.log().last());
  CHECK(old_primary.log().state() == next_primary.log().state());
  CHECK(old_primary.log().history().back().first_position == log_position(3));
}

// Guards against entries that are accepted although their predecessor is missing, against a second
// primary in one term, and against entries of older terms that are accepted alone: a majority would
// appear to hold an old entry that a later primary removes.
TEST_CASE("entries must follow the log, come from one primary and end in its term")
{
  standin_member primary("a", 2);
  primary.start_as_primary();
  CHECK(run(primary, make_call(1, standin_operation::statement, "PUT k v")) ==
        standin_refusal::none);
  standin_member replica("b", 2);
  auto gap = replica.accept(append_after(primary, 1));
  CHECK(gap.refusal == standin_refusal::mismatch);
  CHECK(gap.matched == log_position(0));
  CHECK(replica.accept(append_after(primary, 0)).refusal == standin_refusal::none);

  auto other_primary = append_after(primary, 2);
  other_primary.origin = "c";
  CHECK(replica.accept(other_primary).refusal == standin_refusal::wrong_term);
  auto old_entries = append_after(primary, 0);
  old_entries.in_term = term(2);
  CHECK(replica.accept(old_entries).refusal == standin_refusal::mismatch);
  CHECK(replica.promised() == term(1));
}

// Guards against more concurrent statements than slots, and against slots that are not released
// when a transaction ends, its connection closes or the member is fenced.
TEST_CASE("slots limit statements and transactions")
{
  standin_member member("a", 2);
  member.start_as_primary();
  CHECK(run(member, make_call(1, standin_operation::begin)) == standin_refusal::none);
  auto waiting = make_call(2, standin_operation::statement, "GET k");
  CHECK(member.admit(waiting).refusal == standin_refusal::none);
  CHECK(run(member, make_call(3, standin_operation::begin)) == standin_refusal::busy);
  CHECK(run(member, make_call(1, standin_operation::statement, "PUT k v")) ==
        standin_refusal::none);
  CHECK(member.execute(waiting).rows.empty());
  CHECK(run(member, make_call(1, standin_operation::commit)) == standin_refusal::none);
  CHECK(member.free_slots() == 2);
  CHECK(member.runs().at("r-GET k") == 1);

  CHECK(run(member, make_call(1, standin_operation::begin)) == standin_refusal::none);
  CHECK(run(member, make_call(2, standin_operation::begin)) == standin_refusal::none);
  auto running = make_call(2, standin_operation::statement, "PUT k w");
  CHECK(member.admit(running).refusal == standin_refusal::none);
  CHECK(member.fence(term(2), "x"));
  CHECK(member.execute(running).refusal == standin_refusal::wrong_term);
  // After a transaction was lost, its connection refuses every statement until the rollback.
  CHECK(run(member, make_call(1, standin_operation::statement, "GET k")) ==
        standin_refusal::wrong_term);
  CHECK(run(member, make_call(1, standin_operation::rollback)) == standin_refusal::none);
  member.connection_closed(2);
  CHECK(member.free_slots() == 2);
  CHECK(member.log().state().at("k") == "v");
}

// Guards against a write that is admitted in one term and executed after the member was fenced.
TEST_CASE("a statement admitted before a fence is not executed after it")
{
  standin_member member("a", 1);
  member.start_as_primary();
  auto waiting = make_call(1, standin_operation::statement, "PUT k v");
  CHECK(member.admit(waiting).refusal == standin_refusal::none);
  CHECK(member.fence(term(2), "x"));
  CHECK(member.execute(waiting).refusal == standin_refusal::wrong_term);
  CHECK(member.runs().empty());
  CHECK(member.free_slots() == 1);
}

// Guards against invalid statements that keep a slot or count as executed.
TEST_CASE("invalid statements are refused")
{
  standin_member member("a", 1);
  member.start_as_primary();
  CHECK(run(member, make_call(1, standin_operation::statement, "PUT word x")) ==
        standin_refusal::none);
  for (const auto* text : { "", "DROP x", "GET", "ADD n x", "ADD word 1", "SLEEP -1", "GET a b" }) {
    CHECK(run(member, make_call(1, standin_operation::statement, text)) ==
          standin_refusal::bad_statement);
  }
  auto read = make_call(1, standin_operation::statement, "PUT k v");
  read.write = false;
  CHECK(run(member, read) == standin_refusal::bad_statement);
  CHECK(member.free_slots() == 1);
  CHECK(member.runs().size() == 1);
}
