// The zone of a primary is cut off and another member is promoted. Then the coordinator is stopped,
// and the new primary crashes just before the first one can be reached again. Rules STALE and ONE.
#include "../lab/lab.hpp"

using namespace lab;

namespace {

struct commit_record
{
  double acknowledged = 0;
  bool rolled_back = false;
};
// Acknowledged commits by the id of the write.
std::map<string, commit_record> commits;
// Commits made by a member whose term a promotion had ended.
std::set<string> made_by_former;
std::size_t stale = 0;
std::size_t by_former = 0;
std::uint64_t newest_term = 1;
double promoted_at = 0;

awaitable<void>
load(deployment& d, int number, const bool& stop)
{
  auto& w = d.w;
  caller session(w, "caller" + std::to_string(number));
  int count = 0;
  int front = number;
  while (!stop) {
    if (!session.is_open()) {
      ++front;
      const string refused = co_await session.open(d.proxies[static_cast<std::size_t>(front % 3)]->callers, "orders", "key-a");
      if (!refused.empty()) {
        session.close();
        co_await w.sleep(200);
        continue;
      }
    }
    ++count;
    const bool writes = count % 2 == 0;
    const string item = "item" + std::to_string(number);
    const string text = writes ? "WRITE " + item + " v" + std::to_string(count) : "READ " + item;
    const auto reply = co_await session.query(text);
    if (writes && reply.success()) {
      commits[session.last_id].acknowledged = w.now();
      if (made_by_former.contains(session.last_id)) {
        ++by_former;
        w.note("ONE: " + session.last_id + " was committed at the old primary after the promotion, and acknowledged");
      }
    }
    co_await w.sleep(60);
  }
}

awaitable<void>
restart_when_ended(deployment& d, proxy& front)
{
  while (!front.ended()) {
    co_await d.w.sleep(50);
  }
  front.start();
}

awaitable<void>
scenario(deployment& d)
{
  auto& w = d.w;
  bool stop = false;
  for (auto& entry : d.members) {
    auto* m = entry.get();
    m->on_run = [&, m](const string&, const string& query, const string& text) {
      if (text.rfind("READ", 0) != 0) {
        return;
      }
      const double sent = sent_times()[query];
      for (const auto& [write, record] : commits) {
        if (!record.rolled_back && record.acknowledged > 0 && record.acknowledged < sent && !m->holds(write)) {
          ++stale;
          w.note("STALE: read " + query + " ran at " + m->id + " at " + m->position() + ", which lacks commit " + write);
          break;
        }
      }
    };
    m->on_commit = [&, m](const string& query) {
      if (m->in_term < newest_term) {
        made_by_former.insert(query);
      }
    };
  }
  d.promotions.on_promoted = [&](group& g, member& chosen) {
    for (auto& [write, record] : commits) {
      record.rolled_back = record.rolled_back || !chosen.holds(write);
    }
    for (const auto* m : g.members) {
      newest_term = std::max(newest_term, m->in_term + 1);
    }
    promoted_at = w.now();
  };
  d.configure(7, { { "tenant-a", { "key-a" } } });
  d.start();
  for (int i = 0; i < 4; ++i) {
    w.spawn(load(d, i, stop));
  }
  co_await w.until(10);
  if (commits.size() < 20) {
    throw std::runtime_error("too few commits before the disruption");
  }
  if (trouble()) {
    auto& first = *d.members[0];
    first.cut_off();
    while (promoted_at == 0 && w.now() < 12.4) {
      co_await w.sleep(10);
    }
    if (promoted_at == 0) {
      throw std::runtime_error("no member was promoted within 2.4 s");
    }
    co_await w.until(promoted_at + 0.4);
    for (auto& front : d.proxies) {
      if (front->name == d.promotions.last_holder) {
        front->signal(SIGTERM);
        w.spawn(restart_when_ended(d, *front));
      }
    }
    co_await w.until(13.2);
    member* second = nullptr;
    for (auto& m : d.members) {
      if (m.get() != &first && m->primary) {
        second = m.get();
      }
    }
    second->crash();
    co_await w.until(13.4);
    first.reconnect();
    co_await w.until(20.2);
    second->restart();
  }
  co_await w.until(24);
  stop = true;
  co_await w.sleep(500);
  w.note("STALE " + std::to_string(stale) + ", ONE " + std::to_string(by_former));
}

}

int
main(int, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  deployment d(argv[1], { 0, { route("r-orders", "orders", "primary", false) } });
  const bool ran = d.run(scenario(d));
  conclude(d, ran, stale + by_former, "stale reads and commits at the old primary");
}
