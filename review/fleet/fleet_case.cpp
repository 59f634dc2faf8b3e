// Runs one case of the review: a small deployment of persimmonshelf-proxy processes on loopback with
// stand-ins of the platform, the members and the requesters, and one check of a rule.
// Usage: fleet_case NAME FOLDER RECORD, with TROUBLE=0 in the environment for a run without the
// disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
#include "members.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>

namespace fleet_case {

constexpr const char* program = "target/Source/persimmonshelf-proxy";

// Signals only processes that this one started.
struct instance
{
  std::string name;
  std::string zone;
  std::string address;
  std::string settings;
  std::string log;
  pid_t process = 0;
  unsigned starts = 0;
};

// One request of a requester, as the requester saw it.
struct operation
{
  std::string id;
  std::string text;
  std::string data;
  long long sent_at = 0;
  long long answered_at = 0;
  bool write = false;
  bool success = false;
};

struct options
{
  unsigned instances = 3;
  unsigned services = 2;
  milliseconds lag{ 20 };
  unsigned sync_replicas = 0;
};

class deployment
{
public:
  deployment(asio::io_context& context, const std::string& folder, record& lines, options chosen)
    : context_(context)
    , folder_(folder)
    , record_(lines)
    , options_(chosen)
    , block_("127." + std::to_string(20 + getpid() % 200) + ".")
    , port_(free_port())
    , store_(context, host(9, 1), port_, lines)
    , members_(context, store_, lines, chosen.lag, chosen.sync_replicas > 0)
    , duties_(context,
              host(9, 2),
              port_,
              lines,
              [this](const std::string& service, const std::string& id) {
                return members_.promote(service, id);
              })
  {
    for (unsigned s = 1; s <= options_.services; ++s) {
      for (unsigned m = 1; m <= 3; ++m) {
        add_member(s, m, m == 1);
      }
    }
    put_configuration();
    for (unsigned i = 1; i <= options_.instances; ++i) {
      instances_.push_back({ "front-" + std::to_string(i),
                             zone(i),
                             host(1, i),
                             folder_ + "/front-" + std::to_string(i) + ".json",
                             folder_ + "/front-" + std::to_string(i) + ".log" });
    }
    for (auto& one : instances_) {
      start(one, true);
    }
  }

  ~deployment()
  {
    for (auto& one : instances_) {
      if (one.process > 0) {
        kill(one.process, SIGKILL);
        waitpid(one.process, nullptr, 0);
      }
    }
  }

  asio::io_context& context() { return context_; }
  store& rows() { return store_; }
  members& servers() { return members_; }
  duty_api& duties() { return duties_; }
  std::vector<instance>& instances() { return instances_; }
  const std::vector<operation>& operations() const { return operations_; }
  record& lines() { return record_; }

  std::string service(unsigned number) const { return "sv" + std::to_string(number) + "x"; }

  member& add_member(unsigned service_number, unsigned number, bool primary)
  {
    return members_.add("i-" + std::to_string(service_number) + std::to_string(number),
                        service(service_number),
                        host(1 + service_number, number),
                        port_,
                        zone(number),
                        primary);
  }

  void put_configuration()
  {
    json::array routes;
    json::array services;
    for (unsigned s = 1; s <= options_.services; ++s) {
      routes.push_back(json::object{ { "name", "r" + std::to_string(s) },
                                     { "host", "db" + std::to_string(s) },
                                     { "prefix", "/" },
                                     { "kind", "primary" },
                                     { "timeout_ms", 800 },
                                     { "target_latency_ms", 150 },
                                     { "priority", 1 },
                                     { "service", service(s) },
                                     { "max_attempts", 2 },
                                     { "public", false } });
      services.push_back(json::object{ { "name", service(s) },
                                       { "health_path", "/health" },
                                       { "max_conns", 54 },
                                       { "protocol", "h1" },
                                       { "tls", false },
                                       { "sync_replicas", options_.sync_replicas } });
    }
    const json::object configuration{
      { "version", 7 },
      { "routes", std::move(routes) },
      { "services", std::move(services) },
      { "limits", json::object{ { "tx_idle_ms", 3000 } } },
      { "tenants",
        json::array{ json::object{ { "name", "nypu920" },
                                   { "api_keys", json::array{ "u6wsjnbanfqasnmgkcuy" } },
                                   { "priority", 1 },
                                   { "rate_per_s", 2000 },
                                   { "burst", 2000 } } } }
    };
    store_.put("op", "config", json::serialize(configuration));
  }

  void start(instance& one, bool first)
  {
    const auto listen = [&](int offset) {
      return one.address + ":" + std::to_string(port_ + offset);
    };
    json::array seeds;
    for (const auto& other : instances_) {
      if (seeds.size() < 3) {
        seeds.push_back(json::string(other.address + ":" + std::to_string(port_ + 2)));
      }
    }
    const json::object settings{
      { "instance", one.name },
      { "zone", one.zone },
      { "seeds", std::move(seeds) },
      { "listen",
        json::object{ { "callers", listen(0) },
                      { "readiness", listen(1) },
                      { "metrics", listen(4) },
                      { "peers", listen(3) },
                      { "relay", listen(2) } } },
      { "store", json::object{ { "address", host(9, 1) + ":" + std::to_string(port_) } } },
      { "duties",
        json::object{ { "address", host(9, 2) + ":" + std::to_string(port_) },
                      { "lists", json::array{ "promote" } } } },
      { "key_revocation_ms", 5000 },
      { "stop_grace_s", 6 },
      { "configuration_limit_ms", 3000 },
      { "rate_tolerance",
        json::object{ { "window_s", 5 }, { "operations", 20 }, { "fraction", 0.1 } } },
      { "processor_cores", 0.17 },
      { "limits", json::object{ { "memory_mb", 182 }, { "descriptors", 2940 } } },
      { "first_start", first }
    };
    std::ofstream(one.settings) << json::serialize(settings);
    const auto child = fork();
    if (child == 0) {
      // The process ends with this one, whatever ends it.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(one.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      const int in = open("/dev/null", O_RDONLY | O_CLOEXEC);
      dup2(in, 0);
      dup2(out, 1);
      dup2(out, 2);
      for (int handle = 3; handle < 1024; ++handle) {
        close(handle);
      }
      setenv("PERSIMMONSHELF_NODE_FILE", one.settings.c_str(), 1);
      execl(program, program, "run", static_cast<char*>(nullptr));
      _exit(127);
    }
    one.process = child;
    ++one.starts;
    record_("instance " + one.name + " started");
  }

  asio::awaitable<void> pause(milliseconds time)
  {
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(asio::use_awaitable);
  }

  // Waits until the condition holds. Returns false after the time limit.
  asio::awaitable<bool> wait_for(std::function<bool()> condition, milliseconds limit)
  {
    const auto until = clock::now() + limit;
    while (!condition()) {
      if (clock::now() > until) {
        co_return false;
      }
      co_await pause(milliseconds(20));
    }
    co_return true;
  }

  asio::awaitable<bool> is_ready(const instance& one)
  {
    error_code failure;
    tcp::socket socket(context_);
    const tcp::endpoint endpoint(asio::ip::make_address(one.address), port_ + 1);
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return false;
    }
    http::request<http::empty_body> probe(http::verb::get, "/readiness", 11);
    probe.set(http::field::host, "platform");
    co_await http::async_write(socket, probe, asio::redirect_error(asio::use_awaitable, failure));
    beast::flat_buffer buffer;
    response answer;
    co_await http::async_read(
      socket, buffer, answer, asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure && answer.result() == http::status::ok;
  }

  asio::awaitable<bool> wait_ready(milliseconds limit)
  {
    const auto until = clock::now() + limit;
    for (const auto& one : instances_) {
      for (;;) {
        const bool ready = co_await is_ready(one);
        if (ready) {
          break;
        }
        if (clock::now() > until) {
          co_return false;
        }
        co_await pause(milliseconds(50));
      }
    }
    co_return true;
  }

  // A planned restart: SIGTERM, the end of the process, and its start.
  asio::awaitable<bool> restart(instance& one)
  {
    record_("SIGTERM " + one.name);
    kill(one.process, SIGTERM);
    const std::function<bool()> has_ended = [&] {
      return waitpid(one.process, nullptr, WNOHANG) == one.process;
    };
    const bool ended = co_await wait_for(has_ended, milliseconds(8000));
    if (!ended) {
      co_return false;
    }
    one.process = 0;
    record_("instance " + one.name + " ended");
    start(one, false);
    co_return true;
  }

  void kill_one(instance& one)
  {
    record_("SIGKILL " + one.name);
    kill(one.process, SIGKILL);
    waitpid(one.process, nullptr, 0);
    start(one, false);
  }

  // All processes are killed at once, and start again at once.
  void kill_all()
  {
    record_("SIGKILL all instances");
    for (auto& one : instances_) {
      kill(one.process, SIGKILL);
    }
    for (auto& one : instances_) {
      waitpid(one.process, nullptr, 0);
      start(one, false);
    }
  }

  // The instance that holds the duty, which only chooses the process to signal; null if there is none.
  instance* holder()
  {
    error_code failure;
    const auto row = json::parse(store_.value("persimmonshelf", "coordinator"), failure);
    if (failure || !row.is_object()) {
      return nullptr;
    }
    const std::string name(row.at("holder").as_string());
    for (auto& one : instances_) {
      if (one.name == name) {
        return &one;
      }
    }
    return nullptr;
  }

  // True if an instance ended without a signal of this case.
  bool any_ended()
  {
    for (auto& one : instances_) {
      if (one.process > 0 && waitpid(one.process, nullptr, WNOHANG) == one.process) {
        record_("instance " + one.name + " ended by itself");
        one.process = 0;
        return true;
      }
    }
    return false;
  }

  std::string log_of(const instance& one) const
  {
    std::ifstream file(one.log);
    return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  }

  // A requester with one session after another, until the end of the case.
  void add_requester(unsigned instance_number, unsigned service_number, bool writes, milliseconds gap)
  {
    asio::co_spawn(
      context_, request_on(instance_number, service_number, writes, gap), asio::detached);
  }

private:
  std::string host(unsigned group, unsigned number) const
  {
    return block_ + std::to_string(group) + "." + std::to_string(number);
  }

  static std::string zone(unsigned number) { return "z" + std::to_string((number - 1) % 3 + 1); }

  // The first of five ports that are free on all addresses.
  unsigned short free_port() const
  {
    for (unsigned port = 21000 + static_cast<unsigned>(getpid()) % 500 * 10; port < 32000;
         port += 10) {
      bool free = true;
      for (unsigned offset = 0; offset < 5 && free; ++offset) {
        error_code failure;
        asio::io_context context;
        tcp::acceptor probe(context);
        probe.open(tcp::v4(), failure);
        probe.bind(tcp::endpoint(tcp::v4(), static_cast<unsigned short>(port + offset)), failure);
        free = !failure;
      }
      if (free) {
        return static_cast<unsigned short>(port);
      }
    }
    throw std::runtime_error("no free ports");
  }

  asio::awaitable<std::string> read_answer(tcp::socket& socket, std::string& buffer, error_code& failure)
  {
    std::string answer;
    for (;;) {
      const auto length = co_await asio::async_read_until(
        socket,
        asio::dynamic_buffer(buffer),
        "\r\n",
        asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return answer;
      }
      const auto line = buffer.substr(0, length);
      buffer.erase(0, length);
      answer += line;
      if (line.starts_with("READY ")) {
        co_return answer;
      }
    }
  }

  asio::awaitable<void> request_on(unsigned instance_number,
                                   unsigned service_number,
                                   bool writes,
                                   milliseconds gap)
  {
    const auto& one = instances_[instance_number - 1];
    const tcp::endpoint endpoint(asio::ip::make_address(one.address), port_);
    const auto requester = std::to_string(++requesters_);
    unsigned long number = 0;
    for (;;) {
      error_code failure;
      tcp::socket socket(context_);
      std::string buffer;
      co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
      if (!failure) {
        const std::string start =
          "START db" + std::to_string(service_number) + " u6wsjnbanfqasnmgkcuy\r\n";
        co_await asio::async_write(
          socket, asio::buffer(start), asio::redirect_error(asio::use_awaitable, failure));
        const auto answer = co_await read_answer(socket, buffer, failure);
        while (!failure && answer.starts_with("READY")) {
          operation next;
          next.id = "q" + requester + "n" + std::to_string(++number);
          next.write = writes;
          next.data = "d" + requester + "n" + std::to_string(number);
          next.text = writes ? "WRITE item " + next.data : "READ item";
          next.sent_at = now_ms();
          record_("send " + next.id + " " + next.text);
          const auto message = "QUERY " + next.id + " " + next.text + "\r\n";
          co_await asio::async_write(
            socket, asio::buffer(message), asio::redirect_error(asio::use_awaitable, failure));
          const auto result = co_await read_answer(socket, buffer, failure);
          next.answered_at = now_ms();
          next.success = !failure && result.find("ERROR ") == std::string::npos;
          auto shown = result;
          std::replace(shown.begin(), shown.end(), '\r', ' ');
          std::replace(shown.begin(), shown.end(), '\n', ';');
          record_("answer " + next.id + " " + (failure ? "connection ended" : shown));
          operations_.push_back(next);
          co_await pause(next.success ? gap : gap + milliseconds(50));
        }
      }
      co_await pause(milliseconds(20));
    }
  }

  asio::io_context& context_;
  std::string folder_;
  record& record_;
  options options_;
  std::string block_;
  unsigned short port_;
  store store_;
  members members_;
  duty_api duties_;
  std::vector<instance> instances_;
  std::vector<operation> operations_;
  unsigned requesters_ = 0;
};

enum class verdict
{
  held = 0,
  broken = 1,
  not_run = 2,
};

// ONE: two holders promote with the same number, or one sends a lower number than the platform has
// seen.
verdict
check_promotions(deployment& fleet)
{
  auto result = verdict::held;
  std::map<std::uint64_t, std::string> holders;
  std::uint64_t newest = 0;
  for (const auto& call : fleet.duties().calls()) {
    const auto [known, is_new] = holders.emplace(call.token, call.holder);
    if (!is_new && known->second != call.holder) {
      fleet.lines()("ONE broken: " + known->second + " and " + call.holder +
                    " promoted with the number " + std::to_string(call.token));
      result = verdict::broken;
    }
    if (call.token < newest) {
      fleet.lines()("ONE broken: " + call.holder + " sent " + std::to_string(call.token) +
                    " after the platform has seen " + std::to_string(newest));
      result = verdict::broken;
    }
    newest = std::max(newest, call.token);
  }
  return result;
}

bool
promoted_since(deployment& fleet, const std::string& service, std::size_t first)
{
  const auto& calls = fleet.duties().calls();
  return std::any_of(calls.begin() + static_cast<std::ptrdiff_t>(std::min(first, calls.size())),
                     calls.end(),
                     [&](const auto& call) { return call.service == service; });
}

// The store's drill, after which the operator and the members write again what they wrote.
asio::awaitable<void>
drill(deployment& fleet, clock::time_point copied_at)
{
  co_await fleet.rows().drill(copied_at, milliseconds(1000));
  fleet.put_configuration();
  fleet.servers().write_again();
}

// A drill of the store shortly after the duty changed hands, between two planned replacements.
asio::awaitable<verdict>
reused_token(deployment& fleet, bool trouble)
{
  for (unsigned i = 1; i <= 3; ++i) {
    fleet.add_requester(i, 1, i == 1, milliseconds(40));
    fleet.add_requester(i, 2, i == 1, milliseconds(40));
  }
  co_await fleet.pause(milliseconds(4000));
  auto* first = fleet.holder();
  if (first == nullptr) {
    co_return verdict::not_run;
  }
  const auto copied_at = clock::now();
  // The machines are restarted in turn, first the one that acted last.
  const bool restarted_1 = co_await fleet.restart(*first);
  if (!restarted_1) {
    co_return verdict::not_run;
  }
  auto* leaving = fleet.servers().primary_of(fleet.service(1));
  fleet.servers().drain(*leaving);
  const std::function<bool()> is_promoted_1 = [&] { return promoted_since(fleet, fleet.service(1), 0); };
  const bool promoted_1 = co_await fleet.wait_for(is_promoted_1, milliseconds(15000));
  if (!promoted_1) {
    co_return verdict::not_run;
  }
  co_await fleet.pause(milliseconds(1000));
  if (trouble) {
    co_await drill(fleet, copied_at);
  }
  co_await fleet.pause(milliseconds(2000));
  fleet.kill_all();
  const bool ready = co_await fleet.wait_ready(milliseconds(15000));
  if (!ready) {
    co_return verdict::not_run;
  }
  co_await fleet.pause(milliseconds(4000));
  const auto calls = fleet.duties().calls().size();
  leaving = fleet.servers().primary_of(fleet.service(2));
  fleet.servers().drain(*leaving);
  const std::function<bool()> replaced = [&] {
    return promoted_since(fleet, fleet.service(2), calls);
  };
  const bool promoted = co_await fleet.wait_for(replaced, milliseconds(20000));
  fleet.lines()(promoted ? "the second primary is replaced" : "the second primary isn't replaced");
  co_await fleet.pause(milliseconds(2000));
  const auto result = check_promotions(fleet);
  co_return result == verdict::held && !promoted ? verdict::not_run : result;
}

// A holder that freezes while the platform's API doesn't answer its connection attempt.
asio::awaitable<verdict>
frozen_promotion(deployment& fleet, bool trouble)
{
  for (unsigned i = 1; i <= 3; ++i) {
    fleet.add_requester(i, 1, i == 1, milliseconds(40));
  }
  co_await fleet.pause(milliseconds(4000));
  auto* first = fleet.holder();
  if (first == nullptr) {
    co_return verdict::not_run;
  }
  if (trouble) {
    fleet.duties().cut();
    co_await fleet.pause(milliseconds(300));
  }
  fleet.servers().drain(*fleet.servers().primary_of(fleet.service(1)));
  if (trouble) {
    const std::function<bool()> calls_promote = [&] {
      return fleet.log_of(*first).find("\"step\":\"promote\"") != std::string::npos;
    };
    const bool seen = co_await fleet.wait_for(calls_promote, milliseconds(12000));
    if (!seen) {
      co_return verdict::not_run;
    }
    kill(first->process, SIGSTOP);
    fleet.lines()("SIGSTOP " + first->name);
    co_await fleet.pause(milliseconds(400));
    fleet.duties().heal();
    co_await fleet.pause(milliseconds(5600));
    kill(first->process, SIGCONT);
    fleet.lines()("SIGCONT " + first->name);
  }
  const std::function<bool()> replaced = [&] {
    return promoted_since(fleet, fleet.service(1), 0);
  };
  const bool promoted = co_await fleet.wait_for(replaced, milliseconds(15000));
  co_await fleet.pause(milliseconds(5000));
  const auto result = check_promotions(fleet);
  co_return result == verdict::held && !promoted ? verdict::not_run : result;
}

// A drill of the store shortly after the duty changed hands, and a member that leaves afterwards.
asio::awaitable<verdict>
drained_primary(deployment& fleet, bool trouble)
{
  for (unsigned i = 1; i <= 3; ++i) {
    fleet.add_requester(i, 1, i == 1, milliseconds(40));
  }
  co_await fleet.pause(milliseconds(4000));
  auto* first = fleet.holder();
  if (first == nullptr) {
    co_return verdict::not_run;
  }
  const auto copied_at = clock::now();
  const bool restarted_3 = co_await fleet.restart(*first);
  if (!restarted_3) {
    co_return verdict::not_run;
  }
  co_await fleet.pause(milliseconds(1000));
  if (trouble) {
    co_await drill(fleet, copied_at);
  }
  // In touch: `stable_window_ms` after the end of the drill.
  co_await fleet.pause(milliseconds(8000));
  auto& leaving = *fleet.servers().primary_of(fleet.service(1));
  fleet.servers().drain(leaving);
  // It serves on for `drain_ms` and some seconds longer.
  co_await fleet.pause(milliseconds(14000));
  fleet.servers().leave(leaving);
  co_await fleet.pause(milliseconds(3000));
  auto result = verdict::held;
  unsigned late = 0;
  const auto drain_ms = 7000;
  for (const auto& one : fleet.servers().runs()) {
    if (one.member == leaving.id && one.at > *leaving.drain_acknowledged_at + drain_ms) {
      ++late;
      result = verdict::broken;
    }
  }
  fleet.lines()(std::to_string(late) + " requests ran at " + leaving.id + " later than " +
                std::to_string(drain_ms) + " ms after the ack that it is draining" +
                (late > 0 ? ": DRAIN broken" : ""));
  co_return result;
}

// STALE on `primary` routes: a read ran on a log that lacks a commit which was acknowledged before
// the read was sent. Commits that are not in the newest primary's log were rolled back.
verdict
check_reads(deployment& fleet, const std::string& service)
{
  std::map<std::string, std::uint64_t> numbers;
  for (const auto& committed : fleet.servers().primary_of(service)->log) {
    numbers[committed.data] = committed.number;
  }
  // Newest number that was acknowledged, by the time of the answer.
  std::vector<std::pair<long long, std::uint64_t>> acknowledged;
  std::map<std::string, long long> sent;
  for (const auto& one : fleet.operations()) {
    const auto found = numbers.find(one.data);
    if (one.write && one.success && found != numbers.end()) {
      acknowledged.emplace_back(one.answered_at, found->second);
    }
    if (!one.write) {
      sent[one.id] = one.sent_at;
    }
  }
  unsigned stale = 0;
  for (const auto& one : fleet.servers().runs()) {
    const auto found = sent.find(one.id);
    if (found == sent.end()) {
      continue;
    }
    for (const auto& [at, number] : acknowledged) {
      if (at < found->second && number > one.number) {
        ++stale;
        fleet.lines()("STALE broken: read " + one.id + " sent at " + std::to_string(found->second) +
                      " ran at " + one.member + " on " + std::to_string(one.term) + "." +
                      std::to_string(one.number) + ", commit " + std::to_string(number) +
                      " was acknowledged at " + std::to_string(at));
        break;
      }
    }
  }
  fleet.lines()(std::to_string(stale) + " stale reads on the primary route");
  return stale > 0 ? verdict::broken : verdict::held;
}

// A drill of the store shortly after a primary was replaced that had been partitioned from the store.
asio::awaitable<verdict>
restored_record(deployment& fleet, bool trouble)
{
  for (unsigned i = 1; i <= 3; ++i) {
    fleet.add_requester(i, 1, true, milliseconds(20));
    fleet.add_requester(i, 1, false, milliseconds(20));
    fleet.add_requester(i, 1, false, milliseconds(20));
  }
  co_await fleet.pause(milliseconds(4000));
  auto* leaving = fleet.servers().primary_of(fleet.service(1));
  // A planned replacement, long before.
  fleet.add_member(1, 4, false);
  fleet.servers().drain(*leaving);
  const std::function<bool()> replaced = [&] {
    return promoted_since(fleet, fleet.service(1), 0);
  };
  const bool planned = co_await fleet.wait_for(replaced, milliseconds(15000));
  if (!planned) {
    co_return verdict::not_run;
  }
  co_await fleet.pause(milliseconds(9000));
  fleet.servers().leave(*leaving);
  co_await fleet.pause(milliseconds(3000));
  auto* cut = fleet.servers().primary_of(fleet.service(1));
  const auto calls = fleet.duties().calls().size();
  asio::co_spawn(fleet.context(),
                 fleet.servers().cut_from_store(*cut, milliseconds(7000)),
                 asio::detached);
  co_await fleet.pause(milliseconds(2000));
  const auto copied_at = clock::now();
  const std::function<bool()> replaced_again = [&] {
    return promoted_since(fleet, fleet.service(1), calls);
  };
  const bool unplanned = co_await fleet.wait_for(replaced_again, milliseconds(15000));
  if (!unplanned) {
    co_return verdict::not_run;
  }
  co_await fleet.pause(milliseconds(1500));
  if (trouble) {
    co_await drill(fleet, copied_at);
  }
  co_await fleet.pause(milliseconds(15000));
  co_return check_reads(fleet, fleet.service(1));
}

// A replica is partitioned from the store, the holder is killed and starts again, and the primary
// crashes.
asio::awaitable<verdict>
forgotten_member(deployment& fleet, bool trouble)
{
  for (unsigned i = 1; i <= 3; ++i) {
    fleet.add_requester(i, 1, true, milliseconds(20));
    fleet.add_requester(i, 1, true, milliseconds(20));
    fleet.add_requester(i, 1, true, milliseconds(20));
  }
  // One of the replicas is a little further behind than the other.
  fleet.servers().find("i-13")->extra_lag = milliseconds(25);
  co_await fleet.pause(milliseconds(4000));
  if (trouble) {
    asio::co_spawn(fleet.context(),
                   fleet.servers().cut_from_store(*fleet.servers().find("i-12"), milliseconds(7000)),
                   asio::detached);
    co_await fleet.pause(milliseconds(3700));
    auto* first = fleet.holder();
    if (first == nullptr) {
      co_return verdict::not_run;
    }
    fleet.kill_one(*first);
    co_await fleet.pause(milliseconds(1000));
  }
  fleet.servers().crash(*fleet.servers().primary_of(fleet.service(1)));
  const std::function<bool()> replaced = [&] {
    return promoted_since(fleet, fleet.service(1), 0);
  };
  const bool promoted = co_await fleet.wait_for(replaced, milliseconds(20000));
  co_await fleet.pause(milliseconds(4000));
  auto* leader = fleet.servers().primary_of(fleet.service(1));
  if (!promoted || leader == nullptr) {
    fleet.lines()("nobody was promoted");
    co_return verdict::not_run;
  }
  std::set<std::string> kept;
  for (const auto& committed : leader->log) {
    kept.insert(committed.data);
  }
  auto result = verdict::held;
  for (const auto& one : fleet.operations()) {
    if (one.write && one.success && !kept.contains(one.data)) {
      fleet.lines()("LOST broken: write " + one.id + " (" + one.data + ") was acknowledged at " +
                    std::to_string(one.answered_at) + " and isn't in the log of " + leader->id);
      result = verdict::broken;
    }
  }
  co_return result;
}

asio::awaitable<void>
run_case(deployment& fleet, std::string name, bool trouble, verdict& result)
{
  const bool ready = co_await fleet.wait_ready(milliseconds(15000));
  if (!ready) {
    fleet.lines()("the instances are not ready");
    co_return;
  }
  fleet.lines()("all instances are ready");
  if (name == "reused_token") {
    result = co_await reused_token(fleet, trouble);
  } else if (name == "frozen_promotion") {
    result = co_await frozen_promotion(fleet, trouble);
  } else if (name == "drained_primary") {
    result = co_await drained_primary(fleet, trouble);
  } else if (name == "forgotten_member") {
    result = co_await forgotten_member(fleet, trouble);
  } else if (name == "restored_record") {
    result = co_await restored_record(fleet, trouble);
  }
}

}

int
main(int count, char** words)
{
  using namespace fleet_case;
  if (count != 4) {
    std::cerr << "usage: fleet_case NAME FOLDER RECORD\n";
    return 2;
  }
  auto result = verdict::not_run;
  try {
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
    record lines(words[3]);
    asio::io_context context(1);
    options chosen;
    if (std::strcmp(words[1], "forgotten_member") == 0) {
      chosen.sync_replicas = 1;
    }
    if (std::strcmp(words[1], "restored_record") == 0) {
      chosen.services = 3;
    }
    if (std::strcmp(words[1], "reused_token") == 0) {
      chosen.instances = 6;
      chosen.services = 2;
    }
    deployment fleet(context, words[2], lines, chosen);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](error_code, int) { context.stop(); });
    std::exception_ptr failure;
    asio::co_spawn(
      context, run_case(fleet, words[1], trouble, result), [&](std::exception_ptr thrown) {
        failure = thrown;
        context.stop();
      });
    context.run_for(std::chrono::seconds(115));
    if (fleet.any_ended()) {
      lines("an instance ended by itself");
    }
    if (failure) {
      std::rethrow_exception(failure);
    }
    lines(result == verdict::broken ? "verdict: broken"
                                    : (result == verdict::held ? "verdict: held" : "verdict: not run"));
  } catch (const std::exception& failure) {
    std::cerr << "fleet_case: " << failure.what() << "\n";
    return 2;
  }
  return static_cast<int>(result);
}
