#pragma once

#include "Engine/account_service.h"
#include "Engine/backend_connection_registry.h"
#include "Engine/control_service.h"
#include "Engine/deferred_calls.h"
#include "Engine/entry_service.h"
#include "Engine/group_service.h"
#include "Engine/home_service.h"
#include "Limits/distributed_rate_limiter.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonshelf {

struct engine_settings
{
  instance_id instance;
  incarnation_id incarnation;
  zone_id zone;
  std::string peer_address;
  std::vector<std::string> seed_peers;
  std::string session_secret;
  // Wall clock in milliseconds at the start.
  std::uint64_t start_sequence = 0;
};

// What the engine asks of the adapters. All calls return at once.
struct engine_hooks
{
  // False if the command was certainly not taken.
  std::function<bool(backend_command)> run_backend_command;
  // Sends to a peer. A message that was certainly not sent is reported with `peer_refused` and
  // `id`; false stands for the same at once.
  std::function<bool(const std::string& address, wire::envelope, std::uint64_t id)> send_peer;
  table_hooks table;
  std::function<void(std::function<void(result<std::vector<listed_instance>>)>)> list_instances;
  std::function<std::uint64_t()> random_bits;
  std::function<void(const std::string&)> log;
  // The end of a caller's request, for metrics.
  std::function<void(const request_end&)> request_ended;
  // A failover that this instance carried out ended, for metrics.
  std::function<void(const database_id&, const failover_durations&)> failed_over;
  // Wall clock in seconds since 1970; it decides only about the month of the account.
  std::function<std::int64_t()> utc;
};

// All decisions of one instance, on one thread. Takes events with the time of their arrival and
// acts through hooks, so that tests step the same code as the daemon.
class engine
{
public:
  engine(engine_settings settings, engine_hooks hooks, instant now);
  ~engine();
  engine(const engine&) = delete;
  engine& operator=(const engine&) = delete;

  void submit(caller_request request, entry_service::respond reply, instant now);
  void handle_peer_message(const wire::envelope& message, instant now);
  void handle_peer_not_sent(std::uint64_t id, instant now);
  void handle_backend_event(backend_event event, instant now);
  // Runs a callback of a platform call.
  void run_platform_callback(const std::function<void()>& callback, instant now);

  // Expected every 5 to 10 ms.
  void tick(instant now);

  // Starts a planned stop: new callers are refused, what runs is finished.
  void drain(instant now);
  bool drained() const;
  bool draining() const { return draining_; }

  control_service& control() { return *control_; }
  group_service& groups() { return *groups_; }
  home_service& homes() { return *homes_; }
  entry_service& entry() { return *entry_; }
  account_service& account() { return *account_; }
  distributed_rate_limiter& rate_limiter() { return *rate_limiter_; }
  const engine_settings& settings() const { return settings_; }
  instant now() const { return now_; }

private:
  struct clock_sample
  {
    incarnation_id incarnation;
    instant clock;
    instant received_at;
  };

  struct unconfirmed_send
  {
    // Empty if the sender does not need to know.
    std::function<void(instant)> on_not_sent;
    std::string address;
    instant sent;
  };

  void make_control(instant now);
  void make_rate_limiter();
  void make_homes();
  void make_account(instant now);
  void make_entry();
  void send(const std::string& address,
            wire::envelope message,
            std::function<void(instant)> on_not_sent = {});
  void record_clock(const instance_id& peer,
                    incarnation_id incarnation,
                    instant clock,
                    instant now);
  std::optional<peer_time> peer_clock(const instance_id& peer, instant now) const;
  void send_to(const instance_id& peer, wire::envelope message);
  void apply_configuration(instant now);
  // Chooses the homes of this instance anew after a change of the configuration or the live view;
  // the pass over all members is too long for each tick.
  void choose_homes(instant now);
  // Takes over and gives up homes.
  void assign_homes(instant now);
  void end_event(instant now);

  engine_settings settings_;
  engine_hooks hooks_;
  instant now_;
  deferred_calls deferred_;
  std::unique_ptr<backend_connection_registry> connections_;
  std::unique_ptr<control_service> control_;
  std::unique_ptr<distributed_rate_limiter> rate_limiter_;
  std::unique_ptr<group_service> groups_;
  std::unique_ptr<home_service> homes_;
  std::unique_ptr<account_service> account_;
  std::unique_ptr<entry_service> entry_;
  std::map<instance_id, clock_sample> clocks_;
  std::map<std::uint64_t, unconfirmed_send> unconfirmed_sends_;
  std::uint64_t next_send_ = 1;
  instant homes_assigned_at_;
  // What this instance is home of. The pointers are those of the configuration in force.
  std::map<member_id, configuration::member_location> served_members_;
  std::map<database_id, const database_config*> watched_databases_;
  std::uint64_t live_set_hash_ = 0;
  bool draining_ = false;
  bool entry_drained_ = false;
};

}
