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
                         const fleet_knowledge& knowledge,
                         const freshness& positions,
                         hooks calls)
  : own_(std::move(own))
  , address_(std::move(address))
  , token_(token)
  , replaces_primaries_(replaces_primaries)
  , knowledge_(knowledge)
  , own_positions_(positions)
  , hooks_(std::move(calls))
  , shares_(shares_known, hooks_.now())
  , fence_(hooks_.now())
  , began_(hooks_.now())
  , newest_peer_(began_)
{
}

coordinator::~coordinator() = default;

void
coordinator::set_registered(const std::map<instance_id, incarnation_id>& instances)
{
  registered_ = instances;
  shares_.set_registered(instances);
  fence_.set_registered(instances, hooks_.now());
}

void
coordinator::note_position(const std::string& group, const dated_position& position)
{
  const auto found = positions_.find(group);
  if (found == positions_.end() || found->second.seen < position.seen) {
    positions_[group] = position;
  }
}

void
coordinator::report(const instance_report& report)
{
  const auto now = hooks_.now();
  if (!peers_.contains(report.instance)) {
    newest_peer_ = now;
  }
  auto& peer = peers_[report.instance];
  // Reports overtake each other, and one that several instances passed on comes more than once.
  if (peer.incarnation == report.incarnation && report.clock <= peer.clock) {
    return;
  }
  if (report.tokens_only) {
    // The rest is known from the last whole report.
    if (peer.incarnation == report.incarnation) {
      peer.clock = report.clock;
      answer_ask(report, peer);
    }
    return;
  }
  peer.address = report.address;
  peer.incarnation = report.incarnation;
  peer.heard = now;
  peer.clock = report.clock;
  peer.members_digest = report.members_digest;
  peer.leaving = report.leaving;
  peer.zone = report.zone;
  peer.relay_address = report.relay_address;
  peer.capacity = report.capacity;
  peer.plan = report.plan;
  peer.plan_only = report.plan_only;
  if (report.plan_only) {
    shares_.without_sessions(report.instance);
    hooks_.send(peer.address, make_plan_view(peer));
    return;
  }
  learn_positions(report, now);
  watch_.report(report, now);
  fence_.report(report);
  shares_.report(report, token_, now);
  auto view = make_view(report.instance, peer);
  draw_tokens(report, view);
  hooks_.send(peer.address, view);
}

// A report may have waited long, here or on its way; its observations are dated by the view that it
// followed, never by its arrival.
void
coordinator::learn_positions(const instance_report& report, instant now)
{
  if (!report.view_clock || report.token != token_) {
    return;
  }
  const auto made_at_least = *report.view_clock + report.view_held;
  for (const auto& [group, position] : report.positions) {
    const auto leader = knowledge_.leader(group, now);
    if (leader && leader->usable) {
      note_position(group, { position.position, made_at_least - (report.clock - position.seen) });
    }
  }
}

// Asks come in bursts when many operations find no token, so they are answered with little work.
void
coordinator::answer_ask(const instance_report& report, const known_peer& from)
{
  fleet_view view;
  view.holder = own_;
  view.address = address_;
  view.token = token_;
  view.view = ++last_view_;
  view.incarnation = from.incarnation;
  view.echo_clock = from.clock;
  view.tokens_only = true;
  pool_.settle(report, token_);
  view.grant = ++last_grant_;
  view.tokens = pool_.draw(report, shares_.granted(report.instance), view.grant, hooks_.now());
  hooks_.send(from.address, view);
}

void
coordinator::draw_tokens(const instance_report& report, fleet_view& view)
{
  const auto now = hooks_.now();
  const auto& workspaces = knowledge_.configuration().configuration().workspaces;
  pool_.set_workspaces(workspaces, now);
  for (const auto& workspace : workspaces) {
    pool_.set_part(workspace.name, shares_.central_part(workspace.name, now), now);
  }
  pool_.settle(report, token_);
  view.grant = ++last_grant_;
  view.tokens = pool_.draw(report, shares_.granted(report.instance), view.grant, now);
}

fleet_view
coordinator::make_view(const instance_id& instance, const known_peer& to)
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
  view.view = ++last_view_;
  view.incarnation = to.incarnation;
  view.echo_clock = to.clock;
  view.configuration = knowledge_.configuration().configuration().version;
  view.configuration_age = age(knowledge_.configuration_as_of());
  view.groups_revision = knowledge_.groups_revision();
  if (hooks_.holds()) {
    // Only the holder of the lease changes the records, so it knows them as of now.
    view.groups_age = duration::zero();
  }
  for (const auto& [group, record] : knowledge_.groups()) {
    view.groups.push_back(record);
  }
  view.members_digest = digest_of(knowledge_.members());
  view.members_age = age(knowledge_.members_as_of());
  if (view.members_digest != to.members_digest) {
    view.members = knowledge_.members();
  }
  shares_.set_workspaces(knowledge_.configuration().configuration().workspaces);
  if (hooks_.holds()) {
    view.shares = shares_.grant(instance, view.view, now);
  }
  for (const auto& group : knowledge_.configuration().configuration().groups) {
    if (const auto newest = own_positions_.newest(group.name)) {
      note_position(group.name, { newest->position, newest->sent });
    }
  }
  for (const auto& [group, position] : positions_) {
    view.positions[group] = { position.position, now - position.seen };
  }
  view.instances = live_instances();
  const auto registered = registered_.find(instance);
  view.registered = registered != registered_.end();
  if (const auto& plan = hooks_.plan(); plan.decided() && plan.version != to.plan) {
    view.plan = plan;
  }
  return view;
}

// All that an instance without sessions needs.
fleet_view
coordinator::make_plan_view(const known_peer& to)
{
  fleet_view view;
  view.holder = own_;
  view.address = address_;
  view.clock = hooks_.now();
  view.lease_revision = hooks_.lease_revision();
  view.token = token_;
  view.view = ++last_view_;
  view.incarnation = to.incarnation;
  view.echo_clock = to.clock;
  view.instances = live_instances();
  view.plan_only = true;
  const auto& plan = hooks_.plan();
  if (plan.decided() && plan.version != to.plan) {
    view.plan = plan;
  }
  return view;
}

// Carriers that this coordinator has not heard for long leave the plan; what it cannot know yet
// stays.
void
coordinator::revise_plan()
{
  const auto now = hooks_.now();
  const auto& former = hooks_.plan();
  const auto& groups = knowledge_.configuration().configuration().groups;
  if (groups.empty() || now - plan_examined_ < plan_period) {
    return;
  }
  if (!former.decided() && (now - began_ < first_plan_time || now - newest_peer_ < quiet_time)) {
    return;
  }
  plan_examined_ = now;
  std::uint32_t connections = groups.front().max_connections;
  for (const auto& group : groups) {
    connections = std::min(connections, group.max_connections);
  }
  std::vector<carrier> live;
  for (const auto& [instance, peer] : peers_) {
    const auto silence = now - peer.heard;
    // A carrier that stops is usually back within seconds under its name.
    if (silence < vanished_limit && (!peer.leaving || former.carries(instance))) {
      const bool away = peer.leaving || silence > away_limit;
      live.push_back({ instance, peer.zone, peer.relay_address, peer.capacity, away, false });
    }
  }
  for (auto entry : former.carriers) {
    if (!peers_.contains(entry.instance) && now - began_ < vanished_limit) {
      entry.away = entry.away || now - began_ > away_limit;
      live.push_back(entry);
    }
  }
  const bool short_of_carriers =
    std::any_of(live.begin(), live.end(), [&](const carrier& instance) {
      return instance.away && former.carries(instance.instance);
    });
  if (short_of_carriers) {
    shortage_seen_ = now;
  }
  const auto next = choose_carriers(former,
                                    std::move(live),
                                    { connections,
                                      knowledge_.configuration().configuration().workspaces.size(),
                                      now - shortage_seen_ > shortage_memory });
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
      return now - entry.second.heard < silence_limit;
    }));
}

std::vector<instance_id>
coordinator::vanished() const
{
  std::vector<instance_id> gone;
  const auto now = hooks_.now();
  if (now - began_ < vanished_limit) {
    return gone;
  }
  for (const auto& [instance, incarnation] : registered_) {
    const auto peer = peers_.find(instance);
    // An instance that runs no sessions any more confirms no records.
    if (peer == peers_.end() || now - peer->second.heard > vanished_limit ||
        (peer->second.plan_only && !hooks_.plan().carries(instance))) {
      gone.push_back(instance);
    }
  }
  return gone;
}

void
coordinator::push()
{
  const auto now = hooks_.now();
  for (const auto& [instance, peer] : peers_) {
    if (now - peer.heard < silence_limit && !peer.plan_only) {
      hooks_.send(peer.address, make_view(instance, peer));
    }
  }
}

void
coordinator::push_plan()
{
  for (const auto& [instance, peer] : peers_) {
    if (peer.plan_only) {
      hooks_.send(peer.address, make_plan_view(peer));
    }
  }
  push();
}

void
coordinator::release()
{
  const auto now = hooks_.now();
  for (const auto& [instance, peer] : peers_) {
    if (now - peer.heard < silence_limit && instance != own_ && !peer.plan_only) {
      auto view = make_view(instance, peer);
      view.released = true;
      hooks_.send(peer.address, view);
    }
  }
}

void
coordinator::watch_groups(bool list_is_sound)
{
  const auto now = hooks_.now();
  for (const auto& group : knowledge_.configuration().configuration().groups) {
    auto& procedure = failovers_[group.name];
    if (!procedure) {
      auto calls = hooks_.failover_calls;
      calls.fence_complete = [this](std::uint64_t revision, instant recorded) {
        return fence_.complete(revision, recorded, hooks_.now());
      };
      auto made = failover::create(group.name, std::move(calls));
      if (!made) {
        hooks_.failover_calls.log(group.name, "chart_error", made.error().message);
        failovers_.erase(group.name);
        continue;
      }
      procedure = std::move(made.value());
    }
    std::vector<listed_member> members;
    for (const auto& member : knowledge_.members()) {
      if (member.group == group.name) {
        members.push_back(member);
      }
    }
    procedure->set_members(
      members, group.sync_replicas, knowledge_.possible_holders(group.name, now));
    const auto record = knowledge_.groups().find(group.name);
    if (!procedure->under_way() && record != knowledge_.groups().end() && record->second.changing) {
      procedure->resume(record->second, knowledge_.groups_revision());
    }
    const auto leader = knowledge_.leader(group.name, now);
    if (!leader || procedure->under_way()) {
      settled_[group.name] = now;
    } else if (leader->usable) {
      auto trouble = watch_.judge(leader->member, members, list_is_sound, now);
      const bool disagrees = std::any_of(members.begin(), members.end(), [&](const auto& member) {
        return member.id == leader->member && !member.says_primary;
      });
      if (!disagrees || !list_is_sound) {
        settled_[group.name] = now;
      } else if (trouble == primary_trouble::none && now - settled_[group.name] > mismatch_limit) {
        trouble = primary_trouble::lost;
      }
      procedure->start(leader->member, trouble);
    }
    procedure->tick();
  }
}

void
coordinator::tick(bool list_is_sound)
{
  if (hooks_.holds()) {
    revise_plan();
  }
  if (replaces_primaries_ && hooks_.now() - began_ > settling_time) {
    watch_groups(list_is_sound);
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
