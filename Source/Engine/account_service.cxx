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
// A run is taken for ended when its instance was silent for this long.
constexpr duration silence_limit = std::chrono::seconds(30);
constexpr duration replaced_limit = std::chrono::seconds(5);
constexpr std::uint64_t stagger_range = 1000;

}

account_service::account_service(const control_service& control,
                                 distributed_rate_limiter& shares,
                                 hooks callbacks,
                                 instant)
  : control_(control)
  , shares_(shares)
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
account_service::admitted(const workspace_id& workspace)
{
  ledger_.count(workspace, usage_counter::admitted, 1);
}

void
account_service::ended(const request_end& end)
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
  // Refused by the system although the rate allowed it, as far as this instance can tell.
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
    runs_.erase(incarnation);
    return;
  }
  auto& run = runs_[incarnation];
  run.instance = sender;
  run.mirrored_at = now;
  run.failed = false;
  run.shares.clear();
  for (const auto& share : message.shares()) {
    run.shares.push_back({ workspace_id(share.workspace()),
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
  // A peer that is new in this role needs all counters, not the last changes alone.
  const bool moved = targets != mirrors_;
  mirrors_ = targets;
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
    const auto held = shares_.share(workspace.id, now);
    const auto borrowed = shares_.counters_of(workspace.id).borrowed;
    auto& before = borrowed_before_[workspace.id];
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
  for (auto& [incarnation, run] : runs_) {
    if (run.failed) {
      continue;
    }
    const auto* record = members.find(run.instance);
    // A view that still shows the former run, or only the platform's list, is no proof of a
    // restart; a run that goes on sends its next mirror within the limit.
    const bool replaced = record != nullptr && record->updated_at &&
                          record->entry.incarnation != incarnation &&
                          now - run.mirrored_at >= replaced_limit;
    const bool silent =
      !members.is_live(run.instance, now) && now - run.mirrored_at >= silence_limit;
    if (!replaced && !silent) {
      continue;
    }
    run.failed = true;
    const std::string cause = replaced ? "the instance was restarted" : "the instance went silent";
    ledger_.on_peer_failed(incarnation, run.shares, now - run.mirrored_at, cause);
  }
}

void
account_service::tick(instant now)
{
  ledger_.tick(now, hooks_.utc());
  closer_.tick(now, hooks_.utc());
  if (now - mirrored_at_ < mirror_interval) {
    return;
  }
  mirrored_at_ = now;
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
