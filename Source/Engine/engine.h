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
  // Wall clock at the start, in milliseconds.
  std::uint64_t start_sequence = 0;
};

// Functions of the adapters that the engine calls. None of them blocks.
struct engine_hooks
{
  // Returns false if the command was definitely not accepted.
  std::function<bool(backend_command)> run_backend_command;
  // Sends a message to a peer. Returns false if the message was definitely not sent; if that is
  // found out later, the adapter calls `handle_peer_not_sent` with the same `id`.
  std::function<bool(const std::string& address, wire::envelope, std::uint64_t id)> send_peer;
  table_hooks table;
  std::function<void(std::function<void(result<std::vector<listed_instance>>)>)> list_instances;
  std::function<std::uint64_t()> random_bits;
  std::function<void(const std::string&)> log;
  // Reports the end of a caller's request, for metrics.
  std::function<void(const request_end&)> request_ended;
  // Reports the end of a failover that this instance carried out, for metrics.
  std::function<void(const database_id&, const failover_durations&)> failed_over;
  // Wall clock, in seconds since 1970. Used only to assign usage to a month.
  std::function<std::int64_t()> utc;
};

// Makes all decisions of one instance, on a single thread. Events are passed in with the time of
// their arrival and actions go out through hooks, so tests can run the same code in simulated time.
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
  // Runs the callback of a completed platform call.
  void run_platform_callback(const std::function<void()>& callback, instant now);

  // To be called every 5 to 10 ms.
  void tick(instant now);

  // Starts a planned stop: new requests are rejected, requests in progress are finished.
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
  // A reading of a peer's clock, from a message that arrived at `received_at`.
  struct clock_sample
  {
    incarnation_id incarnation;
    instant clock;
    instant received_at;
  };

  // A message to a peer that the transport may still report as not sent.
  struct unconfirmed_send
  {
    // Empty if the sender does not need the report.
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
  // Recomputes the members that this instance is the home of. Runs only after a change of the
  // configuration or of the set of live instances, because the pass over all members takes too long
  // for every tick.
  void choose_homes(instant now);
  // Starts and stops serving members according to the last choice of homes.
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
  // Members that this instance is the home of, and their databases. The pointers belong to the
  // current configuration.
  std::map<member_id, configuration::member_location> served_members_;
  std::map<database_id, const database_config*> watched_databases_;
  std::uint64_t live_set_hash_ = 0;
  bool draining_ = false;
  bool entry_drained_ = false;
};

}
