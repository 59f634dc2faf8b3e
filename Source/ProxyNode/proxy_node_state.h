#pragma once

#include "ProxyNode/proxy_node.h"

#include "Net/http_server.h"
#include "Proxy/admission.h"
#include "Proxy/connection_pool.h"
#include "Proxy/fleet_state.h"
#include "Proxy/position_history.h"
#include "Proxy/rate_limiter.h"
#include "Proxy/read_position_summary.h"
#include "Proxy/token_wait_summary.h"
#include "ProxyNode/caller_connection.h"
#include "ProxyNode/decision_log.h"
#include "ProxyNode/fleet_participant.h"
#include "ProxyNode/member_connection.h"
#include "ProxyNode/node_metrics.h"
#include "ProxyNode/relay_router.h"
#include "ProxyNode/relay_server.h"
#include "ProxyNode/session_driver.h"
#include "Resources/connection_budget.h"
#include "Resources/memory_budget.h"
#include "Resources/resource_plan.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>

namespace persimmonshelf {

// State of one proxy instance. Runs on a single io_context.
struct proxy_node::state
{
  explicit state(const node_settings& initial_settings);

  result<void> listen();
  void start();
  void accept();
  void accept_later();
  void add_caller(boost::asio::ip::tcp::socket socket);
  http_server_options http_options(std::string_view kind,
                                   const tcp_address& address,
                                   std::size_t connection_limit,
                                   std::size_t held_limit_bytes);
  void record_limit(std::string_view kind, std::string_view cause);
  memory_budget::account open_account(std::function<void()> end);
  void tick();
  void serve_readiness();
  bool ready() const;
  void stop();
  session_hooks hooks_for_session();
  // `relayed` is true for sessions whose callers are connected to another instance.
  session_handle run_session(const caller_output& output, bool relayed);
  std::optional<session_handle> begin_session(const std::string& first_line, caller_output output);
  std::optional<std::string> relay_evidence_missing() const;
  std::optional<routing_key> routing_key_of(const std::string& first_line) const;
  std::optional<std::string> redirect_key(const std::string& first_line) const;
  void apply_plan_change();
  void raise_shown_version(std::uint64_t version);
  bool configuration_outdated() const;
  void close_misplaced_session(instant now);
  void open_connection(const pooled_connection& pooled, const listed_member& member);
  void close_connection(connection_number number);
  void apply_fleet_changes();
  void set_connection_limits();
  void apply_evacuations(instant now);
  void log_emptied_zones();
  std::vector<member_reachability> reachability() const;
  node_metrics::sample sample() const;
  duration unanswered_time(const member_id& member, instant now) const;
  void reload();
  void log_session_failure(std::string_view line, const std::string& what);
  void wait_for_signal();
  void drain(instant now);
  // Counts an observed position and logs it if it is impossible. `origin` is "answer" for an answer
  // of a member to this instance, "view" or "report"; `sender` is the instance that passed it on.
  void record_observation(std::string_view origin,
                          const instance_id& sender,
                          const std::string& group,
                          const timed_position& observed,
                          observation_outcome outcome);
  void log_read_positions(instant now);
  void log_token_waits(instant now);

  node_settings settings;
  resource_plan resources;
  boost::asio::io_context context;
  decision_log log;
  // Lines about limits: the number of clients since the last line, and the time of the next one.
  struct limit_line
  {
    std::uint64_t count = 0;
    instant next_at{};
  };
  // By kind of client and name of the limit.
  std::map<std::pair<std::string, std::string>, limit_line> limit_lines;
  memory_budget memory;
  connection_budget caller_places;
  fleet_state known_state;
  position_history positions;
  read_position_summary read_positions;
  instant next_read_position_lines{};
  // Earliest time of the next line about an impossible position, by group.
  std::map<std::string, instant> next_impossible_position_line;
  rate_limiter limiter;
  token_wait_summary token_waits;
  instant next_token_wait_lines{};
  admission operations;
  connection_pool pool;
  fleet_participant fleet;
  std::map<connection_number, std::shared_ptr<member_connection>> connections;
  // Time of the last answer of each member.
  std::map<member_id, instant> last_answers;
  std::set<std::shared_ptr<caller_connection>> callers;
  relay_router router;
  std::unique_ptr<relay_server> relay_listener;
  // Every session that runs here holds a copy, so its use count shows whether any exist.
  std::shared_ptr<const bool> session_reference = std::make_shared<const bool>(true);
  boost::asio::ip::tcp::acceptor acceptor;
  std::unique_ptr<http_server> readiness;
  std::unique_ptr<node_metrics> metrics;
  boost::asio::steady_timer timer;
  boost::asio::steady_timer accept_timer;
  boost::asio::signal_set signals;
  // Versions of the carrier plan and the configuration for which connection limits were set.
  std::pair<std::uint64_t, config_version> limited_for;
  // Placement revision for which all local sessions were found on their assigned carrier.
  std::uint64_t checked_placement = 0;
  instant next_placement_check{};
  // Evacuated zones to which this instance still had connections at the last check.
  std::set<zone_id> emptying_zones;
  bool stopping = false;
  instant stop_began_at{};
};

}
