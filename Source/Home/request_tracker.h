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

// A request that has arrived and is not answered yet. Unset times are `instant()`.
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

// Tracks the unanswered requests of one member home and caches the answers of the last minute. Each
// request is answered exactly once, with its own id and the outcome that belongs to the result
// code.
class request_tracker
{
public:
  using send_answer_hook = std::function<void(home_answer)>;

  request_tracker(answer_cache::limits bounds, send_answer_hook answer);

  // Returns false if the request id is new. A request whose id was already answered gets the cached
  // answer; one whose id is still open is covered by the answer to the first request.
  bool handle_duplicate(const home_request& request);

  tracked_request& add(home_request request, instant now);
  tracked_request* find(const request_id& id);

  // Answers a request and caches the answer. `opened` is the id of a transaction that it began.
  void finish(const request_id& id,
              result_code code,
              std::string message,
              instant now,
              const transaction_id& opened = {});

  // Answers a request that was not added.
  void reject(const home_request& request, result_code code, std::string message, instant now);

  // Holds back the answer of an executed write until a majority has replicated it or it expires.
  void await_majority(tracked_request& item);

  // Answers the executed writes whose log point `majority_holds` accepts.
  void finish_replicated(const std::function<bool(log_point)>& majority_holds, instant now);

  // Answers the executed writes that have expired, with an unknown outcome.
  void expire_replicating(instant now);
  void remove_expired_answers(instant now) { cached_answers_.remove_expired(now); }

  // Ends the executed writes that wait for replication under a revoked key, with an unknown
  // outcome, and drops the rows of all cached answers of the key.
  void revoke_key(const sha256_digest& key_digest, instant now);

  std::size_t size() const { return open_.size(); }
  std::size_t replicating() const { return replicating_.size(); }

private:
  void finish_replicating(const request_id& id, result_code code, std::string message, instant now);

  answer_cache cached_answers_;
  send_answer_hook send_answer_;
  std::unordered_map<request_id, tracked_request> open_;
  // Executed writes that wait for replication, by log point. A majority that holds a position also
  // holds all earlier positions of the same term.
  std::multimap<log_point, request_id> replicating_;
};

// True if only a primary may run the request.
bool
needs_primary(const home_request& request);

// True for the codes with which a backend server confirms that the request did not run.
bool
confirms_not_run(result_code code);

// True if running the request may change the database: a commit, or a write outside a transaction.
bool
may_modify_data(const home_request& request);

}
