#include "Control/membership.h"

#include "Control/rendezvous.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

constexpr std::size_t own_zone_target_count = 3;
constexpr duration change_interval = std::chrono::milliseconds(50);
constexpr duration refresh_interval = std::chrono::milliseconds(250);
// Older echoes are not used: at 530 instances, two zones exchange heartbeats within this time, and
// the allowance for clock drift grows with it.
constexpr duration echo_limit = std::chrono::minutes(10);
// The clocks of two machines drift apart by less than 1000 ppm.
constexpr int drift_divisor = 1000;
constexpr duration drop_unlisted_after = std::chrono::seconds(30);
// Long enough for the leave announcement to reach every instance by gossip.
constexpr duration forget_leaving_after = std::chrono::seconds(60);
// Age reported for an instance from which no entry was received.
constexpr duration unknown_age = std::chrono::hours(1);

std::optional<instant>
latest(std::optional<instant> left, std::optional<instant> right)
{
  return std::max(left, right);
}

}

membership::membership(identity self, random_hook random)
  : self_(std::move(self))
  , random_(std::move(random))
{
  auto& own = add_record({ .instance = self_.instance,
                           .incarnation = self_.incarnation,
                           .zone = self_.zone,
                           .address = self_.address });
  own.entry.sequence = std::max<std::uint64_t>(self_.start_sequence, 1);
}

instance_record&
membership::add_record(const instance_entry& entry)
{
  auto& record = records_[entry.instance];
  record.entry = entry;
  record.name_hash = rendezvous::hash(entry.instance.get());
  return record;
}

void
membership::set_own_state(const own_state& state, instant now)
{
  auto& own = records_[self_.instance];
  has_unsent_change_ = has_unsent_change_ || state.config_version > own.entry.config_version ||
                       state.key_version > own.entry.key_version ||
                       state.leaving != own.entry.leaving;
  needs_refresh_ = state.needs_refresh;
  own.entry.leaving = state.leaving;
  own.entry.config_version = state.config_version;
  own.entry.key_version = state.key_version;
  own.table_read_at = state.table_read_at;
  newest_key_version_ = std::max(newest_key_version_, state.key_version);
  own.updated_at = now;
  ++own.entry.sequence;
}

bool
membership::heartbeat_due(instant now) const
{
  const auto interval = has_unsent_change_ ? change_interval
                        : needs_refresh_   ? refresh_interval
                                           : heartbeat_interval;
  return !last_round_ || now - *last_round_ >= interval;
}

std::vector<const instance_record*>
membership::choose_random(std::vector<const instance_record*> from, std::size_t count)
{
  count = std::min(count, from.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(from[i], from[i + random_(from.size() - i)]);
  }
  from.resize(count);
  return from;
}

std::vector<membership::peer>
membership::heartbeat_targets(instant now)
{
  last_round_ = now;
  has_unsent_change_ = false;
  std::erase_if(records_, [&](const auto& item) {
    const auto& record = item.second;
    return item.first != self_.instance && record.entry.leaving &&
           (!record.updated_at || now - *record.updated_at > forget_leaving_after);
  });
  std::vector<const instance_record*> own_zone;
  std::map<zone_id, std::vector<const instance_record*>> other_zones;
  for (const auto& [name, record] : records_) {
    const bool departed =
      record.entry.leaving && (!record.updated_at || now - *record.updated_at > live_limit);
    if (name == self_.instance || departed) {
      continue;
    }
    auto& zone = record.entry.zone == self_.zone ? own_zone : other_zones[record.entry.zone];
    zone.push_back(&record);
  }
  auto chosen = choose_random(std::move(own_zone), own_zone_target_count);
  if (!other_zones.empty()) {
    // Zones take turns. With random choices, a zone was occasionally missed for longer than the
    // assertions in its summary are valid, which rejected keys during an outage of the platform
    // alone.
    next_zone_ = (next_zone_ + 1) % other_zones.size();
    const auto zone = std::next(other_zones.begin(), static_cast<std::ptrdiff_t>(next_zone_));
    chosen.push_back(choose_random(std::move(zone->second), 1).front());
  }
  std::vector<peer> targets;
  targets.reserve(chosen.size());
  for (const auto* record : chosen) {
    targets.push_back({ record->entry.instance, record->entry.address });
  }
  return targets;
}

instance_entry
membership::aged_entry(const instance_record& record, instant now) const
{
  auto entry = record.entry;
  entry.age = record.updated_at ? now - *record.updated_at : unknown_age;
  entry.table_read_age.reset();
  if (record.table_read_at) {
    entry.table_read_age = std::max(now - *record.table_read_at, duration(1));
  }
  return entry;
}

void
membership::renew_own_entry(instant now)
{
  if (!sent_clocks_.empty() && sent_clocks_.back() == now) {
    return;
  }
  sent_clocks_.push_back(now);
  while (now - sent_clocks_.front() > echo_limit) {
    sent_clocks_.pop_front();
  }
  auto& own = records_[self_.instance];
  ++own.entry.sequence;
  own.updated_at = now;
}

heartbeat
membership::make_heartbeat(const instance_id& target, instant now)
{
  renew_own_entry(now);
  heartbeat message;
  message.clock = now;
  message.entries.push_back(aged_entry(records_[self_.instance], now));
  std::vector<instance_record*> others;
  for (auto& [name, record] : records_) {
    if (name != self_.instance && (uses_full_view() || record.entry.zone == self_.zone)) {
      others.push_back(&record);
    }
  }
  const auto target_record = records_.find(target);
  const bool same_zone =
    target_record != records_.end() && target_record->second.entry.zone == self_.zone;
  if (!uses_full_view()) {
    // Entries relayed least often come first, then the most recent. This way, each entry reaches
    // some peers from each instance that receives it. Other zones get only the summary.
    std::sort(others.begin(), others.end(), [](const auto* left, const auto* right) {
      return left->times_sent != right->times_sent ? left->times_sent < right->times_sent
                                                   : left->updated_at > right->updated_at;
    });
    others.resize(same_zone ? std::min(others.size(), entries_per_heartbeat) : 0);
  }
  for (auto* record : others) {
    ++record->times_sent;
    message.entries.push_back(aged_entry(*record, now));
  }
  for (const auto& zone : zones()) {
    message.zones.push_back(zone == self_.zone ? summarise(zone, now) : zone_view(zone, now));
  }
  const auto last_received = echoes_.find(target);
  // A response always carries the echo, because it is sent immediately after the heartbeat that it
  // responds to.
  const bool requests_response = needs_refresh_ && last_received != echoes_.end() &&
                                 now - last_received->second.received_at >= refresh_interval;
  if (last_received != echoes_.end() && !requests_response) {
    message.echo_clock = last_received->second.clock;
    message.echo_age = now - last_received->second.received_at;
  }
  return message;
}

std::optional<duration>
membership::transit_bound(const heartbeat& message, instant now) const
{
  if (!message.echo_clock ||
      !std::binary_search(sent_clocks_.begin(), sent_clocks_.end(), *message.echo_clock)) {
    return std::nullopt;
  }
  const auto round_trip =
    now - *message.echo_clock - message.echo_age + message.echo_age / drift_divisor;
  return std::max(round_trip, duration(0));
}

void
membership::update_newest_key_version(const heartbeat& message)
{
  for (const auto& entry : message.entries) {
    newest_key_version_ = std::max(newest_key_version_, entry.key_version);
  }
  for (const auto& zone : message.zones) {
    newest_key_version_ =
      std::max({ newest_key_version_, zone.key_version, zone.table_key_version });
  }
}

bool
membership::receive(const instance_id& sender, const heartbeat& message, instant now)
{
  if (sender == self_.instance) {
    return false;
  }
  auto& last = echoes_[sender];
  last.clock = message.clock;
  last.received_at = now;
  update_newest_key_version(message);
  const auto transit = transit_bound(message, now);
  if (!transit) {
    add_unverified_sender(sender, message);
    return response_due(last, now);
  }
  for (const auto& entry : message.entries) {
    merge_entry(entry, *transit, now);
  }
  for (const auto& summary : message.zones) {
    merge_summary(summary, *transit, now);
  }
  // Exchanges between zones go in both directions, because there are few of them. A sender that
  // recently received a heartbeat from this instance needs no response. This also ends the exchange
  // after the response itself.
  const auto* record = find(sender);
  const bool other_zone = record != nullptr && record->entry.zone != self_.zone;
  const bool recently_received_here = now - *message.echo_clock < heartbeat_interval;
  return other_zone && !recently_received_here && response_due(last, now);
}

// Adds the sender as a peer to send heartbeats to. Its entries are not used yet.
void
membership::add_unverified_sender(const instance_id& sender, const heartbeat& message)
{
  const auto own = std::find_if(message.entries.begin(),
                                message.entries.end(),
                                [&](const auto& entry) { return entry.instance == sender; });
  if (own != message.entries.end() && records_.count(sender) == 0) {
    instance_entry seed;
    seed.instance = sender;
    seed.zone = own->zone;
    seed.address = own->address;
    add_record(seed);
  }
}

// Limits responses to one per second for each sender, so that exchanges do not accumulate on slow
// links.
bool
membership::response_due(echo& last_received, instant now)
{
  if (last_received.responded_at && now - *last_received.responded_at < heartbeat_interval) {
    return false;
  }
  last_received.responded_at = now;
  return true;
}

void
membership::merge_entry(const instance_entry& entry, duration transit, instant now)
{
  if (entry.instance == self_.instance) {
    auto& own = records_[self_.instance].entry;
    if (entry.incarnation != self_.incarnation && entry.sequence >= own.sequence) {
      own.sequence = entry.sequence + 1;
    }
    return;
  }
  const auto age = entry.age + transit;
  if (entry.leaving && age > forget_leaving_after) {
    return;
  }
  const auto known = records_.find(entry.instance);
  if (known == records_.end() || entry.sequence > known->second.entry.sequence) {
    const auto listed_at = known == records_.end() ? std::nullopt : known->second.listed_at;
    auto& record = add_record(entry);
    record.listed_at = listed_at;
    record.times_sent = 0;
    record.updated_at.reset();
    record.table_read_at.reset();
    if (entry.sequence > 0) {
      record.updated_at = now - age;
    }
    if (entry.table_read_age) {
      record.table_read_at = now - *entry.table_read_age - transit;
    }
    return;
  }
  auto& record = known->second;
  if (entry.sequence == 0 || entry.sequence != record.entry.sequence ||
      entry.incarnation != record.entry.incarnation) {
    return;
  }
  // The same entry received over another path. The more recent bound is tighter and equally
  // certain.
  record.updated_at = latest(record.updated_at, now - age);
  if (entry.table_read_age) {
    record.table_read_at = latest(record.table_read_at, now - *entry.table_read_age - transit);
  }
}

void
membership::apply_platform_list(const std::vector<listed_instance>& list, instant now)
{
  for (const auto& line : list) {
    if (line.instance == self_.instance) {
      continue;
    }
    auto found = records_.find(line.instance);
    if (found == records_.end()) {
      if (line.leaving) {
        continue;
      }
      add_record({ .instance = line.instance, .zone = line.zone, .address = line.address });
      found = records_.find(line.instance);
    }
    auto& record = found->second;
    record.listed_at = now;
    if (!record.updated_at) {
      record.entry.zone = line.zone;
      record.entry.address = line.address;
      record.entry.leaving = line.leaving;
    }
  }
  std::erase_if(records_, [&](const auto& item) {
    const auto& record = item.second;
    const bool silent = !record.updated_at || now - *record.updated_at > drop_unlisted_after;
    return item.first != self_.instance && record.listed_at != now && silent;
  });
}

}
