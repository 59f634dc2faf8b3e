#pragma once

#include "Limits/workspace_share.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace persimmonshelf {

// Whether a request may run.
enum class admission_decision
{
  admitted,
  // The workspace's tokens are used up as far as this instance can tell.
  refused_over_rate,
  // This instance has no share and no holder answered it.
  refused_no_share,
};

// Shares of one instance in the rates and bursts of all workspaces, and the decision on each
// request. All instances together admit at most burst + rate * w requests of a workspace in any
// window w.
class distributed_rate_limiter
{
public:
  struct hooks
  {
    table_hooks table;
    // Time of the event that is being handled; used for answers of the table, which carry no time.
    std::function<instant()> now;
    // Live instances in the order of preference for a workspace, the same on all instances with
    // the same view of the membership.
    std::function<std::vector<share_candidate>(const workspace_id&)> candidates;
    // Sends a request for tokens to a peer; it answers with the same id.
    token_borrower::send_hook send_borrow_request;
    // Sends the answer to a peer's request; 0 means that there is nothing to lend.
    token_borrower::send_hook send_borrow_answer;
  };
  using callback = std::function<void(admission_decision)>;

  struct counters
  {
    std::uint64_t admitted = 0;
    // Part of `admitted` that used a borrowed token.
    std::uint64_t borrowed = 0;
    std::uint64_t lent = 0;
    std::uint64_t refused_over_rate = 0;
    std::uint64_t refused_no_share = 0;
    std::uint64_t row_writes = 0;
    std::uint64_t row_conflicts = 0;
  };

  distributed_rate_limiter(share_owner owner, share_settings settings, hooks callbacks);
  distributed_rate_limiter(const distributed_rate_limiter&) = delete;
  distributed_rate_limiter& operator=(const distributed_rate_limiter&) = delete;

  // Replaces the limits of all workspaces; a workspace that is missing is given up. Lower limits
  // take effect at once.
  void configure(const std::map<workspace_id, workspace_limit>& limits, instant now);

  // Renews, reads, moves shares and ends borrowing that takes too long. Call at least every 10 ms.
  void tick(instant now);

  // Calls `done` once, at once or within the time to live of a borrowed token. An unknown workspace
  // is refused_no_share.
  void admit(const workspace_id& workspace, instant now, callback done);

  // A peer asks for tokens.
  void on_borrow_request(const instance_id& peer,
                         std::uint64_t id,
                         const workspace_id& workspace,
                         std::int64_t milli,
                         instant now);
  // A peer answered our request.
  void on_borrow_answer(const instance_id& peer, std::uint64_t id, std::int64_t milli, instant now);
  // A peer told how many milli-tokens it has to spare.
  void on_surplus_report(const instance_id& peer,
                         const workspace_id& workspace,
                         std::int64_t milli,
                         instant now);
  // What this instance would tell its peers.
  std::int64_t surplus(const workspace_id& workspace, instant now);

  // Gives all shares back. Requests are then admitted with borrowed tokens only.
  void drain(instant now);
  // True when all shares were given back as far as the table answered.
  bool drained() const;

  counters totals() const;
  counters counters_of(const workspace_id& workspace) const;
  // Usable share in parts per million, rate and burst part in milli-tokens; for metrics and for the
  // bounds of the account.
  std::int64_t share_ppm(const workspace_id& workspace, instant now) const;
  workspace_limit share(const workspace_id& workspace, instant now) const;
  bool superseded() const { return lease_.superseded(); }

private:
  // One workspace and what happened to its requests.
  struct workspace_state
  {
    workspace_share share;
    counters counts;
    // True once the workspace is missing from the configuration.
    bool removed = false;
  };

  workspace_state* find(const workspace_id& workspace);
  void refresh_all(instant now);
  void admit_or_refuse(workspace_state& state, bool answered, instant now, const callback& done);
  void monitor_holders(instant now);
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
