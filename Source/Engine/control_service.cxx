#include "Engine/control_service.h"

#include "Engine/wire_convert.h"

#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration list_interval = std::chrono::seconds(2);
constexpr duration introduction_interval = std::chrono::seconds(1);

std::string
row_of(control_plane::document_name name)
{
  return name == control_plane::document_name::keys ? "keys" : "config";
}

std::optional<control_plane::document_name>
document_of(const std::string& row)
{
  for (const auto name :
       { control_plane::document_name::config, control_plane::document_name::keys }) {
    if (row == row_of(name)) {
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
  , plane_(std::move(self), plane_hooks(), now)
{
}

control_plane::hooks
control_service::plane_hooks()
{
  control_plane::hooks calls;
  calls.table = hooks_.table;
  calls.random = hooks_.random;
  calls.send = [this](const instance_id& target, const heartbeat& beat) {
    if (const auto* record = plane_.members().find(target)) {
      send_beat(record->entry.address, beat);
    }
  };
  calls.fetch = [this](const instance_id& holder, document_name wanted) {
    const auto* record = plane_.members().find(holder);
    if (record == nullptr) {
      return;
    }
    wire::envelope message;
    message.mutable_fetch()->set_name(row_of(wanted));
    message.mutable_fetch()->set_known_version(plane_.local_document(wanted).version().get());
    hooks_.send(record->entry.address, std::move(message));
  };
  calls.config_in_force = [this](config_version version, const configuration&) {
    hooks_.log("configuration in force version=" + std::to_string(version.get()));
    hooks_.configured(hooks_.now());
  };
  calls.keys_in_force = [this](config_version version, const key_set& keys) {
    keys_in_force(version, keys);
  };
  return calls;
}

void
control_service::keys_in_force(config_version version, const key_set& keys)
{
  hooks_.log("key set in force version=" + std::to_string(version.get()));
  const auto before = std::exchange(active_, {});
  for (const auto& entry : keys.entries()) {
    if (entry.state == key_state::active) {
      active_.push_back(entry.digest);
    }
  }
  const auto now = hooks_.now();
  for (const auto& digest : before) {
    if (keys.find(digest) == nullptr) {
      hooks_.revoked(digest, now);
    }
  }
}

void
control_service::send_beat(const std::string& address, const heartbeat& beat)
{
  wire::envelope message;
  *message.mutable_beat() = to_wire(beat);
  hooks_.send(address, std::move(message));
}

void
control_service::tick(instant now)
{
  plane_.step(now);
  refresh_list(now);
  const bool alone = plane_.members().records().size() <= 1;
  if (!alone || (introduced_at_ && now - *introduced_at_ < introduction_interval)) {
    return;
  }
  introduced_at_ = now;
  for (const auto& address : seed_peers_) {
    send_beat(address, plane_.make_first_heartbeat(now));
  }
}

void
control_service::refresh_list(instant now)
{
  if (list_pending_ || (listed_at_ && now - *listed_at_ < list_interval)) {
    return;
  }
  listed_at_ = now;
  list_pending_ = true;
  hooks_.list_instances([this](result<std::vector<listed_instance>> list) {
    list_pending_ = false;
    if (list) {
      plane_.apply_platform_list(list.value(), hooks_.now());
    }
  });
}

void
control_service::on_heartbeat(const std::string& sender,
                              const wire::heartbeat& message,
                              instant now)
{
  plane_.receive(instance_id(sender), from_wire(message), now);
}

void
control_service::note_refused(const std::string& address, instant now)
{
  for (const auto& [name, record] : plane_.members().records()) {
    if (record.entry.address == address) {
      plane_.record_refusal(name, now);
      return;
    }
  }
}

void
control_service::on_fetch(const std::string& sender, const wire::document_request& request)
{
  const auto name = document_of(request.name());
  const auto* record = plane_.members().find(instance_id(sender));
  if (record == nullptr || !name) {
    return;
  }
  const auto& held = plane_.local_document(*name);
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
control_service::on_document(const wire::document_answer& answer, instant now)
{
  const auto name = document_of(answer.name());
  if (!name) {
    return;
  }
  const auto offered = plane_.offer(*name, config_version(answer.version()), answer.content(), now);
  if (!offered && offered.error().code != result_code::older_version) {
    hooks_.log("document refused name=" + answer.name() + " reason=" + offered.error().message);
  }
}

}
