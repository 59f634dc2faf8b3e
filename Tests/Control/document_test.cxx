#include <doctest/doctest.h>

#include "Control/document.h"
#include "fake_table.h"

#include <map>
#include <memory>

using namespace persimmonshelf;
using namespace std::chrono_literals;
using call_outcome = fake_table::call_outcome;

namespace {

enum class step
{
  edit,
  write,
  read_back,
  propagate,
  apply,
  count
};

constexpr std::string_view base_content = "base";
constexpr std::string_view new_content = "new";
constexpr std::string_view invalid_content = "bad";

// Scenario with two instances, a third one that may start later, and one edit by the operator of
// instance "a". The fault is injected when the edit reaches the given step.
class edit_scenario
{
public:
  struct instance
  {
    std::unique_ptr<document> local_document;
    config_version highest_version;
  };

  explicit edit_scenario(step at, std::function<void(edit_scenario&)> inject = {})
    : at_(at)
    , inject_(std::move(inject))
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
        reach_step(step::apply);
      }
      if (content == invalid_content) {
        return fail(result_code::config_invalid, "line 1: bad");
      }
      return success();
    };
    hooks.in_force = [this, name](config_version version, const std::string& content) {
      CHECK(version > instances[name].highest_version);
      instances[name].highest_version = version;
      if (name == "a" && content == new_content) {
        reach_step(step::propagate);
      }
    };
    hooks.is_poller = [name] { return name == "a"; };
    instances[name].local_document = std::make_unique<document>("config", hooks);
  }

  void publish(const std::string& name, std::string_view content, const std::string& edit_id)
  {
    auto& local_document = *instances[name].local_document;
    ++published;
    local_document.publish(
      { std::string(content), local_document.version(), "operator " + name, edit_id, now + 4s },
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
      for (const auto& name : instance_names()) {
        instances[name].local_document->poll(now);
      }
      if ((now.time_since_epoch() / 100ms) % 5 == 0) {
        gossip();
      }
    }
  }

  void gossip()
  {
    for (const auto& from : instance_names()) {
      for (const auto& to : instance_names()) {
        const auto& source = *instances[from].local_document;
        if (source.version() > instances[to].local_document->version()) {
          CHECK(instances[to].local_document->offer(source.version(), source.content()));
        }
      }
    }
  }

  void reach_step(step reached)
  {
    if (reached == at_ && !injected) {
      injected = true;
      inject_(*this);
    }
  }

  // Number of times that an edit was written to the table.
  int written(const std::string& edit_id) const
  {
    int times = 0;
    for (const auto& value : table.written) {
      times += document_row::parse({ "config", value, 1 }).value().version.edit_id == edit_id;
    }
    return times;
  }

  config_version newest_valid() const
  {
    config_version newest;
    for (const auto& value : table.written) {
      const auto row = document_row::parse({ "config", value, 1 }).value();
      newest = row.content == invalid_content ? newest : row.version.version;
    }
    return newest;
  }

  std::vector<std::string> instance_names() const
  {
    std::vector<std::string> all;
    for (const auto& [name, held] : instances) {
      all.push_back(name);
    }
    return all;
  }

  void inject_fault(call_outcome outcome, duration time)
  {
    injected_fault_ = outcome;
    fault_ends_at_ = now + time;
  }

  // Writes an edit of another operator through an instance outside the scenario.
  void write_foreign_edit(std::string_view content)
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
  std::map<std::string, instance> instances;
  std::map<std::string, result_code> outcomes;
  std::size_t published = 0;
  bool injected = false;

private:
  call_outcome decide(const std::string& client, bool is_write)
  {
    auto forced = call_outcome::normal;
    if (client == "a" && is_write) {
      reach_step(step::write);
      forced = at_ == step::read_back && !put_seen_ ? call_outcome::response_lost : forced;
      put_seen_ = true;
    } else if (client == "a" && put_seen_) {
      reach_step(step::read_back);
    }
    return now < fault_ends_at_ ? injected_fault_ : forced;
  }

  step at_;
  std::function<void(edit_scenario&)> inject_;
  call_outcome injected_fault_ = call_outcome::normal;
  instant fault_ends_at_;
  bool put_seen_ = false;
};

void
offer_older(edit_scenario& scenario)
{
  for (const auto& name : scenario.instance_names()) {
    auto& local_document = *scenario.instances[name].local_document;
    const auto refused =
      local_document.offer(config_version(local_document.version().get() - 1), "older");
    CHECK(refused.error().code == result_code::older_version);
  }
}

void
publish_invalid_content(edit_scenario& scenario)
{
  if (scenario.at() != step::edit) {
    return scenario.write_foreign_edit(invalid_content);
  }
  scenario.publish("a", invalid_content, "invalid");
  CHECK(scenario.outcomes["invalid"] == result_code::config_invalid);
}

struct matrix_row
{
  std::string_view name;
  std::function<void(edit_scenario&)> inject;
  // Expected result for the operator of "a", for each step.
  std::vector<result_code> expected;
};

constexpr auto ok = result_code::ok;
constexpr auto conflict = result_code::config_conflict;

const std::vector<matrix_row> matrix = {
  { "response lost",
    [](auto& scenario) { scenario.inject_fault(call_outcome::response_lost, 300ms); },
    { ok, ok, ok, ok, ok } },
  { "no response",
    [](auto& scenario) { scenario.inject_fault(call_outcome::silent, 300ms); },
    { ok, ok, ok, ok, ok } },
  // A foreign edit after this instance's write does not revert it.
  { "conflict",
    [](auto& scenario) { scenario.write_foreign_edit("foreign"); },
    { conflict, conflict, ok, ok, ok } },
  { "outage",
    [](auto& scenario) { scenario.inject_fault(call_outcome::unavailable, 2s); },
    { ok, ok, ok, ok, ok } },
  { "slow",
    [](auto& scenario) { scenario.inject_fault(call_outcome::slow, 2s); },
    { ok, ok, ok, ok, ok } },
  { "start in outage",
    [](auto& scenario) {
      scenario.inject_fault(call_outcome::unavailable, 2s);
      scenario.start("c");
    },
    { ok, ok, ok, ok, ok } },
  { "older version offered", offer_older, { ok, ok, ok, ok, ok } },
  { "invalid content", publish_invalid_content, { ok, conflict, ok, ok, ok } },
  // The other operator's edit comes first only at the first step.
  { "two operators",
    [](auto& scenario) { scenario.publish("b", "rival", "rival"); },
    { conflict, ok, ok, ok, ok } },
};

}

// Guards against an edit that is lost, applied twice or reported incorrectly, and against a version
// that does not propagate or decreases, for each fault at each step.
TEST_CASE("each fault at each step of an edit")
{
  std::size_t cells = 0;
  for (const auto& row : matrix) {
    REQUIRE(row.expected.size() == static_cast<std::size_t>(step::count));
    for (std::size_t i = 0; i < row.expected.size(); ++i) {
      CAPTURE(row.name);
      CAPTURE(i);
      const auto at = static_cast<step>(i);
      edit_scenario scenario(at, row.inject);
      if (at == step::edit) {
        scenario.reach_step(step::edit);
      }
      scenario.publish("a", new_content, "mine");
      scenario.run(8s);
      CHECK(scenario.injected);
      cells += scenario.injected ? 1 : 0;
      CHECK(scenario.outcomes.size() == scenario.published);
      CHECK(scenario.outcomes["mine"] == row.expected[i]);
      for (const auto& [edit_id, code] : scenario.outcomes) {
        CAPTURE(edit_id);
        CHECK(scenario.written(edit_id) == (code == ok ? 1 : 0));
      }
      if (scenario.outcomes.count("rival") == 1) {
        CHECK((scenario.outcomes["rival"] == ok) != (scenario.outcomes["mine"] == ok));
      }
      for (const auto& [name, instance] : scenario.instances) {
        CAPTURE(name);
        CHECK(instance.local_document->version() == scenario.newest_valid());
        const bool refused = row.name == "invalid content" && at != step::edit;
        CHECK((instance.local_document->state().refused_reason == "line 1: bad") == refused);
      }
    }
  }
  // 9 faults at 5 steps.
  CHECK(cells == 45);
}

// Guards against a command that hangs during a long outage, and against a message that denies an
// edit that was accepted.
TEST_CASE("an edit fails at its deadline and can be repeated")
{
  for (const bool effect : { false, true }) {
    CAPTURE(effect);
    edit_scenario scenario(step::count);
    bool put_seen = false;
    bool down = true;
    scenario.table.fault = [&](const std::string& client, bool is_write) {
      put_seen = put_seen || (client == "a" && is_write);
      const bool first = is_write && effect;
      return !down                 ? call_outcome::normal
             : first               ? call_outcome::silent
             : put_seen || !effect ? call_outcome::unavailable
                                   : call_outcome::normal;
    };
    auto& local_document = *scenario.instances["a"].local_document;
    std::vector<result<document_version>> outcomes;
    const document_edit edit{ "new", config_version(1), "operator", "e2", scenario.now + 3s };
    local_document.publish(
      edit, scenario.now, [&](auto outcome) { outcomes.push_back(std::move(outcome)); });
    scenario.run(4s);
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes[0].error().code == result_code::platform_unavailable);
    const std::string expected = effect
                                   ? "row config: may have been accepted, run the command again"
                                   : "row config: the table did not answer, nothing was written";
    CHECK(outcomes[0].error().message == expected);
    CHECK(scenario.written("e2") == (effect ? 1 : 0));
    down = false;
    auto again = edit;
    again.deadline = scenario.now + 3s;
    local_document.publish(
      again, scenario.now, [&](auto outcome) { outcomes.push_back(std::move(outcome)); });
    scenario.run(4s);
    REQUIRE(outcomes.size() == 2);
    CHECK(outcomes[1].value().version == config_version(2));
    CHECK(scenario.written("e2") == 1);
  }
}

// Guards against table load that grows with the number of instances.
TEST_CASE("only pollers and instances without recent confirmation read the table")
{
  edit_scenario scenario(step::count);
  std::map<std::string, int> reads;
  scenario.table.fault = [&](const std::string& client, bool) {
    ++reads[client];
    return call_outcome::normal;
  };
  for (int i = 0; i < 100; ++i) {
    scenario.instances["b"].local_document->confirm_current(scenario.now);
    scenario.run(100ms);
  }
  CHECK(reads["a"] == 10);
  CHECK(reads["b"] == 0);
  scenario.run(10s);
  CHECK(reads["b"] >= 3);
  CHECK(reads["b"] <= 5);
}
