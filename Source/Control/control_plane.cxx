#include "Control/control_plane.h"

#include "Control/rendezvous.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

constexpr std::size_t pollers_per_zone = 2;
constexpr duration poller_interval = std::chrono::seconds(1);
constexpr duration fetch_interval = std::chrono::milliseconds(300);

}

control_plane::control_plane(membership::identity self, hooks callbacks, instant started)
  : hooks_(std::move(callbacks))
  , members_(std::move(self), hooks_.random)
  , evidence_(members_, started)
  , config_document_("config", hooks_for(document_name::config))
  , keys_document_("keys", hooks_for(document_name::keys))
{
}

document::hooks
control_plane::hooks_for(document_name name)
{
  document::hooks callbacks;
  callbacks.table = hooks_.table;
  callbacks.is_poller = [this] { return is_poller_; };
  if (name == document_name::config) {
    callbacks.check = [this](const std::string& content) -> result<void> {
      auto parsed = configuration::parse(content);
      if (!parsed) {
        return parsed.error();
      }
      checked_config_ = std::move(parsed).value();
      return success();
    };
    callbacks.in_force = [this](config_version version, const std::string&) {
      config_ = checked_config_;
      evidence_.set_zones(config_.zones());
      if (hooks_.config_in_force) {
        hooks_.config_in_force(version, config_);
      }
    };
    return callbacks;
  }
  callbacks.check = [this](const std::string& content) -> result<void> {
    auto parsed = key_set::parse(content);
    if (!parsed) {
      return parsed.error();
    }
    checked_keys_ = std::move(parsed).value();
    return success();
  };
  callbacks.in_force = [this](config_version version, const std::string&) {
    keys_ = checked_keys_;
    evidence_.set_held_version(version);
    if (hooks_.keys_in_force) {
      hooks_.keys_in_force(version, keys_);
    }
  };
  callbacks.table_read = [this](config_version version, instant sent_at) {
    evidence_.record_table_read(version, sent_at);
  };
  return callbacks;
}

const document&
control_plane::local_document(document_name name) const
{
  return name == document_name::config ? config_document_ : keys_document_;
}

document&
control_plane::mutable_document(document_name name)
{
  return name == document_name::config ? config_document_ : keys_document_;
}

void
control_plane::step(instant now)
{
  choose_poller(now);
  config_document_.poll(now);
  keys_document_.poll(now);
  // The pollers read both rows together, so a fresh read of the key set also confirms the
  // configuration.
  const auto fresh = members_.latest_table_read(keys_document_.version());
  if (fresh) {
    config_document_.confirm_current(*fresh);
    keys_document_.confirm_current(*fresh);
  }
  update_own_state(now);
  fetch_newer(now);
  if (members_.heartbeat_due(now)) {
    send_heartbeats(now);
  }
}

void
control_plane::choose_poller(instant now)
{
  if (poller_chosen_at_ && now - *poller_chosen_at_ < poller_interval) {
    return;
  }
  poller_chosen_at_ = now;
  std::vector<std::string> names;
  for (const auto& instance : members_.live(members_.self().zone, now)) {
    names.push_back(instance.get());
  }
  const auto chosen = rendezvous::rank(members_.self().zone.get(), names, pollers_per_zone);
  is_poller_ =
    std::find(chosen.begin(), chosen.end(), members_.self().instance.get()) != chosen.end();
}

void
control_plane::update_own_state(instant now)
{
  membership::own_state state;
  state.leaving = leaving_;
  state.config_version = config_document_.version();
  state.key_version = evidence_.asserted_version(now);
  state.table_read_at = evidence_.table_read_at(now);
  state.needs_refresh = evidence_.needs_refresh(now);
  members_.set_own_state(state, now);
}

void
control_plane::fetch_newer(instant now)
{
  if (fetched_at_ && now - *fetched_at_ < fetch_interval) {
    return;
  }
  const auto newer_config = members_.newer_config(config_document_.version(), now);
  const auto newer_keys = members_.newer_keys(keys_document_.version(), now);
  if (newer_config) {
    hooks_.fetch(newer_config->instance, document_name::config);
  }
  if (newer_keys) {
    hooks_.fetch(newer_keys->instance, document_name::keys);
  }
  if (newer_config || newer_keys) {
    fetched_at_ = now;
  }
}

void
control_plane::send_heartbeats(instant now)
{
  for (const auto& target : members_.heartbeat_targets(now)) {
    hooks_.send(target.instance, members_.make_heartbeat(target.instance, now));
  }
}

void
control_plane::receive(const instance_id& sender, const heartbeat& message, instant now)
{
  if (members_.receive(sender, message, now)) {
    update_own_state(now);
    hooks_.send(sender, members_.make_heartbeat(sender, now));
  }
}

result<void>
control_plane::offer(document_name name,
                     config_version version,
                     const std::string& content,
                     instant now)
{
  auto applied = mutable_document(name).offer(version, content);
  update_own_state(now);
  return applied;
}

void
control_plane::publish(document_name name,
                       document_edit edit,
                       instant now,
                       document::publish_callback report)
{
  mutable_document(name).publish(std::move(edit), now, std::move(report));
}

void
control_plane::apply_platform_list(const std::vector<listed_instance>& list, instant now)
{
  members_.apply_platform_list(list, now);
}

void
control_plane::send_heartbeat(const instance_id& peer, instant now)
{
  if (members_.find(peer) != nullptr) {
    hooks_.send(peer, members_.make_heartbeat(peer, now));
  }
}

void
control_plane::leave(instant now)
{
  leaving_ = true;
  update_own_state(now);
}

result<const key_entry*>
control_plane::find_key(std::string_view presented, instant now)
{
  if (!evidence_.may_accept(now)) {
    return fail(result_code::key_evidence_stale, evidence_.evaluate(now).reason);
  }
  const auto* entry = keys_.find(presented);
  if (entry == nullptr) {
    return fail(result_code::key_rejected, "the key is not valid");
  }
  return entry;
}

}
