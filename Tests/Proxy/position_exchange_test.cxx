#include <doctest/doctest.h>

#include "Proxy/coordinator.h"
#include "Proxy/coordinator_follower.h"
#include "Proxy/position_exchange.h"
#include "proxy_support.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace persimmonshelf;
using namespace persimmonshelf::testing;

namespace {

// One instance, with a clock of its own, and the coordinator role while it has it.
struct stepped_instance
{
  stepped_instance(const std::string& instance_name, duration offset)
    : name(instance_name)
    , clock_offset(offset)
    , fleet({ ms(4750), primary_use_limit, commit_answer_limit })
    , follower(incarnation_id(1))
  {
  }

  instance_id name;
  duration clock_offset;
  fleet_state fleet;
  position_history positions;
  coordinator_follower follower;
  std::unique_ptr<coordinator> role;
  bool runs_sessions = true;
  bool reports_are_held = false;
  std::deque<instance_report> held_reports;
};

// A fleet whose primary commits while instances exchange positions. `a` reads at the primary and
// leaves and joins the carriers; `r` knows positions only from views; `x` and `y` take the
// coordinator role in turn. Their clocks differ by hours.
class stepped_fleet
{
public:
  stepped_fleet(duration x_offset, duration y_offset)
    : x_("x", x_offset)
    , y_("y", y_offset)
  {
    advance(ms(0));
    change_coordinator();
    // Every instance begins with a complete view and a position.
    report(a_);
    read_at_primary(a_);
    for (int i = 0; i < 2; ++i) {
      report(a_);
      report(r_);
    }
  }

  // Names of the steps, for the message of a failed sequence.
  static const std::vector<std::string>& step_names()
  {
    static const std::vector<std::string> names{
      "commit",    "a reads",       "a reports", "r reports",     "coordinator changes",
      "a toggles", "a asks tokens", "a holds",   "r's views wait"
    };
    return names;
  }

  void step(std::size_t number)
  {
    advance(ms(1));
    switch (number) {
      case 0:
        commits_.push_back(now_);
        advance(ms(400));
        break;
      case 1:
        read_at_primary(a_);
        break;
      case 2:
        report(a_);
        break;
      case 3:
        report(r_);
        break;
      case 4:
        change_coordinator();
        break;
      case 5:
        a_.runs_sessions = !a_.runs_sessions;
        report(a_);
        break;
      case 6:
        request_tokens(a_);
        break;
      case 7:
        hold_or_deliver(a_);
        break;
      case 8:
        delay_or_deliver_views();
        break;
      default:
        break;
    }
  }

  // True if every position that an instance would give to a read contains all commits that were
  // acknowledged longer ago than the bound.
  bool positions_are_sound() const
  {
    for (const auto* instance : instances_) {
      for (const auto bound : { ms(100), ms(1500) }) {
        const auto given = instance->positions.position_for("g", bound, clock(*instance));
        const auto required = std::count_if(
          commits_.begin(), commits_.end(), [&](instant acked) { return acked < now_ - bound; });
        if (given && given->position.position.get() < static_cast<std::uint64_t>(required)) {
          return false;
        }
      }
    }
    return true;
  }

private:
  instant clock(const stepped_instance& instance) const { return now_ + instance.clock_offset; }

  void advance(duration passed)
  {
    now_ += passed;
    for (auto* instance : instances_) {
      instance->fleet.update_configuration(make_configuration(), clock(*instance));
      instance->fleet.update_members(
        { make_member("m1", "z", true), make_member("m2", "z", false) }, clock(*instance));
      instance->fleet.update_groups({}, revision_of(1), clock(*instance));
    }
  }

  void read_at_primary(stepped_instance& reader)
  {
    observe_answer("g",
                   { point(1, commits_.size()), clock(reader), { member_id("m1"), reader.name } },
                   reader.fleet,
                   reader.positions,
                   clock(reader),
                   [](const auto&, const auto&, auto) {});
  }

  void change_coordinator()
  {
    auto& next = coordinator_ == &x_ ? y_ : x_;
    if (coordinator_ != nullptr) {
      coordinator_->role.reset();
    }
    coordinator_ = &next;
    coordinator::hooks callbacks;
    callbacks.now = [this, &next] { return clock(next); };
    callbacks.holds_lease = [] { return true; };
    callbacks.lease_version = [] { return revision_of(7); };
    callbacks.plan = [this]() -> const carrier_plan& { return plan_; };
    callbacks.record_plan = [](const carrier_plan&) {};
    callbacks.position_reported =
      [](const instance_id&, const std::string&, const timed_position&, auto) {};
    callbacks.send = [this](const std::string& address, const fleet_view& view) {
      for (auto* instance : instances_) {
        if (instance == &r_ && views_to_r_wait_ && r_.name.get() == address) {
          delayed_views_.push_back(view);
        } else if (instance->name.get() == address) {
          apply(*instance, view);
        }
      }
    };
    callbacks.failover_hooks.now = callbacks.now;
    next.role = std::make_unique<coordinator>(next.name,
                                              next.name.get(),
                                              fencing_token(++token_),
                                              false,
                                              next.fleet,
                                              next.positions,
                                              std::move(callbacks));
    report(next);
  }

  void apply(stepped_instance& receiver, const fleet_view& view)
  {
    const auto now = clock(receiver);
    if (receiver.follower.accept(view, now) == coordinator_follower::view_use::complete) {
      observe_view(
        view, receiver.fleet, receiver.positions, now, [](const auto&, const auto&, auto) {});
    }
  }

  instance_report make_report(stepped_instance& sender) const
  {
    instance_report created;
    created.instance = sender.name;
    created.incarnation = incarnation_id(1);
    created.address = sender.name.get();
    created.clock = clock(sender);
    created.plan_only = !sender.runs_sessions && !sender.role;
    if (!created.plan_only) {
      created.view = sender.follower.newest_complete_view(created.clock);
      add_positions(sender.fleet, sender.positions, created);
    }
    return created;
  }

  void send(stepped_instance& sender, const instance_report& made)
  {
    if (sender.reports_are_held) {
      sender.held_reports.push_back(made);
    } else {
      coordinator_->role->handle_report(made);
    }
  }

  void report(stepped_instance& sender) { send(sender, make_report(sender)); }

  void request_tokens(stepped_instance& sender)
  {
    auto request = make_report(sender);
    request.tokens_only = true;
    request.plan_only = false;
    request.positions.clear();
    send(sender, request);
  }

  // Holds back the reports of an instance; the next time, delivers each of them twice.
  void hold_or_deliver(stepped_instance& sender)
  {
    sender.reports_are_held = !sender.reports_are_held;
    if (sender.reports_are_held) {
      return;
    }
    const auto held = std::exchange(sender.held_reports, {});
    for (int i = 0; i < 2; ++i) {
      for (const auto& made : held) {
        coordinator_->role->handle_report(made);
      }
    }
  }

  // Delays the views to `r`; the next time, delivers each of them.
  void delay_or_deliver_views()
  {
    views_to_r_wait_ = !views_to_r_wait_;
    for (const auto& view : std::exchange(delayed_views_, {})) {
      apply(r_, view);
    }
  }

  instant now_ = at(100'000'000);
  stepped_instance a_{ "a", ms(0) };
  stepped_instance r_{ "r", ms(-50'000'000) };
  stepped_instance x_;
  stepped_instance y_;
  std::array<stepped_instance*, 4> instances_{ &a_, &r_, &x_, &y_ };
  stepped_instance* coordinator_ = nullptr;
  carrier_plan plan_;
  std::uint64_t token_ = 0;
  bool views_to_r_wait_ = false;
  std::deque<fleet_view> delayed_views_;
  // Times when the primary's commits were acknowledged.
  std::vector<instant> commits_;
};

// Plays every sequence of `length` steps; returns the first one after which a position was unsound,
// or nothing. A step is not repeated at once, but for commits.
std::string
first_unsound_sequence(std::size_t length, duration x_offset, duration y_offset)
{
  const auto steps = stepped_fleet::step_names().size();
  std::vector<std::size_t> sequence(length, 0);
  while (true) {
    bool repeats = false;
    for (std::size_t i = 1; i < length; ++i) {
      repeats = repeats || (sequence[i] == sequence[i - 1] && sequence[i] != 0);
    }
    if (!repeats) {
      stepped_fleet fleet(x_offset, y_offset);
      std::string played;
      for (const auto step : sequence) {
        fleet.step(step);
        played += (played.empty() ? "" : ", ") + stepped_fleet::step_names()[step];
        if (!fleet.positions_are_sound()) {
          return played;
        }
      }
    }
    std::size_t digit = length;
    while (digit > 0 && ++sequence[digit - 1] == steps) {
      sequence[--digit] = 0;
    }
    if (digit == 0) {
      return "";
    }
  }
}

}

// Guards against stale reads after a change of coordinator: an instance that had left the carriers
// dated its positions for the new coordinator with the clock of the former one, and positions that
// lacked acknowledged commits spread as fresh ones.
TEST_CASE("a position given for a bound contains every commit acknowledged before it")
{
  CHECK(first_unsound_sequence(6, ms(40'000'000), ms(7'000'000)) == "");
}

// Clocks that differ by hours date a position far after the present or far before it, and both are
// harmless since the former is refused. A small difference is not caught by that.
TEST_CASE("positions are sound although the coordinators' clocks differ by less than their age")
{
  CHECK(first_unsound_sequence(5, ms(350), ms(0)) == "");
  CHECK(first_unsound_sequence(5, ms(0), ms(350)) == "");
}

// Guards against stale reads: a view that was made before the primary was replaced carries what the
// former one answered.
TEST_CASE("a position in a view counts only if it is of the member known as the primary")
{
  const auto ignore = [](const std::string&, const timed_position&, observation_outcome) {};
  fleet_state fleet({ ms(4750), primary_use_limit, commit_answer_limit });
  fleet.update_configuration(make_configuration(), at(1000));
  fleet.update_groups(
    { { "g", member_id("m2"), false, false, term(2) } }, revision_of(2), at(1000));
  position_history positions;
  fleet_view view;
  view.echo_clock = at(990);
  view.positions["g"] = { point(1, 40), ms(10), { member_id("m1"), instance_id("b") } };
  observe_view(view, fleet, positions, at(1000), ignore);
  CHECK_FALSE(positions.newest("g"));
  view.positions["g"] = { point(2, 41), ms(10), { member_id("m2"), instance_id("b") } };
  observe_view(view, fleet, positions, at(1000), ignore);
  CHECK(positions.newest("g"));
}

// Guards against limits that are exceeded after a change of coordinator: a view with tokens or the
// plan alone made the sender claim that the new coordinator had granted the shares that it still
// had from the former one.
TEST_CASE("a report names the views that its times and its shares come from")
{
  using view_use = coordinator_follower::view_use;
  coordinator_follower follower(incarnation_id(1));
  CHECK_FALSE(follower.newest_complete_view(at(900)));
  fleet_view view;
  view.incarnation = incarnation_id(1);
  view.token = fencing_token(1);
  view.view_number = 5;
  view.clock = at(70'000);
  view.echo_clock = at(990);
  view.shares.emplace();
  CHECK(follower.accept(view, at(1000)) == view_use::complete);

  const applied_shares granted{ fencing_token(1), 5 };
  CHECK(follower.shares_view() == granted);
  const applied_view complete{ fencing_token(1), 5, at(70'000), ms(40) };
  view.token = fencing_token(2);
  view.view_number = 1;
  view.tokens_only = true;
  CHECK(follower.accept(view, at(1010)) == view_use::tokens);
  view.view_number = 2;
  view.tokens_only = false;
  view.plan_only = true;
  CHECK(follower.accept(view, at(1020)) == view_use::plan);
  CHECK(follower.token() == fencing_token(2));
  CHECK(follower.newest_complete_view(at(1040)) == complete);
  CHECK(follower.shares_view() == granted);

  view.view_number = 3;
  view.plan_only = false;
  view.shares.reset();
  CHECK(follower.accept(view, at(1050)) == view_use::complete);
  CHECK(follower.newest_complete_view(at(1050)) ==
        applied_view{ fencing_token(2), 3, at(70'000), ms(0) });
  CHECK(follower.shares_view() == granted);
}

// Guards against limits that are exceeded: a complete view that was made before the instance left
// the carriers arrived after it had dropped its shares, and gave it shares that the coordinator
// counted as free.
TEST_CASE("a complete view from before the instance left the carriers grants nothing")
{
  using view_use = coordinator_follower::view_use;
  coordinator_follower follower(incarnation_id(1));
  fleet_view view;
  view.incarnation = incarnation_id(1);
  view.token = fencing_token(1);
  view.view_number = 5;
  view.echo_clock = at(990);
  view.shares.emplace();
  follower.record_plan_report(at(1000));
  CHECK(follower.accept(view, at(1010)) == view_use::plan);
  CHECK_FALSE(follower.newest_complete_view(at(1010)));
  view.view_number = 6;
  view.echo_clock = at(1020);
  CHECK(follower.accept(view, at(1030)) == view_use::complete);
}
