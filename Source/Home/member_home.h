#pragma once

#include "Home/backend_pool.h"
#include "Home/fair_queue.h"
#include "Home/home_types.h"
#include "Home/request_tracker.h"
#include "Home/transaction_table.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Whether a member can answer a read now, later (`wait`), or not at all (`never`).
enum class read_readiness : std::uint8_t
{
  ready,
  wait,
  never,
};

// Callbacks of a member home. They must return without blocking and must not call the home.
struct member_home_hooks
{
  // The result is reported with `connected`.
  std::function<void(connection_number)> open_connection;
  // The result is reported with `backend_answered` or `backend_failed`. The home enforces the
  // deadline itself; an adapter may report answer_overdue earlier, but must not send the request
  // again.
  std::function<void(connection_number, backend_request)> send;
  // Closes the connection at once; later events for its number are ignored.
  std::function<void(connection_number)> close_connection;
  std::function<void(home_answer)> answer;
  // Returns the term in which this member is the confirmed primary, or none.
  std::function<std::optional<term>()> current_term;
  // True if another member of the database is the confirmed primary. Optional.
  std::function<bool()> other_primary;
  // True if a majority of the members has replicated the log up to the point, in the point's term.
  std::function<bool(log_point)> majority_holds;
  // Whether this member can answer a read that does not need the primary.
  std::function<
    read_readiness(const std::optional<log_point>& at_least, duration max_age, instant now)>
    member_ready;
  std::function<std::uint64_t()> random_bits;
};

struct member_home_options
{
  member_id member;
  // Maximum number of concurrent statements and open transactions.
  std::size_t slots = 3;
  fair_queue::limits queue;
  // `target_connections` is replaced by slots plus spare connections; `max_connections` is the
  // share of this member in the connection limit.
  backend_pool::options pool;
  // Connections kept open beyond the number of slots, so that a closed one is replaced without
  // delay.
  std::size_t spare_connections = 1;
  transaction_table::options transaction;
  answer_cache::limits answers;
  // Delay before a request is sent again after a busy answer.
  duration busy_retry_delay = std::chrono::milliseconds(5);
  // After a wrong_term or not_primary answer, no request is sent in the same term for this time.
  duration rejected_term_delay = std::chrono::milliseconds(250);
  // Timeout of the rollback that ends an idle transaction.
  duration rollback_timeout = std::chrono::seconds(1);
  // Maximum number of writes waiting for replication to a majority; further writes stay queued.
  std::size_t max_replicating = 4096;
  // Interval at which `tick` rejects queued requests that can no longer run here. Events that
  // affect this trigger the check at once; the interval covers reads whose data becomes too old.
  duration recheck_interval = std::chrono::milliseconds(100);
  // How long revoked keys are kept, to reject requests that another instance forwarded before it
  // received the revocation.
  duration revoked_key_retention = std::chrono::minutes(10);
};

// Statistics of one member home, for operators.
struct home_stats
{
  std::size_t queued = 0;
  std::size_t slots = 0;
  std::size_t slots_used = 0;
  std::size_t connections = 0;
  std::size_t transactions = 0;
  std::size_t replicating = 0;
  std::size_t unanswered = 0;
  bool member_down = false;
};

// The home of one member owns the queue, slots, connections and open transactions of the member. It
// is driven by events that carry the current time, has no threads or timers, and acts only through
// hooks. Call `tick` every 5 to 20 ms.
class member_home
{
public:
  member_home(member_home_options options, member_home_hooks hooks);

  // Accepts a request; exactly one answer with its id follows. A request with a known id is not run
  // again: the answer to the first request covers it, or it gets the cached answer.
  void submit(home_request request, instant now);

  void connected(connection_number number, bool ok, instant now);
  void backend_answered(connection_number number, const backend_answer& answer, instant now);
  // `reason` is connection_lost, malformed_answer or answer_overdue. `may_have_been_sent` is false
  // only if no byte of the request was passed to the connection.
  void backend_failed(connection_number number,
                      bool may_have_been_sent,
                      result_code reason,
                      instant now);
  // The member or the network closed the connection. A request in flight on it ends with an unknown
  // outcome. If no byte of the request was sent, report `backend_failed` instead.
  void connection_closed(connection_number number, instant now);
  // The results of current_term, other_primary, majority_holds or member_ready may have changed.
  void group_changed(instant now);
  void tick(instant now);
  // Ends all requests and transactions of a revoked key.
  void revoke_key(const sha256_digest& key_digest, instant now);
  // While the member is leaving (about to be removed), it gets no new connections and requests;
  // open transactions finish. Queued requests are rejected at the next tick.
  void set_leaving(bool leaving);
  // Applies new limits from the configuration. A lower number of slots takes effect as statements
  // end.
  void resize(std::size_t slots, std::size_t connections, instant now);
  // Rejects new requests from now on; accepted ones and open transactions finish.
  void drain(instant now);
  // Accepts new requests again after `drain`.
  void resume() { draining_ = false; }
  // True after `drain` once every request is answered and no transaction is open.
  bool drained() const;

  // True after a new connection failed and until a connection answers again.
  bool member_down() const { return pool_.down(); }
  home_stats stats() const;
  // Statistics by workspace; docs/fairness.md explains them.
  std::vector<workspace_stats> workspaces() const { return queue_.workspaces(); }

private:
  // A request that was sent on a connection and is not answered yet.
  struct in_flight
  {
    request_id id;
    instant deadline;
    // True for the rollback of an idle transaction, which has no caller.
    bool internal = false;
  };

  struct rejection
  {
    result_code code = result_code::ok;
    std::string message;
  };

  // Why a request cannot run here, not even later; code ok if it can.
  rejection rejection_reason(const home_request& request, instant now) const;
  bool can_run_now(const home_request& request, instant now) const;
  bool other_primary() const { return hooks_.other_primary && hooks_.other_primary(); }
  // The result of a queued request that has expired.
  rejection expiry_reason(const home_request& request) const;

  void dispatch(instant now);
  void start(tracked_request& item, instant now);
  void send(tracked_request& item, connection_number number, instant now);
  void requeue(tracked_request& item, duration delay, instant now);
  void release_slot(const workspace_id& workspace, instant since, instant now, bool ran);
  void reject_unservable(instant now);
  void expire_queued(instant now);

  void complete(tracked_request& item,
                connection_number number,
                const backend_answer& answer,
                instant now);
  void handle_not_run(tracked_request& item, result_code code, instant now);
  void finish_when_replicated(tracked_request& item, const backend_answer& answer, instant now);
  void fail_connection(connection_number number,
                       bool may_have_been_sent,
                       result_code reason,
                       backend_pool::fault fault,
                       instant now);
  void expire_in_flight(instant now);

  void submit_in_transaction(home_request request, instant now);
  void run_next(transaction& target, instant now);
  void transaction_answered(transaction& target,
                            tracked_request* item,
                            const backend_answer& answer,
                            instant now);
  void transaction_request_not_run(transaction& target,
                                   tracked_request& item,
                                   result_code code,
                                   instant now);
  void transaction_failed(transaction& target,
                          const std::optional<in_flight>& running,
                          bool may_have_been_sent,
                          result_code reason,
                          instant now);
  void expire_waiting(transaction& target, instant now);
  void end_transaction(transaction& target, result_code waiting_code, instant now);
  void roll_back_idle(transaction& target, instant now);
  void process_transactions(instant now);
  void apply_event(transaction& target, transaction_event event, instant now);

  member_home_options options_;
  member_home_hooks hooks_;
  fair_queue queue_;
  backend_pool pool_;
  transaction_table transactions_;
  request_tracker requests_;
  std::map<connection_number, in_flight> in_flight_;
  std::map<connection_number, request_id> probes_;
  std::map<sha256_digest, instant> revoked_keys_;
  std::size_t slots_used_ = 0;
  std::uint64_t last_internal_id_ = 0;
  term rejected_term_;
  instant rejected_until_;
  instant next_recheck_;
  bool leaving_ = false;
  bool draining_ = false;
};

}
