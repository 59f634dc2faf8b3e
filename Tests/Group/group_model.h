#pragma once

#include "Group/promotion.h"

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

// One member with asynchronous replication. Its log is the list of the terms that wrote its
// entries.
struct model_member
{
  std::vector<std::uint64_t> log;
  std::uint64_t promised = 0;
  std::string granted_to;
  std::size_t source = 0;
  bool primary = false;
  bool up = true;
  bool leaving = false;
};

// Three members, their candidates and the messages between them, against an oracle: a write that a
// candidate's view calls held by a majority is then in the newest primary's log and in the log of
// every newer one, and a term has one primary.
class group_model
{
public:
  struct candidate
  {
    std::unique_ptr<promotion> logic;
    group_view view;
    std::set<std::size_t> cut;
    bool paused = false;
    duration delay{};
    std::vector<failover_durations> reports;
  };
  struct message
  {
    std::string kind;
    std::size_t from;
    std::size_t member;
    std::function<void()> run;
  };

  // A write that a view said a majority holds, and the newest primary's term at that time.
  struct acknowledgement
  {
    log_point point;
    std::uint64_t newest_term;
  };

  explicit group_model(std::size_t candidates);
  group_model(const group_model&) = delete;

  void report(std::size_t index, std::size_t member, int age_ms = 1);
  bool write(std::size_t member);
  void replicate(std::size_t member, std::size_t entries);
  // Runs the message unless it is lost; answers to a paused candidate stay queued.
  void deliver(std::size_t index);
  // Lets time pass in steps of 50 ms with reports, ticks, messages and replication.
  void run(int milliseconds, const std::function<bool()>& until = nullptr);
  void check_acknowledged();
  // Fences and promotes at once, as a candidate does that this model does not hold.
  void rival_round();
  // The member that claims the highest term.
  std::optional<std::size_t> primary() const;

  instant now{ std::chrono::seconds(100) };
  std::array<model_member, 3> members;
  std::vector<candidate> candidates;
  std::deque<message> in_flight;
  std::function<bool(const message&)> loses = [](const message&) { return false; };
  // Members without replication to or from others.
  std::set<std::size_t> detached;
  bool hold_messages = false;
  std::vector<log_point> open_writes;
  std::vector<acknowledgement> acknowledged;
  // By term.
  std::map<std::uint64_t, std::size_t> primaries;
  std::vector<std::string> violations;
  std::vector<std::string> notes;

private:
  promotion_hooks hooks(std::size_t index);
  void fence(std::size_t from, std::size_t member, term in_term);
  void promote(std::size_t from, std::size_t member, term in_term);
  bool promote_member(std::size_t member, std::uint64_t in_term, const std::string& by);
  bool fence_member(std::size_t member, std::uint64_t in_term, const std::string& by);
  void follow(std::size_t from, std::size_t member, term in_term, std::size_t primary);
  void check_contains(const acknowledgement& write, std::uint64_t in_term);
};

extern const std::array<member_id, 3> model_ids;

}
