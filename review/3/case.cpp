// A key is taken away while its requester has a session on a public route. Rule UNASKED: a member
// must not be told the name of a tenant that does not hold the requester's key.
#include "../lab/lab.hpp"

using namespace lab;

namespace {

std::vector<string> foreign;
std::map<string, string> told;
std::size_t answered = 0;

awaitable<void>
scenario(deployment& d)
{
  auto& w = d.w;
  for (auto& m : d.members) {
    m->on_run = [&](const string& tenant, const string& query, const string&) { told[query] = tenant; };
  }
  d.configure(7, { { "tenant-a", { "key-a", "key-b" } }, { "tenant-c", { "key-c" } } });
  d.start();
  caller session(w, "caller");
  for (int attempt = 0; attempt < 40 && !session.is_open(); ++attempt) {
    const string refused = co_await session.open(d.proxies[0]->callers, "catalogue", "key-a");
    if (!refused.empty()) {
      session.close();
      co_await w.sleep(250);
    }
  }
  for (int i = 0; i < 10; ++i) {
    const auto reply = co_await session.query("READ item1");
    answered += reply.success() ? 1 : 0;
    co_await w.sleep(100);
  }
  if (answered < 8 || told[session.last_id] != "tenant-a") {
    throw std::runtime_error("the session was not served before the change");
  }
  const double changed = w.now();
  if (trouble()) {
    d.configure(12, { { "tenant-a", { "key-b" } }, { "tenant-c", { "key-c" } } });
  } else {
    d.configure(12, { { "tenant-a", { "key-a", "key-b" } }, { "tenant-c", { "key-c" } } });
  }
  while (w.now() < changed + 10) {
    if (!session.is_open()) {
      const string refused = co_await session.open(d.proxies[0]->callers, "catalogue", "key-a");
      if (!refused.empty()) {
        session.close();
        co_await w.sleep(250);
        continue;
      }
      w.note("a new session with the same key begins");
    }
    const double sent = w.now();
    const auto reply = co_await session.query("READ item1");
    if (told.contains(session.last_id)) {
      const string tenant = told[session.last_id];
      w.note("the member was told tenant " + tenant);
      // Requests sent later than revoke_ms (5 s) after the store's answer.
      if (trouble() && sent > changed + 5 && tenant == "tenant-a") {
        foreign.push_back(session.last_id);
      }
    }
    co_await w.sleep(200);
  }
  caller second(w, "second");
  const string refused = co_await second.open(d.proxies[0]->callers, "catalogue", "key-a");
  w.note("a second session with the same key: " + (refused.empty() ? string("begins") : refused));
  const auto reply = co_await second.query("READ item1");
  w.note("for it the member was told tenant " + (told.contains(second.last_id) ? told[second.last_id] : string("nothing")) + ", " + reply.outcome);
}

}

int
main(int, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  deployment d(argv[1], { 0, { route("r-catalogue", "catalogue", "bounded_staleness", true) } });
  const bool ran = d.run(scenario(d));
  conclude(d, ran, foreign.size(), "requests ran under the name of a tenant that does not hold the key");
}
