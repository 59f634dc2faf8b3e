// The primary of a group with one synchronous replica crashes while that replica is draining and the
// other one receives nothing. Rule LOST.
#include "../lab/lab.hpp"

using namespace lab;

namespace {

// Commits that were acknowledged to callers, with the times.
std::map<string, double> acknowledged;
std::vector<string> lost;
bool promoted = false;

awaitable<void>
write_load(deployment& d, int number, const bool& stop)
{
  caller session(d.w, "caller" + std::to_string(number));
  int item = 0;
  while (!stop) {
    if (!session.is_open()) {
      const auto refused = co_await session.open(d.proxies[static_cast<std::size_t>(number % 3)]->callers, "orders", "key-a");
      if (!refused.empty()) {
        session.close();
        co_await d.w.sleep(200);
        continue;
      }
    }
    ++item;
    const string text = "WRITE item" + std::to_string(number) + "x" + std::to_string(item % 20) + " v" + std::to_string(item);
    const auto reply = co_await session.query(text);
    if (reply.success() && reply.signature.rfind("sig.", 0) == 0) {
      acknowledged[session.last_id] = d.w.now();
    }
    co_await d.w.sleep(100);
  }
}

awaitable<void>
scenario(deployment& d)
{
  auto& w = d.w;
  bool stop = false;
  auto& primary = *d.members[0];
  auto& synchronous = *d.members[1];
  auto& other = *d.members[2];
  d.promotions.on_promoted = [&](group&, member& chosen) {
    promoted = true;
    for (const auto& [query, time] : acknowledged) {
      if (!chosen.holds(query)) {
        lost.push_back(query);
        w.note("LOST: " + query + " was acknowledged at " + std::to_string(time) + " and is not in the log of " + chosen.id);
      }
    }
  };
  d.configure(7, { { "tenant-a", { "key-a" } } });
  d.start();
  for (int i = 0; i < 4; ++i) {
    w.spawn(write_load(d, i, stop));
  }
  co_await w.until(12);
  const auto before = acknowledged.size();
  if (before < 20) {
    throw std::runtime_error("only " + std::to_string(before) + " commits were acknowledged before the disruption");
  }
  if (trouble()) {
    synchronous.draining = true;
    synchronous.publish();
    w.note("member " + synchronous.id + " reports draining");
    co_await w.until(14);
    other.deaf = true;
    w.note("member " + other.id + " receives nothing for 6 s");
    co_await w.until(16);
    primary.crash();
    co_await w.until(20);
    other.deaf = false;
    w.note("member " + other.id + " receives again");
    co_await w.until(23);
    primary.restart();
  }
  co_await w.until(28);
  stop = true;
  co_await w.sleep(500);
  w.note("acknowledged " + std::to_string(acknowledged.size()) + " commits, " + (promoted ? "a" : "no") + " member was promoted");
}

}

int
main(int, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  deployment d(argv[1], { 1, { route("r-orders", "orders", "primary", false) } });
  const bool ran = d.run(scenario(d));
  conclude(d, ran, lost.size(), "acknowledged commits are missing in the log of the promoted member");
}
