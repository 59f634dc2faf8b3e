#include <doctest/doctest.h>

#include "group_model.h"

using namespace persimmonshelf;

namespace {

// One candidate without back-off delay. Unless `failed` is false, primary a has failed and requests
// stay queued.
struct single_candidate
{
  group_model model{ 1 };
  promotion& logic = *model.candidates[0].logic;

  explicit single_candidate(bool failed = true)
  {
    model.run(500);
    model.hold_messages = failed;
    model.members[0].up = !failed;
  }

  bool reaches_state(const std::string& state, int milliseconds = 6000)
  {
    model.run(milliseconds, [&] { return logic.state() == state; });
    return logic.state() == state;
  }

  void respond_to_fence(std::size_t from, int in_term, bool granted, int promised, int position = 3)
  {
    const log_point last{ term(4), log_position(position) };
    logic.handle_fence_response(
      model.now, model_ids[from], term(in_term), granted, term(promised), last);
  }

  // Returns the queued requests, such as "fence b promote c", and discards them.
  std::string take_requests()
  {
    std::string text;
    for (const auto& each : model.in_flight) {
      text += (text.empty() ? "" : " ") + each.kind + " " + model_ids[each.to].get();
    }
    model.in_flight.clear();
    return text;
  }
};

}

// Guards against a failover that starts too early, after a pause of this process, or without a
// majority.
TEST_CASE("members are not fenced without evidence of a failure")
{
  single_candidate early;
  early.model.run(2900);
  CHECK(early.logic.state() == "watching");
  single_candidate paused(false);
  paused.logic.tick(paused.model.now + std::chrono::seconds(10), paused.model.candidates[0].view);
  CHECK(paused.logic.state() == "watching");
  single_candidate alone;
  alone.model.members[1].up = false;
  CHECK(alone.reaches_state("backing_off"));
  alone.model.run(5000);
  CHECK(alone.take_requests().empty());
}

// Guards against waiting forever for a lost response, and against a retry with another term or
// member.
TEST_CASE("steps without a response are repeated with the same term and member")
{
  single_candidate run;
  REQUIRE(run.reaches_state("fencing"));
  CHECK(run.take_requests() == "fence a fence b fence c");
  run.respond_to_fence(1, 5, true, 5);
  run.respond_to_fence(2, 4, true, 5); // for another term
  run.respond_to_fence(1, 5, true, 5); // duplicate
  CHECK(run.logic.state() == "fencing");
  run.model.run(1000);
  CHECK(run.take_requests() == "fence a fence c");
  run.respond_to_fence(2, 5, true, 5, 4);
  CHECK(run.take_requests() == "promote c");
  run.model.run(1000);
  CHECK(run.take_requests() == "promote c");
  CHECK(run.logic.current_term() == term(5));
  // After the last attempt, choosing another member requires a new term.
  run.model.run(1200);
  CHECK(run.take_requests() == "fence a fence b fence c");
  CHECK(run.logic.current_term() == term(6));
}

// Guards against a candidate that keeps requesting a term that it cannot win, or abandons one that
// it can win.
TEST_CASE(
  "a higher promised term causes a restart with a new term, an equal one only if it has a majority")
{
  single_candidate higher;
  REQUIRE(higher.reaches_state("fencing"));
  higher.respond_to_fence(1, 5, false, 9);
  CHECK(higher.logic.state() == "backing_off");
  CHECK(higher.reaches_state("fencing"));
  CHECK(higher.logic.current_term() == term(10));

  single_candidate equal;
  REQUIRE(equal.reaches_state("fencing"));
  equal.respond_to_fence(1, 5, false, 5);
  CHECK(equal.logic.state() == "fencing");
  equal.respond_to_fence(2, 5, false, 5);
  CHECK(equal.logic.state() == "backing_off");
  CHECK(equal.reaches_state("fencing"));
  CHECK(equal.logic.current_term() == term(6));

  single_candidate yielding;
  yielding.model.candidates[0].delay = std::chrono::seconds(1);
  REQUIRE(yielding.reaches_state("backing_off"));
  yielding.model.members[2].promised = 7;
  CHECK_FALSE(yielding.reaches_state("fencing", 1500));
  CHECK(yielding.reaches_state("fencing", 1000));

  single_candidate stopped;
  REQUIRE(stopped.reaches_state("fencing"));
  stopped.model.run_rival_promotion();
  stopped.model.run(100);
  CHECK(stopped.logic.state() == "watching");
}

// Guards against promoting a member that is about to leave when another has an equally long log.
TEST_CASE("a leaving member is chosen only if no other fenced member has an equally long log")
{
  for (const int position : { 3, 4 }) {
    single_candidate run;
    run.model.members[1].leaving = true;
    REQUIRE(run.reaches_state("fencing"));
    run.take_requests();
    run.respond_to_fence(1, 5, true, 5, position);
    run.respond_to_fence(2, 5, true, 5, 3);
    CHECK(run.take_requests() == (position == 3 ? "promote c" : "promote b"));
  }
}

// Guards against a database whose primary no longer receives requests, and against a replica that
// cannot follow any primary.
TEST_CASE("a leaving primary is replaced and a member with a higher promised term rejoins")
{
  single_candidate leaving(false);
  leaving.model.members[0].leaving = true;
  leaving.model.hold_messages = true;
  REQUIRE(leaving.reaches_state("fencing", 1200));
  CHECK(leaving.take_requests() == "fence b fence c");
  leaving.respond_to_fence(1, 5, true, 5);
  leaving.respond_to_fence(2, 5, true, 5);
  CHECK(leaving.take_requests() == "promote b");
  // Reports that still show the leaving primary must not start a second promotion.
  leaving.logic.handle_promote_response(leaving.model.now, model_ids[1], term(5), true, term(5));
  leaving.model.run(2500);
  CHECK(leaving.logic.state() == "following");

  single_candidate ahead(false);
  ahead.model.fence(2, 8, "failed candidate");
  ahead.model.run(8000);
  CHECK(ahead.model.members[0].primary);
  CHECK(ahead.model.members[2].promised == 9);
}

// Guards against metrics that omit a part of the failover gap.
TEST_CASE("the durations of a failover add up to the whole gap")
{
  single_candidate run;
  run.model.hold_messages = false;
  run.model.candidates[0].delay = std::chrono::milliseconds(400);
  const auto lost_at = run.model.now;
  run.model.run(6000, [&] { return !run.model.candidates[0].reports.empty(); });
  REQUIRE(run.model.candidates[0].reports.size() == 1);
  const auto& times = run.model.candidates[0].reports[0];
  CHECK(times.detection >= std::chrono::milliseconds(3400));
  CHECK(times.agreement > duration::zero());
  const auto whole = times.detection + times.agreement + times.resumption;
  CHECK(times.resumption >= duration::zero());
  // Detection counts from the last request that got a response, 1 ms earlier.
  CHECK(whole <= run.model.now - lost_at + std::chrono::milliseconds(1));
}
