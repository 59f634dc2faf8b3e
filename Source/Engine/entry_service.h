#pragma once

#include "Engine/control_service.h"
#include "Engine/deferred_calls.h"
#include "Engine/trace_store.h"
#include "Entry/caller_request.h"
#include "Entry/request_table.h"
#include "Limits/distributed_rate_limiter.h"
#include "Session/session_token.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace persimmonshelf {

// Result of a caller's request, for metrics and usage counters.
struct request_end
{
  // Empty for open routes and if the key was not accepted.
  workspace_id workspace;
  result_code code = result_code::internal_error;
  run_outcome outcome = run_outcome::unknown;
  // Time from the arrival of the request to the answer.
  duration elapsed{};
  // Time that the backend server spent on the request.
  duration backend_time{};
  // True if the request consumed a rate limit token of its workspace.
  bool admitted = false;
};

// Incarnation that the last message of a peer came from, and a lower bound of the current time on
// its clock.
struct peer_time
{
  incarnation_id incarnation;
  instant clock;
};

// Handles the requests that callers send to this instance: authorization, admission, forwarding to
// a home and the answer.
class entry_service
{
public:
  using respond = std::function<void(caller_answer)>;

  struct hooks
  {
    // Sends a forwarded request to a peer. `on_not_sent` runs later if the request was definitely
    // not sent.
    std::function<
      void(const std::string& address, wire::envelope, std::function<void(instant)> on_not_sent)>
      send;
    // Hands a request to the homes of this instance.
    std::function<void(wire::forward_request, instant)> submit_local;
    // Reports a request that consumed a rate limit token of its workspace.
    std::function<void(const workspace_id&)> request_admitted;
    // Reports the end of a request, for metrics and usage counters.
    std::function<void(const request_end&)> request_ended;
    // Returns an empty value if no message has been received from the peer yet.
    std::function<std::optional<peer_time>(const instance_id&, instant now)> peer_clock;
    std::string session_secret;
  };

  entry_service(control_service& control,
                distributed_rate_limiter& rate_limiter,
                deferred_calls& deferred,
                hooks callbacks);
  ~entry_service();

  // Starts a request. `reply` runs exactly once.
  void submit(caller_request request, respond reply, instant now);
  void on_answer(const wire::forward_answer& answer, instant now);
  void apply_configuration();
  void revoke_key(const sha256_digest& key_digest, instant now);
  void tick(instant now);

  // Rejects new requests from now on.
  void drain() { draining_ = true; }
  std::size_t open_requests() const { return open_.size(); }
  const trace_store& traces() const { return traces_; }

private:
  struct open_request;

  // Checks whether the request may run and fills in its workspace, session, transaction owner and
  // deadline. Fails with the reason for the rejection.
  result<void> authorize(open_request& entry, instant now);
  result<void> authenticate(open_request& entry, const route_config& route, instant now);
  void on_admission_decision(const request_id& request, admission_decision decision, instant now);
  void dispatch(const request_id& request, open_request& entry, instant now);
  void send(const request_id& request, const attempt& next, instant now);
  wire::forward_request make_forward(const open_request& entry, const attempt& next) const;
  void finish(const request_id& request,
              result_code code,
              run_outcome outcome,
              const std::string& message,
              const attempt_answer* answer,
              instant now);
  static void add_spans(open_request& entry, const wire::forward_answer& answer, instant now);
  void update_session(open_request& entry, result_code code, run_outcome outcome) const;
  void detect_lost_homes(instant now);

  control_service& control_;
  distributed_rate_limiter& rate_limiter_;
  deferred_calls& deferred_;
  hooks hooks_;
  router router_;
  retry_budget budget_;
  request_table table_;
  std::unordered_map<request_id, std::unique_ptr<open_request>> open_;
  trace_store traces_;
  std::uint64_t next_request_ = 1;
  instant now_;
  instant homes_checked_at_;
  bool draining_ = false;
};

}
