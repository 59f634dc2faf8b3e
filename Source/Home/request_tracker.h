#pragma once

#include "Home/answer_cache.h"
#include "Home/home_types.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmonshelf {

enum class request_phase : std::uint8_t
{
  queued,
  waiting_in_transaction,
  sent,
  replicating,
};

// One request between its arrival and its answer.
struct tracked_request
{
  home_request request;
  request_phase phase = request_phase::queued;
  instant submitted_at;
  instant sent_at;
  instant answered_at;
  term sent_term;
  log_point point;
  std::string rows;
};

// The requests of one home that are not yet answered, and the answers of the last minute. Every
// request gets exactly one answer through it, with its own id and the outcome of its code.
class request_tracker
{
public:
  using answer_hook = std::function<void(home_answer)>;

  request_tracker(answer_cache::limits bounds, answer_hook answer);

  // Answers a repeated request from the store, or leaves it to the answer of the first. False if
  // the id is new.
  bool handle_duplicate(const home_request& request);

  tracked_request& add(home_request request, instant now);
  tracked_request* find(const request_id& id);

  // Ends a request.
  void finish(const request_id& id,
              result_code code,
              std::string message,
              instant now,
              const transaction_id& opened = {});

  // Answers a request that was never added.
  void reject(const home_request& request, result_code code, std::string message, instant now);

  // Keeps an executed write until a majority holds it or it expires.
  void await_majority(tracked_request& item);

  // Answers the waiting writes that `majority_holds` accepts.
  void finish_replicated(const std::function<bool(log_point)>& majority_holds, instant now);

  // Answers the waiting writes that are past their expiry as unknown.
  void expire_replicating(instant now);
  void remove_expired_answers(instant now) { answers_.remove_expired(now); }

  // Ends the waiting writes of a revoked key and takes the rows of its stored answers away.
  void revoke_key(const sha256_digest& key_digest, instant now);

  std::size_t size() const { return open_.size(); }
  std::size_t replicating() const { return replicating_.size(); }

private:
  void finish_replicating(const request_id& id, result_code code, std::string message, instant now);

  answer_cache answers_;
  answer_hook answer_;
  std::unordered_map<request_id, tracked_request> open_;
  // Executed writes by point. A majority that holds a position holds the earlier ones of the term.
  std::multimap<log_point, request_id> replicating_;
};

// True for a statement that only a primary may run.
bool
needs_primary(const home_request& request);

// True for the codes with which a backend server promises that nothing ran.
bool
confirms_not_run(result_code code);

// True if a run of unknown outcome may still change the database.
bool
may_modify_data(const home_request& request);

}
