#pragma once

#include "Control/configuration.h"
#include "Control/document.h"
#include "Control/key_evidence.h"
#include "Control/key_set.h"
#include "Control/membership.h"
#include "Wire/peer.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Configuration, keys and membership of one instance: what is in force here, what the peers hold,
// and whether keys may be accepted.
class control_service
{
public:
  struct hooks
  {
    table_hooks table;
    std::function<void(std::function<void(result<std::vector<listed_instance>>)>)> list_instances;
    // Sends to a peer by address; a lost message is repeated by a later round.
    std::function<void(const std::string& address, wire::envelope)> send;
    membership::random_hook random;
    std::function<instant()> now;
    std::function<void(const std::string&)> log;
    // A configuration came into force.
    std::function<void(instant)> configured;
    // A key was revoked by the key set that came into force.
    std::function<void(const sha256_digest&, instant)> revoked;
  };

  control_service(membership::identity self,
                  std::vector<std::string> seed_peers,
                  hooks callbacks,
                  instant now);

  void tick(instant now);
  void on_heartbeat(const std::string& sender, const wire::heartbeat& message, instant now);
  void on_fetch(const std::string& sender, const wire::document_request& request, instant now);
  void on_document(const wire::document_answer& answer, instant now);
  void set_leaving(instant now);

  // Sends a heartbeat to a peer whose clock is not known yet.
  void greet(const instance_id& peer, instant now);

  bool configured() const { return config_document_.version().get() > 0; }
  const configuration& config() const { return config_; }
  const key_set& keys() const { return keys_; }
  bool may_accept_keys(instant now) { return evidence_.may_accept(now); }
  key_evidence::state evidence_state(instant now) const { return evidence_.evaluate(now); }
  key_evidence::acknowledgement acknowledged(config_version version, instant now) const
  {
    return evidence_.acknowledged(version, now);
  }
  membership& members() { return membership_; }
  const membership& members() const { return membership_; }
  document& config_document() { return config_document_; }
  document& key_document() { return key_document_; }

private:
  document::hooks document_hooks(bool for_keys);
  bool is_poller() const;
  void config_in_force(config_version version, const std::string& content);
  void keys_in_force(config_version version, const std::string& content);
  void send_heartbeat(const membership::peer& peer, instant now);
  void fetch_newer(instant now);
  void fetch(const std::string& name, config_version known, const version_holder& holder);
  void update_own_state(instant now);

  std::vector<std::string> seed_peers_;
  hooks hooks_;
  membership membership_;
  key_evidence evidence_;
  configuration config_;
  key_set keys_;
  document config_document_;
  document key_document_;
  bool leaving_ = false;
  bool list_pending_ = false;
  std::optional<instant> listed_at_;
  std::map<std::string, instant> fetched_at_;
};

}
