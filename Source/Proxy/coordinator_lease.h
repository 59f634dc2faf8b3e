#pragma once

#include "Proxy/coordinator_messages.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace persimmonshelf {

// How long the holder relies on its last renewal, counted from before the write was sent. The
// longer duration is used while the store answers slowly.
inline constexpr duration short_lease_duration = std::chrono::milliseconds(1000);
inline constexpr duration long_lease_duration = std::chrono::milliseconds(2500);
// How much longer than the holder's lease the row must stay unchanged before another instance
// claims it. A call that the holder sent at the end of its lease is finished by then.
inline constexpr duration takeover_margin = std::chrono::milliseconds(750);
inline constexpr duration lease_renewal_interval = std::chrono::milliseconds(450);

// The row in the store that names the coordinator.
struct coordinator_row
{
  // Empty if the last holder released the lease.
  instance_id holder;
  incarnation_id incarnation;
  fencing_token token;
  // Address at which the holder receives reports.
  std::string address;
  // How long the holder relies on this write.
  duration validity = short_lease_duration;
  // Counts the holder's writes, so it can recognise a write whose answer was lost.
  std::uint64_t renewal = 0;

  friend bool operator==(const coordinator_row&, const coordinator_row&) = default;
};

// Decides when this instance acquires, renews and releases the coordinator lease. Every write of
// the row is conditional on its version, so two instances never hold the same token.
//
// When the store enters a new era, it may have lost the row of a holder that still relies on it.
// What the restored row says about holders then proves nothing: a claim waits for the end of the
// longest lease. Only the holder itself, while its lease lasts, claims the row again at once. The
// token shows in which era the row was written, also to an instance that has just started.
class coordinator_lease
{
public:
  struct hooks
  {
    // Writes the row if its version is still `expected`; one that does not exist means that there
    // is no row.
    std::function<void(const coordinator_row&, const store_version& expected)> write;
    std::function<void(bool holding, const std::string& reason)> changed;
  };
  enum class write_outcome : std::uint8_t
  {
    written,
    // The row has another version.
    conflict,
    // The write was not done.
    refused,
    // No answer; the write may have been done.
    unknown,
    // The write was done in a later era than that of the version on which it was conditional, so it
    // may have met another row with the same revision.
    other_era,
  };

  // `first_start` is true at the first start of the whole fleet: the store then lost no holder.
  coordinator_lease(instance_id own,
                    incarnation_id incarnation,
                    std::string address,
                    duration claim_delay,
                    bool first_start,
                    hooks callbacks);

  // Reports the row that the store confirmed at `confirmed_at`; empty if it does not exist.
  void observe(const std::optional<coordinator_row>& row,
               const store_version& version,
               instant confirmed_at,
               instant now);

  // Reports a version that the holder itself announced. It only sets the time of this version; the
  // row is read from the store before any decision.
  void observe_version(const store_version& version, instant now);

  // Reports the outcome of the write in progress; `version` is the new one if it was written.
  void write_done(write_outcome outcome, const store_version& version, instant now);

  void tick(instant now);

  // The holder of this token announced that it stopped acting as coordinator: the row counts as
  // vacant.
  void mark_vacant(fencing_token token);

  // Ends the lease without a write, when the store does not answer.
  void resign();

  // Releases the lease and never acquires it again.
  void release(instant now);

  // True while this instance may act as coordinator.
  bool holds(instant now) const;
  // True if it holds the row, even if the lease has expired meanwhile.
  bool holds_row() const { return holding_; }
  fencing_token token() const { return token_; }
  const store_version& version() const { return version_; }
  // Time until the lease expires.
  duration remaining(instant now) const;
  // Time when this instance acquired the lease.
  instant held_since() const { return held_since_; }
  const std::optional<coordinator_row>& row() const { return row_; }
  bool write_in_flight() const { return pending_.has_value(); }
  // Begins a renewal that the caller writes together with other rows; the caller reports the
  // outcome to write_done(). Empty if the lease is not held or another write is in progress.
  std::optional<coordinator_row> begin_renewal(instant now);

private:
  struct pending_write
  {
    coordinator_row row;
    instant sent{};
    // Era of the version on which the write is conditional.
    store_era era;
  };

  coordinator_row own_row(fencing_token token);
  void begin_era();
  bool may_claim(instant now) const;
  bool row_may_be_restored() const;
  void begin_write(const coordinator_row& row, instant now);
  void end_holding(const std::string& reason);
  void apply_written_row(const pending_write& write, instant now, const std::string& reason);

  instance_id own_;
  incarnation_id incarnation_;
  std::string address_;
  duration claim_delay_;
  hooks hooks_;
  std::optional<coordinator_row> row_;
  store_version version_;
  bool observed_ = false;
  // True if the store lost no holder as far as is known.
  bool first_era_;
  // End of the lease that this instance held when the store entered its present era.
  instant held_until_{};
  store_version announced_version_;
  instant announced_at_{};
  // Time when the current version was first seen, and latest time at which it was confirmed
  // unchanged.
  instant unchanged_since_{};
  instant unchanged_until_{};
  bool holding_ = false;
  bool released_ = false;
  fencing_token token_;
  instant renewed_at_{};
  // Validity in the newest write that may be in the store.
  duration validity_ = short_lease_duration;
  // Duration of the newest answered write.
  duration last_write_duration_{};
  instant held_since_{};
  std::optional<pending_write> pending_;
  // A write whose answer was lost; it may still take effect.
  std::optional<pending_write> unanswered_;
  std::uint64_t renewals_ = 0;
  instant next_write_at_{};
  std::optional<fencing_token> vacated_token_;
  // Token that this instance resigned. A write with it that is answered later does not restore the
  // lease, because others may have claimed the row meanwhile.
  std::optional<fencing_token> resigned_token_;
};

}
