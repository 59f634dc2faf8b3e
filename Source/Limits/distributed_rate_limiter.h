#pragma once

#include "Limits/workspace_share.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace persimmonshelf {

// Decision on one request.
enum class admission_decision
{
  admitted,
  // The workspace's tokens are used up, as far as this instance can determine.
  refused_over_rate,
  // This instance has no share and no holder of a share answered its borrow requests.
  refused_no_share,
};

// Rate limiter of one instance. The instances of the fleet divide the rate and burst of each
// workspace into shares that are stored in the platform's table; each instance admits requests from
// a token bucket of its share and borrows tokens from peers. All instances together admit at most
// burst + rate * w requests of a workspace in any window w.
class distributed_rate_limiter
{
public:
  struct hooks
  {
    table_hooks table;
    // Time of the event that is being handled; table answers carry no time.
    std::function<instant()> now;
    // Live instances in order of preference for a workspace. The order is the same on all instances
    // with the same membership view.
    std::function<std::vector<share_candidate>(const workspace_id&)> candidates;
    // Sends a borrow request to a peer, which answers with the same id.
    token_borrower::send_hook send_borrow_request;
    // Sends the answer to a peer's borrow request; 0 milli-tokens means that nothing is lent.
    token_borrower::send_hook send_borrow_answer;
  };
  using callback = std::function<void(admission_decision)>;

  struct counters
  {
    std::uint64_t admitted = 0;
    // Number of admitted requests that used a borrowed token.
    std::uint64_t borrowed = 0;
    // Number of loans to peers.
    std::uint64_t lent = 0;
    std::uint64_t refused_over_rate = 0;
    std::uint64_t refused_no_share = 0;
    // Writes of share rows that were sent, except those that failed with a conflict.
    std::uint64_t row_writes = 0;
    std::uint64_t row_conflicts = 0;
  };

  distributed_rate_limiter(share_owner owner, share_settings settings, hooks callbacks);
  distributed_rate_limiter(const distributed_rate_limiter&) = delete;
  distributed_rate_limiter& operator=(const distributed_rate_limiter&) = delete;

  // Replaces the limits of all workspaces. The share of a workspace that is missing is given up.
  // Lower limits take effect at once.
  void configure(const std::map<workspace_id, workspace_limit>& limits, instant now);

  // Renews the lease, reads rows, rebalances shares and ends borrow requests that timed out. Must
  // be called at least every 10 ms.
  void tick(instant now);

  // Calls `done` once, immediately or within the time to live of a borrowed token. An unknown
  // workspace gives refused_no_share.
  void admit(const workspace_id& workspace, instant now, callback done);

  // Handles a peer's borrow request for `milli` milli-tokens; answers through send_borrow_answer.
  void on_borrow_request(const instance_id& peer,
                         std::uint64_t id,
                         const workspace_id& workspace,
                         std::int64_t milli,
                         instant now);
  // Handles a peer's answer to borrow request `id` of this instance.
  void on_borrow_answer(const instance_id& peer, std::uint64_t id, std::int64_t milli, instant now);
  // Handles a peer's report of its surplus in milli-tokens.
  void on_surplus_report(const instance_id& peer,
                         const workspace_id& workspace,
                         std::int64_t milli,
                         instant now);
  // Milli-tokens in this instance's bucket, for a report to its peers. 0 if the workspace is
  // unknown.
  std::int64_t surplus(const workspace_id& workspace, instant now);

  // Returns all shares. Afterwards requests are admitted with borrowed tokens only.
  void drain(instant now);
  // True once drain() was called and the last known rows have no entry of this instance.
  bool drained() const;

  // Counters of all workspaces together, and of one workspace; zero if it is unknown.
  counters totals() const;
  counters counters_of(const workspace_id& workspace) const;
  // The usable share in parts per million, and as a part of the workspace's rate and burst. Used
  // for metrics and for the error bounds of usage accounting.
  std::int64_t share_ppm(const workspace_id& workspace, instant now) const;
  workspace_limit share(const workspace_id& workspace, instant now) const;
  // True once a later run of this instance was detected; this run then holds no shares.
  bool superseded() const { return lease_.superseded(); }

private:
  // The share of one workspace and the counters of its requests.
  struct workspace_state
  {
    workspace_share share;
    counters counts;
    // True once the workspace is missing from the configuration.
    bool removed = false;
  };

  workspace_state* find(const workspace_id& workspace);
  void refresh_all(instant now);
  // Decides on a request that got no borrowed token; `answered` is true if a peer refused.
  void admit_or_refuse(workspace_state& state, bool answered, instant now, const callback& done);
  void monitor_holders(instant now);
  // Time between routine reads of each share row, limited by row_read_bytes_per_second.
  duration read_interval() const;

  workspace_share::context context_;
  token_borrower::send_hook send_borrow_answer_;
  instance_lease lease_;
  lease_monitor monitor_;
  token_borrower borrower_;
  random_sequence random_;
  std::map<workspace_id, std::unique_ptr<workspace_state>> workspaces_;
  instant next_monitor_update_{};
  bool draining_ = false;
};

}
