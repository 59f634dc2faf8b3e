#include "ProxyNode/fleet_messages.h"

#include "Base/json_fields.h"
#include "FleetWire/fleet.pb.h"
#include "ProxyNode/compression.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <limits>

namespace persimmonshelf {

namespace {

// The first byte of a datagram is its type.
constexpr char report_type_byte = 'r';
constexpr char view_type_byte = 'v';
// Precedes a compressed datagram of one of these types.
constexpr char compressed_type_byte = 'z';
// Names of workspaces and groups repeat in large datagrams. One that fits into a packet is not
// worth the processor time.
constexpr std::size_t min_compressed_bytes = 1200;
// Limit of a decompressed datagram.
constexpr std::size_t max_message_bytes = 1 << 20;
// Encodes an age that is not known.
constexpr std::uint64_t unknown_age = std::numeric_limits<std::uint64_t>::max();
constexpr auto malformed = result_code::malformed_answer;

std::uint64_t
to_us(duration time)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
}

duration
from_us(std::uint64_t time)
{
  return duration(static_cast<std::int64_t>(time));
}

std::uint64_t
to_us(instant time)
{
  return to_us(time.time_since_epoch());
}

std::uint64_t
age_to_us(const std::optional<duration>& age)
{
  return age ? to_us(*age) : unknown_age;
}

std::optional<duration>
age_from_us(std::uint64_t age)
{
  return age == unknown_age ? std::nullopt : std::optional<duration>(from_us(age));
}

template<typename message>
void
add_shares(const rate_share_table& shares, message& to)
{
  for (const auto& [workspace, parts] : shares) {
    auto* entry = to.add_shares();
    entry->set_workspace(workspace.get());
    entry->set_parts(parts);
  }
}

template<typename message>
rate_share_table
read_shares(const message& from)
{
  rate_share_table shares;
  for (const auto& entry : from.shares()) {
    shares[workspace_id(entry.workspace())] = entry.parts();
  }
  return shares;
}

void
write_member(const listed_member& member, fleet_wire::member_entry& to)
{
  to.set_id(member.id.get());
  to.set_group(member.group);
  to.set_address(member.address);
  to.set_zone(member.zone.get());
  to.set_draining(member.draining);
  to.set_says_primary(member.claims_primary);
  to.set_slots(member.slots);
  to.set_warmup_left_ms(static_cast<std::uint32_t>(to_us(member.warmup_left) / 1000));
  to.set_started_at_ms(member.started_at_ms);
}

listed_member
read_member(const fleet_wire::member_entry& from)
{
  listed_member member;
  member.id = member_id(from.id());
  member.group = from.group();
  member.address = from.address();
  member.zone = zone_id(from.zone());
  member.draining = from.draining();
  member.claims_primary = from.says_primary();
  member.slots = from.slots();
  member.warmup_left = std::chrono::milliseconds(from.warmup_left_ms());
  member.started_at_ms = from.started_at_ms();
  return member;
}

void
write_group(const group_record& record, fleet_wire::group_entry& to)
{
  to.set_group(record.group);
  to.set_primary(record.primary.get());
  to.set_changing(record.changing);
  to.set_stepped_down(record.stepped_down);
  to.set_term(record.primary_term.get());
  to.set_recorded_in(record.recorded_in.get());
}

group_record
read_group(const fleet_wire::group_entry& from)
{
  return { from.group(),        member_id(from.primary()), from.changing(),
           from.stepped_down(), term(from.term()),         store_era(from.recorded_in()) };
}

position_source
read_source(const fleet_wire::group_position& from)
{
  return { member_id(from.member()), instance_id(from.observer()) };
}

void
write_position(const std::string& group,
               const aged_position& position,
               fleet_wire::group_position& to)
{
  to.set_group(group);
  to.set_term(position.position.in_term.get());
  to.set_number(position.position.position.get());
  to.set_age_us(to_us(position.age));
  to.set_member(position.source.member.get());
  to.set_observer(position.source.observer.get());
}

instance_report
read_report(const fleet_wire::instance_report& from)
{
  instance_report report;
  report.instance = instance_id(from.instance());
  report.zone = zone_id(from.zone());
  report.incarnation = incarnation_id(from.incarnation());
  report.address = from.address();
  report.relay_address = from.relay_address();
  report.capacity = from.capacity();
  report.plan_version = from.plan_version();
  report.plan_only = from.plan_only();
  report.clock = instant(from_us(from.clock_us()));
  if (from.token() > 0) {
    report.view = applied_view{ fencing_token(from.token()),
                                from.view(),
                                instant(from_us(from.view_clock_us())),
                                from_us(from.view_held_us()) };
  }
  report.configuration_version = config_version(from.configuration_version());
  report.members_digest = from.members_digest();
  report.groups_version = store_version(store_era(from.groups_era()), from.groups_revision());
  for (const auto& entry : from.records_ahead()) {
    report.records_ahead.push_back(read_group(entry));
  }
  for (const auto& entry : from.removed_members()) {
    report.removals.members.push_back({ member_id(entry.id()),
                                        entry.group(),
                                        entry.address(),
                                        report.clock - from_us(entry.age_us()) });
  }
  if (from.list_followed_us() > 0) {
    report.removals.complete_since = report.clock - from_us(from.list_followed_us());
  }
  report.shares = read_shares(from);
  report.shares_view = { fencing_token(from.shares_token()), from.shares_view() };
  for (const auto& entry : from.demands()) {
    report.demands[workspace_id(entry.workspace())] = entry.per_second();
  }
  for (const auto& entry : from.positions()) {
    report.positions[entry.group()] = { { term(entry.term()), log_position(entry.number()) },
                                        report.clock - from_us(entry.age_us()),
                                        read_source(entry) };
  }
  for (const auto& entry : from.sights()) {
    report.reachability.push_back({ member_id(entry.member()), from_us(entry.failing_us()) });
  }
  report.leaving = from.leaving();
  report.tokens_only = from.tokens_only();
  report.needs_relay = from.seeking();
  report.grant_number = from.grant();
  report.grant_token = fencing_token(from.grant_token());
  for (const auto& entry : from.uses()) {
    report.used[workspace_id(entry.workspace())] = entry.used();
    report.waiting[workspace_id(entry.workspace())] = entry.waiting();
    for (const auto& waiting : entry.waiting_by_priority()) {
      report.waiting_by_priority[workspace_id(entry.workspace())][waiting.priority()] =
        waiting.count();
    }
  }
  report.view_age = from_us(from.view_age_us());
  return report;
}

void
write_waiting_elsewhere(const std::map<std::uint32_t, double>& waiting, fleet_wire::token_grant& to)
{
  to.set_states_waiting(true);
  for (const auto& [priority, count] : waiting) {
    auto* entry = to.add_waiting_elsewhere();
    entry->set_priority(priority);
    entry->set_count(static_cast<float>(count));
  }
}

fleet_view
read_view(const fleet_wire::fleet_view& from)
{
  fleet_view view;
  view.holder = instance_id(from.holder());
  view.tokens_only = from.tokens_only();
  view.address = from.address();
  view.lease_version = store_version(store_era(from.lease_era()), from.lease_revision());
  view.clock = instant(from_us(from.clock_us()));
  view.token = fencing_token(from.token());
  view.view_number = from.view();
  view.incarnation = incarnation_id(from.incarnation());
  view.echo_clock = instant(from_us(from.echo_clock_us()));
  view.configuration_version = config_version(from.configuration_version());
  view.configuration_age = age_from_us(from.configuration_age_us());
  for (const auto& zone : from.evacuated_zones()) {
    view.evacuated_zones.emplace(zone);
  }
  view.evacuations_version =
    store_version(store_era(from.evacuations_era()), from.evacuations_revision());
  view.evacuations_age = from_us(from.evacuations_age_us());
  view.groups_version = store_version(store_era(from.groups_era()), from.groups_revision());
  view.groups_age = age_from_us(from.groups_age_us());
  for (const auto& entry : from.groups()) {
    view.groups.push_back(read_group(entry));
  }
  view.members_digest = from.members_digest();
  view.members_age = age_from_us(from.members_age_us());
  if (from.members_size() > 0) {
    view.members.emplace();
    for (const auto& entry : from.members()) {
      view.members->push_back(read_member(entry));
    }
  }
  if (from.grants_shares()) {
    view.shares = read_shares(from);
  }
  for (const auto& entry : from.positions()) {
    view.positions[entry.group()] = { { term(entry.term()), log_position(entry.number()) },
                                      from_us(entry.age_us()),
                                      read_source(entry) };
  }
  view.grant.number = from.grant();
  view.grant.requested_at = instant(from_us(from.grant_clock_us()));
  for (const auto& entry : from.tokens()) {
    const workspace_id workspace(entry.workspace());
    if (entry.tokens() > 0) {
      view.grant.tokens[workspace] = entry.tokens();
    }
    if (entry.states_waiting()) {
      auto& elsewhere = view.grant.waiting_elsewhere[workspace];
      for (const auto& waiting : entry.waiting_elsewhere()) {
        elsewhere[waiting.priority()] = waiting.count();
      }
    }
  }
  view.instances = from.instances();
  view.registered = from.registered();
  view.released = from.released();
  view.plan_only = from.plan_only();
  if (from.plan_version() > 0) {
    view.plan.emplace();
    view.plan->version = from.plan_version();
    view.plan->carriers_per_group = from.carriers_per_group();
    for (const auto& entry : from.carriers()) {
      view.plan->carriers.push_back({ instance_id(entry.instance()),
                                      zone_id(entry.zone()),
                                      entry.address(),
                                      entry.capacity(),
                                      entry.away(),
                                      entry.substitute() });
    }
  }
  return view;
}

std::string
serialize_with_type(char type_byte, const google::protobuf::MessageLite& message)
{
  std::string bytes(1, type_byte);
  message.AppendToString(&bytes);
  if (bytes.size() < min_compressed_bytes) {
    return bytes;
  }
  const auto compressed = compress_bytes(bytes);
  return compressed.empty() ? bytes : compressed_type_byte + compressed;
}

}

std::string
encode_report(const instance_report& report)
{
  fleet_wire::instance_report to;
  to.set_instance(report.instance.get());
  to.set_zone(report.zone.get());
  to.set_incarnation(report.incarnation.get());
  to.set_address(report.address);
  to.set_relay_address(report.relay_address);
  to.set_capacity(static_cast<float>(report.capacity));
  to.set_plan_version(report.plan_version);
  to.set_plan_only(report.plan_only);
  to.set_clock_us(to_us(report.clock));
  if (report.view) {
    to.set_token(report.view->token.get());
    to.set_view(report.view->number);
    to.set_view_clock_us(to_us(report.view->clock));
    to.set_view_held_us(to_us(report.view->held_for));
  }
  to.set_configuration_version(report.configuration_version.get());
  to.set_members_digest(report.members_digest);
  to.set_groups_revision(report.groups_version.revision());
  to.set_groups_era(report.groups_version.era().get());
  for (const auto& record : report.records_ahead) {
    write_group(record, *to.add_records_ahead());
  }
  for (const auto& removed : report.removals.members) {
    auto* entry = to.add_removed_members();
    entry->set_id(removed.id.get());
    entry->set_group(removed.group);
    entry->set_address(removed.address);
    entry->set_age_us(to_us(report.clock - removed.removed_at));
  }
  if (report.removals.complete_since) {
    to.set_list_followed_us(to_us(report.clock - *report.removals.complete_since));
  }
  add_shares(report.shares, to);
  to.set_shares_token(report.shares_view.token.get());
  to.set_shares_view(report.shares_view.number);
  for (const auto& [workspace, demand] : report.demands) {
    auto* entry = to.add_demands();
    entry->set_workspace(workspace.get());
    entry->set_per_second(static_cast<float>(demand));
  }
  for (const auto& [group, position] : report.positions) {
    write_position(group,
                   { position.position, report.clock - position.observed_at, position.source },
                   *to.add_positions());
  }
  for (const auto& member : report.reachability) {
    auto* entry = to.add_sights();
    entry->set_member(member.member.get());
    entry->set_failing_us(to_us(member.failing_for));
  }
  to.set_leaving(report.leaving);
  to.set_tokens_only(report.tokens_only);
  to.set_seeking(report.needs_relay);
  to.set_grant(report.grant_number);
  to.set_grant_token(report.grant_token.get());
  std::map<workspace_id, std::pair<double, double>> uses;
  for (const auto& [workspace, used] : report.used) {
    uses[workspace].first = used;
  }
  for (const auto& [workspace, waiting] : report.waiting) {
    uses[workspace].second = waiting;
  }
  for (const auto& [workspace, use] : uses) {
    auto* entry = to.add_uses();
    entry->set_workspace(workspace.get());
    entry->set_used(static_cast<float>(use.first));
    entry->set_waiting(static_cast<float>(use.second));
    if (const auto found = report.waiting_by_priority.find(workspace);
        found != report.waiting_by_priority.end()) {
      for (const auto& [priority, count] : found->second) {
        auto* waiting = entry->add_waiting_by_priority();
        waiting->set_priority(priority);
        waiting->set_count(static_cast<float>(count));
      }
    }
  }
  to.set_view_age_us(to_us(report.view_age));
  return serialize_with_type(report_type_byte, to);
}

std::string
encode_view(const fleet_view& view)
{
  fleet_wire::fleet_view to;
  to.set_holder(view.holder.get());
  to.set_tokens_only(view.tokens_only);
  to.set_address(view.address);
  to.set_lease_revision(view.lease_version.revision());
  to.set_lease_era(view.lease_version.era().get());
  to.set_clock_us(to_us(view.clock));
  to.set_token(view.token.get());
  to.set_view(view.view_number);
  to.set_incarnation(view.incarnation.get());
  to.set_echo_clock_us(to_us(view.echo_clock));
  to.set_configuration_version(view.configuration_version.get());
  to.set_configuration_age_us(age_to_us(view.configuration_age));
  for (const auto& zone : view.evacuated_zones) {
    to.add_evacuated_zones(zone.get());
  }
  to.set_evacuations_revision(view.evacuations_version.revision());
  to.set_evacuations_era(view.evacuations_version.era().get());
  to.set_evacuations_age_us(to_us(view.evacuations_age));
  to.set_groups_revision(view.groups_version.revision());
  to.set_groups_era(view.groups_version.era().get());
  to.set_groups_age_us(age_to_us(view.groups_age));
  for (const auto& record : view.groups) {
    write_group(record, *to.add_groups());
  }
  to.set_members_digest(view.members_digest);
  to.set_members_age_us(age_to_us(view.members_age));
  if (view.members) {
    for (const auto& member : *view.members) {
      write_member(member, *to.add_members());
    }
  }
  if (view.shares) {
    to.set_grants_shares(true);
    add_shares(*view.shares, to);
  }
  for (const auto& [group, position] : view.positions) {
    write_position(group, position, *to.add_positions());
  }
  to.set_grant(view.grant.number);
  to.set_grant_clock_us(to_us(view.grant.requested_at));
  for (const auto& [workspace, tokens] : view.grant.tokens) {
    auto* entry = to.add_tokens();
    entry->set_workspace(workspace.get());
    entry->set_tokens(static_cast<float>(tokens));
    if (const auto found = view.grant.waiting_elsewhere.find(workspace);
        found != view.grant.waiting_elsewhere.end()) {
      write_waiting_elsewhere(found->second, *entry);
    }
  }
  for (const auto& [workspace, waiting] : view.grant.waiting_elsewhere) {
    if (!view.grant.tokens.contains(workspace)) {
      auto* entry = to.add_tokens();
      entry->set_workspace(workspace.get());
      write_waiting_elsewhere(waiting, *entry);
    }
  }
  to.set_instances(view.instances);
  to.set_registered(view.registered);
  to.set_released(view.released);
  to.set_plan_only(view.plan_only);
  if (view.plan) {
    to.set_plan_version(view.plan->version);
    to.set_carriers_per_group(view.plan->carriers_per_group);
    for (const auto& entry : view.plan->carriers) {
      auto* carrier_to = to.add_carriers();
      carrier_to->set_instance(entry.instance.get());
      carrier_to->set_zone(entry.zone.get());
      carrier_to->set_address(entry.address);
      carrier_to->set_capacity(static_cast<float>(entry.capacity));
      carrier_to->set_away(entry.unavailable);
      carrier_to->set_substitute(entry.substitute);
    }
  }
  return serialize_with_type(view_type_byte, to);
}

fleet_datagram
decode_datagram(std::string_view bytes)
{
  fleet_datagram datagram;
  std::string decompressed;
  if (!bytes.empty() && bytes.front() == compressed_type_byte) {
    decompressed = decompress_bytes(bytes.substr(1), max_message_bytes).value_or("");
    bytes = decompressed;
  }
  if (bytes.empty()) {
    return datagram;
  }
  const auto size = static_cast<int>(bytes.size() - 1);
  if (bytes.front() == report_type_byte) {
    fleet_wire::instance_report report;
    if (report.ParseFromArray(bytes.data() + 1, size)) {
      datagram.report = read_report(report);
    }
  } else if (bytes.front() == view_type_byte) {
    fleet_wire::fleet_view view;
    if (view.ParseFromArray(bytes.data() + 1, size)) {
      datagram.view = read_view(view);
    }
  }
  return datagram;
}

}
