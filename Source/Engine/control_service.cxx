#include "Engine/control_service.h"

#include "Engine/wire_convert.h"

#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration list_interval = std::chrono::seconds(2);
constexpr duration first_heartbeat_interval = std::chrono::seconds(1);

std::string
row_key(control_plane::document_name name)
{
  return name == control_plane::document_name::keys ? "keys" : "config";
}

std::optional<control_plane::document_name>
document_from_row_key(const std::string& row)
{
  for (const auto name :
       { control_plane::document_name::config, control_plane::document_name::keys }) {
    if (row == row_key(name)) {
      return name;
    }
  }
  return std::nullopt;
}

}

control_service::control_service(membership::identity self,
                                 std::vector<std::string> seed_peers,
                                 hooks callbacks,
                                 instant now)
  : seed_peers_(std::move(seed_peers))
  , hooks_(std::move(callbacks))
  , control_plane_(std::move(self), make_control_plane_hooks(), now)
{
}

control_plane::hooks
control_service::make_control_plane_hooks()
{
  control_plane::hooks calls;
  calls.table = hooks_.table;
  calls.random = hooks_.random;
  calls.send = [this](const instance_id& target, const heartbeat& beat) {
    if (const auto* record = control_plane_.members().find(target)) {
      send_heartbeat_to(record->entry.address, beat);
    }
  };
  calls.fetch = [this](const instance_id& holder, document_name wanted) {
    const auto* record = control_plane_.members().find(holder);
    if (record == nullptr) {
      return;
    }
    wire::envelope message;
    message.mutable_fetch()->set_name(row_key(wanted));
    message.mutable_fetch()->set_known_version(
      control_plane_.local_document(wanted).version().get());
    hooks_.send(record->entry.address, std::move(message));
  };
  calls.config_in_force = [this](config_version version, const configuration&) {
    hooks_.log("configuration took effect version=" + std::to_string(version.get()));
    hooks_.configuration_applied(hooks_.now());
  };
  calls.keys_in_force = [this](config_version version, const key_set& keys) {
    on_keys_applied(version, keys);
  };
  return calls;
}

void
control_service::on_keys_applied(config_version version, const key_set& keys)
{
  hooks_.log("key set took effect version=" + std::to_string(version.get()));
  const auto before = std::exchange(active_keys_, {});
  for (const auto& entry : keys.entries()) {
    if (entry.state == key_state::active) {
      active_keys_.push_back(entry.digest);
    }
  }
  const auto now = hooks_.now();
  for (const auto& digest : before) {
    if (keys.find(digest) == nullptr) {
      hooks_.key_revoked(digest, now);
    }
  }
}

void
control_service::send_heartbeat_to(const std::string& address, const heartbeat& beat)
{
  wire::envelope message;
  *message.mutable_beat() = to_wire(beat);
  hooks_.send(address, std::move(message));
}

void
control_service::tick(instant now)
{
  control_plane_.step(now);
  refresh_instance_list(now);
  const bool has_no_peers = control_plane_.members().records().size() <= 1;
  if (!has_no_peers ||
      (first_heartbeat_sent_at_ && now - *first_heartbeat_sent_at_ < first_heartbeat_interval)) {
    return;
  }
  first_heartbeat_sent_at_ = now;
  for (const auto& address : seed_peers_) {
    send_heartbeat_to(address, control_plane_.make_first_heartbeat(now));
  }
}

void
control_service::refresh_instance_list(instant now)
{
  if (list_pending_ || (list_requested_at_ && now - *list_requested_at_ < list_interval)) {
    return;
  }
  list_requested_at_ = now;
  list_pending_ = true;
  hooks_.list_instances([this](result<std::vector<listed_instance>> list) {
    list_pending_ = false;
    if (list) {
      control_plane_.apply_platform_list(list.value(), hooks_.now());
    }
  });
}

void
control_service::on_heartbeat(const std::string& sender,
                              const wire::heartbeat& message,
                              instant now)
{
  control_plane_.receive(instance_id(sender), from_wire(message), now);
}

void
control_service::record_refusal(const std::string& address, instant now)
{
  for (const auto& [name, record] : control_plane_.members().records()) {
    if (record.entry.address == address) {
      control_plane_.record_refusal(name, now);
      return;
    }
  }
}

void
control_service::on_document_request(const std::string& sender,
                                     const wire::document_request& request)
{
  const auto name = document_from_row_key(request.name());
  const auto* record = control_plane_.members().find(instance_id(sender));
  if (record == nullptr || !name) {
    return;
  }
  const auto& held = control_plane_.local_document(*name);
  if (held.version().get() <= request.known_version()) {
    return;
  }
  wire::envelope message;
  auto* answer = message.mutable_document();
  answer->set_name(request.name());
  answer->set_version(held.version().get());
  answer->set_content(held.content());
  hooks_.send(record->entry.address, std::move(message));
}

void
control_service::on_document_answer(const wire::document_answer& answer, instant now)
{
  const auto name = document_from_row_key(answer.name());
  if (!name) {
    return;
  }
  const auto offered =
    control_plane_.offer(*name, config_version(answer.version()), answer.content(), now);
  if (!offered && offered.error().code != result_code::older_version) {
    hooks_.log("document rejected name=" + answer.name() + " reason=" + offered.error().message);
  }
}

}
