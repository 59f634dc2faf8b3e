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

// What came back for one attempt.
struct attempt_answer
{
  request_id id;
  result_code code = result_code::internal_error;
  run_outcome outcome = run_outcome::unknown;
  std::string message;
  std::optional<member_id> primary;
  term primary_term;
};

// What the table needs to know about a request; the content is kept by the caller of the table.
struct request_spec
{
  database_id database;
  bool write = false;
  // The read has to be served by the primary.
  bool primary_only = false;
  bool idempotent = false;
  // Owner of the open transaction that the request belongs to.
  std::optional<instance_id> owner;
  instant deadline;
};

// Life of the requests that this instance took from callers: attempts, retries, deadlines and the
// one outcome that is reported. It never starts a second attempt of a non-idempotent request unless
// the first is known not to have run.
class request_table
{
public:
  struct hooks
  {
    // Sends an attempt; its answer comes through `answered`, a refused hand-over through `refused`.
    std::function<void(const request_id& request, const attempt&)> send;
    // Reports the end of a request, once. `answer` is null if no home's answer decided it.
    std::function<void(const request_id& request,
                       result_code,
                       run_outcome,
                       const std::string& message,
                       const attempt_answer* answer)>
      finish;
  };

  request_table(router& routes, retry_budget& budget, hooks callbacks);

  void start(const request_id& request, request_spec plan, instant now);

  void attempt_answered(const attempt_answer& answer, instant now);

  // The transport certainly did not hand the attempt over: it has not run.
  void attempt_not_sent(const request_id& attempt_id, instant now);

  // The home that holds attempts ended or restarted: what was sent to it stays unknown.
  void home_lost(const std::vector<request_id>& attempt_ids, instant now);

  // Starts delayed attempts and ends requests past their deadline.
  void tick(instant now);

  std::size_t size() const { return requests_.size(); }

private:
  struct entry
  {
    request_spec spec;
    unsigned attempts = 0;
    // Position in the order of members of the current round.
    std::size_t next_member = 0;
    std::optional<attempt> in_flight;
    std::optional<instant> retry_at;
    // Until then the owner of the transaction is tried again although it could not be reached.
    std::optional<instant> owner_retry_deadline;
    // Set once an attempt ended as unknown: from then on the request may not be called not run,
    // even if every later attempt is refused.
    std::optional<result_code> unknown_code;
    result_code last_code = result_code::deadline_expired;
    std::string last_message;
  };

  void send_next_attempt(const request_id& request, entry& state, instant now);
  // Makes the request due again after the pause between two rounds of members.
  void retry_after_pause(entry& state, instant now);
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
  // No request is due earlier, so that most ticks return at once. It may be the time of a request
  // that has ended.
  instant next_due_ = instant::max();
};

// Id of the request that an attempt belongs to.
request_id
request_of_attempt(const request_id& attempt_id);

}
