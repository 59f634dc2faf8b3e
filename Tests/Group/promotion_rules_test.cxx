#include <doctest/doctest.h>

#include "group_model.h"

using namespace persimmonshelf;

namespace {

// One candidate without back-off, whose primary a failed and whose orders stay queued.
struct lone_candidate
{
  group_model model{ 1 };
  promotion& logic = *model.candidates[0].logic;

  explicit lone_candidate(bool failed = true)
  {
    model.run(500);
    model.hold_messages = failed;
    model.members[0].up = !failed;
  }

  bool runs_into(const std::string& state, int milliseconds = 6000)
  {
    model.run(milliseconds, [&] { return logic.state() == state; });
    return logic.state() == state;
  }

  void answer_fence(std::size_t from, int in_term, bool granted, int promised, int position = 3)
  {
    const log_point last{ term(4), log_position(position) };
    logic.handle_fence_response(
      model.now, model_ids[from], term(in_term), granted, term(promised), last);
  }

  // The queued orders, such as "fence b promote c", which are then lost.
  std::string take_orders()
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

// Guards against a failover that starts early, after a pause of this process, or without a
// majority.
TEST_CASE("nothing is fenced without evidence of a failure")
{
  lone_candidate early;
  early.model.run(2900);
  CHECK(early.logic.state() == "watching");
  lone_candidate paused(false);
  paused.logic.tick(paused.model.now + std::chrono::seconds(10), paused.model.candidates[0].view);
  CHECK(paused.logic.state() == "watching");
  lone_candidate alone;
  alone.model.members[1].up = false;
  CHECK(alone.runs_into("backing_off"));
  alone.model.run(5000);
  CHECK(alone.take_orders().empty());
}

// Guards against an answer lost for good, and against a retry that uses another term or member.
TEST_CASE("unanswered steps are repeated with the same term and member")
{
  lone_candidate run;
  REQUIRE(run.runs_into("fencing"));
  CHECK(run.take_orders() == "fence a fence b fence c");
  run.answer_fence(1, 5, true, 5);
  run.answer_fence(2, 4, true, 5); // for another term
  run.answer_fence(1, 5, true, 5); // a second time
  CHECK(run.logic.state() == "fencing");
  run.model.run(1000);
  CHECK(run.take_orders() == "fence a fence c");
  run.answer_fence(2, 5, true, 5, 4);
  CHECK(run.take_orders() == "promote c");
  run.model.run(1000);
  CHECK(run.take_orders() == "promote c");
  CHECK(run.logic.current_term() == term(5));
  // After the last attempt another choice needs another term.
  run.model.run(1200);
  CHECK(run.take_orders() == "fence a fence b fence c");
  CHECK(run.logic.current_term() == term(6));
}

// Guards against a candidate that fights a term it cannot win, or gives up one that it can.
TEST_CASE("a higher promise restarts above it, and a rival's equal term only if it has a majority")
{
  lone_candidate higher;
  REQUIRE(higher.runs_into("fencing"));
  higher.answer_fence(1, 5, false, 9);
  CHECK(higher.logic.state() == "backing_off");
  CHECK(higher.runs_into("fencing"));
  CHECK(higher.logic.current_term() == term(10));

  lone_candidate equal;
  REQUIRE(equal.runs_into("fencing"));
  equal.answer_fence(1, 5, false, 5);
  CHECK(equal.logic.state() == "fencing");
  equal.answer_fence(2, 5, false, 5);
  CHECK(equal.logic.state() == "backing_off");
  CHECK(equal.runs_into("fencing"));
  CHECK(equal.logic.current_term() == term(6));

  lone_candidate yielding;
  yielding.model.candidates[0].delay = std::chrono::seconds(1);
  REQUIRE(yielding.runs_into("backing_off"));
  yielding.model.members[2].promised = 7;
  CHECK_FALSE(yielding.runs_into("fencing", 1500));
  CHECK(yielding.runs_into("fencing", 1000));

  lone_candidate stopped;
  REQUIRE(stopped.runs_into("fencing"));
  stopped.model.rival_round();
  stopped.model.run(100);
  CHECK(stopped.logic.state() == "watching");
}

// Guards against promoting a member that is about to leave while another is as far.
TEST_CASE("a leaving member is chosen only if no other fenced member is as far")
{
  for (const int position : { 3, 4 }) {
    lone_candidate run;
    run.model.members[1].leaving = true;
    REQUIRE(run.runs_into("fencing"));
    run.take_orders();
    run.answer_fence(1, 5, true, 5, position);
    run.answer_fence(2, 5, true, 5, 3);
    CHECK(run.take_orders() == (position == 3 ? "promote c" : "promote b"));
  }
}

// Guards against a database whose primary gets no more work, and a replica that no primary reaches.
TEST_CASE("a leaving primary is handed over and a member that is ahead is brought back")
{
  lone_candidate leaving(false);
  leaving.model.members[0].leaving = true;
  leaving.model.hold_messages = true;
  REQUIRE(leaving.runs_into("fencing", 1200));
  CHECK(leaving.take_orders() == "fence b fence c");
  leaving.answer_fence(1, 5, true, 5);
  leaving.answer_fence(2, 5, true, 5);
  CHECK(leaving.take_orders() == "promote b");
  // Reports that still show the leaving primary start no second promotion.
  leaving.logic.handle_promote_response(leaving.model.now, model_ids[1], term(5), true, term(5));
  leaving.model.run(2500);
  CHECK(leaving.logic.state() == "following");

  lone_candidate ahead(false);
  ahead.model.fence(2, 8, "failed candidate");
  ahead.model.run(8000);
  CHECK(ahead.model.members[0].primary);
  CHECK(ahead.model.members[2].promised == 9);
}

// Guards against metrics that leave out a part of the failover gap.
TEST_CASE("the durations of a failover add up")
{
  lone_candidate run;
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
  // Detection counts from the last request that was answered, 1 ms before.
  CHECK(whole <= run.model.now - lost_at + std::chrono::milliseconds(1));
}
