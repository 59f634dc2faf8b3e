#include "Engine/engine.h"

#include "Control/home_chooser.h"
#include "Control/rendezvous.h"
#include "Engine/wire_convert.h"

#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration assign_interval = std::chrono::milliseconds(250);
// The transport reports an unsent message within milliseconds; after this time the message counts
// as sent.
constexpr duration not_sent_report_limit = std::chrono::seconds(2);
constexpr duration clock_sample_limit = std::chrono::seconds(10);

}

engine::engine(engine_settings settings, engine_hooks hooks, instant now)
  : settings_(std::move(settings))
  , hooks_(std::move(hooks))
  , now_(now)
  , connections_(std::make_unique<backend_connection_registry>(hooks_.run_backend_command))
{
  make_control(now);
  make_rate_limiter();
  make_homes();
  make_account(now);
  make_entry();
}

engine::~engine() = default;

void
engine::send(const std::string& address,
             wire::envelope message,
             std::function<void(instant)> on_not_sent)
{
  message.set_sender(settings_.instance.get());
  message.set_sender_incarnation(settings_.incarnation.get());
  message.set_sender_address(settings_.peer_address);
  message.set_clock_us(to_wire(now_));
  const auto id = next_send_++;
  unconfirmed_sends_[id] = { on_not_sent, address, now_ };
  if (!hooks_.send_peer(address, std::move(message), id)) {
    unconfirmed_sends_.erase(id);
    if (on_not_sent) {
      deferred_.add(std::move(on_not_sent));
    }
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
engine::record_clock(const instance_id& peer,
                     incarnation_id incarnation,
                     instant clock,
                     instant now)
{
  auto& sample = clocks_[peer];
  const auto elapsed = now - sample.received_at;
  // The sample with the shortest transit time gives the highest clock value. An old sample is
  // replaced even by a lower one, because the two clocks may run at different rates.
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
engine::handle_peer_message(const wire::envelope& message, instant now)
{
  now_ = now;
  const instance_id sender(message.sender());
  const incarnation_id incarnation(message.sender_incarnation());
  record_clock(sender, incarnation, from_wire(message.clock_us()), now);
  control_->record_contact(sender);
  switch (message.body_case()) {
    case wire::envelope::kBeat:
      control_->on_heartbeat(message.sender(), message.beat(), now);
      break;
    case wire::envelope::kForward: {
      if (message.forward().target_incarnation() != settings_.incarnation.get()) {
        // The heartbeat contains this incarnation and its clock.
        control_->send_heartbeat(sender, now);
      }
      homes_->submit({ message.sender_address(), false }, message.forward(), now);
      break;
    }
    case wire::envelope::kAnswer:
      entry_->on_answer(message.answer(), now);
      break;
    case wire::envelope::kBorrow:
      rate_limiter_->on_borrow_request(sender,
                                       message.borrow().id(),
                                       workspace_id(message.borrow().workspace()),
                                       message.borrow().tokens_milli(),
                                       now);
      break;
    case wire::envelope::kLent:
      rate_limiter_->on_borrow_answer(
        sender, message.lent().id(), message.lent().tokens_milli(), now);
      break;
    case wire::envelope::kFetch:
      control_->on_document_request(message.sender(), message.fetch());
      break;
    case wire::envelope::kUsage:
      account_->on_mirror(sender, message.usage(), now);
      break;
    case wire::envelope::kDocument:
      control_->on_document_answer(message.document(), now);
      break;
    default:
      break;
  }
  end_event(now);
}

void
engine::handle_peer_not_sent(std::uint64_t id, instant now)
{
  now_ = now;
  const auto found = unconfirmed_sends_.find(id);
  if (found != unconfirmed_sends_.end()) {
    const auto on_not_sent = std::move(found->second.on_not_sent);
    control_->record_refusal(found->second.address, now);
    unconfirmed_sends_.erase(found);
    if (on_not_sent) {
      on_not_sent(now);
    }
  }
  end_event(now);
}

void
engine::handle_backend_event(backend_event event, instant now)
{
  now_ = now;
  connections_->handle(std::move(event), now);
  end_event(now);
}

void
engine::run_platform_callback(const std::function<void()>& callback, instant now)
{
  now_ = now;
  callback();
  end_event(now);
}

void
engine::apply_configuration(instant now)
{
  std::map<workspace_id, workspace_limit> limits;
  for (const auto& workspace : control_->config().workspaces()) {
    limits[workspace.id] = { workspace.rate * token_milli, workspace.burst * token_milli };
  }
  rate_limiter_->configure(limits, now);
  entry_->apply_configuration();
  choose_homes(now);
  assign_homes(now);
}

void
engine::choose_homes(instant now)
{
  const home_chooser homes(control_->members(), now);
  live_set_hash_ = control_->members().live_set_hash(now);
  served_members_.clear();
  watched_databases_.clear();
  for (const auto& database : control_->config().databases()) {
    for (const auto& member : database.members) {
      if (homes.home_of(database.id, member.zone) == settings_.instance) {
        served_members_[member.id] = { &database, &member };
        watched_databases_[database.id] = &database;
      }
    }
  }
}

void
engine::assign_homes(instant now)
{
  homes_assigned_at_ = now;
  auto watched = watched_databases_;
  // A member that is no longer served here still needs the view of its database to acknowledge its
  // remaining requests.
  for (const auto& id : homes_->databases()) {
    if (const auto* database = control_->config().find_database(id)) {
      watched.emplace(id, database);
    }
  }
  groups_->configure(watched, now);
  homes_->configure(served_members_, control_->config().settings(), now);
}

void
engine::tick(instant now)
{
  now_ = now;
  control_->tick(now);
  rate_limiter_->tick(now);
  if (control_->has_configuration() && now - homes_assigned_at_ >= assign_interval) {
    if (control_->members().live_set_hash(now) != live_set_hash_) {
      choose_homes(now);
    }
    assign_homes(now);
  }
  groups_->tick(now);
  homes_->tick(now);
  entry_->tick(now);
  account_->tick(now);
  while (!unconfirmed_sends_.empty() &&
         now - unconfirmed_sends_.begin()->second.sent > not_sent_report_limit) {
    unconfirmed_sends_.erase(unconfirmed_sends_.begin());
  }
  // Rate limit shares are returned only after the last request that may still need a token.
  if (draining_ && !entry_drained_ && entry_->open_requests() == 0) {
    entry_drained_ = true;
    rate_limiter_->drain(now);
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
  // Peers choose other homes from now on; requests accepted here are finished.
  control_->set_leaving(now);
  homes_->drain(now);
}

bool
engine::drained() const
{
  return entry_drained_ && homes_->drained() && rate_limiter_->drained() && account_->closed();
}

void
engine::end_event(instant now)
{
  deferred_.run(now);
  connections_->flush(now);
  deferred_.run(now);
}

}
