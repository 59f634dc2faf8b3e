#include "ProxyNode/fleet_participant.h"

#include "Proxy/position_exchange.h"
#include "ProxyNode/boot_clock.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

void
fleet_participant::apply_view(const fleet_view& view)
{
  using view_use = coordinator_follower::view_use;
  const auto now = boot_now();
  const auto previous_token = follower_.token();
  const auto use = follower_.accept(view, now);
  if (use == view_use::none) {
    return;
  }
  if (view.token > previous_token) {
    if (coordinator_ && view.holder != settings_.name) {
      retire_coordinator(now);
    }
    log_.write("coordinator_known",
               { { "holder", view.holder.get() }, { "token", std::to_string(view.token.get()) } });
    limiter_.coordinator_changed(now);
    hooks_.coordinator_changed(view.token.get(), view.address);
  }
  if (use == view_use::tokens) {
    coordinator_address_ = view.address;
    apply_tokens(view, now);
    return;
  }
  if (view.plan) {
    update_plan(*view.plan, "coordinator");
  }
  if (use == view_use::plan) {
    apply_plan_view(view, now);
    return;
  }
  // Without a lease the sender may have lost contact with the store.
  if (view.shares) {
    last_view_at_ = now;
    store_contact_.record_contact(now);
  }
  lease_.observe_version(view.lease_version, now);
  live_instances_ = view.instances;
  const auto confirmed_at = [&](const std::optional<duration>& age) {
    return view.echo_clock - *age;
  };
  // Before the configuration, so that no session begins without the set.
  if (view.evacuations_version.exists()) {
    apply_evacuations({ view.evacuated_zones,
                        view.evacuations_version,
                        confirmed_at(std::optional(view.evacuations_age)) },
                      "coordinator");
  }
  if (view.configuration_age) {
    fleet_state_.confirm_configuration(view.configuration_version,
                                       confirmed_at(view.configuration_age));
    configuration_fetch_.announce(view.configuration_version, confirmed_at(view.configuration_age));
  }
  coordinator_address_ = view.address;
  fetch_configuration(now);
  const auto groups_before = fleet_state_.groups();
  registered_in_view_ = view.registered;
  if (view.groups_age && view.registered) {
    fleet_state_.update_groups(view.groups, view.groups_version, confirmed_at(view.groups_age));
  }
  if (view.members_age && view.members &&
      fleet_state_.update_members(*view.members, confirmed_at(view.members_age))) {
    members_digest_ = view.members_digest;
    hooks_.changed();
  } else if (view.members_age && view.members_digest == members_digest_) {
    fleet_state_.confirm_members(confirmed_at(view.members_age));
  }
  if (view.shares) {
    limiter_.set_shares(*view.shares, view.echo_clock + share_lifetime, now);
  }
  apply_tokens(view, now);
  observe_view(view,
               fleet_state_,
               positions_,
               now,
               [this, &view](const std::string& group,
                             const timed_position& observed,
                             observation_outcome outcome) {
                 hooks_.position_observed("view", view.holder, group, observed, outcome);
               });
  if (groups_before != fleet_state_.groups()) {
    for (const auto& [group, record] : fleet_state_.groups()) {
      log_.write("group",
                 { { "group", group },
                   { "primary", record.primary.get() },
                   { "changing", record.changing ? "yes" : "no" },
                   { "revision", std::to_string(view.groups_version.revision()) } });
    }
    hooks_.changed();
    // The coordinator waits for this confirmation.
    send_report(now);
  }
  if (view.released) {
    lease_.mark_vacant(view.token);
    last_view_at_ = now - view_timeout;
  }
  select_data_sources(now);
}

void
fleet_participant::update_coordinator(fencing_token token, const std::string& address)
{
  if (coordinator_ || token <= std::max(follower_.newest_token(), announced_token_)) {
    return;
  }
  announced_token_ = token;
  coordinator_address_ = address;
  send_report(boot_now());
}

void
fleet_participant::apply_plan_view(const fleet_view& view, instant now)
{
  last_view_at_ = now;
  lease_.observe_version(view.lease_version, now);
  live_instances_ = view.instances;
  coordinator_address_ = view.address;
  select_data_sources(now);
}

void
fleet_participant::update_plan(const carrier_plan& plan, const std::string& source)
{
  if (plan.version <= plan_.version) {
    return;
  }
  plan_ = plan;
  log_.write("plan",
             { { "version", std::to_string(plan.version) },
               { "carriers", std::to_string(plan.carriers.size()) },
               { "carries", is_carrier() ? "yes" : "no" },
               { "source", source } });
  hooks_.plan_changed();
  if (coordinator_) {
    coordinator_->send_plan();
  }
  select_data_sources(boot_now());
}

void
fleet_participant::apply_tokens(const fleet_view& view, instant now)
{
  if (view.grant.number == 0) {
    return;
  }
  token_request_pacer_.answered();
  limiter_.apply_grant(view.grant, view.echo_clock, now);
  hooks_.tokens_granted();
  send_token_request(now);
}

}
