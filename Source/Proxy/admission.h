#pragma once

#include "Proxy/rate_limiter.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace persimmonshelf {

// Admits operations within their workspace's limit. An operation that finds no token waits for one
// answer of the coordinator's pool, some milliseconds; what cannot be admitted is refused at once.
class admission
{
public:
  // Empty if admitted; otherwise the time after which another attempt may succeed.
  using handler = std::function<void(std::optional<duration>)>;

  // `ask` requests tokens for what waits; it may be called more often than it asks.
  admission(rate_limiter& limiter, std::function<void()> ask);

  void admit(const workspace_id& workspace, handler done, instant now);

  // A grant was applied.
  void on_tokens_granted(instant now);
  void tick(instant now);

  // Operations that wait, by workspace.
  std::map<workspace_id, double> waiting_counts() const;

private:
  struct waiting_operation
  {
    workspace_id workspace;
    handler done;
    instant expiry;
  };
  void serve(instant now, bool refuse_all_expired);

  rate_limiter& limiter_;
  std::function<void()> ask_;
  std::deque<waiting_operation> waiting_;
};

}
