#include "ProxyNode/fleet_participant.h"

#include "Proxy/position_exchange.h"
#include "Proxy/session_routing.h"
#include "ProxyNode/boot_clock.h"
#include "ProxyNode/fleet_messages.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Number of carriers, in addition to the seeds, that are asked to forward a report.
constexpr std::size_t max_queried_carriers = 2;

}

void
fleet_participant::send_report(instant now)
{
  last_report_at_ = now;
  instance_report report;
  report.instance = settings_.name;
  report.zone = settings_.zone;
  report.incarnation = incarnation_;
  report.address = address_;
  report.relay_address = format_address(settings_.relay);
  report.capacity = settings_.capacity;
  report.plan_version = plan_.version;
  report.clock = now;
  report.leaving = leaving_;
  report.plan_only = !runs_sessions();
  const bool view_is_recent =
    now - follower_.last_echo_clock() < view_timeout && !coordinator_address_.empty();
  report.needs_relay =
    report.plan_only ? now - last_view_at_ >= plan_report_period * 2 : !view_is_recent;
  if (report.plan_only) {
    // The empty shares of the report show the coordinator that this instance uses none.
    limiter_.set_shares({}, now, now);
    follower_.record_plan_report(now);
    if (coordinator_) {
      coordinator_->handle_report(report);
      return;
    }
    for (const auto& target : report_targets(!report.needs_relay)) {
      send(target, encode_report(report));
    }
    return;
  }
  report.view = follower_.newest_complete_view(now);
  report.configuration_version = fleet_state_.configuration().configuration().version;
  report.members_digest = members_digest_;
  report.groups_version = fleet_state_.applied_groups_version();
  report.records_ahead = fleet_state_.records_ahead();
  const auto& groups = fleet_state_.configuration().configuration().groups;
  if (std::any_of(
        groups.begin(), groups.end(), [](const auto& group) { return group.sync_replicas > 0; })) {
    report.removals = fleet_state_.removals();
  }
  report.shares = limiter_.shares();
  report.shares_view = follower_.shares_view();
  report.demands = limiter_.demands(now);
  add_positions(fleet_state_, positions_, report);
  report.reachability = hooks_.reachability();
  for (auto& entry : report.reachability) {
    entry.failing_for = store_contact_.attributable_failure(entry.failing_for, now);
  }
  add_token_usage(report, now);
  if (coordinator_) {
    coordinator_->handle_report(report);
    return;
  }
  for (const auto& target : report_targets(view_is_recent)) {
    send(target, encode_report(report));
  }
}

// The coordinator. While it does not answer, also the instances that may have the address of
// another one.
std::vector<std::string>
fleet_participant::report_targets(bool view_is_recent) const
{
  std::vector<std::string> targets;
  if (!coordinator_address_.empty() && coordinator_address_ != address_) {
    targets.push_back(coordinator_address_);
  }
  if (view_is_recent) {
    return targets;
  }
  for (const auto& address : discovery_targets()) {
    if (address != address_ && address != coordinator_address_) {
      targets.push_back(address);
    }
  }
  return targets;
}

// Instances that may have the coordinator's address: the seeds, and the first carriers in the
// ranking for this instance's name.
std::vector<std::string>
fleet_participant::discovery_targets() const
{
  std::vector<std::string> targets;
  for (const auto& seed : settings_.seeds) {
    targets.push_back(format_address({ seed, settings_.peers.port }));
  }
  for (const auto* entry :
       rank_carriers(plan_, { {}, workspace_id(settings_.name.get()) }, settings_.zone)) {
    tcp_address relay;
    if (targets.size() < settings_.seeds.size() + max_queried_carriers &&
        parse_address(entry->address, relay)) {
      targets.push_back(format_address({ relay.address, settings_.peers.port }));
    }
  }
  return targets;
}

}
