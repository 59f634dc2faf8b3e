#include "Proxy/coordinator_lease.h"

#include <algorithm>
#include <utility>

namespace persimmonshelf {

namespace {

// Pause after a write that was refused or not answered; the row is read meanwhile.
constexpr duration retry_pause = std::chrono::milliseconds(250);
// A write slower than slow_write selects the long lease, and one faster than fast_write the short
// one.
constexpr duration slow_write = std::chrono::milliseconds(250);
constexpr duration fast_write = std::chrono::milliseconds(100);

}

coordinator_lease::coordinator_lease(instance_id own,
                                     incarnation_id incarnation,
                                     std::string address,
                                     duration claim_delay,
                                     bool first_start,
                                     hooks callbacks)
  : own_(std::move(own))
  , incarnation_(incarnation)
  , address_(std::move(address))
  , claim_delay_(claim_delay)
  , hooks_(std::move(callbacks))
  , first_era_(first_start)
{
}

bool
coordinator_lease::holds(instant now) const
{
  return holding_ && now - renewed_at_ < validity_;
}

duration
coordinator_lease::remaining(instant now) const
{
  return holding_ ? std::max(duration::zero(), renewed_at_ + validity_ - now) : duration::zero();
}

void
coordinator_lease::end_holding(const std::string& reason)
{
  if (std::exchange(holding_, false)) {
    hooks_.changed(false, reason);
  }
}

void
coordinator_lease::observe(const std::optional<coordinator_row>& row,
                           const store_version& version,
                           instant confirmed_at,
                           instant now)
{
  if (observed_ && version < version_) {
    return;
  }
  if (observed_ && version.era() != version_.era()) {
    begin_era();
  }
  if (!observed_ || version != version_) {
    unchanged_since_ = version == announced_version_ ? announced_at_ : now;
    unchanged_until_ = confirmed_at;
  }
  observed_ = true;
  version_ = version;
  row_ = row;
  unchanged_until_ = std::max(unchanged_until_, confirmed_at);
  if (!row || row->holder != own_ || row->incarnation != incarnation_) {
    end_holding("the store names another holder");
    return;
  }
  // A write by this instance whose answer was lost: the lease counts from when it was sent.
  for (auto* write : { &pending_, &unanswered_ }) {
    if (*write && (*write)->row == *row && (*write)->era == version.era()) {
      apply_written_row(**write, now, "found in the store");
      return;
    }
  }
}

// Other instances wait for the end of this lease, but their waits begin now, and no write can renew
// it any more.
void
coordinator_lease::begin_era()
{
  first_era_ = false;
  held_until_ = holding_ ? renewed_at_ + validity_ : instant{};
  end_holding("the store returned from an older copy");
}

void
coordinator_lease::observe_version(const store_version& version, instant now)
{
  if (version > announced_version_) {
    announced_version_ = version;
    announced_at_ = now;
  }
}

void
coordinator_lease::apply_written_row(const pending_write& write,
                                     instant now,
                                     const std::string& reason)
{
  if (released_ || resigned_token_ == write.row.token) {
    return;
  }
  renewed_at_ = std::max(renewed_at_, write.sent);
  validity_ = write.row.validity;
  if (!std::exchange(holding_, true)) {
    token_ = write.row.token;
    renewed_at_ = write.sent;
    held_since_ = now;
    hooks_.changed(true, reason);
  }
}

std::optional<coordinator_row>
coordinator_lease::begin_renewal(instant now)
{
  if (!holding_ || pending_ || released_) {
    return std::nullopt;
  }
  const auto row = own_row(token_);
  pending_ = pending_write{ row, now, version_.era() };
  return row;
}

coordinator_row
coordinator_lease::own_row(fencing_token token)
{
  coordinator_row row;
  row.holder = own_;
  row.incarnation = incarnation_;
  row.token = token;
  row.address = address_;
  row.renewal = ++renewals_;
  const bool keep_long = validity_ == long_lease_duration && last_write_duration_ > fast_write;
  row.validity =
    last_write_duration_ > slow_write || keep_long ? long_lease_duration : short_lease_duration;
  return row;
}

void
coordinator_lease::begin_write(const coordinator_row& row, instant now)
{
  pending_ = pending_write{ row, now, version_.era() };
  hooks_.write(row, version_);
}

void
coordinator_lease::write_done(write_outcome outcome, const store_version& version, instant now)
{
  const auto pending = std::exchange(pending_, std::nullopt);
  if (!pending) {
    return;
  }
  last_write_duration_ = now - pending->sent;
  switch (outcome) {
    case write_outcome::written:
      row_ = pending->row;
      version_ = std::max(version_, version);
      unchanged_since_ = now;
      unanswered_.reset();
      if (pending->row.holder == own_) {
        apply_written_row(*pending, now, "written");
      }
      return;
    case write_outcome::conflict:
      // The next observation shows who holds the row; without one the lease expires.
    case write_outcome::other_era:
    case write_outcome::refused:
      next_write_at_ = now + retry_pause;
      return;
    case write_outcome::unknown:
      unanswered_ = pending;
      // If the write was done, other instances rely on the validity that it states.
      validity_ = std::min(validity_, pending->row.validity);
      next_write_at_ = now + retry_pause;
      return;
  }
}

void
coordinator_lease::tick(instant now)
{
  if (released_ || !observed_ || pending_ || now < next_write_at_) {
    return;
  }
  if (holding_) {
    if (now - renewed_at_ >= lease_renewal_interval) {
      begin_write(own_row(token_), now);
    }
    return;
  }
  if (may_claim(now)) {
    // A write of an earlier era that took effect late may have replaced the row of this era's last
    // holder, so such a row shows nothing about the tokens of this era.
    const auto next =
      row_ && !row_may_be_restored() ? fencing_token(row_->token.get() + 1) : token_above(version_);
    begin_write(own_row(next), now);
  }
}

// True if the row, or that there is none, may come from an older copy of the store.
bool
coordinator_lease::row_may_be_restored() const
{
  if (row_) {
    return era_of(row_->token) < version_.era();
  }
  return version_.era() > store_era() && !first_era_;
}

// True if no other instance can rely on the lease any more.
bool
coordinator_lease::may_claim(instant now) const
{
  // Only a row that the store confirmed counts as unchanged.
  const auto unchanged_for = unchanged_until_ - unchanged_since_;
  if (row_may_be_restored()) {
    return now < held_until_ ||
           unchanged_for >= claim_delay_ + long_lease_duration + takeover_margin;
  }
  const bool restarted = row_ && row_->holder == own_;
  if (restarted) {
    return true;
  }
  const bool vacant = !row_ || row_->holder.get().empty() || vacated_token_ == row_->token;
  if (vacant) {
    return now - unchanged_since_ >= claim_delay_;
  }
  return unchanged_for >= claim_delay_ + row_->validity + takeover_margin;
}

void
coordinator_lease::mark_vacant(fencing_token token)
{
  vacated_token_ = token;
}

void
coordinator_lease::resign()
{
  resigned_token_ = token_;
  end_holding("the lease expired without an answer from the store");
}

void
coordinator_lease::release(instant now)
{
  released_ = true;
  if (holding_ && !pending_) {
    auto row = own_row(token_);
    row.holder = instance_id();
    row.address.clear();
    begin_write(row, now);
  }
  end_holding("leaving");
}

}
