#include "Proxy/coordinator.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// An instance that was silent this long counts as gone.
constexpr duration silence_limit = std::chrono::milliseconds(2000);
// Registered instances that were silent this long leave the register.
constexpr duration vanished_limit = std::chrono::seconds(8);
// A recorded primary that lists itself as a replica this long has lost the lead some other way.
constexpr duration mismatch_limit = std::chrono::seconds(3);
// Before primaries are judged, reports of all instances should have come in.
constexpr duration settling_time = std::chrono::milliseconds(400);
// The first plan is made when the fleet has started: this long after the duty was taken, and when
// no new instance was heard for a while.
constexpr duration first_plan_time = std::chrono::milliseconds(1200);
constexpr duration quiet_time = std::chrono::milliseconds(600);
// Pause between two examinations of the plan.
constexpr duration plan_period = std::chrono::milliseconds(250);
// A carrier that was silent this long is away: six of its reports are missing.
constexpr duration away_limit = std::chrono::milliseconds(1500);
// Substitutes stay this long after the last carrier was away: restarts often come in series.
constexpr duration shortage_memory = std::chrono::seconds(4);

}

coordinator::coordinator(instance_id own,
                         std::string address,
                         fencing_token token,
                         bool shares_known,
                         bool replaces_primaries,
                         const fleet_state& knowledge,
                         const position_history& positions,
                         hooks calls)
  : own_(std::move(own))
  , address_(std::move(address))
  , token_(token)
  , replaces_primaries_(replaces_primaries)
  , fleet_state_(knowledge)
  , own_positions_(positions)
  , hooks_(std::move(calls))
  , shares_(shares_known, hooks_.now())
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

void
coordinator::record_position(const std::string& group, const timed_position& position)
{
  const auto found = positions_.find(group);
  if (found == positions_.end() || found->second.observed_at < position.observed_at) {
    positions_[group] = position;
  }
}

void
coordinator::handle_report(const instance_report& report)
{
  const auto now = hooks_.now();
  if (!peers_.contains(report.instance)) {
    newest_peer_at_ = now;
  }
  auto& peer = peers_[report.instance];
  // Reports overtake each other, and one that several instances passed on comes more than once.
  if (peer.incarnation == report.incarnation && report.clock <= peer.last_report_clock) {
    return;
  }
  if (report.tokens_only) {
    // The rest is known from the last whole report.
    if (peer.incarnation == report.incarnation) {
      peer.last_report_clock = report.clock;
      answer_token_request(report, peer);
    }
    return;
  }
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
  peer.plan_only = report.plan_only;
  if (report.plan_only) {
    shares_.remove_instance(report.instance);
    hooks_.send(peer.address, make_plan_view(peer));
    return;
  }
  update_positions(report, now);
  failure_detector_.record_report(report, now);
  fence_.record_report(report);
  shares_.record_report(report, token_, now);
  auto view = make_view(report.instance, peer);
  allocate_tokens(report, view);
  hooks_.send(peer.address, view);
}

// A report may have waited long, here or on its way; its observations are dated by the view that it
// followed, never by its arrival.
void
coordinator::update_positions(const instance_report& report, instant now)
{
  if (!report.view_clock || report.token != token_) {
    return;
  }
  const auto made_at_least = *report.view_clock + report.view_held_for;
  for (const auto& [group, position] : report.positions) {
    const auto leader = fleet_state_.primary_of(group, now);
    if (leader && leader->usable) {
      record_position(group,
                      { position.position, made_at_least - (report.clock - position.observed_at) });
    }
  }
}

// Asks come in bursts when many operations find no token, so they are answered with little work.
void
coordinator::answer_token_request(const instance_report& report, const peer_state& from)
{
  fleet_view view;
  view.holder = own_;
  view.address = address_;
  view.token = token_;
  view.view_number = ++last_view_;
  view.incarnation = from.incarnation;
  view.echo_clock = from.last_report_clock;
  view.tokens_only = true;
  pool_.return_unused(report, token_);
  view.grant_number = ++last_grant_;
  view.tokens = pool_.allocate(
    report, shares_.granted_shares(report.instance), view.grant_number, hooks_.now());
  hooks_.send(from.address, view);
}

void
coordinator::allocate_tokens(const instance_report& report, fleet_view& view)
{
  const auto now = hooks_.now();
  const auto& workspaces = fleet_state_.configuration().configuration().workspaces;
  pool_.set_workspaces(workspaces, now);
  for (const auto& workspace : workspaces) {
    pool_.set_fraction(workspace.name, shares_.pool_fraction(workspace.name, now), now);
  }
  pool_.return_unused(report, token_);
  view.grant_number = ++last_grant_;
  view.tokens =
    pool_.allocate(report, shares_.granted_shares(report.instance), view.grant_number, now);
}

fleet_view
coordinator::make_view(const instance_id& instance, const peer_state& to)
{
  const auto now = hooks_.now();
  const auto age = [now](const std::optional<instant>& as_of) -> std::optional<duration> {
    return as_of ? std::optional<duration>(now - *as_of) : std::nullopt;
  };
  fleet_view view;
  view.holder = own_;
  view.address = address_;
  view.clock = now;
  view.lease_revision = hooks_.lease_revision();
  view.token = token_;
  view.view_number = ++last_view_;
  view.incarnation = to.incarnation;
  view.echo_clock = to.last_report_clock;
  view.configuration_version = fleet_state_.configuration().configuration().version;
  view.configuration_age = age(fleet_state_.configuration_confirmed_at());
  view.groups_revision = fleet_state_.groups_revision();
  if (hooks_.holds_lease()) {
    // Only the holder of the lease changes the records, so it knows them as of now.
    view.groups_age = duration::zero();
  }
  for (const auto& [group, record] : fleet_state_.groups()) {
    view.groups.push_back(record);
  }
  view.members_digest = digest_of(fleet_state_.members());
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
      record_position(group.name, { newest->position, newest->sent });
    }
  }
  for (const auto& [group, position] : positions_) {
    view.positions[group] = { position.position, now - position.observed_at };
  }
  view.instances = live_instances();
  const auto registered = registered_.find(instance);
  view.registered = registered != registered_.end();
  if (const auto& plan = hooks_.plan(); plan.decided() && plan.version != to.plan_version) {
    view.plan = plan;
  }
  return view;
}

// All that an instance without sessions needs.
fleet_view
coordinator::make_plan_view(const peer_state& to)
{
  fleet_view view;
  view.holder = own_;
  view.address = address_;
  view.clock = hooks_.now();
  view.lease_revision = hooks_.lease_revision();
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

// Carriers that this coordinator has not heard for long leave the plan; what it cannot know yet
// stays.
void
coordinator::update_plan()
{
  const auto now = hooks_.now();
  const auto& former = hooks_.plan();
  const auto& groups = fleet_state_.configuration().configuration().groups;
  if (groups.empty() || now - plan_checked_at_ < plan_period) {
    return;
  }
  if (!former.decided() &&
      (now - started_at_ < first_plan_time || now - newest_peer_at_ < quiet_time)) {
    return;
  }
  plan_checked_at_ = now;
  std::uint32_t connections = groups.front().max_connections;
  for (const auto& group : groups) {
    connections = std::min(connections, group.max_connections);
  }
  std::vector<carrier> live;
  for (const auto& [instance, peer] : peers_) {
    const auto silence = now - peer.last_report_at;
    // A carrier that stops is usually back within seconds under its name.
    if (silence < vanished_limit && (!peer.leaving || former.carries(instance))) {
      const bool away = peer.leaving || silence > away_limit;
      live.push_back({ instance, peer.zone, peer.relay_address, peer.capacity, away, false });
    }
  }
  for (auto entry : former.carriers) {
    if (!peers_.contains(entry.instance) && now - started_at_ < vanished_limit) {
      entry.unavailable = entry.unavailable || now - started_at_ > away_limit;
      live.push_back(entry);
    }
  }
  const bool short_of_carriers =
    std::any_of(live.begin(), live.end(), [&](const carrier& instance) {
      return instance.unavailable && former.carries(instance.instance);
    });
  if (short_of_carriers) {
    carrier_unavailable_at_ = now;
  }
  const auto next =
    choose_carriers(former,
                    std::move(live),
                    { connections,
                      fleet_state_.configuration().configuration().workspaces.size(),
                      now - carrier_unavailable_at_ > shortage_memory });
  if (next.version != former.version) {
    hooks_.record_plan(next);
  }
}

std::uint32_t
coordinator::live_instances() const
{
  const auto now = hooks_.now();
  return static_cast<std::uint32_t>(
    std::count_if(peers_.begin(), peers_.end(), [&](const auto& entry) {
      return now - entry.second.last_report_at < silence_limit;
    }));
}

std::vector<instance_id>
coordinator::expired_instances() const
{
  std::vector<instance_id> gone;
  const auto now = hooks_.now();
  if (now - started_at_ < vanished_limit) {
    return gone;
  }
  for (const auto& [instance, incarnation] : registered_) {
    const auto peer = peers_.find(instance);
    // An instance that runs no sessions any more confirms no records.
    if (peer == peers_.end() || now - peer->second.last_report_at > vanished_limit ||
        (peer->second.plan_only && !hooks_.plan().carries(instance))) {
      gone.push_back(instance);
    }
  }
  return gone;
}

void
coordinator::send_views()
{
  const auto now = hooks_.now();
  for (const auto& [instance, peer] : peers_) {
    if (now - peer.last_report_at < silence_limit && !peer.plan_only) {
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
    if (now - peer.last_report_at < silence_limit && instance != own_ && !peer.plan_only) {
      auto view = make_view(instance, peer);
      view.released = true;
      hooks_.send(peer.address, view);
    }
  }
}

void
coordinator::check_groups(bool list_is_sound)
{
  const auto now = hooks_.now();
  for (const auto& group : fleet_state_.configuration().configuration().groups) {
    auto& procedure = failovers_[group.name];
    if (!procedure) {
      auto calls = hooks_.failover_hooks;
      calls.fence_complete = [this](std::uint64_t revision, instant recorded) {
        return fence_.is_complete(revision, recorded, hooks_.now());
      };
      auto made = failover::create(group.name, std::move(calls));
      if (!made) {
        hooks_.failover_hooks.log(group.name, "chart_error", made.error().message);
        failovers_.erase(group.name);
        continue;
      }
      procedure = std::move(made.value());
    }
    std::vector<listed_member> members;
    for (const auto& member : fleet_state_.members()) {
      if (member.group == group.name) {
        members.push_back(member);
      }
    }
    procedure->set_members(
      members, group.sync_replicas, fleet_state_.possible_commit_holders(group.name, now));
    const auto record = fleet_state_.groups().find(group.name);
    if (!procedure->in_progress() && record != fleet_state_.groups().end() &&
        record->second.changing) {
      procedure->resume(record->second, fleet_state_.groups_revision());
    }
    const auto leader = fleet_state_.primary_of(group.name, now);
    if (!leader || procedure->in_progress()) {
      last_consistent_at_[group.name] = now;
    } else if (leader->usable) {
      auto trouble = failure_detector_.assess(leader->member, members, list_is_sound, now);
      const bool disagrees = std::any_of(members.begin(), members.end(), [&](const auto& member) {
        return member.id == leader->member && !member.claims_primary;
      });
      if (!disagrees || !list_is_sound) {
        last_consistent_at_[group.name] = now;
      } else if (trouble == replacement_reason::none &&
                 now - last_consistent_at_[group.name] > mismatch_limit) {
        trouble = replacement_reason::lost;
      }
      procedure->start(leader->member, trouble);
    }
    procedure->tick();
  }
}

void
coordinator::tick(bool list_is_sound)
{
  if (hooks_.holds_lease()) {
    update_plan();
  }
  if (replaces_primaries_ && hooks_.now() - started_at_ > settling_time) {
    check_groups(list_is_sound);
  }
}

void
coordinator::duty_lost()
{
  for (auto& [group, procedure] : failovers_) {
    procedure->duty_lost();
  }
}

}
