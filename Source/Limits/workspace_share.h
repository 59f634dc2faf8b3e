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

// One instance's share of one workspace: the token bucket, the measured demand and the schedule of
// the share row updates. The bucket's rate and capacity always follow the currently usable share.
class workspace_share
{
public:
  // What the shares of all workspaces have in common.
  struct context
  {
    share_owner owner;
    share_settings settings;
    table_hooks table;
    // Time of the event that is being handled; table answers carry no time.
    std::function<instant()> now;
    // Live instances in order of preference for a workspace.
    std::function<std::vector<share_candidate>(const workspace_id&)> candidates;
  };

  // `shared`, `lease`, `monitor` and `random` must outlive this object. The first cycle starts
  // after the time to live of a borrowed token, when all tokens that an earlier run of this
  // instance lent have been used or have expired.
  workspace_share(workspace_id id,
                  const context& shared,
                  const instance_lease& lease,
                  lease_monitor& monitor,
                  random_sequence& random,
                  instant now);

  workspace_share(const workspace_share&) = delete;
  workspace_share& operator=(const workspace_share&) = delete;

  void set_limit(const workspace_limit& limit, instant now);
  // With `leaving` the share is given up. False takes the share again, such as when a later
  // configuration contains a removed workspace again.
  void set_leaving(bool leaving, instant now);

  // Sets the bucket's rate and capacity from the usable share at `now`.
  void refresh(instant now);
  // Measures the demand and starts an update cycle if one is due. `read_interval` is the time
  // between routine reads of the row.
  void tick(instant now, duration read_interval);

  token_bucket& bucket() { return bucket_; }
  demand_meter& demand() { return demand_; }
  const share_row_updater& updater() const { return updater_; }
  const workspace_limit& limit() const { return limit_; }
  // Peers that can lend a whole token.
  const std::vector<token_borrower::lender>& lenders() const { return lenders_; }
  bool leaving() const { return leaving_; }
  // True if the last row that was read has an entry of this instance.
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
  // Number of writes when the last cycle ended.
  std::uint64_t writes_at_cycle_end_ = 0;
  bool cycle_running_ = false;
  bool leaving_ = false;

  // Whether this instance is among the chosen holders.
  bool chosen_ = false;
  std::vector<instance_id> holders_;
  std::optional<instant> not_chosen_since_;
};

}
