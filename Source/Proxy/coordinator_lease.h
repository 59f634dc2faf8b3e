#pragma once

#include "Proxy/coordinator_messages.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace persimmonshelf {

// How long the holder relies on its last renewal, counted from before it was sent. The longer one
// is chosen while the store takes long to answer.
inline constexpr duration short_lease_duration = std::chrono::milliseconds(1000);
inline constexpr duration long_lease_duration = std::chrono::milliseconds(2500);
// How much longer than the holder's lease the row must stay unchanged before another instance takes
// it: a call that the holder sent at its end is over by then.
inline constexpr duration takeover_margin = std::chrono::milliseconds(750);
inline constexpr duration lease_renewal_interval = std::chrono::milliseconds(450);

// The row of the store that names the coordinator.
struct coordinator_row
{
  // Empty if the last holder gave the duty up.
  instance_id holder;
  incarnation_id incarnation;
  fencing_token token;
  // Where the holder hears instances.
  std::string address;
  // How long the holder relies on this write.
  duration validity = short_lease_duration;
  // Counts the holder's writes, so that a write whose answer was lost is recognised.
  std::uint64_t renewal = 0;

  friend bool operator==(const coordinator_row&, const coordinator_row&) = default;
};

// Decides when this instance takes, renews and gives up the duty of coordinator. Every change of
// the row is conditional on its revision, so two instances never hold one token.
class coordinator_lease
{
public:
  struct hooks
  {
    // Writes the row if its revision is still `expected`; zero means that there is no row.
    std::function<void(const coordinator_row&, std::uint64_t expected)> write;
    std::function<void(bool holding, const std::string& reason)> changed;
  };
  enum class write_outcome : std::uint8_t
  {
    written,
    // Another revision is there.
    conflict,
    // Nothing was done.
    refused,
    // No answer: it may have been done.
    unknown,
  };

  coordinator_lease(instance_id own,
                    incarnation_id incarnation,
                    std::string address,
                    duration claim_delay,
                    hooks calls);

  // The row as the store had it at `as_of`; none if it does not exist.
  void observe(const std::optional<coordinator_row>& row,
               std::uint64_t revision,
               instant as_of,
               instant now);

  // The holder itself told this revision of its row. Only dates the revision; the row is read from
  // the store before anything is concluded.
  void observe_revision(std::uint64_t revision, instant now);

  // Outcome of the write in flight; `revision` is the new one if it was written.
  void write_done(write_outcome outcome, std::uint64_t revision, instant now);

  void tick(instant now);

  // The holder of this token said that it no longer acts: the row counts as vacant.
  void mark_vacant(fencing_token token);

  // Gives the duty up without the store, which does not answer.
  void resign();

  // Gives the duty up and takes no other.
  void release(instant now);

  // True while this instance may act as coordinator.
  bool holds(instant now) const;
  // True if it holds the row, even if the lease has run out meanwhile.
  bool holds_row() const { return holding_; }
  fencing_token token() const { return token_; }
  std::uint64_t revision() const { return revision_; }
  // Time left of the lease.
  duration remaining(instant now) const;
  // When this instance became the holder.
  instant held_since() const { return held_since_; }
  const std::optional<coordinator_row>& row() const { return row_; }
  bool write_in_flight() const { return pending_.has_value(); }
  // Begins a renewal that the caller sends together with other rows. The outcome comes through
  // write_done. Empty if the lease is not held or another write is in flight.
  std::optional<coordinator_row> begin_renewal(instant now);

private:
  struct pending_write
  {
    coordinator_row row;
    instant sent{};
  };

  coordinator_row own_row(fencing_token token);
  void begin_write(const coordinator_row& row, instant now);
  void end_holding(const std::string& reason);
  void apply_written_row(const pending_write& by, instant now, const std::string& reason);

  instance_id own_;
  incarnation_id incarnation_;
  std::string address_;
  duration claim_delay_;
  hooks hooks_;
  std::optional<coordinator_row> row_;
  std::uint64_t revision_ = 0;
  bool observed_ = false;
  std::uint64_t announced_revision_ = 0;
  instant announced_at_{};
  // When the present revision was first seen, and the latest moment at which it was still there.
  instant unchanged_since_{};
  instant unchanged_until_{};
  bool holding_ = false;
  bool released_ = false;
  fencing_token token_;
  instant renewed_at_{};
  // Of the newest write that may be in the store.
  duration validity_ = short_lease_duration;
  // Time that the newest answered write took.
  duration last_write_duration_{};
  instant held_since_{};
  std::optional<pending_write> pending_;
  // Writes whose answer was lost; one of them may still be done.
  std::optional<pending_write> unanswered_;
  std::uint64_t renewals_ = 0;
  instant next_write_at_{};
  std::optional<fencing_token> vacated_token_;
  // Token that this instance gave up: a write of it that is answered later revives nothing, since
  // others may have claimed the row meanwhile.
  std::optional<fencing_token> resigned_token_;
};

}
