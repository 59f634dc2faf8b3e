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

// The control logic of one instance, wired: documents, membership and key evidence. It keeps the
// order that the evidence relies on: a version is in force here before the own entry states it.
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
    // Asks a peer for its copy of a document; the answer goes to `offer`. Repeated until it came.
    std::function<void(const instance_id& holder, document_name wanted)> fetch;
    // A version came into force. May be empty.
    std::function<void(config_version, const configuration&)> config_in_force;
    std::function<void(config_version, const key_set&)> keys_in_force;
  };

  control_plane(membership::identity self, hooks callbacks, instant started);
  control_plane(const control_plane&) = delete;
  control_plane& operator=(const control_plane&) = delete;

  // To be called at least four times a second, better 20 times, so that changes spread quickly.
  void step(instant now);

  // Merges a heartbeat and answers it if needed.
  void receive(const instance_id& sender, const heartbeat& message, instant now);

  // A document from a peer; see document::offer.
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

  // Sends a heartbeat to one peer at once, for instance because its clock is not known yet.
  void send_heartbeat(const instance_id& peer, instant now);

  // See membership.
  void record_contact(const instance_id& peer) { members_.record_contact(peer); }
  void record_refusal(const instance_id& peer, instant now) { members_.record_refusal(peer, now); }

  // A heartbeat for a peer of which only the address is known.
  heartbeat make_first_heartbeat(instant now)
  {
    return members_.make_heartbeat(instance_id(), now);
  }

  // Announces the departure with the next heartbeats.
  void leave(instant now);

  // The workspace's key entry. Fails with key_evidence_stale if keys may not be accepted now, or
  // with key_rejected. The entry is valid until the key set changes.
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
  // Parsed by the last check, and taken over when that content comes into force.
  configuration checked_config_;
  key_set checked_keys_;
  bool leaving_ = false;
  bool is_poller_ = false;
  std::optional<instant> poller_chosen_at_;
  std::optional<instant> fetched_at_;
  // Last, because their callbacks use the other members.
  document config_document_;
  document keys_document_;
};

}
