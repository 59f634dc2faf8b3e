#include <doctest/doctest.h>

#include "member_home_fixture.h"

#include <sstream>

using namespace persimmonshelf;

namespace {

// Runs a script on a queue whose initial estimate is 1 ms. A line has a time in ms, a call with its
// arguments, and after "=" what it returns:
//   push WORKSPACE COUNT [EXPIRY]   pushes entries, returns "full" for each one that is rejected
//   pop [WORKSPACE]                 takes an entry, of this workspace only if one is named
//   end WORKSPACE USED              ends a statement that held its slot for USED ms
//   run COUNT USED                  pops and ends statements one after the other
//   back DELAY                      returns the last entry, which did not run, after a delay
//   expire, remove WORKSPACE        return the entries that they remove
void
run_script(fair_queue& queue, const std::string& script)
{
  std::map<std::string, int> numbers;
  queue_entry last;
  std::istringstream lines(script);
  for (std::string line; std::getline(lines, line);) {
    CAPTURE(line);
    std::istringstream words(line.substr(0, line.find(" =")));
    std::int64_t milliseconds = 0;
    std::string call;
    std::string name;
    std::int64_t value = 0;
    std::int64_t expiry = 1'000'000;
    words >> milliseconds >> call >> name >> value >> expiry;
    expiry = expiry == 0 ? 1'000'000 : expiry;
    auto now = at_ms(milliseconds);
    std::string result;
    const auto append_ids = [&](const std::vector<queue_entry>& entries) {
      for (const auto& one : entries) {
        result += " " + one.id.get();
      }
    };
    for (int i = 0; call == "push" && i < value; ++i) {
      const request_id id(name + std::to_string(++numbers[name]));
      result += queue.push({ id, workspace_id(name), at_ms(expiry), {} }) ? "" : " full";
    }
    if (call == "pop") {
      const auto taken = queue.pop(
        now, [&](const auto& one) { return name.empty() || one.workspace.get() == name; });
      last = taken.value_or(queue_entry());
      append_ids({ last });
    } else if (call == "end") {
      queue.release_slot(workspace_id(name), ms(value), now);
    } else if (call == "run") {
      for (int i = 0; i < std::stoi(name); ++i) {
        result += queue.pop(now)->workspace.get();
        now += ms(value);
        queue.release_slot(workspace_id(result.substr(result.size() - 1)), ms(value), now);
      }
      result.insert(0, " ");
    } else if (call == "back") {
      queue.release_slot(last.workspace, ms(0), now, false);
      last.not_before = now + ms(std::stoi(name));
      queue.push_front(last);
    } else if (call == "expire") {
      append_ids(queue.remove_expired(now));
    } else if (call == "remove") {
      append_ids(queue.remove_if([&](const auto& one) { return one.workspace.get() == name; }));
    }
    CHECK(result == line.substr(line.find(" =") + 2));
  }
}

struct row
{
  const char* name;
  std::size_t slots;
  const char* script;
};

const row rows[] = {
  // Guards against one workspace that fills the queue of a member, and against unbounded memory
  // use.
  { "bounds", 1, R"(0 push a 5 = full
0 push b 4 = full
0 pop = a1
0 push b 2 = full)" },
  // Guards against running a request after its deadline, and against losing its answer.
  { "expiry", 1, R"(0 push a 1 10 =
0 push a 1 30 =
9 expire =
10 pop = a2
10 push a 1 20 =
20 expire = a1 a3)" },
  // Guards against ordering by arrival instead of consumed slot time, which is corrected
  // when a statement took longer than estimated (4 ms instead of 1 ms).
  { "order", 1, R"(0 push a 4 =
0 run 1 4 = a
4 push b 4 =
4 run 6 1 = bbbbaa)" },
  // Guards against a workspace that earns credit while it is idle.
  { "no credit for idling", 1, R"(0 push a 4 =
0 run 4 100 = aaaa
400 push a 3 =
400 push b 3 =
400 run 2 100 = ba)" },
  // Guards against a workspace that earns credit while its requests wait for a primary: it may be
  // ahead of others by one statement at most.
  { "no credit for waiting", 1, R"(0 push a 4 =
0 push b 3 =
0 pop a = a1
9 end a 9 =
9 pop a = a2
18 end a 9 =
18 pop a = a3
27 end a 9 =
27 push a 1 =
27 run 3 9 = bba)" },
  // Guards against one workspace that holds every slot while another waits,
  // although "b" has consumed far more than "a", and against an unused slot when no other
  // workspace waits.
  { "last slot", 3, R"(0 push b 1 =
0 pop = b1
1000 end b 1000 =
1000 push a 4 =
1000 pop = a1
1000 pop = a2
1000 pop = a3
1001 end a 1 =
1001 push b 2 =
1001 pop = b2)" },
  // Guards against reordering within a workspace after a busy answer, and against a retry without a
  // delay.
  { "busy", 1, R"(0 push a 3 =
0 pop = a1
1 back 5 =
5 pop = a2
6 pop = a1)" },
  // Guards against requests of a revoked key that stay queued.
  { "removal", 1, R"(0 push a 2 =
0 push b 1 =
0 remove a = a1 a2
0 pop = b1)" },
};

}

TEST_CASE("the queue limits, expires and orders requests by consumed slot time")
{
  for (const auto& one : rows) {
    CAPTURE(one.name);
    fair_queue queue({ 4, 7, ms(1) }, one.slots);
    run_script(queue, one.script);
    if (one.slots == 3) {
      const auto seen = queue.workspaces();
      REQUIRE(seen.size() == 2);
      CHECK((seen[0].slots_held == 2 && seen[0].queued == 1));
      CHECK((seen[1].slots_held == 1 && seen[1].consumed_slot_time == ms(1000)));
    }
  }
}
