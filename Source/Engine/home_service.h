#pragma once

#include "Control/configuration.h"
#include "Engine/backend_connection_registry.h"
#include "Engine/deferred_calls.h"
#include "Engine/group_service.h"
#include "Home/member_home.h"
#include "Wire/peer.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace persimmonshelf {

// Serves the members that this instance is the home of: accepts forwarded requests, runs them on
// the members and returns the answers to the forwarding instances.
class home_service
{
public:
  // Destination of an answer: the address of a peer, or this instance if `local` is set.
  struct requester
  {
    std::string address;
    bool local = false;
  };

  struct hooks
  {
    std::function<void(const requester&, wire::forward_answer)> answer;
    std::function<std::uint64_t()> random_bits;
    instance_id instance;
    incarnation_id incarnation;
  };

  home_service(backend_connection_registry& connections, group_service& groups, hooks callbacks);
  ~home_service();

  // Sets the members to serve. A member that is removed finishes its requests and accepts no new
  // ones.
  void configure(const std::map<member_id, configuration::member_location>& members,
                 const fleet_settings& settings,
                 instant now);

  void submit(const requester& from, const wire::forward_request& request, instant now);

  void group_changed(const database_id& database, instant now);
  void revoke_key(const sha256_digest& key_digest, instant now);
  void drain(instant now);
  bool drained() const;
  void tick(instant now);

  // Databases of the members that are served here or are finishing their requests.
  std::set<database_id> databases() const;

  // Statistics of the same members, for status and metrics.
  std::map<member_id, home_stats> stats() const;

private:
  struct served_member;
  struct open_request;

  std::unique_ptr<served_member> make_member(const configuration::member_location& place,
                                             const fleet_settings& settings);
  member_home_hooks make_home_hooks(served_member& target);
  read_readiness read_readiness_of(const served_member& target,
                                   const std::optional<log_point>& at_least,
                                   duration max_age,
                                   instant now) const;
  // Closes the member's connections and removes it.
  void remove_member(const member_id& id);
  void open_connection(served_member& target, connection_number number);
  void handle_connection_event(served_member& target,
                               connection_number number,
                               backend_event& event,
                               instant now);
  void handle_answer(served_member& target, const home_answer& answer);
  void reject(const requester& to,
              const wire::forward_request& request,
              result_code code,
              const std::string& message,
              instant now);
  served_member* find_target(const wire::forward_request& request);
  void add_view(const database_id& database, wire::forward_answer& answer, instant now) const;

  backend_connection_registry& connections_;
  group_service& groups_;
  hooks hooks_;
  std::map<member_id, std::unique_ptr<served_member>> members_;
  std::unordered_map<request_id, open_request> open_;
  // Maps each transaction opened here to its member.
  std::unordered_map<transaction_id, member_id> transactions_;
  instant now_;
  bool draining_ = false;
};

}
