#include "Group/group_view.h"

#include <algorithm>
#include <functional>
#include <set>
#include <sstream>
#include <utility>

namespace persimmonshelf {

namespace {

// Number of terms with stored evidence. Terms change about twice a day, and a write waits at most
// seconds for its majority, so older terms are not needed.
constexpr std::size_t kept_terms = 8;

// Older checkpoints are thinned out above this number. They serve members that are far behind.
constexpr std::size_t kept_checkpoints = 64;

enum class report_order : std::uint8_t
{
  older,
  newer,
  unclear,
};

// Error that states the report's member, term and last entry.
error
malformed(const member_report& report, std::string_view reason)
{
  std::ostringstream text;
  text << "report of member " << report.member << " (term " << report.promised << ", last entry "
       << report.last.in_term << "/" << report.last.position << "): " << reason;
  return { result_code::malformed_answer, text.str() };
}

}

group_view::group_view(std::vector<member_id> members)
  : members_(std::move(members))
{
}

result<group_view>
group_view::create(std::vector<member_id> members)
{
  if (members.empty()) {
    return fail(result_code::config_invalid, "a database needs at least one member");
  }
  std::set<member_id> unique;
  for (const auto& member : members) {
    if (!unique.insert(member).second) {
      return fail(result_code::config_invalid, "member " + member.get() + " is listed twice");
    }
  }
  return group_view(std::move(members));
}

result<void>
group_view::apply(const member_report& report)
{
  if (std::find(members_.begin(), members_.end(), report.member) == members_.end()) {
    return malformed(report, "the member does not belong to this database");
  }
  member_log log(report.last, report.history);
  if (!log.is_consistent()) {
    return malformed(report, "the term history contradicts the last entry");
  }
  add_evidence(report, log);

  const auto old_primary = primary();
  const auto old_confirmed = confirmed_at();
  const auto [reported, first] = known_.try_emplace(report.member);
  update(reported->second, report, std::move(log), first);

  const auto new_primary = primary();
  if (old_primary != new_primary && old_primary) {
    std::erase_if(checkpoints_, [&](auto& entry) {
      if (entry.in_term != old_primary->in_term) {
        return false;
      }
      if (old_confirmed) {
        entry.valid_at = std::min(entry.valid_at, *old_confirmed);
      }
      return !old_confirmed;
    });
  }
  if (!new_primary) {
    return success();
  }
  if (report.primary && report.member == new_primary->member &&
      report.promised == new_primary->in_term) {
    add_checkpoint(report);
  }
  if (confirmed_at() && (!confirmed_term_ || *confirmed_term_ <= new_primary->in_term)) {
    confirmed_term_ = new_primary->in_term;
    confirmed_log_ = known_.at(new_primary->member).state.log;
  }
  return success();
}

void
group_view::add_evidence(const member_report& report, const member_log& log)
{
  const auto& history = log.history();
  for (std::size_t i = 0; i < history.size(); ++i) {
    const bool is_last = i + 1 == history.size();
    const log_position end =
      is_last
        ? log.last().position
        : std::min(log.last().position, log_position(history[i + 1].first_position.get() - 1));
    if (history[i].in_term < report.promised || end < history[i].first_position) {
      continue;
    }
    auto& evidence = evidence_[history[i].in_term];
    evidence.history.assign(history.data(), history.data() + i + 1);
    auto& held = evidence.held[report.member];
    held = std::max(held, end);
  }
  while (evidence_.size() > kept_terms) {
    evidence_.erase(evidence_.begin());
  }
}

void
group_view::update(known_member& known, const member_report& report, member_log log, bool first)
{
  auto& state = known.state;
  const auto order = [&] {
    if (first) {
      return report_order::newer;
    }
    if (report.promised != state.promised) {
      return report.promised > state.promised ? report_order::newer : report_order::older;
    }
    // Within one promised term, a log with an entry of that term only grows. Before that, it may be
    // truncated to match the primary's log, so the entries do not show which report is newer.
    const bool report_in_term = log.last().in_term >= report.promised;
    const bool state_in_term = state.log.last().in_term >= state.promised;
    if ((report_in_term || state_in_term) && log.last() != state.log.last()) {
      return log.last() > state.log.last() ? report_order::newer : report_order::older;
    }
    if (report.sent >= known.sampled_before) {
      return report_order::newer;
    }
    return report.received <= known.sampled_after ? report_order::older : report_order::unclear;
  }();

  const bool same_claim = state.primary && report.promised == state.promised;
  const bool take_flags = order == report_order::newer ||
                          (order == report_order::unclear && report.sent >= known.sampled_after);
  if (take_flags) {
    state.primary = report.primary;
    state.leaving = report.leaving;
  }
  if (order == report_order::newer) {
    state.promised = report.promised;
    state.log = std::move(log);
  } else if (order == report_order::unclear) {
    state.log = state.log.common_prefix(log);
  }
  if (order != report_order::older) {
    known.sampled_after = first ? report.sent : std::max(known.sampled_after, report.sent);
    known.sampled_before =
      first ? report.received : std::max(known.sampled_before, report.received);
  }
  state.last_contact = first ? report.sent : std::max(state.last_contact, report.sent);
  if (state.primary && report.primary && report.promised == state.promised) {
    known.last_claim = same_claim ? std::max(known.last_claim, report.sent) : report.sent;
  }
}

void
group_view::add_checkpoint(const member_report& report)
{
  const checkpoint added{ report.promised, report.sent, report.last };
  if (!checkpoints_.empty() && checkpoints_.back().in_term == added.in_term) {
    auto& newest = checkpoints_.back();
    if (added.valid_at <= newest.valid_at) {
      return;
    }
    // The primary's log does not shrink, so the later request proves that the lower position was
    // still valid then.
    if (added.point.position <= newest.point.position) {
      newest = added;
      return;
    }
  }
  checkpoints_.push_back(added);
  if (checkpoints_.size() <= kept_checkpoints) {
    return;
  }
  // Removes every second checkpoint of the older three quarters, so that the spacing grows with
  // age.
  std::deque<checkpoint> thinned;
  for (std::size_t i = 0; i < checkpoints_.size(); ++i) {
    if (i % 2 == 0 || i >= kept_checkpoints * 3 / 4) {
      thinned.push_back(checkpoints_[i]);
    }
  }
  checkpoints_ = std::move(thinned);
}

std::optional<primary_claim>
group_view::primary() const
{
  std::optional<primary_claim> highest;
  for (const auto& [member, known] : known_) {
    if (known.state.primary && (!highest || known.state.promised > highest->in_term)) {
      highest = primary_claim{ member, known.state.promised };
    }
  }
  if (!highest) {
    return std::nullopt;
  }
  const auto above = std::count_if(known_.begin(), known_.end(), [&](const auto& entry) {
    return entry.second.state.promised > highest->in_term;
  });
  if (static_cast<std::size_t>(above) >= majority()) {
    return std::nullopt;
  }
  return highest;
}

bool
group_view::majority_holds(const log_point& point) const
{
  for (auto entry = evidence_.lower_bound(point.in_term); entry != evidence_.end(); ++entry) {
    const auto& evidence = entry->second;
    if (evidence.held.size() < majority()) {
      continue;
    }
    std::vector<log_position> held;
    for (const auto& [member, position] : evidence.held) {
      held.push_back(position);
    }
    std::sort(held.begin(), held.end(), std::greater<>());
    const member_log shared({ entry->first, held[majority() - 1] }, evidence.history);
    if (shared.contains(point)) {
      return true;
    }
  }
  return point.position == log_position{};
}

point_location
group_view::locate(const log_point& point) const
{
  if (confirmed_log_.contains(point)) {
    return point_location::contained;
  }
  if (!confirmed_term_ || point.in_term > *confirmed_term_) {
    return point_location::ahead;
  }
  const bool may_follow =
    point.in_term == *confirmed_term_ && point.position > confirmed_log_.last().position;
  return may_follow ? point_location::ahead : point_location::discarded;
}

log_point
group_view::required_point(const log_point& point) const
{
  if (locate(point) != point_location::discarded) {
    return point;
  }
  return confirmed_log_.last_entry_within(point);
}

bool
group_view::member_contains(const member_id& member, const log_point& point) const
{
  const auto* state = find(member);
  return state != nullptr && state->log.contains(point);
}

std::optional<instant>
group_view::confirmed_at() const
{
  const auto claim = primary();
  if (!claim) {
    return std::nullopt;
  }
  std::vector<instant> contacts;
  for (const auto& [member, known] : known_) {
    if (known.state.promised <= claim->in_term) {
      contacts.push_back(known.state.last_contact);
    }
  }
  if (contacts.size() < majority()) {
    return std::nullopt;
  }
  std::sort(contacts.begin(), contacts.end(), std::greater<>());
  return std::min(contacts[majority() - 1], known_.at(claim->member).last_claim);
}

std::optional<duration>
group_view::age(const member_id& member, instant now) const
{
  const auto* state = find(member);
  if (state == nullptr) {
    return std::nullopt;
  }
  const auto claim = primary();
  const auto confirmed = confirmed_at();
  std::optional<instant> best;
  for (const auto& entry : checkpoints_) {
    const bool current = claim && claim->in_term == entry.in_term;
    if ((current && !confirmed) || !state->log.contains(entry.point)) {
      continue;
    }
    const auto valid_at = current ? std::min(entry.valid_at, *confirmed) : entry.valid_at;
    best = best ? std::max(*best, valid_at) : valid_at;
  }
  if (!best) {
    return std::nullopt;
  }
  return std::max(duration::zero(), now - *best);
}

bool
group_view::qualifies(const member_id& member, const read_criteria& criteria, instant now) const
{
  const auto* state = find(member);
  if (state == nullptr || state->leaving || !criteria.cost.contains(member)) {
    return false;
  }
  if (criteria.at_least && !state->log.contains(required_point(*criteria.at_least))) {
    return false;
  }
  if (criteria.max_age == duration::max()) {
    return true;
  }
  const auto member_age = age(member, now);
  return member_age && *member_age <= criteria.max_age;
}

std::optional<member_id>
group_view::choose_read_member(const read_criteria& criteria, instant now) const
{
  const auto claim = primary();
  std::optional<member_id> chosen;
  // The map is ordered by id, so the lowest id is chosen among equal costs.
  for (const auto& [member, known] : known_) {
    const bool is_primary = claim && claim->member == member;
    if (is_primary || criteria.primary_only || !qualifies(member, criteria, now)) {
      continue;
    }
    if (!chosen || criteria.cost.at(member) < criteria.cost.at(*chosen)) {
      chosen = member;
    }
  }
  if (!chosen && claim && qualifies(claim->member, criteria, now)) {
    chosen = claim->member;
  }
  return chosen;
}

const member_state*
group_view::find(const member_id& member) const
{
  const auto found = known_.find(member);
  return found == known_.end() ? nullptr : &found->second.state;
}

}
