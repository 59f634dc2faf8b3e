#include "ProxyNode/fleet_participant.h"

#include "ProxyNode/boot_clock.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

void
fleet_participant::apply_view(const fleet_view& view)
{
  const auto now = boot_now();
  if (view.incarnation != incarnation_ || view.token < std::max(token_, least_token_) ||
      view.echo_clock > now) {
    return;
  }
  if (view.token == token_ && view.view <= view_) {
    return;
  }
  if (view.token > token_) {
    if (coordinator_ && view.holder != settings_.name) {
      retire_coordinator(now);
    }
    log_.write("coordinator_known",
               { { "holder", view.holder.get() }, { "token", std::to_string(view.token.get()) } });
    hooks_.coordinator_known(view.token.get(), view.address);
  }
  if (view.tokens_only && view.token == token_) {
    view_ = view.view;
    last_echo_ = std::max(last_echo_, view.echo_clock);
    apply_tokens(view, now);
    return;
  }
  token_ = view.token;
  view_ = view.view;
  if (view.plan) {
    learn_plan(*view.plan, "coordinator");
  }
  if (view.plan_only) {
    apply_plan_view(view, now);
    return;
  }
  // Without a lease the sender may be out of touch with the store.
  if (view.shares) {
    last_view_ = now;
    contact_.note(now);
  }
  view_clock_ = view.clock;
  view_arrived_ = now;
  lease_.hear(view.lease_revision, now);
  last_echo_ = std::max(last_echo_, view.echo_clock);
  instances_ = view.instances;
  const auto as_of = [&](const std::optional<duration>& age) { return view.echo_clock - *age; };
  if (view.configuration_age) {
    knowledge_.confirm_configuration(view.configuration, as_of(view.configuration_age));
    if (view.configuration >= wanted_configuration_) {
      wanted_configuration_ = view.configuration;
      wanted_as_of_ = as_of(view.configuration_age);
    }
  }
  coordinator_address_ = view.address;
  fetch_configuration(now);
  const auto groups_before = knowledge_.groups();
  registered_in_view_ = view.registered;
  if (view.groups_age && view.registered) {
    knowledge_.learn_groups(view.groups, view.groups_revision, as_of(view.groups_age));
  }
  if (view.members_age && view.members &&
      knowledge_.learn_members(*view.members, as_of(view.members_age))) {
    members_digest_ = view.members_digest;
    hooks_.changed();
  }
  if (view.shares) {
    limiter_.set_shares(*view.shares, view.echo_clock + share_lifetime, now);
  }
  apply_tokens(view, now);
  for (const auto& [group, position] : view.positions) {
    const auto leader = knowledge_.leader(group, now);
    if (leader && leader->usable) {
      positions_.observe(group, position.first, view.echo_clock - position.second);
    }
  }
  if (groups_before != knowledge_.groups()) {
    for (const auto& [group, record] : knowledge_.groups()) {
      log_.write("group",
                 { { "group", group },
                   { "primary", record.primary.get() },
                   { "changing", record.changing ? "yes" : "no" },
                   { "revision", std::to_string(view.groups_revision) } });
    }
    hooks_.changed();
    // The coordinator waits for the confirmation.
    send_report(now);
  }
  if (view.released) {
    lease_.vacate(view.token);
    last_view_ = now - view_silence;
  }
  choose_sources(now);
}

void
fleet_participant::hear_coordinator(fencing_token token, const std::string& address)
{
  if (coordinator_ || token <= std::max({ token_, least_token_, named_token_ })) {
    return;
  }
  named_token_ = token;
  coordinator_address_ = address;
  send_report(boot_now());
}

void
fleet_participant::apply_plan_view(const fleet_view& view, instant now)
{
  last_view_ = now;
  last_echo_ = std::max(last_echo_, view.echo_clock);
  lease_.hear(view.lease_revision, now);
  instances_ = view.instances;
  coordinator_address_ = view.address;
  choose_sources(now);
}

void
fleet_participant::learn_plan(const carrier_plan& plan, const std::string& source)
{
  if (plan.version <= plan_.version) {
    return;
  }
  plan_ = plan;
  log_.write("plan",
             { { "version", std::to_string(plan.version) },
               { "carriers", plan.everyone ? "everyone" : std::to_string(plan.carriers.size()) },
               { "carries", carries() ? "yes" : "no" },
               { "source", source } });
  hooks_.plan_changed();
  if (coordinator_) {
    coordinator_->push_plan();
  }
  choose_sources(boot_now());
}

void
fleet_participant::apply_tokens(const fleet_view& view, instant now)
{
  if (view.grant == 0) {
    return;
  }
  pacer_.answered();
  limiter_.set_tokens(view.tokens, view.grant, view.echo_clock, now);
  hooks_.tokens_granted();
  send_ask(now);
}

}
