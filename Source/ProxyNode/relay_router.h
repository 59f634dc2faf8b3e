#pragma once

#include "Proxy/session_routing.h"
#include "ProxyNode/carrier_connection.h"
#include "ProxyNode/decision_log.h"
#include "ProxyNode/session_handle.h"
#include "Resources/memory_budget.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Selects the carrier of each session and keeps connections to all carriers.
class relay_router
{
public:
  struct hooks
  {
    // Returns the routing key of a session with this first message. Empty if this instance has no
    // configuration.
    std::function<std::optional<routing_key>(const std::string& first_line)> routing_key_of;
    // Another instance has shown effects of this version to callers.
    std::function<void(std::uint64_t version)> version_received;
    // A carrier announced a coordinator.
    std::function<void(std::uint64_t token, const std::string& address)> coordinator_received;
    // Opens the account for the bytes that a session holds here. Optional.
    std::function<memory_budget::account(std::function<void()> end)> open_account = {};
  };

  relay_router(boost::asio::io_context& context,
               instance_id own_instance,
               zone_id own_zone,
               decision_log& log,
               hooks callbacks);
  ~relay_router();

  void set_plan(const carrier_plan& plan);
  const carrier_plan& plan() const { return plan_; }
  void tick(instant now);

  // True if this instance or any reachable carrier can begin sessions.
  bool can_begin_sessions() const;

  // The first carrier in the ranking of this key that is reachable or is this instance. Empty if
  // there is none.
  std::optional<instance_id> assigned_carrier(const routing_key& key) const;
  // Connection to the first reachable carrier in the ranking of this key, without this instance.
  std::shared_ptr<carrier_connection> connection_for(const routing_key& key) const;

  // True if a session with this first message begins here.
  bool runs_here(const std::string& first_line) const;

  // This instance stops: sessions begin on other carriers if any can be reached.
  void set_stopping() { stopping_ = true; }

  // Number of changes of the plan and of the reachability of carriers. A session is on its assigned
  // carrier until this changes.
  std::uint64_t placement_revision() const { return placement_revision_; }
  // True if nothing changed for long enough to move sessions back to their assigned carriers.
  bool placement_is_settled(instant now) const;

  // Returns a session that runs on a carrier.
  session_handle begin_relayed_session(caller_output output);

  // Sends all carriers the newest configuration version whose effects callers may have seen.
  void raise_version(std::uint64_t version);
  std::uint64_t highest_version() const { return highest_version_; }

private:
  class session;
  friend class session;

  routing_key routing_key_for(const std::string& first_line) const;
  void record_placement_change();
  std::shared_ptr<carrier_connection> connection_to(const instance_id& instance) const;

  boost::asio::io_context& context_;
  instance_id own_instance_;
  zone_id own_zone_;
  decision_log& log_;
  hooks hooks_;
  carrier_plan plan_;
  std::map<instance_id, std::shared_ptr<carrier_connection>> connections_;
  // Connections to instances that are no longer carriers, open until their last sessions end.
  std::vector<std::shared_ptr<carrier_connection>> draining_connections_;
  // Routing keys received from carriers, by first message.
  std::map<std::string, routing_key> redirect_keys_;
  std::size_t redirect_key_bytes_ = 0;
  std::uint64_t placement_revision_ = 0;
  instant placement_changed_at_{};
  bool stopping_ = false;
  std::uint64_t highest_version_ = 0;
};

}
