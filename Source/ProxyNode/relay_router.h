#pragma once

#include "Proxy/carriers.h"
#include "ProxyNode/carrier_link.h"
#include "ProxyNode/decision_log.h"
#include "ProxyNode/session_port.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Chooses the carrier of each session and keeps the connections to all carriers.
class relay_router
{
public:
  struct hooks
  {
    // Key by which the home of a session with this first message is found; empty if the
    // configuration is not known here.
    std::function<std::optional<std::string>(const std::string& first_line)> home_key;
    // Another instance has shown effects of this version.
    std::function<void(std::uint64_t version)> version;
    // A carrier knows a coordinator.
    std::function<void(std::uint64_t token, const std::string& address)> coordinator;
  };

  relay_router(boost::asio::io_context& context, instance_id own, decision_log& log, hooks calls);
  ~relay_router();

  void set_plan(const carrier_plan& plan);
  const carrier_plan& plan() const { return plan_; }
  void tick(instant now);

  // True if sessions can begin somewhere.
  bool can_open() const;

  // The carrier that should run sessions of this key, as far as it can be reached; none if there is
  // none.
  std::optional<instance_id> home_of(const std::string& home_key) const;
  // As home_of, without this instance.
  std::shared_ptr<carrier_link> link_for(const std::string& home_key) const;

  // True if a session with this first message runs here.
  bool runs_here(const std::string& first_line) const;

  // Passes a session on.
  session_port relay(caller_port to);

  // Tells all carriers of the newest configuration version that callers may have seen effects of.
  void raise_version(std::uint64_t version);
  std::uint64_t highest_version() const { return highest_version_; }

private:
  class session;
  friend class session;

  std::string key_for(const std::string& first_line) const;
  std::shared_ptr<carrier_link> link_to(const instance_id& instance) const;

  boost::asio::io_context& context_;
  instance_id own_;
  decision_log& log_;
  hooks hooks_;
  carrier_plan plan_;
  std::map<instance_id, std::shared_ptr<carrier_link>> links_;
  // Links to instances that are no longer carriers, with their last sessions.
  std::vector<std::shared_ptr<carrier_link>> retiring_;
  // Home keys that carriers named, by first message.
  std::map<std::string, std::string> hints_;
  std::uint64_t highest_version_ = 0;
};

}
