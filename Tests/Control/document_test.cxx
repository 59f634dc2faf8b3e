#include <doctest/doctest.h>

#include "Control/document.h"
#include "fake_table.h"

#include <array>
#include <map>
#include <memory>

using namespace persimmonshelf;
using namespace std::chrono_literals;
using course = fake_table::course;

namespace {

enum class fault
{
  answer_lost,
  no_answer,
  conflict,
  outage,
  slow,
  start_in_outage,
  older_offered,
  bad_content,
  two_operators,
  count
};

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

  explicit trial(step at, fault what)
    : at_(at)
    , what_(what)
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
      inject();
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

  void inject()
  {
    switch (what_) {
      case fault::answer_lost:
        return trouble(course::answer_lost, 300ms);
      case fault::no_answer:
        return trouble(course::silent, 300ms);
      case fault::conflict:
        return foreign_edit("foreign");
      case fault::outage:
        return trouble(course::down, 2s);
      case fault::slow:
        return trouble(course::slow, 2s);
      case fault::start_in_outage:
        trouble(course::down, 2s);
        return start("c");
      case fault::older_offered:
        for (const auto& name : names()) {
          auto& copy = *instances[name].copy;
          const auto refused = copy.offer(config_version(copy.version().get() - 1), "older");
          CHECK(refused.error().code == result_code::older_version);
        }
        return;
      case fault::bad_content:
        if (at_ == step::edit) {
          publish("a", bad_content, "invalid");
          CHECK(outcomes["invalid"] == result_code::config_invalid);
          return;
        }
        return foreign_edit(bad_content);
      case fault::two_operators:
        return publish("b", "rival", "rival");
      case fault::count:
        break;
    }
  }

  step at_;
  fault what_;
  course trouble_ = course::normal;
  instant trouble_until_;
  bool put_seen_ = false;
};

struct cell
{
  fault what;
  // What the operator of "a" is told, for each step.
  std::array<result_code, static_cast<std::size_t>(step::count)> told;
};

constexpr auto ok = result_code::ok;
constexpr auto conflict = result_code::config_conflict;

const std::vector<cell> matrix = {
  { fault::answer_lost, { ok, ok, ok, ok, ok } },
  { fault::no_answer, { ok, ok, ok, ok, ok } },
  // A foreign edit that comes after the own write does not undo it.
  { fault::conflict, { conflict, conflict, ok, ok, ok } },
  { fault::outage, { ok, ok, ok, ok, ok } },
  { fault::slow, { ok, ok, ok, ok, ok } },
  { fault::start_in_outage, { ok, ok, ok, ok, ok } },
  { fault::older_offered, { ok, ok, ok, ok, ok } },
  { fault::bad_content, { ok, conflict, ok, ok, ok } },
  // The other operator's edit starts first at the first step only.
  { fault::two_operators, { conflict, ok, ok, ok, ok } },
};

}

// Guards against an edit that is lost, applied twice or reported wrongly, and against a version
// that does not spread or goes back, for each fault at each step.
TEST_CASE("each fault at each step of an edit")
{
  std::map<fault, int> cells;
  for (const auto& row : matrix) {
    ++cells[row.what];
    for (std::size_t i = 0; i < row.told.size(); ++i) {
      CAPTURE(static_cast<int>(row.what));
      CAPTURE(i);
      const auto at = static_cast<step>(i);
      trial one(at, row.what);
      if (at == step::edit) {
        one.reach(step::edit);
      }
      one.publish("a", new_content, "mine");
      one.run(8s);
      CHECK(one.injected);
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
        const bool refused = row.what == fault::bad_content && at != step::edit;
        CHECK((instance.copy->state().refused_reason == "line 1: bad") == refused);
      }
    }
  }
  CHECK(cells.size() == static_cast<std::size_t>(fault::count));
}

// Guards against a command that hangs during a long outage, and against a message that denies an
// edit that was accepted.
TEST_CASE("an edit is given up at its deadline and can be repeated")
{
  for (const bool effect : { false, true }) {
    CAPTURE(effect);
    trial one(step::count, fault::count);
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
  trial one(step::count, fault::count);
  std::map<std::string, int> reads;
  one.table.fault = [&](const std::string& client, bool) {
    ++reads[client];
    return course::normal;
  };
  for (int i = 0; i < 100; ++i) {
    one.instances["b"].copy->heard_fresh(one.now);
    one.run(100ms);
  }
  CHECK(reads["a"] == 10);
  CHECK(reads["b"] == 0);
  one.run(10s);
  CHECK(reads["b"] >= 3);
  CHECK(reads["b"] <= 5);
}
