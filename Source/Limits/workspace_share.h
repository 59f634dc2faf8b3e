#pragma once

#include "Limits/demand_meter.h"
#include "Limits/random_sequence.h"
#include "Limits/share_policy.h"
#include "Limits/share_row_updater.h"
#include "Limits/token_borrower.h"
#include "Limits/token_bucket.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace persimmonshelf {

// Share of one instance in one workspace: the bucket, the measured demand and the time of the next
// change of the row. The bucket always follows the share that is usable at the time.
class workspace_share
{
public:
  struct context
  {
    share_owner owner;
    share_settings settings;
    table_hooks table;
    std::function<instant()> now;
    std::function<std::vector<share_candidate>(const workspace_id&)> candidates;
  };

  // `environment`, `lease`, `watch` and `random` must outlive this object. The first cycle starts
  // after a borrowed token's time to live, so that tokens which an earlier run of this instance
  // lent are used up or void.
  workspace_share(workspace_id id,
                  const context& shared,
                  const instance_lease& lease,
                  lease_monitor& monitor,
                  random_sequence& random,
                  instant now);

  workspace_share(const workspace_share&) = delete;
  workspace_share& operator=(const workspace_share&) = delete;

  void set_limit(const workspace_limit& limit, instant now);
  // Gives the share up when told so; `removed` may be taken back by a later configuration.
  void set_leaving(bool leaving, instant now);

  // Brings the bucket up to date with the usable share.
  void refresh(instant now);
  // `read_interval` is the time between routine reads of the row.
  void tick(instant now, duration read_interval);

  token_bucket& bucket() { return bucket_; }
  demand_meter& demand() { return demand_; }
  const share_row_updater& updater() const { return updater_; }
  const workspace_limit& limit() const { return limit_; }
  const std::vector<token_borrower::lender>& lenders() const { return lenders_; }
  bool leaving() const { return leaving_; }
  // True if the row holds an entry of ours as far as we know.
  bool has_entry() const;

private:
  share_row_updater::hooks updater_hooks();
  void start_cycle(instant now);
  void after_cycle(instant now, duration read_interval);
  void update_role(instant now);
  void update_lenders();
  share_row plan(const share_row& row, instant now) const;

  workspace_id id_;
  const context& context_;
  const instance_lease& lease_;
  random_sequence& random_;
  share_row_updater updater_;
  workspace_limit limit_;
  token_bucket bucket_;
  demand_meter demand_;
  std::vector<token_borrower::lender> lenders_;

  instant refreshed_{};
  instant next_cycle_{};
  std::uint64_t writes_at_cycle_end_ = 0;
  bool cycle_running_ = false;
  bool leaving_ = false;

  bool chosen_ = false;
  std::vector<instance_id> holders_;
  std::optional<instant> not_chosen_since_;
};

}
