#include "ProxyNode/fleet_participant.h"

#include "ProxyNode/boot_clock.h"
#include "ProxyNode/fleet_messages.h"
#include "ProxyNode/fleet_rows.h"
#include "platform/store_format.h"

#include <utility>

namespace persimmonshelf {

namespace {

// Time limit of a promotion call. The platform acknowledges a promotion at once, and the remaining
// lease must be longer than this limit.
constexpr duration promote_timeout = std::chrono::milliseconds(600);
// Allows for the different speeds of two machines' clocks.
constexpr duration clock_drift_margin = std::chrono::milliseconds(100);
// Longest time in which a call of a former coordinator may still be answered.
constexpr duration former_coordinator_lifetime = std::chrono::seconds(10);

}

coordinator_lease::write_outcome
fleet_participant::lease_outcome(const api_reply& reply,
                                 const store_version& expected,
                                 store_version& version) const
{
  using write_outcome = coordinator_lease::write_outcome;
  if (reply.status == platform::status_ok) {
    const auto page = platform::parse_page(reply.body, reply.era);
    if (!page) {
      return write_outcome::unknown;
    }
    version = page.value().newest;
    if (version.era() != expected.era()) {
      log_.write("lease_write_in_other_era",
                 { { "era", std::to_string(version.era().get()) },
                   { "expected", std::to_string(expected.era().get()) } });
      return write_outcome::other_era;
    }
    return write_outcome::written;
  }
  if (reply.status == platform::status_condition_failed) {
    return write_outcome::conflict;
  }
  return reply.status == 0 ? write_outcome::unknown : write_outcome::refused;
}

void
fleet_participant::write_lease(const coordinator_row& row, const store_version& expected)
{
  platform::store_write write;
  write.table = fleet_table;
  write.key = coordinator_key;
  write.expected = expected;
  write.value = encode_coordinator(row);
  store_.post(platform::write_target,
              platform::encode_write({ write }),
              write_timeout,
              [this, expected](const api_reply& reply) {
                store_version version;
                const auto outcome = lease_outcome(reply, expected, version);
                lease_.write_done(outcome, version, boot_now());
                if (outcome != coordinator_lease::write_outcome::written) {
                  fleet_watcher_.poll_now();
                }
                write_next_record();
              });
}

void
fleet_participant::report_unwritten(record_write_queue::entry entry)
{
  log_.write("record_not_written", { { "group", entry.record.group } });
  boost::asio::post(context_, [done = std::move(entry.done)] { done(false, {}); });
}

void
fleet_participant::drop_waiting_records()
{
  while (auto waiting = waiting_records_.take()) {
    report_unwritten(std::move(*waiting));
  }
}

void
fleet_participant::write_next_record()
{
  while (!lease_.write_in_flight()) {
    auto waiting = waiting_records_.take();
    if (!waiting) {
      return;
    }
    start_record_write(std::move(*waiting));
  }
}

void
fleet_participant::write_group_record(
  const group_record& record,
  std::function<void(bool written, const store_version& version)> done)
{
  record_write_queue::entry entry{ record, std::move(done) };
  if (!lease_.holds(boot_now())) {
    report_unwritten(std::move(entry));
    return;
  }
  if (auto replaced = waiting_records_.add(std::move(entry))) {
    report_unwritten(std::move(*replaced));
  }
  write_next_record();
}

void
fleet_participant::start_record_write(record_write_queue::entry entry)
{
  const auto now = boot_now();
  const auto expected = lease_.version();
  const auto row = lease_.holds(now) ? lease_.begin_renewal(now) : std::nullopt;
  if (!row) {
    report_unwritten(std::move(entry));
    return;
  }
  entry.record.recorded_in = expected.era();
  platform::store_write lease;
  lease.table = fleet_table;
  lease.key = coordinator_key;
  lease.expected = expected;
  lease.value = encode_coordinator(*row);
  platform::store_write group;
  group.table = fleet_table;
  group.key = std::string(group_key_prefix) + entry.record.group;
  group.value = encode_group(entry.record);
  group.conditional = false;
  store_.post(platform::write_target,
              platform::encode_write({ lease, group }),
              write_timeout,
              [this, now, expected, entry = std::move(entry)](const api_reply& reply) {
                store_version version;
                const auto outcome = lease_outcome(reply, expected, version);
                lease_.write_done(outcome, version, boot_now());
                const bool written = outcome == coordinator_lease::write_outcome::written;
                if (written) {
                  fleet_state_.update_groups({ entry.record }, version, now);
                  hooks_.changed();
                }
                entry.done(written, version);
                write_next_record();
                if (written && coordinator_) {
                  coordinator_->send_views();
                  // This instance confirms the record too.
                  send_report(boot_now());
                }
              });
}

void
fleet_participant::record_plan(const carrier_plan& plan)
{
  const auto now = boot_now();
  const auto expected = lease_.version();
  const auto row =
    lease_.holds(now) && !plan_write_in_flight_ ? lease_.begin_renewal(now) : std::nullopt;
  if (!row) {
    return;
  }
  plan_write_in_flight_ = true;
  platform::store_write lease;
  lease.table = fleet_table;
  lease.key = coordinator_key;
  lease.expected = expected;
  lease.value = encode_coordinator(*row);
  platform::store_write record;
  record.table = fleet_table;
  record.key = plan_key;
  record.value = encode_plan(plan);
  record.conditional = false;
  store_.post(platform::write_target,
              platform::encode_write({ lease, record }),
              write_timeout,
              [this, expected, plan](const api_reply& reply) {
                plan_write_in_flight_ = false;
                store_version version;
                const auto outcome = lease_outcome(reply, expected, version);
                lease_.write_done(outcome, version, boot_now());
                if (outcome == coordinator_lease::write_outcome::written) {
                  update_plan(plan, "decided by this instance");
                }
                write_next_record();
              });
}

void
fleet_participant::promote(const std::string& group,
                           const member_id& member,
                           std::function<void(promote_outcome)> done)
{
  promotion_client_.post_on_new_connection(
    platform::promote_target,
    platform::encode_promote(group, member.get()),
    { { std::string(platform::lease_holder_header), settings_.name.get() },
      { std::string(platform::fencing_token_header), std::to_string(lease_.token().get()) } },
    promote_timeout,
    [this, done = std::move(done)](const api_reply& reply) {
      log_.write("promote_answered", { { "status", std::to_string(reply.status) } });
      if (reply.status == platform::status_ok) {
        done(promote_outcome::accepted);
      } else if (reply.status == platform::status_conflict) {
        done(promote_outcome::refused);
      } else {
        done(promote_outcome::unanswered);
      }
    });
}

void
fleet_participant::handle_lease_change(bool holding, const std::string& reason)
{
  const auto now = boot_now();
  log_.write(holding ? "duty_taken" : "duty_lost",
             { { "token", std::to_string(lease_.token().get()) }, { "reason", reason } });
  if (!holding) {
    drop_waiting_records();
    // This instance continues to answer reports until another one takes the coordinator role. Its
    // views then carry no lease, but still carry tokens and the state it has.
    if (coordinator_) {
      coordinator_->duty_lost();
    }
    return;
  }
  retire_coordinator(now);
  start_coordinating(now);
}

void
fleet_participant::retire_coordinator(instant now)
{
  if (coordinator_) {
    coordinator_->duty_lost();
    former_coordinators_.emplace_back(now + former_coordinator_lifetime, std::move(coordinator_));
  }
}

void
fleet_participant::start_coordinating(instant now)
{
  coordinator::hooks callbacks;
  callbacks.now = [] { return boot_now(); };
  callbacks.position_reported = [this](const instance_id& reporter,
                                       const std::string& group,
                                       const timed_position& observed,
                                       observation_outcome outcome) {
    hooks_.position_observed("report", reporter, group, observed, outcome);
  };
  callbacks.lease_version = [this] { return lease_.version(); };
  callbacks.holds_lease = [this] { return lease_.holds(boot_now()); };
  callbacks.send = [this](const std::string& address, const fleet_view& view) {
    if (address == address_) {
      apply_view(view);
      return;
    }
    send(address, encode_view(view));
  };
  callbacks.records_reported = [this](const instance_id& reporter,
                                      const std::vector<group_record>& records) {
    for (const auto& group : fleet_state_.adopt_records(records)) {
      log_.write("record_adopted", { { "group", group }, { "instance", reporter.get() } });
      hooks_.changed();
    }
  };
  callbacks.removals_reported = [this](const removal_history& removals) {
    fleet_state_.merge_removals(removals);
  };
  callbacks.plan = [this]() -> const carrier_plan& { return plan_; };
  callbacks.record_plan = [this](const carrier_plan& plan) { record_plan(plan); };
  auto& failovers = callbacks.failover_hooks;
  failovers.now = callbacks.now;
  failovers.write_record = [this](const group_record& record, auto done) {
    write_group_record(record, std::move(done));
  };
  failovers.send_command = [this](const member_id& id, const member_command& command, auto done) {
    for (const auto& member : fleet_state_.members()) {
      if (member.id == id) {
        member_commands_.execute(member, command, std::move(done));
        return;
      }
    }
    boost::asio::post(context_, [done = std::move(done)] { done(std::nullopt); });
  };
  failovers.promote = [this](const std::string& group, const member_id& member, auto done) {
    promote(group, member, std::move(done));
  };
  failovers.may_promote = [this] {
    const auto when = boot_now();
    // A promotion call of the former lease holder may be in flight until its timeout.
    return lease_.holds(when) && lease_.remaining(when) > promote_timeout &&
           when - lease_.held_since() > promote_timeout + clock_drift_margin;
  };
  failovers.log =
    [this](const std::string& group, const std::string& event, const std::string& detail) {
      log_.write("failover", { { "group", group }, { "step", event }, { "detail", detail } });
    };
  coordinator_ = std::make_unique<coordinator>(settings_.name,
                                               address_,
                                               lease_.token(),
                                               settings_.replaces_primaries,
                                               fleet_state_,
                                               positions_,
                                               std::move(callbacks));
  coordinator_->set_registered_instances(registered_instances_);
  coordinator_address_ = address_;
  select_data_sources(now);
  send_report(now);
}

}
