#include <doctest/doctest.h>

#include "Control/document.h"
#include "fake_table.h"

#include <map>
#include <memory>

using namespace persimmonshelf;
using namespace std::chrono_literals;
using course = fake_table::course;

namespace {

enum class step
{
  edit,
  write,
  read_back,
  spread,
  take_into_force,
  count
};

constexpr std::string_view base_content = "base";
constexpr std::string_view new_content = "new";
constexpr std::string_view bad_content = "bad";

// Two instances, a third that may start late, and one edit by the operator of instance "a". The
// fault is injected when the edit reaches the step.
class trial
{
public:
  struct simulated
  {
    std::unique_ptr<document> copy;
    config_version highest;
  };

  explicit trial(step at, std::function<void(trial&)> what = {})
    : at_(at)
    , what_(std::move(what))
  {
    table.fault = [this](const std::string& client, bool is_write) {
      return decide(client, is_write);
    };
    document_row first{ { config_version(1), "setup", "e1" }, std::string(base_content), {} };
    table.write("config", first.format(), 0);
    start("a");
    start("b");
    run(2s);
  }

  step at() const { return at_; }

  void start(const std::string& name)
  {
    document::hooks hooks;
    hooks.table = table.hooks(name);
    hooks.check = [this, name](const std::string& content) -> result<void> {
      if (name == "b" && content == new_content) {
        reach(step::take_into_force);
      }
      if (content == bad_content) {
        return fail(result_code::config_invalid, "line 1: bad");
      }
      return success();
    };
    hooks.in_force = [this, name](config_version version, const std::string& content) {
      CHECK(version > instances[name].highest);
      instances[name].highest = version;
      if (name == "a" && content == new_content) {
        reach(step::spread);
      }
    };
    hooks.is_poller = [name] { return name == "a"; };
    instances[name].copy = std::make_unique<document>("config", hooks);
  }

  void publish(const std::string& name, std::string_view content, const std::string& edit_id)
  {
    auto& copy = *instances[name].copy;
    ++published;
    copy.publish({ std::string(content), copy.version(), "operator " + name, edit_id, now + 4s },
                 now,
                 [this, edit_id](const result<document_version>& outcome) {
                   CHECK(outcomes.count(edit_id) == 0);
                   outcomes[edit_id] = outcome ? result_code::ok : outcome.error().code;
                 });
  }

  void run(duration time)
  {
    for (const auto end = now + time; now < end; now += 100ms) {
      table.run(now);
      for (const auto& name : names()) {
        instances[name].copy->poll(now);
      }
      if ((now.time_since_epoch() / 100ms) % 5 == 0) {
        gossip();
      }
    }
  }

  void gossip()
  {
    for (const auto& from : names()) {
      for (const auto& to : names()) {
        const auto& source = *instances[from].copy;
        if (source.version() > instances[to].copy->version()) {
          CHECK(instances[to].copy->offer(source.version(), source.content()));
        }
      }
    }
  }

  void reach(step reached)
  {
    if (reached == at_ && !injected) {
      injected = true;
      what_(*this);
    }
  }

  // How often an edit was written to the table.
  int written(const std::string& edit_id) const
  {
    int times = 0;
    for (const auto& value : table.written) {
      times += document_row::parse({ "config", value, 1 }).value().version.edit_id == edit_id;
    }
    return times;
  }

  config_version newest_good() const
  {
    config_version newest;
    for (const auto& value : table.written) {
      const auto row = document_row::parse({ "config", value, 1 }).value();
      newest = row.content == bad_content ? newest : row.version.version;
    }
    return newest;
  }

  std::vector<std::string> names() const
  {
    std::vector<std::string> all;
    for (const auto& [name, held] : instances) {
      all.push_back(name);
    }
    return all;
  }

  void trouble(course how, duration time)
  {
    trouble_ = how;
    trouble_until_ = now + time;
  }

  // An edit that another operator wrote through an instance outside the trial.
  void foreign_edit(std::string_view content)
  {
    const auto row = table.current("config");
    auto next = document_row::parse(row).value();
    next.earlier.insert(next.earlier.begin(), next.version);
    next.version = { config_version(next.version.version.get() + 1), "other", "foreign" };
    next.content = content;
    table.write("config", next.format(), row.revision);
  }

  fake_table table;
  instant now{ 1h };
  std::map<std::string, simulated> instances;
  std::map<std::string, result_code> outcomes;
  std::size_t published = 0;
  bool injected = false;

private:
  course decide(const std::string& client, bool is_write)
  {
    auto forced = course::normal;
    if (client == "a" && is_write) {
      reach(step::write);
      forced = at_ == step::read_back && !put_seen_ ? course::answer_lost : forced;
      put_seen_ = true;
    } else if (client == "a" && put_seen_) {
      reach(step::read_back);
    }
    return now < trouble_until_ ? trouble_ : forced;
  }

  step at_;
  std::function<void(trial&)> what_;
  course trouble_ = course::normal;
  instant trouble_until_;
  bool put_seen_ = false;
};

void
offer_older(trial& one)
{
  for (const auto& name : one.names()) {
    auto& copy = *one.instances[name].copy;
    const auto refused = copy.offer(config_version(copy.version().get() - 1), "older");
    CHECK(refused.error().code == result_code::older_version);
  }
}

void
bring_bad_content(trial& one)
{
  if (one.at() != step::edit) {
    return one.foreign_edit(bad_content);
  }
  one.publish("a", bad_content, "invalid");
  CHECK(one.outcomes["invalid"] == result_code::config_invalid);
}

struct matrix_row
{
  std::string_view name;
  std::function<void(trial&)> inject;
  // What the operator of "a" is told, for each step.
  std::vector<result_code> told;
};

constexpr auto ok = result_code::ok;
constexpr auto conflict = result_code::config_conflict;

const std::vector<matrix_row> matrix = {
  { "answer lost",
    [](auto& one) { one.trouble(course::answer_lost, 300ms); },
    { ok, ok, ok, ok, ok } },
  { "no answer", [](auto& one) { one.trouble(course::silent, 300ms); }, { ok, ok, ok, ok, ok } },
  // A foreign edit that comes after the own write does not undo it.
  { "conflict",
    [](auto& one) { one.foreign_edit("foreign"); },
    { conflict, conflict, ok, ok, ok } },
  { "outage", [](auto& one) { one.trouble(course::down, 2s); }, { ok, ok, ok, ok, ok } },
  { "slow", [](auto& one) { one.trouble(course::slow, 2s); }, { ok, ok, ok, ok, ok } },
  { "start in outage",
    [](auto& one) {
      one.trouble(course::down, 2s);
      one.start("c");
    },
    { ok, ok, ok, ok, ok } },
  { "older version offered", offer_older, { ok, ok, ok, ok, ok } },
  { "bad content", bring_bad_content, { ok, conflict, ok, ok, ok } },
  // The other operator's edit starts first at the first step only.
  { "two operators",
    [](auto& one) { one.publish("b", "rival", "rival"); },
    { conflict, ok, ok, ok, ok } },
};

}

// Guards against an edit that is lost, applied twice or reported wrongly, and against a version
// that does not spread or goes back, for each fault at each step.
TEST_CASE("each fault at each step of an edit")
{
  std::size_t cells = 0;
  for (const auto& row : matrix) {
    REQUIRE(row.told.size() == static_cast<std::size_t>(step::count));
    for (std::size_t i = 0; i < row.told.size(); ++i) {
      CAPTURE(row.name);
      CAPTURE(i);
      const auto at = static_cast<step>(i);
      trial one(at, row.inject);
      if (at == step::edit) {
        one.reach(step::edit);
      }
      one.publish("a", new_content, "mine");
      one.run(8s);
      CHECK(one.injected);
      cells += one.injected ? 1 : 0;
      CHECK(one.outcomes.size() == one.published);
      CHECK(one.outcomes["mine"] == row.told[i]);
      for (const auto& [edit_id, code] : one.outcomes) {
        CAPTURE(edit_id);
        CHECK(one.written(edit_id) == (code == ok ? 1 : 0));
      }
      if (one.outcomes.count("rival") == 1) {
        CHECK((one.outcomes["rival"] == ok) != (one.outcomes["mine"] == ok));
      }
      for (const auto& [name, instance] : one.instances) {
        CAPTURE(name);
        CHECK(instance.copy->version() == one.newest_good());
        const bool refused = row.name == "bad content" && at != step::edit;
        CHECK((instance.copy->state().refused_reason == "line 1: bad") == refused);
      }
    }
  }
  // 9 faults at 5 steps.
  CHECK(cells == 45);
}

// Guards against a command that hangs during a long outage, and against a message that denies an
// edit that was accepted.
TEST_CASE("an edit is given up at its deadline and can be repeated")
{
  for (const bool effect : { false, true }) {
    CAPTURE(effect);
    trial one(step::count);
    bool put_seen = false;
    bool down = true;
    one.table.fault = [&](const std::string& client, bool is_write) {
      put_seen = put_seen || (client == "a" && is_write);
      const bool first = is_write && effect;
      return !down                 ? course::normal
             : first               ? course::silent
             : put_seen || !effect ? course::down
                                   : course::normal;
    };
    auto& copy = *one.instances["a"].copy;
    std::vector<result<document_version>> told;
    const document_edit edit{ "new", config_version(1), "operator", "e2", one.now + 3s };
    copy.publish(edit, one.now, [&](auto outcome) { told.push_back(std::move(outcome)); });
    one.run(4s);
    REQUIRE(told.size() == 1);
    CHECK(told[0].error().code == result_code::platform_unavailable);
    const std::string expected = effect
                                   ? "row config: may have been accepted, run the command again"
                                   : "row config: the table did not answer, nothing was written";
    CHECK(told[0].error().message == expected);
    CHECK(one.written("e2") == (effect ? 1 : 0));
    down = false;
    auto again = edit;
    again.deadline = one.now + 3s;
    copy.publish(again, one.now, [&](auto outcome) { told.push_back(std::move(outcome)); });
    one.run(4s);
    REQUIRE(told.size() == 2);
    CHECK(told[1].value().version == config_version(2));
    CHECK(one.written("e2") == 1);
  }
}

// Guards against table load that grows with the number of instances.
TEST_CASE("only pollers and instances without fresh news read the table")
{
  trial one(step::count);
  std::map<std::string, int> reads;
  one.table.fault = [&](const std::string& client, bool) {
    ++reads[client];
    return course::normal;
  };
  for (int i = 0; i < 100; ++i) {
    one.instances["b"].copy->confirm_current(one.now);
    one.run(100ms);
  }
  CHECK(reads["a"] == 10);
  CHECK(reads["b"] == 0);
  one.run(10s);
  CHECK(reads["b"] >= 3);
  CHECK(reads["b"] <= 5);
}
