#include "Engine/control_service.h"

#include "Control/rendezvous.h"
#include "Engine/wire_convert.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration list_interval = std::chrono::seconds(2);
// A lost fetch is repeated after this time.
constexpr duration fetch_interval = std::chrono::milliseconds(300);
constexpr std::size_t pollers_per_zone = 2;
const std::string config_row = "config";
const std::string key_row = "keys";

}

control_service::control_service(membership::identity self,
                                 std::vector<std::string> seed_peers,
                                 hooks callbacks,
                                 instant now)
  : seed_peers_(std::move(seed_peers))
  , hooks_(std::move(callbacks))
  , membership_(std::move(self), hooks_.random)
  , evidence_(membership_, now)
  , config_document_(config_row, document_hooks(false))
  , key_document_(key_row, document_hooks(true))
{
}

document::hooks
control_service::document_hooks(bool for_keys)
{
  document::hooks calls;
  calls.table = hooks_.table;
  calls.is_poller = [this] { return is_poller(); };
  if (for_keys) {
    calls.check = [](const std::string& content) -> result<void> {
      BOOST_OUTCOME_TRY(key_set::parse(content));
      return success();
    };
    calls.in_force = [this](config_version version, const std::string& content) {
      keys_in_force(version, content);
    };
    calls.table_read = [this](config_version version, instant sent_at) {
      evidence_.table_read(version, sent_at);
    };
    return calls;
  }
  calls.check = [](const std::string& content) -> result<void> {
    BOOST_OUTCOME_TRY(configuration::parse(content));
    return success();
  };
  calls.in_force = [this](config_version version, const std::string& content) {
    config_in_force(version, content);
  };
  return calls;
}

bool
control_service::is_poller() const
{
  const auto& self = membership_.self();
  std::vector<std::string> names;
  for (const auto& instance : membership_.live(self.zone, hooks_.now())) {
    names.push_back(instance.get());
  }
  const auto chosen = rendezvous::rank("poller " + self.zone.get(), names, pollers_per_zone);
  return std::find(chosen.begin(), chosen.end(), self.instance.get()) != chosen.end();
}

void
control_service::config_in_force(config_version version, const std::string& content)
{
  auto parsed = configuration::parse(content);
  if (!parsed) {
    return;
  }
  config_ = std::move(parsed).value();
  evidence_.set_zones(config_.zones());
  const auto now = hooks_.now();
  update_own_state(now);
  hooks_.log("configuration in force version=" + std::to_string(version.get()));
  hooks_.configured(now);
}

void
control_service::keys_in_force(config_version version, const std::string& content)
{
  auto parsed = key_set::parse(content);
  if (!parsed) {
    return;
  }
  const auto before = std::move(keys_);
  keys_ = std::move(parsed).value();
  evidence_.hold(version);
  const auto now = hooks_.now();
  update_own_state(now);
  hooks_.log("key set in force version=" + std::to_string(version.get()));
  for (const auto& entry : before.entries()) {
    if (entry.state == key_state::active && keys_.find(entry.digest) == nullptr) {
      hooks_.revoked(entry.digest, now);
    }
  }
}

void
control_service::update_own_state(instant now)
{
  membership::own_state state;
  state.leaving = leaving_;
  state.config_version = config_document_.version();
  state.key_version = evidence_.asserted_version(now);
  state.table_read_at = evidence_.table_read_at(now);
  membership_.set_own_state(state, now);
}

void
control_service::set_leaving(instant now)
{
  leaving_ = true;
  update_own_state(now);
}

void
control_service::tick(instant now)
{
  update_own_state(now);
  config_document_.poll(now);
  key_document_.poll(now);
  if (const auto read_at = membership_.youngest_table_read(key_document_.version())) {
    // The pollers read both rows in the same round, so that one age serves for both.
    key_document_.heard_fresh(*read_at);
    config_document_.heard_fresh(*read_at);
  }
  fetch_newer(now);
  const bool list_due = !listed_at_ || now - *listed_at_ >= list_interval;
  if (list_due && !list_pending_) {
    listed_at_ = now;
    list_pending_ = true;
    hooks_.list_instances([this](result<std::vector<listed_instance>> list) {
      list_pending_ = false;
      if (list) {
        membership_.apply_platform_list(list.value(), hooks_.now());
      }
    });
  }
  if (!membership_.heartbeat_due(now)) {
    return;
  }
  const auto targets = membership_.heartbeat_targets(now);
  for (const auto& target : targets) {
    send_heartbeat(target, now);
  }
  if (targets.empty()) {
    for (const auto& address : seed_peers_) {
      send_heartbeat({ instance_id(), address }, now);
    }
  }
}

void
control_service::send_heartbeat(const membership::peer& peer, instant now)
{
  wire::envelope message;
  *message.mutable_beat() = to_wire(membership_.make_heartbeat(peer.instance, now));
  hooks_.send(peer.address, std::move(message));
}

void
control_service::greet(const instance_id& peer, instant now)
{
  if (const auto* record = membership_.find(peer)) {
    send_heartbeat({ peer, record->entry.address }, now);
  }
}

void
control_service::on_heartbeat(const std::string& sender,
                              const wire::heartbeat& message,
                              instant now)
{
  const bool answer = membership_.receive(instance_id(sender), from_wire(message), now);
  if (answer) {
    greet(instance_id(sender), now);
  }
  fetch_newer(now);
}

void
control_service::fetch_newer(instant now)
{
  const auto due = [&](const std::string& name) {
    const auto last = fetched_at_.find(name);
    return last == fetched_at_.end() || now - last->second >= fetch_interval;
  };
  if (due(config_row)) {
    if (const auto holder = membership_.newer_config(config_document_.version(), now)) {
      fetched_at_[config_row] = now;
      fetch(config_row, config_document_.version(), *holder);
    }
  }
  if (due(key_row)) {
    if (const auto holder = membership_.newer_keys(key_document_.version(), now)) {
      fetched_at_[key_row] = now;
      fetch(key_row, key_document_.version(), *holder);
    }
  }
}

void
control_service::fetch(const std::string& name, config_version known, const version_holder& holder)
{
  const auto* record = membership_.find(holder.instance);
  if (record == nullptr) {
    return;
  }
  wire::envelope message;
  message.mutable_fetch()->set_name(name);
  message.mutable_fetch()->set_known_version(known.get());
  hooks_.send(record->entry.address, std::move(message));
}

void
control_service::on_fetch(const std::string& sender, const wire::document_request& request, instant)
{
  const auto& held = request.name() == key_row ? key_document_ : config_document_;
  const auto* record = membership_.find(instance_id(sender));
  const bool known_name = request.name() == key_row || request.name() == config_row;
  if (record == nullptr || !known_name || held.version().get() <= request.known_version()) {
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
control_service::on_document(const wire::document_answer& answer, instant)
{
  if (answer.name() != key_row && answer.name() != config_row) {
    return;
  }
  auto& held = answer.name() == key_row ? key_document_ : config_document_;
  const auto offered = held.offer(config_version(answer.version()), answer.content());
  if (!offered && offered.error().code != result_code::older_version) {
    hooks_.log("document refused name=" + answer.name() + " reason=" + offered.error().message);
  }
}

}
