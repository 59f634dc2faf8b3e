#pragma once

#include "Base/ids.h"
#include "Base/instant.h"
#include "Base/result_code.h"
#include "Entry/caller_request.h"
#include "Entry/retry_budget.h"
#include "Entry/router.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// One attempt of a request, sent to the home of a member.
struct attempt
{
  request_id id;
  database_id database;
  member_id member;
  zone_id zone;
  // Set for a request inside a transaction: the instance that owns the transaction.
  std::optional<instance_id> owner;
};

// The result of one attempt.
struct attempt_answer
{
  request_id id;
  result_code code = result_code::internal_error;
  run_outcome outcome = run_outcome::unknown;
  std::string message;
  // The primary that the home reported, with its term.
  std::optional<member_id> primary;
  term primary_term;
};

// Properties of a request that decide routing and retries. The caller of the table stores the
// content of the request.
struct request_spec
{
  database_id database;
  bool write = false;
  // Only the primary may serve the read.
  bool primary_only = false;
  bool idempotent = false;
  // Instance that owns the transaction of the request; empty outside a transaction.
  std::optional<instance_id> owner;
  instant deadline;
};

// The open requests that this instance received from callers. Manages their attempts, retries and
// deadlines, and reports one outcome for each. A non-idempotent request is attempted again only if
// the previous attempt certainly did not run.
class request_table
{
public:
  struct hooks
  {
    // Sends an attempt. The answer is reported with `attempt_answered`, a failure to send it with
    // `attempt_not_sent`.
    std::function<void(const request_id& request, const attempt&)> send;
    // Reports the outcome of a request, once. `answer` is null if the outcome does not come from
    // the answer of a home.
    std::function<void(const request_id& request,
                       result_code,
                       run_outcome,
                       const std::string& message,
                       const attempt_answer* answer)>
      finish;
  };

  request_table(router& routes, retry_budget& budget, hooks callbacks);

  void start(const request_id& request, request_spec spec, instant now);

  void attempt_answered(const attempt_answer& answer, instant now);

  // The transport certainly did not send the attempt, so it did not run.
  void attempt_not_sent(const request_id& attempt_id, instant now);

  // The instance to which the attempts were sent stopped or restarted, so their outcomes are
  // unknown.
  void home_lost(const std::vector<request_id>& attempt_ids, instant now);

  // Starts delayed attempts and ends requests whose deadline has passed.
  void tick(instant now);

  std::size_t size() const { return requests_.size(); }

private:
  struct entry
  {
    request_spec spec;
    unsigned attempts = 0;
    // Index into the candidate members of the current round.
    std::size_t next_member = 0;
    std::optional<attempt> in_flight;
    std::optional<instant> retry_at;
    // Until this time, an unreachable owner of the transaction is retried.
    std::optional<instant> owner_retry_deadline;
    // Set once the outcome of an attempt is unknown. The request may then no longer end as not run,
    // even if all later attempts certainly did not run.
    std::optional<result_code> unknown_code;
    result_code last_code = result_code::deadline_expired;
    std::string last_message;
  };

  void send_next_attempt(const request_id& request, entry& state, instant now);
  // Schedules the next attempt after the delay between two rounds of members.
  void retry_after_delay(entry& state, instant now);
  void finish(const request_id& request,
              result_code code,
              run_outcome outcome,
              const std::string& message,
              const attempt_answer* answer = nullptr);
  void handle_not_run(const request_id& request,
                      entry& state,
                      result_code code,
                      const std::string& message,
                      const attempt_answer* answer,
                      instant now);
  void handle_unknown(const request_id& request,
                      entry& state,
                      result_code code,
                      const std::string& message,
                      const attempt_answer* answer,
                      instant now);
  std::map<request_id, entry>::iterator find_attempt(const request_id& attempt_id);
  void update_routes(const entry& state, const attempt_answer& answer, instant now);

  router& routes_;
  retry_budget& budget_;
  hooks hooks_;
  std::map<request_id, entry> requests_;
  // Lower bound of the times at which a request is due, so that most ticks return without a scan.
  // May be the due time of a request that has already ended.
  instant next_due_ = instant::max();
};

// Returns the id of the request that an attempt belongs to.
request_id
request_of_attempt(const request_id& attempt_id);

}
