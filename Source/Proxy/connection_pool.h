#pragma once

#include "Proxy/fleet_configuration.h"
#include "Proxy/pooled_connection.h"
#include "Proxy/statement.h"

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonshelf {

using request_number = strong<struct request_number_tag, std::uint64_t>;

// What a statement or transaction requires of a connection.
struct connection_request
{
  std::string group;
  workspace_id workspace;
  bool needs_primary = false;
  // Settings of the session; a connection that already has them is preferred.
  session_settings settings;
  std::uint32_t priority = 0;
  // Time by which the whole operation should be answered; determines the order of the queue.
  instant target{};
  // The request is refused if no connection was granted by this time.
  instant expiry{};
  // Member that refused the statement just before.
  std::optional<member_id> excluded_member;
};

// The primary of a group, as far as this instance may rely on it.
struct group_primary
{
  member_id member;
  // False while a replacement is in progress or the evidence is too old.
  bool usable = false;
  // When a replacement should be complete; a request that expires earlier is refused at once.
  std::optional<instant> replacement_expected_at;
};

// True if the group's primary is known, may be used, and is `member`.
bool
is_usable_primary(const std::optional<group_primary>& primary, const member_id& member);

// Pool of the connections of one instance to all members. Decides which connection a statement
// gets, which requests wait and which are refused. Opens connections on demand and keeps them.
class connection_pool
{
public:
  struct hooks
  {
    // Connects to the member; the outcome is reported by on_connection_opened() or
    // on_connection_closed().
    std::function<void(const pooled_connection&, const listed_member&)> open;
    std::function<void(connection_number)> close;
    std::function<std::optional<group_primary>(const std::string& group)> primary_of;
  };
  using grant_handler = std::function<void(std::shared_ptr<pooled_connection>)>;
  using refuse_handler = std::function<void(statement_error, std::string reason)>;

  connection_pool(hooks callbacks, zone_id own_zone);

  // Closes the idle connections to members that left or are draining. Connections in use are closed
  // when they are released.
  void set_members(const std::vector<listed_member>& members, instant now);

  // Members in these zones get no new work and no connections. Closes the idle connections to them;
  // connections in use are closed when they are released.
  void set_evacuated_zones(const std::set<zone_id>& zones, instant now);

  // Sets the maximum number of connections that this instance may hold to one member of the group.
  void set_connection_limit(const std::string& group, std::size_t limit);

  // Grants a connection now or later, or refuses it; exactly one handler runs unless the request is
  // cancelled.
  request_number acquire(connection_request request,
                         grant_handler granted,
                         refuse_handler refused,
                         instant now);
  void cancel(request_number number);

  // Returns a connection that is outside any transaction. `elapsed` is the duration of one
  // statement, or zero if none was measured.
  void release(connection_number number, duration elapsed, instant now);

  // The member lagged behind the position that a read needed. Reads avoid it for a while, longer
  // each time, until a read succeeds there.
  void record_lag(const member_id& member, instant now);
  void clear_lag(const member_id& member);

  void on_connection_opened(connection_number number, instant now);
  // `refused_full` is true if the member has too many connections.
  void on_connection_closed(connection_number number, bool refused_full, instant now);

  // Refuses expired requests and grants connections to the waiting ones.
  void tick(instant now);

  const std::set<zone_id>& evacuated_zones() const { return evacuated_zones_; }
  const listed_member* find_member(const member_id& id) const;
  const std::map<member_id, listed_member>& members() const { return members_; }
  std::size_t waiting_count() const { return waiting_.size(); }
  std::size_t connection_count() const { return connections_.size(); }
  // Number of connections to members in the zone.
  std::size_t connections_to(const zone_id& zone) const;
  // Time since which every connection attempt failed; empty if the member answers.
  std::optional<instant> failing_since(const member_id& id) const;
  // True if there is an open connection to the member.
  bool is_connected_to(const member_id& id) const;

private:
  struct waiting_request
  {
    request_number number;
    connection_request request;
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
    // Smoothed duration of one statement, in microseconds.
    double statement_time_us = 0;
    instant measured_at{};
  };

  std::vector<const listed_member*> candidates(const connection_request& request,
                                               instant now) const;
  double expected_cost(const listed_member& member, instant now) const;
  std::shared_ptr<pooled_connection> idle_connection(const listed_member& member,
                                                     const connection_request& request);
  std::size_t count_connections(const member_id& id) const;
  std::optional<connection_number> replaceable_connection(const listed_member& member,
                                                          const workspace_id& workspace) const;
  std::size_t group_connection_limit(const std::string& group) const;
  bool may_open(const listed_member& member, instant now) const;
  void open_connection(const listed_member& member, const workspace_id& workspace, instant now);
  bool try_grant(waiting_request& waiting, instant now);
  bool is_worth_waiting(const waiting_request& waiting,
                        const std::vector<const listed_member*>& ranked,
                        instant now) const;
  bool is_evacuated(const listed_member& member) const;
  std::optional<std::string> evacuation_refusal(const connection_request& request) const;
  std::optional<std::string> refusal_reason(const waiting_request& waiting, instant now) const;
  void close_connection(connection_number number);
  void close_excess_connections(const std::string& group);

  hooks hooks_;
  zone_id own_zone_;
  std::map<member_id, listed_member> members_;
  std::set<zone_id> evacuated_zones_;
  std::map<member_id, member_health> health_;
  std::map<std::string, std::size_t> connection_limits_;
  std::map<connection_number, std::shared_ptr<pooled_connection>> connections_;
  std::list<waiting_request> waiting_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_connection_ = 0;
};

}
