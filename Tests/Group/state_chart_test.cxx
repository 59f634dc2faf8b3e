#include <doctest/doctest.h>

#include "Base/state_chart.h"

using namespace persimmonshelf;

namespace {

// Returns a chart of two states with one part replaced.
std::string
chart_with(const std::string& part, const std::string& replacement)
{
  std::string text = R"({"name": "door", "initial": "closed", "events": ["open", "close"],
    "states": [
      {"name": "closed", "on": [{"event": "open", "target": "opened", "actions": ["ring"]}],
       "ignore": ["close"]},
      {"name": "opened", "on": [{"event": "close", "target": "closed"},
                                {"event": "open", "actions": ["ring"]}]}]})";
  const auto at = text.find(part);
  REQUIRE(at != std::string::npos);
  return text.replace(at, part.size(), replacement);
}

}

// Guards against an incomplete chart that would fail only when the event arrives in production.
TEST_CASE("invalid charts are rejected with the location of the error")
{
  const auto check = [](const char* part, const char* replacement, const std::string& message) {
    const auto made = state_chart::create(chart_with(part, replacement), { { "ring", [] {} } });
    REQUIRE_MESSAGE(!made, message);
    CHECK(made.error().code == result_code::chart_invalid);
    CHECK(made.error().message == message);
  };
  check(R"("target": "opened", )", "", "door.opened: the state is unreachable");
  check(R"("close"]},)", "]},", "door.closed: event close is neither handled nor ignored");
  check("ring", "rung", "door.closed.open: unknown action rung");
  check(R"("target": "closed")", R"("target": "x")", "door.opened.close: unknown target state x");
  check(R"("initial": "closed")", R"("initial": "ajar")", "door.initial: unknown state ajar");
  check(R"(["close"])", R"(["close", "lock"])", "door.closed: unknown event lock");
  check(R"("close"]},)", R"("open"]},)", "door.closed: event close is neither handled nor ignored");
  check(R"("close"]},)",
        R"("close", "open"]},)",
        "door.closed: event open is both handled and ignored");
  check(R"("close"]},)", R"("close", "close"]},)", "door.states[0]: event close is ignored twice");
  check(R"("event": "close")",
        R"("event": "open")",
        "door.states[1].on[1]: event open is handled twice");
  check(
    R"("name": "opened")", R"("name": "closed")", "door.states[1]: state closed is listed twice");
  check(R"(["open", "close"])", R"(["open", "open"])", "door.events: event open is listed twice");
  check(R"("target": "opened")", R"("goto": "opened")", "door.states[0].on[0].goto: unknown name");
}

// Guards against actions that run in the wrong state, and against losing an event that an action
// raises.
TEST_CASE("events run to completion in order")
{
  int rings = 0;
  state_chart* chart = nullptr;
  const auto ring = [&] {
    if (++rings == 1) {
      CHECK(chart->handle("open"));
      CHECK(chart->handle("close"));
      CHECK(chart->state() == "closed");
    }
  };
  auto made = state_chart::create(chart_with("door", "door"), { { "ring", ring } });
  REQUIRE(made);
  chart = &made.value();
  CHECK(chart->handle("close"));
  CHECK(rings == 0);
  CHECK(chart->handle("open"));
  CHECK(rings == 2);
  CHECK(chart->state() == "closed");
  CHECK(chart->handle("lock").error().message == "door.closed: unknown event lock");
}
