#include "Control/key_evidence.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace persimmonshelf {

namespace {

bool
is_confirmed(const zone_summary& zone)
{
  return zone.instances > 0 && 3 * zone.confirming >= 2 * zone.instances;
}

}

key_evidence::key_evidence(const membership& members, instant started)
  : members_(&members)
  , started_(started)
{
}

void
key_evidence::set_zones(std::vector<zone_id> zones)
{
  zones_ = std::move(zones);
  valid_until_.reset();
}

void
key_evidence::set_held_version(config_version version)
{
  held_ = std::max(held_, version);
  valid_until_.reset();
}

void
key_evidence::record_table_read(config_version version, instant sent_at)
{
  if (version < table_version_) {
    // A later read has already returned a newer version.
    return;
  }
  table_version_ = version;
  own_read_at_ = std::max(own_read_at_, std::optional(sent_at));
}

config_version
key_evidence::newest_known() const
{
  return std::max({ held_, table_version_, members_->newest_key_version() });
}

std::optional<instant>
key_evidence::latest_read() const
{
  auto youngest = members_->latest_table_read(held_);
  if (table_version_ <= held_) {
    youngest = std::max(youngest, own_read_at_);
  }
  return youngest;
}

std::optional<instant>
key_evidence::quorum_until(instant now) const
{
  std::vector<instant> ends;
  for (const auto& zone : zones_) {
    const auto view = members_->zone_view(zone, now);
    if (view.key_version == held_ && is_confirmed(view)) {
      ends.push_back(now - view.age + limit);
    }
  }
  if (zones_.empty() || ends.size() < majority()) {
    return std::nullopt;
  }
  std::sort(ends.begin(), ends.end(), std::greater<>());
  return ends[majority() - 1];
}

key_evidence::state
key_evidence::evaluate(instant now) const
{
  state found;
  const auto newest = newest_known();
  if (newest > held_) {
    found.reason = "key version " + std::to_string(newest.get()) + " is known, " +
                   std::to_string(held_.get()) + " is in force here";
    return found;
  }
  const auto read_at = latest_read();
  const auto quorum = quorum_until(now);
  if (read_at && now < *read_at + limit) {
    found.from = source::table_read;
    found.valid_until = *read_at + limit;
  }
  if (quorum && now<*quorum&& * quorum> found.valid_until) {
    found.from = found.from == source::none ? source::quorum : found.from;
    found.valid_until = *quorum;
  }
  if (found.from == source::none) {
    found.reason = "no read of the table and no quorum of instances within the last 5 s";
  }
  return found;
}

bool
key_evidence::may_accept(instant now)
{
  if (newest_known() > held_) {
    return false;
  }
  if (valid_until_ && now < *valid_until_) {
    return true;
  }
  const auto found = evaluate(now);
  valid_until_.reset();
  if (found.from == source::none) {
    return false;
  }
  valid_until_ = found.valid_until;
  return true;
}

bool
key_evidence::needs_refresh(instant now)
{
  constexpr duration before_end = std::chrono::milliseconds(1500);
  constexpr duration after_end = std::chrono::seconds(2);
  const auto read_at = latest_read();
  if (read_at) {
    evidence_end_ = std::max(evidence_end_, *read_at + limit);
  }
  if (now > evidence_end_ - before_end) {
    evidence_end_ = std::max(evidence_end_, quorum_until(now).value_or(evidence_end_));
  }
  return now > evidence_end_ - before_end && now < evidence_end_ + after_end;
}

config_version
key_evidence::asserted_version(instant now)
{
  if (newest_known() > held_) {
    return config_version(0);
  }
  if (!may_assert_version_) {
    const auto read_at = latest_read();
    const bool waited_long_enough = now - started_ >= 2 * limit;
    may_assert_version_ =
      (read_at && *read_at >= started_) || (waited_long_enough && quorum_until(now) > now);
  }
  return may_assert_version_ ? held_ : config_version(0);
}

std::optional<instant>
key_evidence::table_read_at(instant now)
{
  if (asserted_version(now) == config_version(0)) {
    return std::nullopt;
  }
  return latest_read();
}

key_evidence::acknowledgement
key_evidence::acknowledged(config_version version, instant now) const
{
  acknowledgement found;
  for (const auto& zone : zones_) {
    const auto view = members_->zone_view(zone, now);
    if (view.key_version < version || !is_confirmed(view)) {
      found.missing.push_back(zone);
    }
  }
  found.accepted = !zones_.empty() && zones_.size() - found.missing.size() >= majority();
  return found;
}

}
