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

// Whether a member may answer a read: now, later, or not at all.
enum class read_readiness : std::uint8_t
{
  ready,
  wait,
  never,
};

// Calls that a home makes. They return at once and must not call back into the home.
struct member_home_hooks
{
  // The result is reported with `connected`.
  std::function<void(connection_number)> open_connection;
  // The end is reported with `backend_answered` or `backend_failed`. The home bounds the time
  // itself; an adapter may report answer_overdue earlier but not send again.
  std::function<void(connection_number, backend_request)> send;
  // Closes at once; later events of the number are ignored.
  std::function<void(connection_number)> close_connection;
  std::function<void(home_answer)> answer;
  // The term in which this member is the confirmed primary, or none.
  std::function<std::optional<term>()> current_term;
  // True if another member of the database is the confirmed primary. May be left empty.
  std::function<bool()> other_primary;
  // True if a majority of the members holds the point in its term.
  std::function<bool(log_point)> majority_holds;
  // Whether this member may answer a read that does not need the primary.
  std::function<
    read_readiness(const std::optional<log_point>& at_least, duration max_age, instant now)>
    member_ready;
  std::function<std::uint64_t()> random_bits;
};

struct member_home_options
{
  member_id member;
  // Statements and open transactions that the member runs at a time.
  std::size_t slots = 3;
  fair_queue::limits queue;
  // `kept_open` is set from the slots; `cap` is this member's part of the connection limit.
  backend_pool::options pool;
  // Connections kept open beyond the slots, so that a closed one is replaced without a wait.
  std::size_t spare_connections = 1;
  transaction_table::options transaction;
  answer_cache::limits answers;
  // Wait before a request is sent again after a busy answer.
  duration busy_retry_delay = std::chrono::milliseconds(5);
  // After wrong_term or not_primary nothing is sent in the same term for this time.
  duration rejected_term_delay = std::chrono::milliseconds(250);
  // Deadline of the rollback that ends an idle transaction.
  duration rollback_timeout = std::chrono::seconds(1);
  // Writes that may wait for a majority at a time; further writes stay queued, not run.
  std::size_t max_replicating = 4096;
  // Interval at which `tick` looks for queued requests that can no longer run here. Every other
  // event that can change this looks at once; the interval covers reads that become too old.
  duration recheck_interval = std::chrono::milliseconds(100);
  // How long revoked keys are remembered, for requests forwarded before the revocation was known.
  duration revoked_key_retention = std::chrono::minutes(10);
};

// What an operator sees of one home.
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

// The home of one member: owns its queue, slots, connections and open transactions. Steps on events
// with a time and acts through hooks only; `tick` is expected every 5 to 20 ms.
class member_home
{
public:
  member_home(member_home_options options, member_home_hooks hooks);

  // Takes a request; exactly one answer with its id follows. A request with a known id is not run
  // again: it joins the first one or gets the stored answer.
  void submit(home_request request, instant now);

  void connected(connection_number number, bool ok, instant now);
  void backend_answered(connection_number number, const backend_answer& answer, instant now);
  // `reason` is connection_lost, malformed_answer or answer_overdue. `may_have_been_sent` is false
  // only if no byte of the request was handed to the connection.
  void backend_failed(connection_number number,
                      bool may_have_been_sent,
                      result_code reason,
                      instant now);
  // The member or the network closed the connection. A request in flight on it ends as unknown; an
  // adapter that knows that no byte of it was sent reports `backend_failed` instead.
  void connection_closed(connection_number number, instant now);
  // The answers of current_term, other_primary, majority_holds or member_ready may have changed.
  void group_changed(instant now);
  void tick(instant now);
  // Ends all work of a revoked key.
  void revoke_key(const sha256_digest& key_digest, instant now);
  // While the member is leaving it gets no new connections and no new work; open transactions
  // finish. Takes effect on waiting requests at the next tick.
  void set_leaving(bool leaving);
  // New limits from the configuration. Fewer slots take effect as statements end.
  void resize(std::size_t slots, std::size_t connections, instant now);
  // Refuses new requests from now on; accepted ones and open transactions finish.
  void drain(instant now);
  // Takes new requests again after `drain`.
  void resume() { draining_ = false; }
  // True after `drain` when every request is answered and no transaction is open.
  bool drained() const;

  // True after a fresh connection failed and none answered since.
  bool member_down() const { return pool_.down(); }
  home_stats stats() const;
  // Figures by workspace; docs/fairness.md says how to read them.
  std::vector<workspace_stats> workspaces() const { return queue_.workspaces(); }

private:
  // A request that was sent on a connection and has no answer yet.
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

  // The reason for which a request cannot run here even later; code ok if it can.
  rejection rejection_reason(const home_request& request, instant now) const;
  bool can_run_now(const home_request& request, instant now) const;
  bool other_primary() const { return hooks_.other_primary && hooks_.other_primary(); }
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
  void transaction_refused(transaction& target,
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
