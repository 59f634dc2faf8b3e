#pragma once

#include "Control/configuration.h"
#include "Control/document.h"
#include "Control/key_evidence.h"
#include "Control/key_set.h"
#include "Control/membership.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Control logic of one instance. Connects the documents, the membership and the key evidence, and
// maintains the order that the evidence relies on: a version comes into force on this instance
// before the instance's own entry announces it.
class control_plane
{
public:
  enum class document_name
  {
    config,
    keys,
  };

  struct hooks
  {
    table_hooks table;
    membership::random_hook random;
    std::function<void(const instance_id& target, const heartbeat& message)> send;
    // Requests a peer's copy of a document; the response is passed to `offer`. Repeated until the
    // document arrives.
    std::function<void(const instance_id& holder, document_name wanted)> fetch;
    // Called when a version comes into force. May be empty.
    std::function<void(config_version, const configuration&)> config_in_force;
    std::function<void(config_version, const key_set&)> keys_in_force;
  };

  control_plane(membership::identity self, hooks callbacks, instant started);
  control_plane(const control_plane&) = delete;
  control_plane& operator=(const control_plane&) = delete;

  // Must be called at least four times a second. 20 times a second is better, so that changes
  // spread quickly.
  void step(instant now);

  // Merges a heartbeat and responds to it if needed.
  void receive(const instance_id& sender, const heartbeat& message, instant now);

  // Takes a document from a peer; see document::offer.
  result<void> offer(document_name name,
                     config_version version,
                     const std::string& content,
                     instant now);

  // Stores an edit; see document::publish.
  void publish(document_name name,
               document_edit edit,
               instant now,
               document::publish_callback report);

  void apply_platform_list(const std::vector<listed_instance>& list, instant now);

  // Sends a heartbeat to one peer immediately, for example because the peer's clock is not known
  // yet.
  void send_heartbeat(const instance_id& peer, instant now);

  // See membership::record_contact and membership::record_refusal.
  void record_contact(const instance_id& peer) { members_.record_contact(peer); }
  void record_refusal(const instance_id& peer, instant now) { members_.record_refusal(peer, now); }

  // Returns a heartbeat for a peer of which only the address is known.
  heartbeat make_first_heartbeat(instant now)
  {
    return members_.make_heartbeat(instance_id(), now);
  }

  // Announces in the next heartbeats that this instance is leaving.
  void leave(instant now);

  // Returns the key entry of a presented key. Fails with key_evidence_stale if keys may not be
  // accepted now, or with key_rejected. The entry is valid until the key set changes.
  result<const key_entry*> find_key(std::string_view presented, instant now);

  const document& local_document(document_name name) const;
  const configuration& config() const { return config_; }
  const key_set& keys() const { return keys_; }
  const membership& members() const { return members_; }
  const key_evidence& evidence() const { return evidence_; }

private:
  document::hooks hooks_for(document_name name);
  document& mutable_document(document_name name);
  void update_own_state(instant now);
  void choose_poller(instant now);
  void fetch_newer(instant now);
  void send_heartbeats(instant now);

  hooks hooks_;
  membership members_;
  key_evidence evidence_;
  configuration config_;
  key_set keys_;
  // Parsed by the last check. Takes effect when that content comes into force.
  configuration checked_config_;
  key_set checked_keys_;
  bool leaving_ = false;
  bool is_poller_ = false;
  std::optional<instant> poller_chosen_at_;
  std::optional<instant> fetched_at_;
  // Declared last, because their callbacks use the other members.
  document config_document_;
  document keys_document_;
};

}
