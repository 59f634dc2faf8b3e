#pragma once

#include "Net/http_server.h"
#include "Proxy/carriers.h"
#include "Proxy/configuration_fetch.h"
#include "Proxy/coordinator.h"
#include "Proxy/coordinator_follower.h"
#include "Proxy/coordinator_lease.h"
#include "Proxy/fleet_state.h"
#include "Proxy/position_history.h"
#include "Proxy/rate_limiter.h"
#include "Proxy/record_write_queue.h"
#include "Proxy/store_contact_tracker.h"
#include "Proxy/token_request_pacer.h"
#include "ProxyNode/api_client.h"
#include "ProxyNode/decision_log.h"
#include "ProxyNode/member_command_client.h"
#include "ProxyNode/member_list_reader.h"
#include "ProxyNode/node_settings.h"
#include "ProxyNode/table_watcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// Time limit of a write to the store and of a configuration fetch from the coordinator.
inline constexpr duration write_timeout = std::chrono::milliseconds(700);

// Interval between reports of an instance without sessions, which only confirm that it is running.
inline constexpr duration plan_report_period = std::chrono::milliseconds(1000);

// An instance that receives no view for this long reads the store itself.
inline constexpr duration view_timeout = std::chrono::milliseconds(700);

// Takes part in the fleet on behalf of this instance: sends reports to the coordinator, applies its
// views, reads the store while no views arrive, registers the instance, and takes the coordinator
// role when no other instance holds it.
class fleet_participant
{
public:
  struct hooks
  {
    // Called when members, configuration or group records changed.
    std::function<void()> changed;
    std::function<std::vector<member_reachability>()> reachability;
    // Operations that wait for tokens, and the notification that tokens were granted.
    std::function<waiting_table()> waiting;
    std::function<void()> tokens_granted;
    // Called when the carrier plan changed.
    std::function<void()> plan_changed;
    // Called when a coordinator with a newer fencing token becomes known.
    std::function<void(std::uint64_t token, const std::string& address)> coordinator_changed;
    // Returns true while sessions run here, even if the carrier plan no longer includes this
    // instance.
    std::function<bool()> has_sessions;
    // Called with each position that a view or, at the coordinator, a report contained. `origin` is
    // "view" or "report", `sender` the instance that sent it.
    std::function<void(std::string_view origin,
                       const instance_id& sender,
                       const std::string& group,
                       const timed_position&,
                       observation_outcome)>
      position_observed;
  };

  fleet_participant(boost::asio::io_context& context,
                    const node_settings& settings,
                    fleet_state& state,
                    position_history& positions,
                    rate_limiter& limiter,
                    decision_log& log,
                    hooks callbacks);

  // Fails with address_unavailable if the address for peers cannot be bound.
  // `peer_options` are the address and the limits of the listener for peers.
  result<void> start(const http_server_options& peer_options);
  void tick(instant now);
  // Requests tokens from the coordinator for operations that wait for them.
  void request_tokens();
  // Records the coordinator that another instance announced and sends it a report at once if its
  // token is newer than any known one.
  void update_coordinator(fencing_token token, const std::string& address);
  // Releases the coordinator role. Reports continue and mark this instance as leaving.
  void leave();

  // Number of live instances according to the coordinator. Zero before the first view.
  std::uint32_t live_instances() const { return live_instances_; }
  bool is_coordinator() const { return coordinator_ != nullptr; }
  // Which instances run sessions. Undecided until the first coordinator of the fleet has counted
  // the instances.
  const carrier_plan& plan() const { return plan_; }
  // Rows of the members' table that were left out because they name no usable member.
  std::size_t unusable_member_rows() const { return member_list_reader_.unusable_rows(); }
  // Newest era of the store that this instance has read.
  store_era known_era() const { return store_era_; }
  std::uint64_t store_calls() const { return store_.call_count() + promotion_client_.call_count(); }

private:
  void receive();
  // Logs that the store has returned from an older copy of itself.
  void note_era(const store_version& version);
  void log_reachable(const std::string& table, bool reachable, const std::string& reason);
  void handle_datagram(std::string_view bytes);
  void handle_report(const instance_report& report);
  void send(const std::string& address, const std::string& bytes);
  void send_report(instant now);
  void send_token_request(instant now);
  void add_token_usage(instance_report& report, instant now);
  std::vector<std::string> report_targets(bool view_is_recent) const;
  void apply_view(const fleet_view& view);
  void apply_plan_view(const fleet_view& view, instant now);
  void update_plan(const carrier_plan& plan, const std::string& source);
  void record_plan(const carrier_plan& plan);
  bool is_carrier() const { return plan_.decided() && plan_.carries(settings_.name); }
  // True if this instance needs the evidence and other data that statements require.
  bool runs_sessions() const { return is_carrier() || hooks_.has_sessions(); }
  bool may_claim_lease(instant now) const;
  std::vector<std::string> discovery_targets() const;
  void apply_tokens(const fleet_view& view, instant now);
  void update_configuration(const std::map<std::string, platform::store_row>& rows,
                            const store_version& version,
                            instant confirmed_at);
  void update_evacuations(const std::map<std::string, platform::store_row>& rows,
                          const store_version& version,
                          instant confirmed_at);
  bool apply_evacuations(const evacuation_evidence& evidence, const std::string& source);
  void update_members(const std::map<std::string, platform::store_row>& rows, instant confirmed_at);
  void update_fleet(const std::map<std::string, platform::store_row>& rows,
                    const store_version& version,
                    instant confirmed_at);
  // Returns the time at which no version newer than `version` existed; empty if it is unknown.
  using configuration_dater = std::function<std::optional<instant>(config_version version)>;
  void apply_configuration(const std::string& text,
                           const configuration_dater& confirmed_at,
                           const std::string& source);
  // Writes a line for each entry of the present configuration that was left out.
  void log_unusable_entries();
  void fetch_configuration(instant now);
  void serve_peer_request(const http_request& request, const http_server::responder& send) const;
  void register_self(instant now);
  void unregister_expired(instant now);
  void write_lease(const coordinator_row& row, const store_version& expected);
  // Writes the record together with the lease. It waits while another write of the lease is in
  // flight, and is not written if the lease is lost meanwhile.
  void write_group_record(const group_record& record,
                          std::function<void(bool written, const store_version& version)> done);
  void start_record_write(record_write_queue::entry entry);
  void write_next_record();
  void report_unwritten(record_write_queue::entry entry);
  void drop_waiting_records();
  // The outcome of a write that is conditional on `expected`, and the version that it has.
  coordinator_lease::write_outcome lease_outcome(const api_reply& reply,
                                                 const store_version& expected,
                                                 store_version& version) const;
  void promote(const std::string& group,
               const member_id& member,
               std::function<void(promote_outcome)> done);
  void handle_lease_change(bool holding, const std::string& reason);
  void start_coordinating(instant now);
  void retire_coordinator(instant now);
  void select_data_sources(instant now);
  bool member_list_is_reliable(instant now) const;

  boost::asio::io_context& context_;
  const node_settings& settings_;
  fleet_state& fleet_state_;
  position_history& positions_;
  rate_limiter& limiter_;
  decision_log& log_;
  hooks hooks_;
  incarnation_id incarnation_;
  std::string address_;
  api_client store_;
  api_client promotion_client_;
  table_watcher configuration_watcher_;
  table_watcher members_watcher_;
  member_list_reader member_list_reader_;
  table_watcher fleet_watcher_;
  member_command_client member_commands_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint datagram_sender_;
  std::vector<char> datagram_buffer_;
  coordinator_lease lease_;
  record_write_queue waiting_records_;
  std::unique_ptr<coordinator> coordinator_;
  // Former coordinator objects whose calls may still be answered, each with the time from which no
  // answer can arrive.
  std::vector<std::pair<instant, std::unique_ptr<coordinator>>> former_coordinators_;
  std::map<instance_id, incarnation_id> registered_instances_;
  std::string coordinator_address_;
  coordinator_follower follower_;
  // Token of the coordinator that another instance announced most recently.
  fencing_token announced_token_;
  instant last_view_at_{};
  store_contact_tracker store_contact_;
  token_request_pacer token_request_pacer_;
  bool token_request_posted_ = false;
  instant last_report_at_{};
  instant last_registration_at_{};
  instant last_removal_at_{};
  instant member_list_failed_at_{};
  std::uint64_t members_digest_ = 0;
  std::uint32_t live_instances_ = 0;
  configuration_fetch configuration_fetch_;
  std::string configuration_text_;
  // Problems with rows of evacuations that were logged and still exist.
  std::set<std::string> evacuation_problems_;
  std::unique_ptr<api_client> coordinator_client_;
  std::string coordinator_client_address_;
  instant next_fetch_at_{};
  std::unique_ptr<http_server> peer_server_;
  store_era store_era_;
  bool registered_in_view_ = true;
  carrier_plan plan_;
  bool plan_write_in_flight_ = false;
  // When the fleet table was last read.
  instant fleet_table_read_at_{};
  bool leaving_ = false;
};

}
