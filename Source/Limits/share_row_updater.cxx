#include "Limits/share_row_updater.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

share_row_updater::share_row_updater(workspace_id workspace,
                                     share_owner owner,
                                     const share_settings& settings,
                                     const instance_lease& lease,
                                     lease_monitor& monitor,
                                     hooks callbacks)
  : workspace_(std::move(workspace))
  , owner_(std::move(owner))
  , settings_(settings)
  , lease_(lease)
  , monitor_(monitor)
  , hooks_(std::move(callbacks))
  , lifetime_(std::make_shared<share_row_updater*>(this))
{
}

std::int64_t
share_row_updater::usable_ppm(instant now) const
{
  if (lease_.superseded()) {
    return 0;
  }
  std::int64_t usable = 0;
  if (base_epoch_ > 0 && base_epoch_ == lease_.base_epoch() && now < lease_.base_until()) {
    usable += base_ppm_;
  }
  if (extra_epoch_ > 0 && extra_epoch_ == lease_.extra_epoch() && now < lease_.extra_until()) {
    usable += extra_ppm_;
  }
  return usable;
}

bool
share_row_updater::written_in_current_leases(const share_entry& entry) const
{
  return (entry.base_ppm == 0 || base_epoch_ == lease_.base_epoch()) &&
         (entry.extra_ppm == 0 || extra_epoch_ == lease_.extra_epoch());
}

std::uint64_t
share_row_updater::begin_call(step next, instant now)
{
  step_ = next;
  sent_ = now;
  return ++latest_call_;
}

void
share_row_updater::finish_cycle(bool retry)
{
  step_ = step::idle;
  retry_soon_ = retry;
}

void
share_row_updater::start(instant now, bool leaving)
{
  if (step_ != step::idle || lease_.superseded()) {
    return;
  }
  leaving_ = leaving;
  read_row(step::reading, share_row::key(workspace_), now);
}

void
share_row_updater::tick(instant now)
{
  if (step_ == step::lowering) {
    lower(now);
    return;
  }
  if (step_ != step::idle && now - sent_ >= settings_.call_timeout) {
    // A late answer is ignored; the next cycle reads whether the call took effect.
    ++latest_call_;
    finish_cycle(true);
  }
}

void
share_row_updater::read_row(step next, const std::string& key, instant now)
{
  const auto call = begin_call(next, now);
  hooks_.table.get(
    key, [this, call, lifetime = std::weak_ptr(lifetime_)](const result<table_row>& answer) {
      if (!lifetime.expired() && call == latest_call_) {
        on_row_read(answer, hooks_.now());
      }
    });
}

void
share_row_updater::on_row_read(const result<table_row>& answer, instant now)
{
  if (!answer) {
    finish_cycle(true);
    return;
  }
  if (step_ == step::checking_lease) {
    monitor_.observe(*suspect_, answer.value(), now);
    const auto unchanged = monitor_.unchanged_for(*suspect_, sent_);
    plan(row_.reclaim(*suspect_, unchanged, settings_), now);
    return;
  }
  const bool confirming = step_ == step::confirming;
  if (!apply_row(answer.value(), now)) {
    finish_cycle(true);
    return;
  }
  if (confirming) {
    finish_cycle(false);
    return;
  }
  check_suspect(now);
}

void
share_row_updater::set_local_share(std::int64_t base, std::int64_t extra, instant now)
{
  if (base == base_ppm_ && extra == extra_ppm_) {
    return;
  }
  base_ppm_ = base;
  extra_ppm_ = extra;
  hooks_.share_changed(now);
}

bool
share_row_updater::apply_row(const table_row& row, instant now)
{
  auto parsed = share_row::parse(row.value);
  if (!parsed) {
    return false;
  }
  row_ = std::move(parsed).value();
  row_bytes_ = row.value.size();
  revision_ = row.revision;
  has_row_ = true;
  if (unconfirmed_write_ && unconfirmed_write_->if_revision != revision_) {
    unconfirmed_write_.reset();
  }
  const auto* entry = row_.find(owner_.instance);
  if (entry == nullptr || entry->incarnation != owner_.incarnation) {
    set_local_share(0, 0, now);
    return true;
  }
  auto base = entry->base_ppm;
  auto extra = entry->extra_ppm;
  if (unconfirmed_write_) {
    // The write with the unknown outcome may still lower the share.
    base = std::min(base, unconfirmed_write_->base_ppm);
    extra = std::min(extra, unconfirmed_write_->extra_ppm);
  }
  set_local_share(base, extra, now);
  return true;
}

void
share_row_updater::check_suspect(instant now)
{
  // The lease row is read after the share row. If its holder writes the share row in between, the
  // write of this cycle fails; if it renewed the lease before, the read shows the renewal.
  for (const auto& [instance, entry] : row_.holders()) {
    const bool anything =
      entry.extra_ppm > 0 || entry.shortfall_ppm > 0 ||
      settings_.with_margin(settings_.base_lease) <= monitor_.unchanged_for(instance, now);
    if (instance != owner_.instance && anything && monitor_.seems_expired(instance) && !leaving_) {
      suspect_ = instance;
      read_row(step::checking_lease, instance_lease::key(instance), now);
      return;
    }
  }
  plan(row_, now);
}

void
share_row_updater::plan(const share_row& current, instant now)
{
  target_ = hooks_.plan(current, now);
  const auto* entry = target_.find(owner_.instance);
  const bool stale = entry != nullptr && !written_in_current_leases(*entry);
  if (target_ == row_ && !stale && !unconfirmed_write_) {
    finish_cycle(false);
    return;
  }
  lower(now);
}

void
share_row_updater::lower(instant now)
{
  step_ = step::lowering;
  const auto* entry = target_.find(owner_.instance);
  const auto base = entry == nullptr ? 0 : entry->base_ppm;
  const auto extra = entry == nullptr ? 0 : entry->extra_ppm;
  set_local_share(std::min(base_ppm_, base), std::min(extra_ppm_, extra), now);
  // Lent tokens may still be used, so the part of the share that covers them is not released yet.
  if (hooks_.loans_fit(now)) {
    write(now);
  }
}

void
share_row_updater::write(instant now)
{
  if (!leaving_ && !lease_.valid(now)) {
    finish_cycle(true);
    return;
  }
  const auto* entry = target_.find(owner_.instance);
  unconfirmed_write pending{ revision_, 0, 0 };
  if (entry != nullptr) {
    pending.base_ppm = entry->base_ppm;
    pending.extra_ppm = entry->extra_ppm;
  }
  if (unconfirmed_write_) {
    pending.base_ppm = std::min(pending.base_ppm, unconfirmed_write_->base_ppm);
    pending.extra_ppm = std::min(pending.extra_ppm, unconfirmed_write_->extra_ppm);
  }
  unconfirmed_write_ = pending;
  writing_base_epoch_ = lease_.base_epoch();
  writing_extra_epoch_ = lease_.extra_epoch();
  ++writes_;
  const auto call = begin_call(step::writing, now);
  hooks_.table.put(
    share_row::key(workspace_),
    target_.to_json(),
    revision_,
    [this, call, lifetime = std::weak_ptr(lifetime_)](const result<table_write>& answer) {
      if (!lifetime.expired() && call == latest_call_) {
        on_row_written(answer, hooks_.now());
      }
    });
}

void
share_row_updater::on_row_written(const result<table_write>& answer, instant now)
{
  if (!answer) {
    finish_cycle(true);
    return;
  }
  if (!answer.value().written) {
    --writes_;
    ++conflicts_;
    apply_row(answer.value().row, now);
    finish_cycle(true);
    return;
  }
  unconfirmed_write_.reset();
  row_ = target_;
  revision_ = answer.value().row.revision;
  base_epoch_ = writing_base_epoch_;
  extra_epoch_ = writing_extra_epoch_;
  hooks_.share_changed(now);
  const auto* entry = row_.find(owner_.instance);
  if (entry != nullptr && (entry->base_ppm > base_ppm_ || entry->extra_ppm > extra_ppm_)) {
    read_row(step::confirming, share_row::key(workspace_), now);
    return;
  }
  finish_cycle(false);
}

}
