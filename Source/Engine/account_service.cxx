#include "Engine/account_service.h"

#include "Account/monthly_account.h"
#include "Account/usage_row.h"
#include "Control/rendezvous.h"
#include "Engine/entry_service.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace persimmonshelf {

namespace {

constexpr duration mirror_interval = std::chrono::seconds(1);
constexpr std::size_t mirror_count = 2;
// An incarnation is considered ended if its instance is not live and has sent no mirror for this
// long.
constexpr duration unresponsive_limit = std::chrono::seconds(30);
// An incarnation is considered ended if the membership shows another incarnation of its instance
// and no mirror has arrived for this long.
constexpr duration restart_confirmation_delay = std::chrono::seconds(5);
// Exclusive upper bound of the `stagger` argument of month_closer.
constexpr std::uint64_t stagger_range = 1000;

}

account_service::account_service(const control_service& control,
                                 distributed_rate_limiter& rate_limiter,
                                 hooks callbacks,
                                 instant)
  : control_(control)
  , rate_limiter_(rate_limiter)
  , hooks_(std::move(callbacks))
  , ledger_(control.members().self().incarnation,
            usage_settings(),
            hooks_.table,
            hooks_.now,
            hooks_.utc())
  , closer_(usage_settings(),
            hooks_.table,
            hooks_.now,
            static_cast<std::int64_t>(hooks_.random(stagger_range)))
{
}

void
account_service::record_admission(const workspace_id& workspace)
{
  ledger_.count(workspace, usage_counter::admitted, 1);
}

void
account_service::record_request_end(const request_end& end)
{
  if (end.workspace.get().empty()) {
    return;
  }
  if (end.admitted) {
    ledger_.count(end.workspace, usage_counter::ended, 1);
  }
  const auto time = static_cast<std::uint64_t>(end.backend_time.count());
  ledger_.count(end.workspace, usage_counter::statement_us, time);
  switch (end.outcome) {
    case run_outcome::done:
      ledger_.count(end.workspace, usage_counter::answered, 1);
      return;
    case run_outcome::unknown:
      ledger_.count(end.workspace, usage_counter::unknown, 1);
      return;
    case run_outcome::not_run:
      break;
  }
  ledger_.count(end.workspace, usage_counter::refused(end.code), 1);
  // The proxy refused the request although, by the state of this instance, the rate limit allowed
  // it.
  if (end.admitted || end.code == result_code::rate_share_unavailable) {
    ledger_.count(end.workspace, usage_counter::refused_inside_rate, 1);
  }
}

void
account_service::on_mirror(const instance_id& sender,
                           const wire::usage_mirror& message,
                           instant now)
{
  const incarnation_id incarnation(message.incarnation());
  std::vector<usage_value> values;
  for (const auto& row : message.rows()) {
    values.push_back({ row.month(), workspace_id(row.workspace()), row.counter(), row.value() });
  }
  ledger_.on_mirror(incarnation, values, message.closed());
  if (message.closed()) {
    mirrored_incarnations_.erase(incarnation);
    return;
  }
  auto& mirrored = mirrored_incarnations_[incarnation];
  mirrored.instance = sender;
  mirrored.mirrored_at = now;
  mirrored.failed = false;
  mirrored.shares.clear();
  for (const auto& share : message.shares()) {
    mirrored.shares.push_back({ workspace_id(share.workspace()),
                                static_cast<std::int64_t>(share.rate_milli()),
                                static_cast<std::int64_t>(share.burst_milli()),
                                static_cast<std::int64_t>(share.borrowed_milli()) });
  }
}

void
account_service::send_mirrors(instant now)
{
  const auto& members = control_.members();
  std::vector<std::string> names;
  for (const auto& instance : members.live(now)) {
    if (instance != members.self().instance) {
      names.push_back(instance.get());
    }
  }
  std::vector<instance_id> targets;
  for (auto& name :
       rendezvous::rank("mirror " + members.self().instance.get(), names, mirror_count)) {
    targets.emplace_back(std::move(name));
  }
  // A new mirror peer needs all counters, not only the recent changes.
  const bool moved = targets != mirror_peers_;
  mirror_peers_ = targets;
  const auto changed = ledger_.take_changes();
  const auto values = moved || closing_ ? ledger_.all_values() : changed;
  wire::envelope message;
  auto* mirror = message.mutable_usage();
  mirror->set_incarnation(members.self().incarnation.get());
  mirror->set_closed(closing_);
  for (const auto& value : values) {
    auto* row = mirror->add_rows();
    row->set_month(value.month);
    row->set_workspace(value.workspace.get());
    row->set_counter(value.counter);
    row->set_value(value.value);
  }
  for (const auto& workspace : control_.config().workspaces()) {
    const auto held = rate_limiter_.share(workspace.id, now);
    const auto borrowed = rate_limiter_.counters_of(workspace.id).borrowed;
    auto& before = last_borrowed_[workspace.id];
    auto* share = mirror->add_shares();
    share->set_workspace(workspace.id.get());
    share->set_rate_milli(static_cast<std::uint64_t>(held.rate_milli));
    share->set_burst_milli(static_cast<std::uint64_t>(held.burst_milli));
    share->set_borrowed_milli((borrowed - before) * static_cast<std::uint64_t>(token_milli));
    before = borrowed;
  }
  for (const auto& target : targets) {
    hooks_.send(target, message);
  }
}

void
account_service::check_peers(instant now)
{
  const auto& members = control_.members();
  for (auto& [incarnation, mirrored] : mirrored_incarnations_) {
    if (mirrored.failed) {
      continue;
    }
    const auto* record = members.find(mirrored.instance);
    // A membership record of another incarnation proves a restart only if it came from a heartbeat
    // and not just from the platform's instance list. The record may also be older than the mirror;
    // an incarnation that is still running sends its next mirror within the delay.
    const bool replaced = record != nullptr && record->updated_at &&
                          record->entry.incarnation != incarnation &&
                          now - mirrored.mirrored_at >= restart_confirmation_delay;
    const bool unresponsive =
      !members.is_live(mirrored.instance, now) && now - mirrored.mirrored_at >= unresponsive_limit;
    if (!replaced && !unresponsive) {
      continue;
    }
    mirrored.failed = true;
    const std::string cause = replaced ? "the instance was restarted" : "the instance went silent";
    ledger_.on_peer_failed(incarnation, mirrored.shares, now - mirrored.mirrored_at, cause);
  }
}

void
account_service::tick(instant now)
{
  ledger_.tick(now, hooks_.utc());
  closer_.tick(now, hooks_.utc());
  if (now - mirrors_sent_at_ < mirror_interval) {
    return;
  }
  mirrors_sent_at_ = now;
  send_mirrors(now);
  check_peers(now);
}

void
account_service::close(instant now)
{
  if (closing_) {
    return;
  }
  closing_ = true;
  ledger_.close();
  send_mirrors(now);
}

boost::json::object
account_service::usage(const workspace_id& workspace) const
{
  boost::json::object counters;
  for (const auto& value : ledger_.all_values()) {
    if (value.workspace == workspace) {
      counters[value.counter] = value.value;
    }
  }
  return counters;
}

void
account_service::report(const std::string& month, std::function<void(result<std::string>)> done)
{
  const auto parsed = calendar_month::parse(month);
  if (!parsed) {
    done(fail(parsed.error().code, parsed.error().message));
    return;
  }
  const auto which = parsed.value();
  hooks_.table.get(
    monthly_account::key(which), [this, which, done = std::move(done)](result<table_row> row) {
      if (!row) {
        done(fail(row.error().code, row.error().message));
        return;
      }
      if (row.value().revision != 0) {
        done(row.value().value);
        return;
      }
      hooks_.table.list(usage_row::prefix(which),
                        [which, done](result<std::vector<table_row>> rows) {
                          if (!rows) {
                            done(fail(rows.error().code, rows.error().message));
                            return;
                          }
                          const auto built = monthly_account::build(which, rows.value(), {});
                          if (!built) {
                            done(fail(built.error().code, built.error().message));
                            return;
                          }
                          done(built.value().to_json());
                        });
    });
}

}
