#pragma once

#include "Proxy/rate_limiter.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>

namespace persimmonshelf {

// Admits operations within the rate limit of their workspace. An operation that finds no token
// waits some milliseconds for one answer from the coordinator's token pool. Operations that cannot
// be admitted are refused at once.
class admission
{
public:
  // The argument is empty if the operation is admitted; otherwise it is the time after which a
  // retry may succeed.
  using handler = std::function<void(std::optional<duration>)>;

  // `request_tokens` requests tokens for the waiting operations. It is called more often than
  // requests are sent; the callee paces them.
  admission(rate_limiter& limiter, std::function<void()> request_tokens);

  void admit(const workspace_id& workspace, handler done, instant now);

  // Call after a grant was applied to the rate limiter.
  void on_tokens_granted(instant now);
  void tick(instant now);

  // Number of waiting operations by workspace.
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
  std::function<void()> request_tokens_;
  std::deque<waiting_operation> waiting_;
};

}
