#pragma once

#include "Group/promotion.h"

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonshelf {

inline const std::vector<member_id> model_ids = { member_id("a"), member_id("b"), member_id("c") };

// Model of three members with asynchronous replication, their promotion candidates and the messages
// between them. It checks two invariants: a write that any candidate's view reports as held by a
// majority is in the log of the newest primary and of every later one, and each term has only one
// primary.
class group_model
{
public:
  // The log contains the term of each entry.
  struct member
  {
    std::vector<std::uint64_t> log = { 3, 3, 4 };
    std::uint64_t promised = 4;
    std::string granted_to;
    std::size_t source = 0;
    bool primary = false;
    bool up = true;
    bool leaving = false;

    log_point last() const { return { term(log.back()), log_position(log.size()) }; }
  };
  struct candidate
  {
    std::unique_ptr<promotion> logic;
    group_view view;
    std::set<std::size_t> unreachable_members;
    bool paused = false;
    duration delay{};
    std::vector<failover_durations> reports;
  };
  struct message
  {
    std::string kind;
    std::size_t from;
    std::size_t to;
    std::function<void()> run;
  };
  // A write that a view reported as held by a majority, and the term of the newest primary at that
  // time.
  struct acknowledgement
  {
    log_point point;
    std::uint64_t newest_term;
  };

  explicit group_model(std::size_t count)
  {
    members[0].primary = true;
    for (std::size_t i = 0; i < count; ++i) {
      candidates.push_back({ nullptr, group_view::create(model_ids).value(), {}, false, {}, {} });
      candidates[i].logic = promotion::create(model_ids, {}, hooks(i)).value();
    }
  }
  group_model(const group_model&) = delete;

  bool reachable(std::size_t from, std::size_t to) const
  {
    return members[to].up && !isolated.contains(to) &&
           !candidates[from].unreachable_members.contains(to);
  }

  // Reports a member's state to a candidate, immediately or as a message that arrives later.
  void report(std::size_t to, std::size_t index, bool late = false)
  {
    const auto& from = members[index];
    const auto sent = now - std::chrono::milliseconds(1);
    member_report made{
      model_ids[index], term(from.promised), from.last(), from.primary, from.leaving, {}, sent, now
    };
    for (std::size_t i = 0; i < from.log.size(); ++i) {
      if (i == 0 || from.log[i] != from.log[i - 1]) {
        made.history.push_back({ term(from.log[i]), log_position(i + 1) });
      }
    }
    auto arrive = [=, this]() mutable {
      made.received = now;
      if (!candidates[to].view.apply(made)) {
        violations.emplace_back("a member report was rejected");
      }
    };
    if (late) {
      in_flight.push_back({ "report", to, index, arrive });
    } else if (reachable(to, index)) {
      arrive();
    }
  }

  void write(std::size_t index)
  {
    auto& target = members[index];
    if (target.up && target.primary) {
      target.log.push_back(target.promised);
      open_writes.push_back(target.last());
    }
  }

  void replicate(std::size_t index, std::size_t entries)
  {
    auto& target = members[index];
    const auto& source = members[target.source];
    const auto apart = [&](std::size_t each) {
      return !members[each].up || isolated.contains(each) || not_replicating.contains(each);
    };
    if (target.source == index || apart(index) || apart(target.source) || !source.primary ||
        source.promised != target.promised) {
      return;
    }
    const auto shared =
      std::mismatch(target.log.begin(), target.log.end(), source.log.begin(), source.log.end());
    target.log.erase(shared.first, target.log.end());
    while (entries-- > 0 && target.log.size() < source.log.size()) {
      target.log.push_back(source.log[target.log.size()]);
    }
  }

  // Delivers a message unless it is lost. Returns false if it stays queued, which applies to
  // responses to a paused candidate.
  bool deliver(std::size_t index)
  {
    const auto next = in_flight[index];
    if (next.kind.ends_with("response") && candidates[next.from].paused) {
      return false;
    }
    in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    if (reachable(next.from, next.to) && next.kind != lost_kind) {
      next.run();
    }
    return true;
  }

  // Advances time in steps of 50 ms with reports, ticks, messages and replication.
  void run(
    int milliseconds,
    const std::function<bool()>& until = [] { return false; })
  {
    for (int passed = 0; passed < milliseconds && !until(); passed += 50) {
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
      std::size_t at = 0;
      for (std::size_t left = hold_messages ? 0 : in_flight.size(); left > 0; --left) {
        at += deliver(at) ? 0 : 1;
      }
      for (std::size_t m = 0; m < members.size(); ++m) {
        replicate(m, 2);
      }
    }
  }

  // Fences and promotes immediately, like a rival candidate that is not part of this model.
  void run_rival_promotion()
  {
    std::uint64_t in_term = 0;
    for (const auto& each : members) {
      in_term = std::max(in_term, each.promised + 1);
    }
    std::map<log_point, std::size_t> fenced;
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i].up && !isolated.contains(i) && fence(i, in_term, "rival")) {
        fenced[members[i].last()] = i;
      }
    }
    promote(fenced.rbegin()->second, in_term, "rival");
  }

  bool fence(std::size_t index, std::uint64_t in_term, const std::string& by)
  {
    auto& target = members[index];
    if (in_term > target.promised) {
      target.promised = in_term;
      target.granted_to = by;
      target.primary = false;
      target.source = index;
    }
    return in_term == target.promised && target.granted_to == by;
  }

  bool promote(std::size_t index, std::uint64_t in_term, const std::string& by)
  {
    auto& target = members[index];
    if (in_term != target.promised || target.granted_to != by) {
      return false;
    }
    target.primary = true;
    if (primaries.try_emplace(in_term, index).first->second != index) {
      violations.push_back("two primaries in term " + std::to_string(in_term));
    }
    for (const auto& each : acknowledged) {
      if (in_term > each.newest_term) {
        check_contains(each, in_term);
      }
    }
    return true;
  }

  bool follow(std::size_t index, std::uint64_t in_term, std::size_t primary)
  {
    auto& target = members[index];
    if (in_term < target.promised || index == primary) {
      return false;
    }
    target.primary = false;
    target.promised = in_term;
    target.source = primary;
    return true;
  }

  instant now{ std::chrono::seconds(100) };
  std::array<member, 3> members;
  std::vector<candidate> candidates;
  std::deque<message> in_flight;
  // Messages of this kind are lost.
  std::string lost_kind;
  // Members that can be reached only by callers, and members that take no part in replication.
  std::set<std::size_t> isolated;
  std::set<std::size_t> not_replicating;
  bool hold_messages = false;
  std::vector<log_point> open_writes;
  std::vector<acknowledgement> acknowledged;
  // Primary of each term.
  std::map<std::uint64_t, std::size_t> primaries = { { 4, 0 } };
  std::vector<std::string> violations;

private:
  struct response
  {
    bool accepted;
    term promised;
    log_point last;
  };

  // Queues a request. Its response is queued when the request is carried out.
  void queue_request(const std::string& kind,
                     std::size_t from,
                     std::size_t to,
                     const std::function<bool()>& handle,
                     const std::function<void(const response&)>& reply)
  {
    in_flight.push_back(
      { kind, from, to, [=, this] {
         const bool accepted = handle();
         const response made{ accepted, term(members[to].promised), members[to].last() };
         in_flight.push_back({ kind + " response", from, to, [=] { reply(made); } });
       } });
  }

  promotion_hooks hooks(std::size_t from)
  {
    const auto name = std::to_string(from);
    const auto index = [](const member_id& id) { return std::size_t(id.get().front() - 'a'); };
    const auto fence_request = [=, this](const member_id& to, term t) {
      const auto handle = [=, this] { return fence(index(to), t.get(), name); };
      queue_request("fence", from, index(to), handle, [=, this](const response& is) {
        candidates[from].logic->handle_fence_response(
          now, to, t, is.accepted, is.promised, is.last);
      });
    };
    const auto promote_request = [=, this](const member_id& to, term t) {
      const auto handle = [=, this] { return promote(index(to), t.get(), name); };
      queue_request("promote", from, index(to), handle, [=, this](const response& is) {
        candidates[from].logic->handle_promote_response(now, to, t, is.accepted, is.promised);
      });
    };
    const auto follow_request = [=, this](const member_id& to, term t, const member_id& primary) {
      const auto handle = [=, this] { return follow(index(to), t.get(), index(primary)); };
      queue_request("follow", from, index(to), handle, [=, this](const response& is) {
        candidates[from].logic->handle_follow_response(to, t, is.accepted);
      });
    };
    return { fence_request,
             promote_request,
             follow_request,
             [=, this](duration max) { return std::min(max, candidates[from].delay); },
             [](const std::string&) {},
             [=, this](const auto& each) { candidates[from].reports.push_back(each); } };
  }

  void check_contains(const acknowledgement& each, std::uint64_t in_term)
  {
    const auto& log = members[primaries.at(in_term)].log;
    const auto position = each.point.position.get();
    if (position > log.size() || log[position - 1] != each.point.in_term.get()) {
      violations.push_back("the primary of term " + std::to_string(in_term) +
                           " lacks acknowledged write " + std::to_string(position));
    }
  }

  void check_acknowledged()
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
};

}
