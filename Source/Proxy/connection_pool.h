#pragma once

#include "Proxy/fleet_configuration.h"
#include "Proxy/pooled_connection.h"
#include "Proxy/statement.h"
#include "Scheduling/wait_estimate.h"
#include "Scheduling/waiting_queue.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// What a statement or transaction requires of a connection.
struct connection_request
{
  std::string group;
  workspace_id workspace;
  bool needs_primary = false;
  // Settings of the session; a connection that already has them is preferred.
  session_settings settings;
  // Class of the request; more urgent classes are served first.
  request_class priority;
  // Time by which the whole operation should be answered; earlier ones go first within a class and
  // the tolerance of its shares.
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

// Why a waiting request was refused.
enum class refusal_cause : std::uint8_t
{
  // It waited until its expiry.
  expired,
  // It would have expired before its turn.
  queue_too_long,
  // Only members in evacuated zones could serve it.
  zone_evacuated,
  primary_unknown,
  // The primary is replaced too late for the request.
  primary_replaced,
};

std::string_view
name_of(refusal_cause cause);

// "R/W": priority of the route, and of the workspace or "none" if it states none.
std::string
name_of(const request_class& priority);

// True if the group's primary is known, may be used, and is `member`.
bool
is_usable_primary(const std::optional<group_primary>& primary, const member_id& member);

// Time from the acknowledgement that a member is draining until nothing new may be sent to it,
// where the settings name none. Shortest of the known platforms.
inline constexpr duration default_drain_limit = std::chrono::milliseconds(7000);

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

  // `limit` is the time from the store's acknowledgement that a member is draining until nothing
  // new may be sent to it, even if it is still the primary.
  void set_drain_limit(duration limit);

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
  std::map<request_class, std::size_t> waiting_by_class() const;
  // Number of the requests refused so far.
  const std::map<refusal_cause, std::uint64_t>& refusals() const { return refusals_; }
  std::size_t connection_count() const { return connections_.size(); }
  // Number of connections to members in the zone.
  std::size_t connections_to(const zone_id& zone) const;
  // Time since which every connection attempt failed; empty if the member answers.
  std::optional<instant> failing_since(const member_id& id) const;
  // True if there is an open connection to the member.
  bool is_connected_to(const member_id& id) const;

private:
  // The group's primary; not usable once it has drained for as long as it may be used.
  std::optional<group_primary> serving_primary(const std::string& group, instant now) const;
  struct waiting_request
  {
    connection_request request;
    grant_handler granted;
    refuse_handler refused;
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
    // Time from the grant of a connection to its release.
    hold_time_average hold_time;
  };
  // Members that may serve a request, the best first, while nothing changes.
  using candidate_cache = std::map<connection_requirement, std::vector<const listed_member*>>;
  using connection_list = std::vector<std::shared_ptr<pooled_connection>>;

  const std::vector<const listed_member*>& members_of(const std::string& group) const;
  const connection_list& connections_to(const member_id& id) const;
  std::vector<const listed_member*> candidates(const std::string& group,
                                               const connection_requirement& requirement,
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
  std::shared_ptr<pooled_connection> find_connection(
    const connection_request& request,
    instant oldest_arrival,
    const std::vector<const listed_member*>& ranked,
    instant now);
  bool is_worth_waiting(const workspace_id& workspace,
                        instant oldest_arrival,
                        const std::vector<const listed_member*>& ranked,
                        instant now) const;
  bool is_evacuated(const listed_member& member) const;
  std::optional<std::string> evacuation_refusal(const std::string& group,
                                                const connection_requirement& requirement) const;
  void serve(const std::string& group, instant now);
  bool serve_next(waiting_queue& queue,
                  std::set<std::uint64_t>& blocked,
                  candidate_cache& ranked,
                  instant now);
  void refuse_hopeless(const std::string& group, waiting_queue& queue, instant now);
  void refuse_unservable(const std::string& group, waiting_queue& queue, instant now);
  void refuse(waiting_queue& queue,
              request_number number,
              refusal_cause cause,
              std::string text,
              std::optional<duration> retry_after);
  std::optional<group_capacity> capacity_of(const std::string& group, instant now) const;
  std::optional<duration> retry_after_expiry(const std::string& group,
                                             const waiting_queue& queue,
                                             const queued_request& request,
                                             instant now) const;
  void erase_connection(connection_number number);
  void close_connection(connection_number number);
  void close_excess_connections(const std::string& group);

  hooks hooks_;
  zone_id own_zone_;
  std::map<member_id, listed_member> members_;
  duration drain_limit_ = default_drain_limit;
  // When each draining member was first listed as draining.
  std::map<member_id, instant> draining_since_;
  std::set<zone_id> evacuated_zones_;
  std::map<member_id, member_health> health_;
  std::map<std::string, std::size_t> connection_limits_;
  std::map<connection_number, std::shared_ptr<pooled_connection>> connections_;
  // The same members and connections by group and by member, in the same order.
  std::map<std::string, std::vector<const listed_member*>> group_members_;
  std::map<member_id, connection_list> member_connections_;
  std::map<request_number, waiting_request> waiting_;
  // Order of the waiting requests of each group.
  std::map<std::string, waiting_queue> queues_;
  std::map<refusal_cause, std::uint64_t> refusals_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_connection_ = 0;
};

}
