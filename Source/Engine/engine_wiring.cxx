#include "Engine/engine.h"

#include "Control/rendezvous.h"
#include "Engine/wire_convert.h"

#include <utility>

namespace persimmonshelf {

void
engine::make_control(instant now)
{
  membership::identity self;
  self.instance = settings_.instance;
  self.incarnation = settings_.incarnation;
  self.zone = settings_.zone;
  self.address = settings_.peer_address;
  self.start_sequence = settings_.start_sequence;
  control_service::hooks calls;
  calls.table = hooks_.table;
  calls.list_instances = hooks_.list_instances;
  calls.send = [this](const std::string& address, wire::envelope message) {
    send(address, std::move(message));
  };
  calls.random = [this](std::uint64_t bound) { return hooks_.random_bits() % bound; };
  calls.now = [this] { return now_; };
  calls.log = hooks_.log;
  calls.configuration_applied = [this](instant at) { apply_configuration(at); };
  calls.key_revoked = [this](const sha256_digest& digest, instant at) {
    homes_->revoke_key(digest, at);
    entry_->revoke_key(digest, at);
  };
  control_ =
    std::make_unique<control_service>(std::move(self), settings_.seed_peers, std::move(calls), now);
}

void
engine::make_rate_limiter()
{
  distributed_rate_limiter::hooks calls;
  calls.table = hooks_.table;
  calls.now = [this] { return now_; };
  calls.candidates = [this](const workspace_id& workspace) {
    const auto& members = control_->members();
    std::vector<std::string> names;
    for (const auto& instance : members.live(now_)) {
      names.push_back(instance.get());
    }
    std::vector<share_candidate> candidates;
    for (auto& name : rendezvous::rank("share " + workspace.get(), names, names.size())) {
      const auto* record = members.find(instance_id(name));
      candidates.push_back({ instance_id(std::move(name)), record->entry.zone });
    }
    return candidates;
  };
  calls.send_borrow_request = [this](const instance_id& peer,
                                     std::uint64_t id,
                                     const workspace_id& workspace,
                                     std::int64_t milli) {
    wire::envelope message;
    message.mutable_borrow()->set_id(id);
    message.mutable_borrow()->set_workspace(workspace.get());
    message.mutable_borrow()->set_tokens_milli(static_cast<std::uint32_t>(milli));
    send_to(peer, std::move(message));
  };
  calls.send_borrow_answer = [this](const instance_id& peer,
                                    std::uint64_t id,
                                    const workspace_id& workspace,
                                    std::int64_t milli) {
    wire::envelope message;
    message.mutable_lent()->set_id(id);
    message.mutable_lent()->set_workspace(workspace.get());
    message.mutable_lent()->set_tokens_milli(static_cast<std::uint32_t>(milli));
    send_to(peer, std::move(message));
  };
  rate_limiter_ = std::make_unique<distributed_rate_limiter>(
    share_owner{ settings_.instance, settings_.incarnation }, share_settings(), std::move(calls));
}

void
engine::make_homes()
{
  group_service::hooks group_hooks;
  group_hooks.random = [this](std::uint64_t bound) { return hooks_.random_bits() % bound; };
  group_hooks.changed = [this](const database_id& database, instant at) {
    homes_->group_changed(database, at);
  };
  group_hooks.log = hooks_.log;
  group_hooks.failed_over = [this](const database_id& database, const failover_durations& lengths) {
    hooks_.failed_over(database, lengths);
  };
  group_hooks.candidate =
    settings_.instance.get() + "-" + std::to_string(settings_.incarnation.get());
  groups_ = std::make_unique<group_service>(*connections_, std::move(group_hooks));

  home_service::hooks calls;
  calls.answer = [this](const home_service::requester& to, wire::forward_answer answer) {
    if (to.local) {
      deferred_.add(
        [this, answer = std::move(answer)](instant at) { entry_->on_answer(answer, at); });
      return;
    }
    wire::envelope message;
    *message.mutable_answer() = std::move(answer);
    send(to.address, std::move(message));
  };
  calls.random_bits = hooks_.random_bits;
  calls.instance = settings_.instance;
  calls.incarnation = settings_.incarnation;
  homes_ = std::make_unique<home_service>(*connections_, *groups_, std::move(calls));
}

void
engine::make_account(instant now)
{
  account_service::hooks calls;
  calls.table = hooks_.table;
  calls.now = [this] { return now_; };
  calls.utc = hooks_.utc;
  calls.send = [this](const instance_id& peer, wire::envelope message) {
    send_to(peer, std::move(message));
  };
  calls.random = [this](std::uint64_t bound) { return hooks_.random_bits() % bound; };
  account_ = std::make_unique<account_service>(*control_, *rate_limiter_, std::move(calls), now);
}

void
engine::make_entry()
{
  entry_service::hooks calls;
  calls.send = [this](const std::string& address,
                      wire::envelope message,
                      std::function<void(instant)> on_not_sent) {
    send(address, std::move(message), std::move(on_not_sent));
  };
  calls.submit_local = [this](const wire::forward_request& request, instant at) {
    homes_->submit({ {}, true }, request, at);
  };
  calls.request_admitted = [this](const workspace_id& workspace) {
    account_->record_admission(workspace);
  };
  calls.request_ended = [this](const request_end& end) {
    account_->record_request_end(end);
    hooks_.request_ended(end);
  };
  calls.peer_clock = [this](const instance_id& peer, instant at) { return peer_clock(peer, at); };
  calls.session_secret = settings_.session_secret;
  entry_ = std::make_unique<entry_service>(*control_, *rate_limiter_, deferred_, std::move(calls));
}

}
