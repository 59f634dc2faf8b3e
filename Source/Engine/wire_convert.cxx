#include "Engine/wire_convert.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

duration
microseconds(std::uint64_t amount)
{
  return duration(static_cast<duration::rep>(amount));
}

// 0 means "none" on the wire, so an existing age is sent as at least 1 us.
std::uint64_t
age_to_wire(const std::optional<duration>& age)
{
  return age ? static_cast<std::uint64_t>(std::max<duration::rep>(1, age->count())) : 0;
}

std::optional<duration>
age_from_wire(std::uint64_t age_us)
{
  return age_us == 0 ? std::nullopt : std::optional<duration>(microseconds(age_us));
}

operation
to_operation(wire::operation kind)
{
  switch (kind) {
    case wire::begin:
      return operation::begin;
    case wire::commit:
      return operation::commit;
    case wire::rollback:
      return operation::rollback;
    default:
      return operation::statement;
  }
}

}

std::uint64_t
to_wire(instant time)
{
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

instant
from_wire(std::uint64_t time_us)
{
  return instant(microseconds(time_us));
}

home_request
to_home_request(const wire::forward_request& message)
{
  home_request request;
  request.id = request_id(message.request_id());
  request.workspace = workspace_id(message.workspace());
  request.kind = to_operation(message.kind());
  request.write = message.write();
  request.idempotent = message.idempotent();
  request.text = message.text();
  request.expires = from_wire(message.expires_at_us());
  request.transaction = transaction_id(message.transaction());
  const auto& digest = message.key_digest();
  if (digest.size() == request.key_digest.size()) {
    std::copy(digest.begin(), digest.end(), request.key_digest.begin());
  }
  request.traceparent = message.traceparent();
  request.needs_primary =
    message.needs_primary() || message.write() || request.kind != operation::statement;
  if (message.has_session()) {
    request.min_log_point =
      log_point{ term(message.session().term()), log_position(message.session().position()) };
  }
  request.max_age = microseconds(message.max_age_us());
  return request;
}

wire::forward_answer
to_wire(const home_answer& answer)
{
  wire::forward_answer message;
  message.set_request_id(answer.id.get());
  message.set_code(static_cast<std::uint32_t>(answer.code));
  message.set_outcome(static_cast<std::uint32_t>(answer.outcome));
  message.set_message(answer.message);
  message.set_rows(answer.rows);
  message.mutable_session()->set_term(answer.point.in_term.get());
  message.mutable_session()->set_position(answer.point.position.get());
  message.mutable_session()->set_pending(answer.write_pending);
  message.set_transaction(answer.transaction.get());
  message.set_queue_us(static_cast<std::uint64_t>(answer.queue_time.count()));
  message.set_backend_us(static_cast<std::uint64_t>(answer.backend_time.count()));
  message.set_replication_us(static_cast<std::uint64_t>(answer.replication_time.count()));
  return message;
}

wire::heartbeat
to_wire(const heartbeat& beat)
{
  wire::heartbeat message;
  message.set_clock_us(to_wire(beat.clock));
  for (const auto& entry : beat.entries) {
    auto* item = message.add_entries();
    item->set_instance(entry.instance.get());
    item->set_incarnation(entry.incarnation.get());
    item->set_zone(entry.zone.get());
    item->set_address(entry.address);
    item->set_age_us(static_cast<std::uint64_t>(entry.age.count()));
    item->set_leaving(entry.leaving);
    item->set_config_version(entry.config_version.get());
    item->set_key_version(entry.key_version.get());
    item->set_table_read_age_us(age_to_wire(entry.table_read_age));
    item->set_sequence(entry.sequence);
  }
  for (const auto& zone : beat.zones) {
    auto* item = message.add_zones();
    item->set_zone(zone.zone.get());
    item->set_instances(zone.instances);
    item->set_confirming(zone.confirming);
    item->set_key_version(zone.key_version.get());
    item->set_age_us(static_cast<std::uint64_t>(zone.age.count()));
    item->set_table_read_age_us(age_to_wire(zone.table_read_age));
    item->set_table_key_version(zone.table_key_version.get());
  }
  if (beat.echo_clock) {
    message.set_echo_clock_us(to_wire(*beat.echo_clock));
    message.set_echo_age_us(static_cast<std::uint64_t>(beat.echo_age.count()));
  }
  return message;
}

heartbeat
from_wire(const wire::heartbeat& message)
{
  heartbeat beat;
  beat.clock = from_wire(message.clock_us());
  for (const auto& item : message.entries()) {
    instance_entry entry;
    entry.instance = instance_id(item.instance());
    entry.incarnation = incarnation_id(item.incarnation());
    entry.zone = zone_id(item.zone());
    entry.address = item.address();
    entry.age = microseconds(item.age_us());
    entry.leaving = item.leaving();
    entry.config_version = config_version(item.config_version());
    entry.key_version = config_version(item.key_version());
    entry.table_read_age = age_from_wire(item.table_read_age_us());
    entry.sequence = item.sequence();
    beat.entries.push_back(std::move(entry));
  }
  for (const auto& item : message.zones()) {
    zone_summary summary;
    summary.zone = zone_id(item.zone());
    summary.instances = item.instances();
    summary.confirming = item.confirming();
    summary.key_version = config_version(item.key_version());
    summary.age = microseconds(item.age_us());
    summary.table_read_age = age_from_wire(item.table_read_age_us());
    summary.table_key_version = config_version(item.table_key_version());
    beat.zones.push_back(std::move(summary));
  }
  if (message.echo_clock_us() != 0) {
    beat.echo_clock = from_wire(message.echo_clock_us());
    beat.echo_age = microseconds(message.echo_age_us());
  }
  return beat;
}

}
