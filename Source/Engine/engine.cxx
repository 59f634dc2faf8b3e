#include "Engine/engine.h"

#include "Control/home_chooser.h"
#include "Control/rendezvous.h"
#include "Engine/wire_convert.h"

#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration assign_interval = std::chrono::milliseconds(250);
// A refusal is reported within milliseconds; after this time the message counts as sent.
constexpr duration refusal_limit = std::chrono::seconds(2);
constexpr duration clock_sample_limit = std::chrono::seconds(10);

}

engine::engine(engine_settings settings, engine_hooks hooks, instant now)
  : settings_(std::move(settings))
  , hooks_(std::move(hooks))
  , now_(now)
  , links_(std::make_unique<link_registry>(hooks_.backend))
{
  make_control(now);
  make_shares();
  make_homes();
  make_account(now);
  make_entry();
}

engine::~engine() = default;

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
  calls.configured = [this](instant at) { configured(at); };
  calls.revoked = [this](const sha256_digest& digest, instant at) {
    homes_->revoke(digest, at);
    entry_->revoke(digest, at);
  };
  control_ =
    std::make_unique<control_service>(std::move(self), settings_.seed_peers, std::move(calls), now);
}

void
engine::make_shares()
{
  share_holder::hooks calls;
  calls.table = hooks_.table;
  calls.now = [this] { return now_; };
  calls.eligible = [this](const workspace_id& workspace) {
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
  calls.send_borrow = [this](const instance_id& peer,
                             std::uint64_t id,
                             const workspace_id& workspace,
                             std::int64_t milli) {
    wire::envelope message;
    message.mutable_borrow()->set_id(id);
    message.mutable_borrow()->set_workspace(workspace.get());
    message.mutable_borrow()->set_tokens_milli(static_cast<std::uint32_t>(milli));
    send_to(peer, std::move(message));
  };
  calls.answer_borrow = [this](const instance_id& peer,
                               std::uint64_t id,
                               const workspace_id& workspace,
                               std::int64_t milli) {
    wire::envelope message;
    message.mutable_lent()->set_id(id);
    message.mutable_lent()->set_workspace(workspace.get());
    message.mutable_lent()->set_tokens_milli(static_cast<std::uint32_t>(milli));
    send_to(peer, std::move(message));
  };
  shares_ = std::make_unique<share_holder>(
    share_owner{ settings_.instance, settings_.incarnation }, share_settings(), std::move(calls));
}

void
engine::make_homes()
{
  group_service::hooks group_calls;
  group_calls.random = [this](std::uint64_t bound) { return hooks_.random_bits() % bound; };
  group_calls.changed = [this](const database_id& database, instant at) {
    homes_->group_changed(database, at);
  };
  group_calls.log = hooks_.log;
  group_calls.failed_over = [this](const database_id& database, const failover_durations& lengths) {
    hooks_.failed_over(database, lengths);
  };
  group_calls.candidate =
    settings_.instance.get() + "-" + std::to_string(settings_.incarnation.get());
  groups_ = std::make_unique<group_service>(*links_, std::move(group_calls));

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
  homes_ = std::make_unique<home_service>(*links_, *groups_, std::move(calls));
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
  account_ = std::make_unique<account_service>(*control_, *shares_, std::move(calls), now);
}

void
engine::make_entry()
{
  entry_service::hooks calls;
  calls.send = [this](const std::string& address,
                      wire::envelope message,
                      std::function<void(instant)> refused) {
    send(address, std::move(message), std::move(refused));
  };
  calls.submit_local = [this](const wire::forward_request& request, instant at) {
    homes_->submit({ {}, true }, request, at);
  };
  calls.admitted = [this](const workspace_id& workspace) { account_->admitted(workspace); };
  calls.ended = [this](const request_end& end) {
    account_->ended(end);
    hooks_.ended(end);
  };
  calls.peer_clock = [this](const instance_id& peer, instant at) { return peer_clock(peer, at); };
  calls.session_secret = settings_.session_secret;
  entry_ = std::make_unique<entry_service>(*control_, *shares_, deferred_, std::move(calls));
}

void
engine::send(const std::string& address,
             wire::envelope message,
             std::function<void(instant)> refused)
{
  message.set_sender(settings_.instance.get());
  message.set_sender_incarnation(settings_.incarnation.get());
  message.set_clock_us(to_wire(now_));
  const auto id = next_send_++;
  if (refused) {
    refusable_[id] = { refused, now_ };
  }
  if (!hooks_.send_peer(address, std::move(message), id) && refused) {
    refusable_.erase(id);
    deferred_.add(std::move(refused));
  }
}

void
engine::send_to(const instance_id& peer, wire::envelope message)
{
  if (const auto* record = control_->members().find(peer)) {
    send(record->entry.address, std::move(message));
  }
}

void
engine::note_clock(const instance_id& peer, incarnation_id incarnation, instant clock, instant now)
{
  auto& sample = clocks_[peer];
  const auto elapsed = now - sample.received_at;
  // The sample with the shortest transit gives the highest clock. An old one is replaced all the
  // same, since the two clocks may run at different rates.
  if (sample.incarnation != incarnation || elapsed > clock_sample_limit ||
      clock > sample.clock + elapsed) {
    sample = { incarnation, clock, now };
  }
}

std::optional<peer_time>
engine::peer_clock(const instance_id& peer, instant now) const
{
  const auto found = clocks_.find(peer);
  if (found == clocks_.end()) {
    return std::nullopt;
  }
  const auto& sample = found->second;
  return peer_time{ sample.incarnation, sample.clock + (now - sample.received_at) };
}

void
engine::submit(caller_request request, entry_service::respond reply, instant now)
{
  now_ = now;
  entry_->submit(std::move(request), std::move(reply), now);
  end_event(now);
}

void
engine::peer_message(const wire::envelope& message, instant now)
{
  now_ = now;
  const instance_id sender(message.sender());
  const incarnation_id incarnation(message.sender_incarnation());
  note_clock(sender, incarnation, from_wire(message.clock_us()), now);
  switch (message.body_case()) {
    case wire::envelope::kBeat:
      control_->on_heartbeat(message.sender(), message.beat(), now);
      break;
    case wire::envelope::kForward: {
      const auto* record = control_->members().find(sender);
      if (message.forward().target_incarnation() != settings_.incarnation.get()) {
        // Tells the sender of this run and its clock.
        control_->greet(sender, now);
      }
      if (record != nullptr) {
        homes_->submit({ record->entry.address, false }, message.forward(), now);
      }
      break;
    }
    case wire::envelope::kAnswer:
      entry_->on_answer(message.answer(), now);
      break;
    case wire::envelope::kBorrow:
      shares_->on_borrow(sender,
                         message.borrow().id(),
                         workspace_id(message.borrow().workspace()),
                         message.borrow().tokens_milli(),
                         now);
      break;
    case wire::envelope::kLent:
      shares_->on_borrow_answer(sender, message.lent().id(), message.lent().tokens_milli(), now);
      break;
    case wire::envelope::kFetch:
      control_->on_fetch(message.sender(), message.fetch());
      break;
    case wire::envelope::kUsage:
      account_->on_mirror(sender, message.usage(), now);
      break;
    case wire::envelope::kDocument:
      control_->on_document(message.document(), now);
      break;
    default:
      break;
  }
  end_event(now);
}

void
engine::peer_refused(std::uint64_t id, instant now)
{
  now_ = now;
  const auto found = refusable_.find(id);
  if (found != refusable_.end()) {
    const auto refused = std::move(found->second.refused);
    refusable_.erase(found);
    refused(now);
  }
  end_event(now);
}

void
engine::backend_happened(backend_event event, instant now)
{
  now_ = now;
  links_->handle(std::move(event), now);
  end_event(now);
}

void
engine::platform_answered(const std::function<void()>& callback, instant now)
{
  now_ = now;
  callback();
  end_event(now);
}

void
engine::configured(instant now)
{
  std::map<workspace_id, workspace_limit> limits;
  for (const auto& workspace : control_->config().workspaces()) {
    limits[workspace.id] = { workspace.rate * token_milli, workspace.burst * token_milli };
  }
  shares_->configure(limits, now);
  entry_->configured();
  choose_homes(now);
  assign_homes(now);
}

void
engine::choose_homes(instant now)
{
  const home_chooser homes(control_->members(), now);
  live_mark_ = control_->members().live_mark(now);
  served_.clear();
  watched_.clear();
  for (const auto& database : control_->config().databases()) {
    for (const auto& member : database.members) {
      if (homes.home_of(database.id, member.zone) == settings_.instance) {
        served_[member.id] = { &database, &member };
        watched_[database.id] = &database;
      }
    }
  }
}

void
engine::assign_homes(instant now)
{
  assigned_at_ = now;
  auto watched = watched_;
  // A home that was given up needs the view of its database to acknowledge what it still has.
  for (const auto& id : homes_->databases()) {
    if (const auto* database = control_->config().find_database(id)) {
      watched.emplace(id, database);
    }
  }
  groups_->configure(watched, now);
  homes_->configure(served_, control_->config().settings(), now);
}

void
engine::tick(instant now)
{
  now_ = now;
  control_->tick(now);
  shares_->tick(now);
  if (control_->configured() && now - assigned_at_ >= assign_interval) {
    if (control_->members().live_mark(now) != live_mark_) {
      choose_homes(now);
    }
    assign_homes(now);
  }
  groups_->tick(now);
  homes_->tick(now);
  entry_->tick(now);
  account_->tick(now);
  while (!refusable_.empty() && now - refusable_.begin()->second.sent > refusal_limit) {
    refusable_.erase(refusable_.begin());
  }
  // Shares are given back after the last request that may still need a token.
  if (draining_ && !entry_drained_ && entry_->open_requests() == 0) {
    entry_drained_ = true;
    shares_->drain(now);
    account_->close(now);
  }
  end_event(now);
}

void
engine::drain(instant now)
{
  now_ = now;
  draining_ = true;
  entry_->drain();
  // Peers choose other homes from now on; what was accepted here is finished.
  control_->set_leaving(now);
  homes_->drain(now);
}

bool
engine::drained() const
{
  return entry_drained_ && homes_->drained() && shares_->drained() && account_->closed();
}

void
engine::end_event(instant now)
{
  deferred_.run(now);
  links_->flush(now);
  deferred_.run(now);
}

}
