#pragma once

#include "Proxy/fleet_configuration.h"
#include "Proxy/link.h"
#include "Proxy/statement.h"

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

using ticket_number = strong<struct ticket_number_tag, std::uint64_t>;

// What a statement or transaction needs of a connection.
struct link_request
{
  std::string group;
  workspace_id workspace;
  bool needs_primary = false;
  // Settings that the session has; a connection that has them already is preferred.
  session_values values;
  std::uint32_t priority = 0;
  // When the whole operation should be answered; orders the queue.
  instant target{};
  // The request is refused if no connection was granted by then.
  instant expiry{};
  // Member that has just refused the statement.
  std::optional<member_id> avoid;
};

// Which member leads a group, as far as this instance may rely on it.
struct group_leader
{
  member_id member;
  // False while a replacement is under way or the evidence is too old.
  bool usable = false;
  // When a replacement should be done; a request that expires earlier is refused at once.
  std::optional<instant> expected_back;
};

// Decides which connection a statement gets: where work goes, who waits and who is refused. Holds
// the connections of one instance to all members; opens them on demand and keeps them.
class link_dispatcher
{
public:
  struct hooks
  {
    // Connects; the outcome is reported by link_opened or link_closed.
    std::function<void(const member_link&, const listed_member&)> open;
    std::function<void(link_number)> close;
    std::function<std::optional<group_leader>(const std::string& group)> leader;
  };
  using grant_handler = std::function<void(std::shared_ptr<member_link>)>;
  using refuse_handler = std::function<void(statement_error, std::string reason)>;

  link_dispatcher(hooks calls, zone_id own_zone);

  // Members that left or that run anew lose their connections once these are idle.
  void set_members(const std::vector<listed_member>& members, instant now);

  // Connections that this instance may hold to one member of the group.
  void set_link_limit(const std::string& group, std::size_t limit);

  // Grants a connection now or later, or refuses; exactly one handler runs unless cancelled.
  ticket_number acquire(link_request request,
                        grant_handler granted,
                        refuse_handler refused,
                        instant now);
  void cancel(ticket_number ticket);

  // Gives back a connection outside any transaction. `elapsed` is the time one statement took, or
  // zero if none was measured.
  void release(link_number number, duration elapsed, instant now);

  // The member lacked a position that a read needed: reads go elsewhere for a while, longer each
  // time, until one succeeds there.
  void note_lagging(const member_id& member, instant now);
  void note_fresh(const member_id& member);

  void link_opened(link_number number, instant now);
  // `refused_full` is true if the member has too many connections.
  void link_closed(link_number number, bool refused_full, instant now);

  // Refuses what expired and grants what can be granted.
  void tick(instant now);

  const listed_member* member(const member_id& id) const;
  const std::map<member_id, listed_member>& members() const { return members_; }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t link_count() const { return links_.size(); }
  // Time since which every attempt failed; empty if the member answers.
  std::optional<instant> failing_since(const member_id& id) const;
  // True if there is an open connection to the member.
  bool reached(const member_id& id) const;

private:
  struct waiting_request
  {
    ticket_number ticket;
    link_request request;
    grant_handler granted;
    refuse_handler refused;
    instant arrived;
  };
  struct member_health
  {
    std::optional<instant> failing_since;
    instant retry_at{};
    instant lagging_until{};
    duration lagging_pause{};
    // Smoothed time of one statement, in microseconds.
    double statement_time = 0;
    instant measured{};
  };

  std::vector<const listed_member*> candidates(const link_request& request, instant now) const;
  double expected_cost(const listed_member& member, instant now) const;
  std::shared_ptr<member_link> idle_link(const listed_member& member, const link_request& request);
  std::size_t count_links(const member_id& id) const;
  std::optional<link_number> replaceable_link(const listed_member& member,
                                              const workspace_id& workspace) const;
  std::size_t link_limit(const std::string& group) const;
  bool may_open(const listed_member& member, instant now) const;
  void open(const listed_member& member, const workspace_id& workspace, instant now);
  bool try_grant(waiting_request& waiting, instant now);
  std::optional<std::string> hopeless(const waiting_request& waiting, instant now) const;
  void close_link(link_number number);
  void close_excess(const std::string& group);

  hooks hooks_;
  zone_id own_zone_;
  std::map<member_id, listed_member> members_;
  std::map<member_id, member_health> health_;
  std::map<std::string, std::size_t> limits_;
  std::map<link_number, std::shared_ptr<member_link>> links_;
  std::list<waiting_request> waiting_;
  std::uint64_t last_ticket_ = 0;
  std::uint64_t last_link_ = 0;
};

}
