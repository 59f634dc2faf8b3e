#pragma once

#include "Base/strong.h"
#include "Proxy/rate_limiter.h"
#include "Proxy/retry_schedule.h"
#include "Proxy/run_time_estimate.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace persimmonshelf {

using admission_number = strong<struct admission_number_tag, std::uint64_t>;

// Most operations that wait for tokens at one instance. Each waiting one is examined every 20 ms,
// and with the smallest machines a statement costs about as much as examining a thousand.
inline constexpr std::size_t max_waiting_operations = 1024;

// What determines the place of an operation among those that wait for tokens.
struct operation_urgency
{
  // Priority of the route; 0 is the highest.
  std::uint32_t priority = 0;
  // Target for the whole operation, counted from its arrival. With zero it waits only for one
  // answer of the coordinator.
  duration target_latency{};
};

// How an operation that found no token at once continued.
struct token_wait
{
  enum class result : std::uint8_t
  {
    admitted,
    refused,
    // The statement ended before a token was due.
    cancelled,
  };
  workspace_id workspace;
  std::uint32_t priority = 0;
  result outcome = result::admitted;
  duration waited{};
  // Told to a refused operation.
  duration retry_after{};
};

// Name of the result in metrics.
std::string_view
name_of(token_wait::result outcome);

// Admits operations within the rate limit of their workspace. Operations that find no token wait,
// ordered by priority and then by target time, as long as their token is due early enough before
// the target. Others are refused at once. No operation takes a token that a waiting one ahead of it
// needs. docs/design/rate-admission-order.md describes the rules.
class admission
{
public:
  // The argument is empty if the operation is admitted; otherwise it is the time after which a
  // retry may succeed. The handler may call this object.
  using handler = std::function<void(std::optional<duration>)>;

  // `request_tokens` requests tokens for the waiting operations. It is called more often than
  // requests are sent; the callee paces them. `observe` is told of each operation that found no
  // token at once.
  admission(rate_limiter& limiter,
            std::function<void()> request_tokens,
            std::function<void(const token_wait&)> observe = {});

  // Admits or refuses the operation before it returns, or lets it wait and returns its number.
  std::optional<admission_number> admit(const workspace_id& workspace,
                                        handler done,
                                        instant now,
                                        const operation_urgency& urgency = {});

  // Ends the wait of an operation. Its handler is not called, and it takes no token.
  void cancel(admission_number number, instant now);

  // Records how long an admitted operation ran. An operation waits for a token only while enough of
  // its target is left to run it.
  void record_run_time(std::uint32_t priority, duration elapsed);

  // Call after a grant was applied to the rate limiter.
  void on_tokens_granted(instant now);
  void tick(instant now);

  // Waiting operations, for a report to the coordinator.
  waiting_table waiting_counts() const;

private:
  // Place of an operation among those that wait.
  struct place
  {
    std::uint32_t priority = 0;
    instant target{};
    admission_number number;

    friend auto operator<=>(const place&, const place&) = default;
  };
  struct waiting_operation
  {
    handler done;
    instant arrived{};
    // Latest time at which a token is of use.
    instant deadline{};
  };
  using queue = std::map<place, waiting_operation>;

  void serve(const workspace_id& workspace, instant now, bool is_tick);
  void refuse_late(const workspace_id& workspace, rate_limiter::verdict state, instant now);
  std::optional<waiting_operation> remove(const workspace_id& workspace, const place& at);
  void admit_waiting(const workspace_id& workspace, const place& at, instant now);
  void refuse_waiting(const workspace_id& workspace, const place& at, instant now);
  void refuse_least_urgent(instant now);
  duration retry_delay(const workspace_id& workspace, const place& at, instant now);
  void observe(const token_wait& wait) const;
  void request_when_due(instant now);
  void schedule_request(instant now);

  rate_limiter& limiter_;
  std::function<void()> request_tokens_;
  std::function<void(const token_wait&)> observe_;
  // Workspaces with waiting operations. No queue is empty.
  std::map<workspace_id, queue> queues_;
  std::map<admission_number, std::pair<workspace_id, place>> places_;
  std::map<workspace_id, retry_schedule> retries_;
  run_time_estimate run_times_;
  std::uint64_t last_number_ = 0;
  // Earliest time of the next request for operations whose last request was not met.
  instant next_request_at_{};
};

}
