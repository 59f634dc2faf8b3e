#include "ProxyNode/fleet_participant.h"

#include "Base/digest.h"
#include "Base/guarded_call.h"
#include "Base/stable_hash.h"
#include "ProxyNode/boot_clock.h"
#include "ProxyNode/fleet_messages.h"
#include "ProxyNode/fleet_rows.h"
#include "platform/store_format.h"

#include <boost/asio/buffer.hpp>

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Interval between reports to the coordinator. Reports and the views that answer them carry
// evidence and rate shares, and four a second keep both recent.
constexpr duration report_period = std::chrono::milliseconds(250);
// Longest time for which the store may hold a long poll. It bounds the age of the configuration
// evidence.
constexpr duration configuration_poll_wait = std::chrono::milliseconds(1000);
// An instance without sessions that receives no view for this long looks for the coordinator in the
// store, and repeats this at the same interval.
constexpr duration plan_view_timeout = std::chrono::milliseconds(3000);
constexpr std::uint64_t plan_view_timeout_jitter_ms = 1000;
// An instance without sessions claims the coordinator lease after this long without a view.
constexpr duration last_resort_claim_delay = std::chrono::seconds(7);
// Wait before an instance looks for a coordinator in the store at the first start of the whole
// fleet, divided by the instance's share of a processor core. Larger instances look first.
constexpr duration one_core_start_delay = std::chrono::milliseconds(100);
constexpr duration max_start_delay = std::chrono::milliseconds(2000);
// Without views, this instance reads the group records itself and keeps them as recent as views
// would.
constexpr duration fleet_poll_wait = std::chrono::milliseconds(400);
// The coordinator changes the records itself and reads the table only for new registrations.
constexpr duration coordinator_fleet_poll_wait = std::chrono::milliseconds(2000);
// Members announce many seconds ahead that they leave.
constexpr duration members_read_period = std::chrono::milliseconds(1700);
// Members that expired from the list during an outage of the store are listed again this long after
// the store recovers.
constexpr duration member_list_recovery_time = std::chrono::milliseconds(3000);
constexpr duration member_list_max_age = std::chrono::milliseconds(3500);
// Spreads the lease claims of the instances over time. Most instances then see the first successful
// claim before they make their own.
constexpr std::uint64_t claim_jitter_ms = 300;
constexpr std::size_t max_datagram_bytes = 65507;

duration
start_delay(const node_settings& settings)
{
  if (!settings.first_start) {
    return duration::zero();
  }
  const auto delay = static_cast<double>(one_core_start_delay.count()) / settings.capacity;
  return std::min(max_start_delay, duration(static_cast<std::int64_t>(delay)));
}

duration
plan_view_timeout_of(const instance_id& instance)
{
  return plan_view_timeout +
         std::chrono::milliseconds(stable_hash(instance.get()) % plan_view_timeout_jitter_ms);
}

duration
claim_delay(const instance_id& instance)
{
  return std::chrono::milliseconds(stable_hash(instance.get()) % claim_jitter_ms);
}

}

fleet_participant::fleet_participant(boost::asio::io_context& context,
                                     const node_settings& settings,
                                     fleet_state& state,
                                     position_history& positions,
                                     rate_limiter& limiter,
                                     decision_log& log,
                                     hooks callbacks)
  : context_(context)
  , settings_(settings)
  , fleet_state_(state)
  , positions_(positions)
  , limiter_(limiter)
  , log_(log)
  , hooks_(std::move(callbacks))
  , incarnation_(random_bits())
  , address_(format_address(settings.peers))
  , store_(context, settings.store, std::string(platform::era_header))
  , promotion_client_(context, settings.promotion_api)
  , configuration_watcher_(
      context,
      store_,
      std::string(platform::configuration_table),
      configuration_poll_wait,
      true,
      { [this](const auto& rows, const store_version& version, instant confirmed_at) {
         update_configuration(rows, version, confirmed_at);
       },
        [this](bool reachable, const std::string& reason) {
          log_reachable("configuration", reachable, reason);
        } })
  , members_watcher_(context,
                     store_,
                     std::string(platform::members_table),
                     members_read_period,
                     false,
                     { [this](const auto& rows, const store_version&, instant confirmed_at) {
                        update_members(rows, confirmed_at);
                      },
                       [this](bool reachable, const std::string& reason) {
                         member_list_failed_at_ = boot_now();
                         log_reachable("members", reachable, reason);
                       } })
  , fleet_watcher_(context,
                   store_,
                   std::string(fleet_table),
                   fleet_poll_wait,
                   true,
                   { [this](const auto& rows, const store_version& version, instant confirmed_at) {
                      update_fleet(rows, version, confirmed_at);
                    },
                     [this](bool reachable, const std::string& reason) {
                       log_reachable("fleet", reachable, reason);
                     } })
  , member_commands_(context)
  , socket_(context)
  , datagram_buffer_(max_datagram_bytes)
  , lease_(
      settings.name,
      incarnation_,
      address_,
      claim_delay(settings.name),
      settings.first_start,
      { [this](const coordinator_row& row, const store_version& expected) {
         write_lease(row, expected);
       },
        [this](bool holding, const std::string& reason) { handle_lease_change(holding, reason); } })
  , follower_(incarnation_)
{
  if (settings.first_start) {
    state.assume_no_removals();
  }
}

result<void>
fleet_participant::start(const http_server_options& peer_options)
{
  boost::system::error_code failure;
  const boost::asio::ip::udp::endpoint endpoint(
    boost::asio::ip::make_address(settings_.peers.address, failure), settings_.peers.port);
  socket_.open(endpoint.protocol(), failure);
  socket_.bind(endpoint, failure);
  if (failure) {
    return fail(result_code::address_unavailable, address_ + ": " + failure.message());
  }
  BOOST_OUTCOME_TRY(
    peer_server_,
    http_server::create(
      context_,
      peer_options,
      [this](accepted_number, const http_request& request, const http_server::responder& respond) {
        serve_peer_request(request, respond);
      }));
  receive();
  const auto now = boot_now();
  last_view_at_ = now - view_timeout + start_delay(settings_);
  select_data_sources(now);
  return success();
}

void
fleet_participant::log_reachable(const std::string& table,
                                 bool reachable,
                                 const std::string& reason)
{
  log_.write(
    "store",
    { { "table", table }, { "reachable", reachable ? "yes" : "no" }, { "reason", reason } });
}

void
fleet_participant::note_era(const store_version& version)
{
  if (version.era() > store_era_) {
    log_.write("store_era",
               { { "era", std::to_string(version.era().get()) },
                 { "previous", std::to_string(store_era_.get()) },
                 { "revision", std::to_string(version.revision()) } });
    store_era_ = version.era();
  }
}

void
fleet_participant::receive()
{
  socket_.async_receive_from(boost::asio::buffer(datagram_buffer_),
                             datagram_sender_,
                             [this](const boost::system::error_code& failure, std::size_t length) {
                               if (failure == boost::asio::error::operation_aborted) {
                                 return;
                               }
                               if (!failure) {
                                 handle_datagram(std::string_view(datagram_buffer_.data(), length));
                               }
                               receive();
                             });
}

void
fleet_participant::handle_datagram(std::string_view bytes)
{
  const auto failure = guarded_call([&] {
    const auto datagram = decode_datagram(bytes);
    if (datagram.report) {
      handle_report(*datagram.report);
    } else if (datagram.view) {
      apply_view(*datagram.view);
    }
  });
  if (failure) {
    log_.write("message_failed",
               { { "sender", datagram_sender_.address().to_string() }, { "reason", *failure } });
  }
}

void
fleet_participant::handle_report(const instance_report& report)
{
  if (coordinator_) {
    coordinator_->handle_report(report);
    return;
  }
  // The sender lacks the coordinator's address. The coordinator answers it directly.
  if (report.needs_relay && !coordinator_address_.empty() &&
      report.address != coordinator_address_) {
    auto forwarded = report;
    forwarded.needs_relay = false;
    send(coordinator_address_, encode_report(forwarded));
  }
}

void
fleet_participant::send(const std::string& address, const std::string& bytes)
{
  tcp_address target;
  if (!parse_address(address, target)) {
    return;
  }
  boost::system::error_code failure;
  const boost::asio::ip::udp::endpoint endpoint(
    boost::asio::ip::make_address(target.address, failure), target.port);
  // A failed send is treated like a lost datagram: the next one carries the same state.
  socket_.send_to(boost::asio::buffer(bytes), endpoint, 0, failure);
}

// Instances that run no sessions rarely read the store, so they claim the coordinator lease only as
// a last resort.
bool
fleet_participant::may_claim_lease(instant now) const
{
  return coordinator_ || lease_.holds_row() || is_carrier() || !plan_.decided() ||
         now - last_view_at_ > last_resort_claim_delay;
}

void
fleet_participant::add_token_usage(instance_report& report, instant now)
{
  report.grant_number = limiter_.grant_number();
  report.grant_token = follower_.token();
  report.waiting_by_priority = hooks_.waiting();
  report.waiting = total_waiting(report.waiting_by_priority);
  report.used = limiter_.usage_for_report(report.waiting, report.clock);
  report.view_age = now - follower_.last_echo_clock();
  token_request_pacer_.sent(now);
}

void
fleet_participant::request_tokens()
{
  token_request_pacer_.request_tokens();
  // The send is posted, because the answer may arrive before this function returns to its caller.
  if (!std::exchange(token_request_posted_, true)) {
    boost::asio::post(context_, [this] {
      token_request_posted_ = false;
      send_token_request(boot_now());
    });
  }
}

void
fleet_participant::send_token_request(instant now)
{
  if (!token_request_pacer_.due(now) || coordinator_address_.empty()) {
    return;
  }
  instance_report report;
  report.instance = settings_.name;
  report.incarnation = incarnation_;
  report.clock = now;
  report.tokens_only = true;
  add_token_usage(report, now);
  if (coordinator_) {
    coordinator_->handle_report(report);
  } else {
    send(coordinator_address_, encode_report(report));
  }
}

void
fleet_participant::select_data_sources(instant now)
{
  const bool without_views = coordinator_ != nullptr || now - last_view_at_ >= view_timeout;
  const bool active = runs_sessions() || coordinator_;
  configuration_watcher_.set_active(active && (without_views || !fleet_state_.has_configuration()));
  members_watcher_.set_active(active && (without_views || !fleet_state_.members_confirmed_at()));
  fleet_watcher_.set_poll_wait(lease_.holds(now) ? coordinator_fleet_poll_wait : fleet_poll_wait);
  if (active || !plan_.decided()) {
    fleet_watcher_.set_active(without_views || (is_carrier() && !registered_in_view_));
    return;
  }
  const auto timeout = plan_view_timeout_of(settings_.name);
  fleet_watcher_.set_active(now - last_view_at_ > timeout && now - fleet_table_read_at_ > timeout);
}

bool
fleet_participant::member_list_is_reliable(instant now) const
{
  const auto confirmed_at = fleet_state_.members_confirmed_at();
  return confirmed_at && now - *confirmed_at < member_list_max_age &&
         now - member_list_failed_at_ > member_list_recovery_time;
}

void
fleet_participant::tick(instant now)
{
  while (!former_coordinators_.empty() && now > former_coordinators_.front().first) {
    former_coordinators_.erase(former_coordinators_.begin());
  }
  if (may_claim_lease(now)) {
    lease_.tick(now);
  }
  select_data_sources(now);
  fetch_configuration(now);
  const bool plan_reports_only = plan_.decided() && !runs_sessions() && !coordinator_;
  if (now - last_report_at_ >= (plan_reports_only ? plan_report_period : report_period)) {
    send_report(now);
  }
  send_token_request(now);
  if (lease_.holds_row() && !lease_.holds(now)) {
    lease_.resign();
    coordinator_->announce_release();
  }
  if (coordinator_ && lease_.holds(now)) {
    coordinator_->tick(member_list_is_reliable(now));
    unregister_expired(now);
  }
}

void
fleet_participant::leave()
{
  leaving_ = true;
  if (coordinator_) {
    coordinator_->announce_release();
  }
  lease_.release(boot_now());
}

}
