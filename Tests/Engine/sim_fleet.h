#pragma once

#include "sim_group.h"

#include "Engine/engine.h"
#include "Engine/operator_service.h"

namespace persimmonshelf::testing {

struct fleet_options
{
  std::uint64_t seed = 1;
  std::size_t instances_per_zone = 2;
  std::int64_t rate = 100000;
  std::int64_t burst = 100000;
  std::size_t slots = 3;
  int default_max_age_ms = 1000;
};

// A caller gives up this long after the deadline of its request.
constexpr duration caller_give_up_delay = std::chrono::milliseconds(500);
constexpr const char* first_key = "pskey_first";
constexpr const char* second_key = "pskey_second";

std::string
config_text(const fleet_options& options);

// Returns the address of a member as written in the configuration.
std::string
member_address(const std::string& id);

// A caller's request and its result.
struct call_record
{
  std::string text;
  caller_request request;
  std::string instance;
  instant started;
  instant deadline;
  // Empty while the request is open and if the answer was lost.
  std::optional<caller_answer> answer;
  std::size_t answers = 0;
  instant ended;
  // The connection closed or the caller gave up.
  bool lost = false;
  bool closed = false;
};

// Runs the engines of several instances in simulated time, with one database of three members, a
// network, a table service and an instance list. Each instance has its own clock.
class sim_fleet
{
public:
  struct connection
  {
    std::string member;
    std::uint64_t generation = 0;
    std::uint64_t connection = 0;
    std::uint64_t sent = 0;
    bool busy = false;
  };

  struct sim_instance
  {
    endpoint place;
    std::shared_ptr<process> run;
    duration offset{};
    std::unique_ptr<engine> core;
    std::unique_ptr<operator_service> operators;
    std::map<backend_connection_id, connection> connections;
    std::uint64_t incarnation = 0;
    instant started{};
    std::vector<std::pair<instant, instant>> pauses;
  };

  using finished = std::function<void(const call_record&)>;

  explicit sim_fleet(fleet_options options);

  void run(duration length) { loop.run_until(loop.now() + length); }
  sim_instance& at(const std::string& name) { return *instances_.at(name); }
  std::map<std::string, std::unique_ptr<sim_instance>>& instances() { return instances_; }
  // Names of the instances that a load balancer would choose, in one zone or in all: running, not
  // draining and started at least 2 s ago.
  std::vector<std::string> routable_instances(const std::string& zone = {}) const;

  void start(const std::string& name);
  void kill(const std::string& name);
  void pause(const std::string& name);
  void resume(const std::string& name);
  void kill_member(const std::string& id);
  void isolate_zone(const std::string& zone);
  // Restores all network connections and delivers the messages that were held back.
  void heal();
  // Name of the instance that most instances consider the home for the member's zone.
  std::string home_of(const std::string& member);

  void submit(const std::string& name, caller_request request, finished done);
  void command(const std::string& name,
               const std::string& target,
               const std::string& body,
               std::function<void(operator_answer)> done);

  // Checks all records against the logs of the members. To be called after all faults have ended.
  void verify();
  std::map<std::string, std::size_t> end_codes() const;

  static caller_request statement(bool write, std::string text, std::string session = {});

  event_loop loop;
  std::mt19937_64 random;
  network net;
  fake_table table;
  sim_group group;
  std::vector<std::unique_ptr<call_record>> records;
  // Decides the outcome of a table call that reaches the platform.
  std::function<call_outcome(call_kind, const std::string&)> table_outcome;
  std::function<void(const std::string&)> log;
  // Fraction of the peer messages that are lost.
  double loss = 0;

private:
  using deferred = std::function<void()>;

  bool chance(double probability) { return random() % 1000000 < probability * 1000000; }
  duration delay(const endpoint& from, const endpoint& to);
  instant now_of(const sim_instance& instance) const { return loop.now() + instance.offset; }
  engine_hooks make_hooks(sim_instance& instance);
  void tick(sim_instance& instance, const std::shared_ptr<process>& run);
  bool send_peer(sim_instance& from,
                 const std::string& to,
                 wire::envelope message,
                 std::uint64_t id);
  void report_not_sent(sim_instance& from, const std::shared_ptr<process>& run, std::uint64_t id);
  void run_backend_command(sim_instance& instance, const backend_command& command);
  void open(sim_instance& instance, const backend_command& command);
  void send(sim_instance& instance, const backend_command& command);
  void close(sim_instance& instance, backend_connection_id number);
  void report(sim_instance& instance,
              const std::shared_ptr<process>& run,
              backend_event event,
              duration after);
  void close_at_member(const endpoint& from, const connection& closed);
  // Runs the call when the network heals, or drops it, with equal probability.
  void hold_until_heal(deferred call);
  void finish(call_record& record, const finished& done);

  fleet_options options_;
  std::map<std::string, std::unique_ptr<sim_instance>> instances_;
  std::map<std::pair<std::string, std::string>, instant> last_arrival_;
  std::vector<deferred> held_calls_;
  std::uint64_t next_connection_ = 1;
  const endpoint platform_{ "platform", "platform" };
};

}
