#include "group_model.h"

#include <algorithm>

namespace persimmonshelf {

const std::array<member_id, 3> model_ids = { member_id("a"), member_id("b"), member_id("c") };

namespace {

std::size_t
index_of(const member_id& member)
{
  return static_cast<std::size_t>(member.get().front() - 'a');
}

log_point
last_of(const model_member& member)
{
  return { term(member.log.empty() ? 0 : member.log.back()), log_position(member.log.size()) };
}

}

group_model::group_model(std::size_t count)
{
  for (auto& member : members) {
    member.log = { 3, 3, 4 };
    member.promised = 4;
  }
  members[0].primary = true;
  primaries[4] = 0;
  const std::vector<member_id> ids(model_ids.begin(), model_ids.end());
  candidates.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    candidates.push_back({ nullptr, group_view::create(ids).value(), {}, false, {}, {} });
    candidates.back().logic = promotion::create(ids, {}, hooks(i)).value();
  }
}

promotion_hooks
group_model::hooks(std::size_t index)
{
  const auto order = [this,
                      index](std::string kind, std::size_t member, std::function<void()> run) {
    in_flight.push_back({ std::move(kind), index, member, std::move(run) });
  };
  return { [=, this](const member_id& member, term in_term) {
            const auto to = index_of(member);
            order("fence", to, [=, this] { fence(index, to, in_term); });
          },
           [=, this](const member_id& member, term in_term) {
             const auto to = index_of(member);
             order("promote", to, [=, this] { promote(index, to, in_term); });
           },
           [=, this](const member_id& member, term in_term, const member_id& primary) {
             const auto to = index_of(member);
             const auto source = index_of(primary);
             order("follow", to, [=, this] { follow(index, to, in_term, source); });
           },
           [this, index](duration max) { return std::min(max, candidates[index].delay); },
           [this](const std::string& text) { notes.push_back(text); },
           [this, index](const auto& times) { candidates[index].reports.push_back(times); } };
}

bool
group_model::fence_member(std::size_t member, std::uint64_t in_term, const std::string& by)
{
  auto& target = members[member];
  if (in_term > target.promised) {
    target.promised = in_term;
    target.granted_to = by;
    target.primary = false;
    target.source = member;
  }
  return in_term == target.promised && target.granted_to == by;
}

bool
group_model::promote_member(std::size_t member, std::uint64_t in_term, const std::string& by)
{
  auto& target = members[member];
  if (in_term != target.promised || target.granted_to != by) {
    return false;
  }
  target.primary = true;
  if (primaries.try_emplace(in_term, member).first->second != member) {
    violations.push_back("two primaries in term " + std::to_string(in_term));
  }
  for (const auto& write : acknowledged) {
    if (in_term > write.newest_term) {
      check_contains(write, in_term);
    }
  }
  return true;
}

void
group_model::fence(std::size_t from, std::size_t member, term in_term)
{
  const bool granted = fence_member(member, in_term.get(), std::to_string(from));
  const term promised(members[member].promised);
  const auto last = last_of(members[member]);
  in_flight.push_back({ "fence answer", from, member, [=, this] {
                         candidates[from].logic->fence_answer(
                           now, model_ids[member], in_term, granted, promised, last);
                       } });
}

void
group_model::promote(std::size_t from, std::size_t member, term in_term)
{
  const bool accepted = promote_member(member, in_term.get(), std::to_string(from));
  const term promised(members[member].promised);
  in_flight.push_back({ "promote answer", from, member, [=, this] {
                         candidates[from].logic->promote_answer(
                           now, model_ids[member], in_term, accepted, promised);
                       } });
}

void
group_model::follow(std::size_t from, std::size_t member, term in_term, std::size_t primary)
{
  auto& target = members[member];
  const bool accepted = in_term.get() >= target.promised && member != primary;
  if (accepted) {
    target.primary = false;
    target.promised = in_term.get();
    target.source = primary;
  }
  in_flight.push_back({ "follow answer", from, member, [=, this] {
                         candidates[from].logic->follow_answer(
                           model_ids[member], in_term, accepted);
                       } });
}

void
group_model::rival_round()
{
  std::uint64_t in_term = 0;
  for (const auto& member : members) {
    in_term = std::max(in_term, member.promised + 1);
  }
  std::vector<std::size_t> fenced;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (members[i].up && !detached.contains(i) && fence_member(i, in_term, "rival")) {
      fenced.push_back(i);
    }
  }
  if (fenced.size() >= 2) {
    promote_member(*std::max_element(fenced.begin(),
                                     fenced.end(),
                                     [this](auto left, auto right) {
                                       return last_of(members[left]) < last_of(members[right]);
                                     }),
                   in_term,
                   "rival");
  }
}

void
group_model::report(std::size_t index, std::size_t member, int age_ms)
{
  auto& to = candidates[index];
  const auto& from = members[member];
  if (!from.up || to.cut.contains(member)) {
    return;
  }
  member_report made{ model_ids[member],
                      term(from.promised),
                      last_of(from),
                      from.primary,
                      from.leaving,
                      {},
                      now - std::chrono::milliseconds(age_ms),
                      now };
  for (std::size_t i = 0; i < from.log.size(); ++i) {
    if (i == 0 || from.log[i] != from.log[i - 1]) {
      made.history.push_back({ term(from.log[i]), log_position(i + 1) });
    }
  }
  if (!to.view.apply(made)) {
    violations.emplace_back("a report was refused");
  }
}

bool
group_model::write(std::size_t member)
{
  auto& target = members[member];
  if (!target.up || !target.primary) {
    return false;
  }
  target.log.push_back(target.promised);
  open_writes.push_back(last_of(target));
  return true;
}

void
group_model::replicate(std::size_t member, std::size_t entries)
{
  auto& target = members[member];
  const auto& source = members[target.source];
  if (&target == &source || !target.up || !source.up || !source.primary ||
      source.promised != target.promised || detached.contains(member) ||
      detached.contains(target.source)) {
    return;
  }
  std::size_t shared = 0;
  while (shared < target.log.size() && shared < source.log.size() &&
         target.log[shared] == source.log[shared]) {
    ++shared;
  }
  target.log.resize(shared);
  while (entries-- > 0 && target.log.size() < source.log.size()) {
    target.log.push_back(source.log[target.log.size()]);
  }
}

void
group_model::deliver(std::size_t index)
{
  const auto next = in_flight[index];
  const bool answer = next.kind.ends_with("answer");
  if (answer && candidates[next.from].paused) {
    return;
  }
  in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(index));
  const bool reachable =
    members[next.member].up && !candidates[next.from].cut.contains(next.member);
  if (reachable && !loses(next)) {
    next.run();
  }
}

void
group_model::run(int milliseconds, const std::function<bool()>& until)
{
  for (int passed = 0; passed < milliseconds && !(until && until()); passed += 50) {
    now += std::chrono::milliseconds(50);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      if (candidates[i].paused) {
        continue;
      }
      for (std::size_t m = 0; m < members.size(); ++m) {
        report(i, m);
      }
      candidates[i].logic->tick(now, candidates[i].view);
    }
    check_acknowledged();
    std::size_t waiting = hold_messages ? 0 : in_flight.size();
    for (std::size_t at = 0; waiting > 0; --waiting) {
      const auto before = in_flight.size();
      const bool stays =
        in_flight[at].kind.ends_with("answer") && candidates[in_flight[at].from].paused;
      deliver(at);
      at += stays && in_flight.size() == before ? 1 : 0;
    }
    for (std::size_t m = 0; m < members.size(); ++m) {
      replicate(m, 2);
    }
  }
}

void
group_model::check_contains(const acknowledgement& write, std::uint64_t in_term)
{
  const auto& log = members[primaries.at(in_term)].log;
  const auto position = write.point.position.get();
  if (position > log.size() || log[position - 1] != write.point.in_term.get()) {
    violations.push_back("the primary of term " + std::to_string(in_term) +
                         " lacks acknowledged write " + std::to_string(write.point.in_term.get()) +
                         "/" + std::to_string(position));
  }
}

void
group_model::check_acknowledged()
{
  std::erase_if(open_writes, [this](const auto& point) {
    const bool held = std::any_of(candidates.begin(), candidates.end(), [&](const auto& each) {
      return each.view.majority_holds(point);
    });
    if (held) {
      acknowledged.push_back({ point, primaries.rbegin()->first });
      check_contains(acknowledged.back(), primaries.rbegin()->first);
    }
    return held;
  });
}

std::optional<std::size_t>
group_model::primary() const
{
  std::optional<std::size_t> highest;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (members[i].up && members[i].primary &&
        (!highest || members[i].promised > members[*highest].promised)) {
      highest = i;
    }
  }
  return highest;
}

}
