#pragma once

#include "Control/control_plane.h"
#include "Wire/peer.pb.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Connects the control plane of one instance (configuration, keys, membership and key evidence) to
// the peer messages and to the platform's instance list.
class control_service
{
public:
  using document_name = control_plane::document_name;

  struct hooks
  {
    table_hooks table;
    std::function<void(std::function<void(result<std::vector<listed_instance>>)>)> list_instances;
    // Sends a message to a peer by address. If the message is lost, a later tick sends it again.
    std::function<void(const std::string& address, wire::envelope)> send;
    membership::random_hook random;
    std::function<instant()> now;
    std::function<void(const std::string&)> log;
    // A new configuration took effect.
    std::function<void(instant)> configuration_applied;
    // A key was revoked by the key set that took effect.
    std::function<void(const sha256_digest&, instant)> key_revoked;
  };

  control_service(membership::identity self,
                  std::vector<std::string> seed_peers,
                  hooks callbacks,
                  instant now);

  void tick(instant now);
  void on_heartbeat(const std::string& sender, const wire::heartbeat& message, instant now);
  void on_document_request(const std::string& sender, const wire::document_request& request);
  void on_document_answer(const wire::document_answer& answer, instant now);
  void set_leaving(instant now) { control_plane_.leave(now); }

  // Records that a message arrived from a peer, or that the transport could not send one to it.
  void record_contact(const instance_id& peer) { control_plane_.record_contact(peer); }
  void record_refusal(const std::string& address, instant now);

  // Sends a heartbeat to one peer at once, for example because its clock is not known yet.
  void send_heartbeat(const instance_id& peer, instant now)
  {
    control_plane_.send_heartbeat(peer, now);
  }

  void publish(document_name name,
               document_edit edit,
               instant now,
               document::publish_callback report)
  {
    control_plane_.publish(name, std::move(edit), now, std::move(report));
  }

  bool has_configuration() const { return config_document().version().get() > 0; }
  const configuration& config() const { return control_plane_.config(); }
  const key_set& keys() const { return control_plane_.keys(); }
  result<const key_entry*> find_key(std::string_view presented, instant now)
  {
    return control_plane_.find_key(presented, now);
  }
  const key_evidence& evidence() const { return control_plane_.evidence(); }
  const membership& members() const { return control_plane_.members(); }
  const document& config_document() const
  {
    return control_plane_.local_document(document_name::config);
  }
  const document& key_document() const
  {
    return control_plane_.local_document(document_name::keys);
  }

private:
  control_plane::hooks make_control_plane_hooks();
  void on_keys_applied(config_version version, const key_set& keys);
  void send_heartbeat_to(const std::string& address, const heartbeat& message);
  void refresh_instance_list(instant now);

  std::vector<std::string> seed_peers_;
  hooks hooks_;
  // Digests of the active keys in the current key set.
  std::vector<sha256_digest> active_keys_;
  bool list_pending_ = false;
  std::optional<instant> list_requested_at_;
  std::optional<instant> first_heartbeat_sent_at_;
  // Declared last because its callbacks use the other members.
  control_plane control_plane_;
};

}
