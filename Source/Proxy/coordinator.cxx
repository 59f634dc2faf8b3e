#include "Proxy/coordinator.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// An instance without a report for this long does not count as live.
constexpr duration liveness_timeout = std::chrono::milliseconds(2000);
// Registered instances without a report for this long are removed from the register.
constexpr duration registration_timeout = std::chrono::seconds(8);
// A recorded primary that lists itself as a replica for this long has lost the primary role by
// other means. So has the last primary of a group without a record in which nobody is listed as
// primary for as long.
constexpr duration role_mismatch_timeout = std::chrono::seconds(3);
// Delay before the first check of the primaries, to receive reports of all instances.
constexpr duration startup_delay = std::chrono::milliseconds(400);
// The first plan is made once the fleet has started: this long after the lease was acquired, and
// after no new instance reported for a while.
constexpr duration first_plan_delay = std::chrono::milliseconds(1200);
constexpr duration no_new_peer_time = std::chrono::milliseconds(600);
// Interval between two updates of the pool's rates and parts, which walk over all instances.
// Shorter than the margin between the time when an instance counts as out of contact and the time
// when it uses its shares.
constexpr duration pool_update_period = std::chrono::milliseconds(50);
// Interval between two checks of the plan.
constexpr duration plan_period = std::chrono::milliseconds(250);
// A carrier without a report for this long is unavailable: six of its reports are missing.
constexpr duration carrier_timeout = std::chrono::milliseconds(1500);
// Substitutes stay this long after the last carrier was unavailable, because restarts often come in
// series.
constexpr duration substitute_retention = std::chrono::seconds(4);
// Groups whose members are asked at the same time who leads. Each takes a connection to each of its
// members for some milliseconds.
constexpr std::ptrdiff_t max_concurrent_confirmations = 16;

}

coordinator::coordinator(instance_id own,
                         std::string address,
                         fencing_token token,
                         bool replaces_primaries,
                         const fleet_state& fleet,
                         const position_history& positions,
                         hooks callbacks)
  : own_(std::move(own))
  , address_(std::move(address))
  , token_(token)
  , replaces_primaries_(replaces_primaries)
  , fleet_state_(fleet)
  , own_positions_(positions)
  , hooks_(std::move(callbacks))
  , shares_(token == first_fencing_token, hooks_.now())
  , fence_(hooks_.now())
  , started_at_(hooks_.now())
  , newest_peer_at_(started_at_)
{
}

coordinator::~coordinator() = default;

void
coordinator::set_registered_instances(const std::map<instance_id, incarnation_id>& instances)
{
  registered_ = instances;
  shares_.set_registered_instances(instances);
  fence_.set_registered_instances(instances, hooks_.now());
}

observation_outcome
coordinator::record_position(const std::string& group, const timed_position& position)
{
  if (position.observed_at > hooks_.now()) {
    return observation_outcome::impossible;
  }
  const auto found = positions_.find(group);
  if (found != positions_.end() && position.observed_at <= found->second.observed_at) {
    return observation_outcome::outdated;
  }
  positions_[group] = position;
  return observation_outcome::taken;
}

void
coordinator::handle_report(const instance_report& report)
{
  const auto now = hooks_.now();
  const auto known = peers_.find(report.instance);
  const bool known_run = known != peers_.end() && known->second.incarnation == report.incarnation;
  // Reports can arrive out of order, and a report that several instances relayed arrives more than
  // once.
  if (known_run && report.clock <= known->second.last_report_clock) {
    return;
  }
  if (report.tokens_only) {
    // The other fields are known from the last complete report.
    if (known_run) {
      known->second.last_report_clock = report.clock;
      answer_token_request(report, known->second);
    }
    return;
  }
  if (known == peers_.end()) {
    newest_peer_at_ = now;
  }
  auto& peer = peers_[report.instance];
  peer.address = report.address;
  peer.incarnation = report.incarnation;
  peer.last_report_at = now;
  peer.last_report_clock = report.clock;
  peer.members_digest = report.members_digest;
  peer.leaving = report.leaving;
  peer.zone = report.zone;
  peer.relay_address = report.relay_address;
  peer.capacity = report.capacity;
  peer.plan_version = report.plan_version;
  newest_plan_version_ = std::max(newest_plan_version_, report.plan_version);
  peer.plan_only = report.plan_only;
  if (report.plan_only) {
    shares_.remove_run(report.instance, report.incarnation);
    hooks_.send(peer.address, make_plan_view(peer));
    return;
  }
  if (!report.records_ahead.empty()) {
    hooks_.records_reported(report.instance, report.records_ahead);
  }
  update_removals(report, now);
  update_positions(report, now);
  failure_detector_.record_report(report, now);
  fence_.record_report(report);
  shares_.record_report(report, token_, now);
  auto view = make_view(report.instance, peer);
  allocate_tokens(report, view);
  hooks_.send(peer.address, view);
}

// A report may be delayed, here or on its way. Its observations are therefore dated by the view
// that the sender had applied, never by the arrival of the report.
void
coordinator::update_positions(const instance_report& report, instant now)
{
  if (!report.view || report.view->token != token_) {
    return;
  }
  const auto earliest_creation = report.view->clock + report.view->held_for;
  for (const auto& [group, position] : report.positions) {
    if (is_usable_primary(fleet_state_.primary_of(group, now), position.source.member)) {
      const timed_position observed{ position.position,
                                     earliest_creation - (report.clock - position.observed_at),
                                     position.source };
      hooks_.position_reported(report.instance, group, observed, record_position(group, observed));
    }
  }
}

// A report that answers a view of this coordinator was made after this instance had read the list,
// so the two together have followed it without a gap. Its times count from its arrival, which keeps
// a member longer than necessary at most.
void
coordinator::update_removals(const instance_report& report, instant now)
{
  const bool answers_own_view = report.view && report.view->token == token_;
  if (!answers_own_view || !fleet_state_.members_confirmed_at() ||
      (report.removals.members.empty() && !report.removals.complete_since)) {
    return;
  }
  auto removals = report.removals;
  for (auto& removed : removals.members) {
    removed.removed_at = now - (report.clock - removed.removed_at);
  }
  if (removals.complete_since) {
    removals.complete_since = now - (report.clock - *removals.complete_since);
  }
  hooks_.removals_reported(removals);
}

// Token requests come in bursts when many operations find no token, so the answer omits everything
// else.
void
coordinator::answer_token_request(const instance_report& report, const peer_state& from)
{
  if (!hooks_.holds_lease() && !shares_.lease_ended()) {
    // The pool keeps the part of a lease holder until the next complete report.
    return;
  }
  fleet_view view;
  view.holder = own_;
  view.address = address_;
  view.token = token_;
  view.view_number = ++last_view_;
  view.incarnation = from.incarnation;
  view.echo_clock = from.last_report_clock;
  view.tokens_only = true;
  grant_tokens(report, view);
  hooks_.send(from.address, view);
}

void
coordinator::allocate_tokens(const instance_report& report, fleet_view& view)
{
  const auto now = hooks_.now();
  const bool lease_ended_since = shares_.lease_ended() && !pool_without_lease_;
  if (now - pool_updated_at_ >= pool_update_period || lease_ended_since) {
    pool_updated_at_ = now;
    pool_without_lease_ = shares_.lease_ended();
    const auto& workspaces = fleet_state_.configuration().configuration().workspaces;
    pool_.set_workspaces(workspaces, now);
    for (const auto& workspace : workspaces) {
      pool_.set_fraction(workspace.name, shares_.pool_fraction(workspace.name, now), now);
    }
  }
  grant_tokens(report, view);
}

void
coordinator::grant_tokens(const instance_report& report, fleet_view& view)
{
  view.grant = pool_.answer(
    report, token_, shares_.granted_shares(report.instance), ++last_grant_, hooks_.now());
}

fleet_view
coordinator::make_view(const instance_id& instance, const peer_state& to)
{
  const auto now = hooks_.now();
  const auto age = [now](const std::optional<instant>& confirmed_at) -> std::optional<duration> {
    return confirmed_at ? std::optional<duration>(now - *confirmed_at) : std::nullopt;
  };
  fleet_view view;
  view.holder = own_;
  view.address = address_;
  view.clock = now;
  view.lease_version = hooks_.lease_version();
  view.token = token_;
  view.view_number = ++last_view_;
  view.incarnation = to.incarnation;
  view.echo_clock = to.last_report_clock;
  view.configuration_version = fleet_state_.configuration().configuration().version;
  view.configuration_age = age(fleet_state_.configuration_confirmed_at());
  if (const auto& evacuations = fleet_state_.evacuations(); evacuations.known()) {
    view.evacuated_zones = evacuations.zones();
    view.evacuations_version = evacuations.evidence().version;
    view.evacuations_age = now - evacuations.evidence().confirmed_at;
  }
  view.groups_version = fleet_state_.groups_version();
  if (hooks_.holds_lease() && fleet_state_.groups_version().exists()) {
    // Only the holder of the lease changes the records, so its copy is current once it has read
    // them.
    view.groups_age = duration::zero();
  }
  for (const auto& [group, record] : fleet_state_.groups()) {
    view.groups.push_back(record);
  }
  view.members_digest = members_digest();
  view.members_age = age(fleet_state_.members_confirmed_at());
  if (view.members_digest != to.members_digest) {
    view.members = fleet_state_.members();
  }
  shares_.set_workspaces(fleet_state_.configuration().configuration().workspaces);
  if (hooks_.holds_lease()) {
    view.shares = shares_.grant_shares(instance, view.view_number, now);
  }
  for (const auto& group : fleet_state_.configuration().configuration().groups) {
    if (const auto newest = own_positions_.newest(group.name)) {
      record_position(group.name, *newest);
    }
  }
  for (const auto& [group, position] : positions_) {
    view.positions[group] = { position.position, now - position.observed_at, position.source };
  }
  view.instances = live_instances();
  const auto registered = registered_.find(instance);
  view.registered = registered != registered_.end();
  if (const auto& plan = hooks_.plan(); plan.decided() && plan.version != to.plan_version) {
    view.plan = plan;
  }
  return view;
}

std::uint64_t
coordinator::members_digest()
{
  if (!digested_at_ || digested_at_ != fleet_state_.members_confirmed_at()) {
    digested_at_ = fleet_state_.members_confirmed_at();
    members_digest_ = digest_of(fleet_state_.members());
  }
  return members_digest_;
}

// View with only the fields that an instance without sessions needs.
fleet_view
coordinator::make_plan_view(const peer_state& to)
{
  fleet_view view;
  view.holder = own_;
  view.address = address_;
  view.clock = hooks_.now();
  view.lease_version = hooks_.lease_version();
  view.token = token_;
  view.view_number = ++last_view_;
  view.incarnation = to.incarnation;
  view.echo_clock = to.last_report_clock;
  view.instances = live_instances();
  view.plan_only = true;
  const auto& plan = hooks_.plan();
  if (plan.decided() && plan.version != to.plan_version) {
    view.plan = plan;
  }
  return view;
}

// Updates the carrier plan. Carriers that have not reported for long are removed; those that may
// merely not have reported to this new coordinator yet stay.
void
coordinator::update_plan()
{
  const auto now = hooks_.now();
  const auto& previous = hooks_.plan();
  const auto& groups = fleet_state_.configuration().configuration().groups;
  if (groups.empty() || now - plan_checked_at_ < plan_period) {
    return;
  }
  if (!previous.decided() &&
      (now - started_at_ < first_plan_delay || now - newest_peer_at_ < no_new_peer_time)) {
    return;
  }
  plan_checked_at_ = now;
  std::uint32_t connections = groups.front().max_connections;
  for (const auto& group : groups) {
    connections = std::min(connections, group.max_connections);
  }
  std::vector<carrier> live;
  for (const auto& [instance, peer] : peers_) {
    const auto since_report = now - peer.last_report_at;
    // A carrier that stops usually returns within seconds under the same name.
    if (since_report < registration_timeout && (!peer.leaving || previous.carries(instance))) {
      const bool is_unavailable = peer.leaving || since_report > carrier_timeout;
      live.push_back(
        { instance, peer.zone, peer.relay_address, peer.capacity, is_unavailable, false });
    }
  }
  for (auto entry : previous.carriers) {
    if (!peers_.contains(entry.instance) && now - started_at_ < registration_timeout) {
      entry.unavailable = entry.unavailable || now - started_at_ > carrier_timeout;
      live.push_back(entry);
    }
  }
  const bool carrier_is_unavailable =
    std::any_of(live.begin(), live.end(), [&](const carrier& instance) {
      return instance.unavailable && previous.carries(instance.instance);
    });
  if (carrier_is_unavailable) {
    carrier_unavailable_at_ = now;
  }
  auto next = choose_carriers(previous,
                              std::move(live),
                              { connections,
                                fleet_state_.configuration().configuration().workspaces.size(),
                                groups.size(),
                                now - carrier_unavailable_at_ > substitute_retention });
  // The store may have lost a plan that instances follow, and they take only newer ones.
  if (next.version != previous.version || newest_plan_version_ > previous.version) {
    next.version = std::max(next.version, newest_plan_version_ + 1);
    hooks_.record_plan(next);
  }
}

std::uint32_t
coordinator::live_instances() const
{
  const auto now = hooks_.now();
  return static_cast<std::uint32_t>(
    std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
      return now - entry.second.last_report_at < liveness_timeout;
    }));
}

std::vector<instance_id>
coordinator::expired_instances() const
{
  std::vector<instance_id> expired;
  const auto now = hooks_.now();
  if (now - started_at_ < registration_timeout) {
    return expired;
  }
  for (const auto& [instance, incarnation] : registered_) {
    const auto peer = peers_.find(instance);
    // An instance that no longer runs sessions does not confirm records.
    if (peer == peers_.end() || now - peer->second.last_report_at > registration_timeout ||
        (peer->second.plan_only && !hooks_.plan().carries(instance))) {
      expired.push_back(instance);
    }
  }
  return expired;
}

void
coordinator::send_views()
{
  const auto now = hooks_.now();
  for (const auto& [instance, peer] : peers_) {
    if (now - peer.last_report_at < liveness_timeout && !peer.plan_only) {
      hooks_.send(peer.address, make_view(instance, peer));
    }
  }
}

void
coordinator::send_plan()
{
  for (const auto& [instance, peer] : peers_) {
    if (peer.plan_only) {
      hooks_.send(peer.address, make_plan_view(peer));
    }
  }
  send_views();
}

void
coordinator::announce_release()
{
  const auto now = hooks_.now();
  for (const auto& [instance, peer] : peers_) {
    if (now - peer.last_report_at < liveness_timeout && instance != own_ && !peer.plan_only) {
      auto view = make_view(instance, peer);
      view.released = true;
      hooks_.send(peer.address, view);
    }
  }
}

// Which of the members are in evacuated zones.
member_evacuation
coordinator::evacuation_of(const std::vector<listed_member>& members, instant now) const
{
  const auto& evacuations = fleet_state_.evacuations();
  member_evacuation evacuation;
  for (const auto& member : members) {
    if (!evacuations.contains(member.zone)) {
      continue;
    }
    evacuation.leaving.insert(member.id);
    if (evacuations.use_ended(member.zone, now)) {
      evacuation.left.insert(member.id);
    }
  }
  return evacuation;
}

// A group whose former primary this instance does not know is left alone: its first primary may not
// have registered yet. With a former primary the replacement knows which member has to step down,
// and its record names a member.
std::optional<member_id>
coordinator::lost_unrecorded_primary(const std::string& group,
                                     bool has_members,
                                     bool list_is_reliable)
{
  const auto now = hooks_.now();
  const auto former = fleet_state_.last_listed_primary(group);
  // Without a version the records have not been read yet.
  if (!former || !has_members || !list_is_reliable || !fleet_state_.groups_version().exists()) {
    primary_unknown_since_.erase(group);
    return std::nullopt;
  }
  const auto since = primary_unknown_since_.try_emplace(group, now).first->second;
  return now - since > role_mismatch_timeout ? former : std::nullopt;
}

void
coordinator::confirm_primary(const std::string& group,
                             const std::vector<listed_member>& members,
                             failover& group_failover)
{
  auto& confirmation = confirmations_[group];
  if (!confirmation) {
    const auto& calls = hooks_.failover_hooks;
    confirmation = std::make_unique<record_confirmation>(
      group,
      record_confirmation::hooks{ calls.write_record, calls.send_command, calls.now, calls.log });
  }
  const auto asking = std::count_if(confirmations_.begin(),
                                    confirmations_.end(),
                                    [](const auto& entry) { return entry.second->in_progress(); });
  if (asking >= max_concurrent_confirmations) {
    return;
  }
  const auto found = fleet_state_.groups().find(group);
  const auto* known = found == fleet_state_.groups().end() ? nullptr : &found->second;
  confirmation->tick(known, members);
  const auto former = known != nullptr ? std::optional<member_id>(known->primary)
                                       : fleet_state_.last_listed_primary(group);
  const bool all_evacuated = evacuation_of(members, hooks_.now()).leaving.size() == members.size();
  if (confirmation->primary_is_lost() && former && !all_evacuated) {
    group_failover.start(fleet_state_.record_of(group, *former), replacement_reason::unreachable);
  }
}

void
coordinator::check_groups(bool list_is_reliable)
{
  const auto now = hooks_.now();
  for (const auto& group : fleet_state_.configuration().configuration().groups) {
    auto& group_failover = failovers_[group.name];
    if (!group_failover) {
      auto callbacks = hooks_.failover_hooks;
      callbacks.fence_complete = [this](const store_version& version, instant recorded) {
        return fence_.is_complete(version, recorded, hooks_.now());
      };
      auto created = failover::create(group.name, std::move(callbacks));
      if (!created) {
        hooks_.failover_hooks.log(group.name, "chart_error", created.error().message);
        failovers_.erase(group.name);
        continue;
      }
      group_failover = std::move(created.value());
    }
    std::vector<listed_member> members;
    for (const auto& member : fleet_state_.members()) {
      if (member.group == group.name) {
        members.push_back(member);
      }
    }
    group_failover->set_members(members,
                                group.sync_replicas,
                                { fleet_state_.possible_commit_holders(group.name, now),
                                  fleet_state_.knows_all_removals(now) });
    const auto evacuation = evacuation_of(members, now);
    group_failover->set_evacuation(evacuation);
    const auto confirmation = confirmations_.find(group.name);
    const bool confirming =
      confirmation != confirmations_.end() && confirmation->second->in_progress();
    if (confirming || (!fleet_state_.is_confirmed(group.name) && !group_failover->in_progress())) {
      last_consistent_at_[group.name] = now;
      confirm_primary(group.name, members, *group_failover);
      continue;
    }
    confirmations_.erase(group.name);
    const auto record = fleet_state_.groups().find(group.name);
    if (!group_failover->in_progress() && record != fleet_state_.groups().end() &&
        record->second.changing) {
      group_failover->resume(record->second, fleet_state_.groups_version());
    }
    const auto primary = fleet_state_.primary_of(group.name, now);
    const bool all_evacuated = !members.empty() && evacuation.leaving.size() == members.size();
    if (primary || group_failover->in_progress()) {
      primary_unknown_since_.erase(group.name);
    }
    if (group_failover->in_progress()) {
      last_consistent_at_[group.name] = now;
    } else if (!primary) {
      last_consistent_at_[group.name] = now;
      const auto former = lost_unrecorded_primary(group.name, !members.empty(), list_is_reliable);
      if (former && !all_evacuated) {
        group_failover->start(fleet_state_.record_of(group.name, *former),
                              replacement_reason::unreachable);
      }
    } else if (primary->usable) {
      auto reason = failure_detector_.assess(
        primary->member, members, evacuation.leaving, list_is_reliable, now);
      const bool disagrees = std::any_of(members.begin(), members.end(), [&](const auto& member) {
        return member.id == primary->member && !member.claims_primary;
      });
      if (!disagrees || !list_is_reliable) {
        last_consistent_at_[group.name] = now;
      } else if (reason == replacement_reason::none &&
                 now - last_consistent_at_[group.name] > role_mismatch_timeout) {
        reason = replacement_reason::unreachable;
      }
      if (all_evacuated) {
        // No member may serve, so a replacement would only stop the group.
        reason = replacement_reason::none;
      }
      group_failover->start(fleet_state_.record_of(group.name, primary->member), reason);
    }
    group_failover->tick();
  }
}

void
coordinator::tick(bool list_is_reliable)
{
  if (hooks_.holds_lease()) {
    update_plan();
  }
  if (replaces_primaries_ && hooks_.now() - started_at_ > startup_delay) {
    check_groups(list_is_reliable);
  }
}

void
coordinator::duty_lost()
{
  for (auto& [group, group_failover] : failovers_) {
    group_failover->duty_lost();
  }
}

}
