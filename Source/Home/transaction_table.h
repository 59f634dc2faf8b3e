#pragma once

#include "Base/error.h"
#include "Home/home_types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace persimmonshelf {

// Parts of a transaction id, which names the instance and incarnation that own the transaction.
struct transaction_id_parts
{
  instance_id instance;
  incarnation_id incarnation;
  std::uint64_t number = 0;
  // Random; prevents other callers from guessing the id.
  std::uint64_t nonce = 0;

  transaction_id to_id() const;
  // Fails with bad_request if the text is not a transaction id.
  static result<transaction_id_parts> parse(const transaction_id& id);
};

enum class transaction_state : std::uint8_t
{
  opening,
  idle,
  running,
  committing,
  rolling_back,
  committed,
  rolled_back,
  // The connection failed before a commit was sent, so the backend server rolls back.
  lost,
  // The connection failed after a commit was sent, so the outcome is unknown.
  unknown,
};

enum class transaction_event : std::uint8_t
{
  statement_sent,
  commit_sent,
  rollback_sent,
  answered,
  // The backend server confirmed that the request did not run; it may be sent again.
  not_run_retryable,
  // The request did not run and the transaction cannot continue: the backend server answered that
  // the term of the transaction has ended, or the connection failed before a byte was sent.
  not_run_final,
  connection_failed,
};

// An open transaction, or one that has just ended.
struct transaction
{
  transaction_id id;
  workspace_id workspace;
  sha256_digest key_digest{};
  connection_number connection;
  term in_term;
  transaction_state state = transaction_state::opening;
  // When the transaction acquired its slot.
  instant slot_since;
  // Time of the last event.
  instant idle_since;
  // No request is sent before this time. Delays a retry after a busy answer.
  instant not_before;
  // Requests waiting in order of arrival; one request of a transaction runs at a time.
  std::deque<request_id> waiting;
};

// The open transactions of one member home. A transaction owns its connection until commit or
// rollback is confirmed, and can be used only by the workspace and key that opened it.
class transaction_table
{
public:
  struct options
  {
    instance_id instance;
    incarnation_id incarnation;
    duration idle_timeout = std::chrono::seconds(10);
    // A transaction that is open for longer is rolled back before its next request. Otherwise a
    // caller could occupy one of the few slots forever by sending statements before the idle
    // timeout.
    duration max_open_time = std::chrono::minutes(5);
    // Maximum number of waiting requests per transaction.
    std::size_t max_waiting = 16;
    // How long the final state of an ended transaction is kept, and for how many transactions.
    duration ended_retention = std::chrono::seconds(60);
    std::size_t max_ended = 16'384;
  };

  transaction_table(options settings, std::function<std::uint64_t()> random_bits);

  // Adds a transaction in state `opening`; the caller sends its begin on `connection`.
  transaction& open(const home_request& request,
                    connection_number connection,
                    term in_term,
                    instant now);

  // Finds the transaction of a request. Fails with unknown_transaction if it is not open for this
  // workspace and key, transaction_lost if it was rolled back, wrong_home if another instance owns
  // it, and connection_lost if the request is a commit and the transaction ended with a commit of
  // unknown outcome.
  result<transaction*> find(const home_request& request);
  transaction* find(connection_number connection);
  transaction* find(const transaction_id& id);

  // True if another request may wait in the transaction.
  bool has_waiting_capacity(const transaction& target) const
  {
    return target.waiting.size() < options_.max_waiting;
  }

  // Moves the transaction to its next state. Fails with internal_error if the event is not
  // permitted in the current state.
  static result<void> apply(transaction& target, transaction_event event, instant now);

  // Removes the transaction and keeps its final state for `ended_retention`.
  void close(const transaction_id& id, instant now);

  // True if the transaction is idle and has exceeded its idle timeout or its maximum open time.
  bool past_time_limit(const transaction& target, instant now) const;
  std::vector<transaction_id> ids() const;
  void remove_expired(instant now);
  std::size_t size() const { return open_.size(); }

private:
  struct ended_transaction
  {
    transaction_state state;
    workspace_id workspace;
    sha256_digest key_digest;
    instant ended_at;
  };

  options options_;
  std::function<std::uint64_t()> random_bits_;
  std::uint64_t last_number_ = 0;
  std::map<transaction_id, transaction> open_;
  std::map<connection_number, transaction_id> by_connection_;
  std::map<transaction_id, ended_transaction> ended_;
  // Oldest first.
  std::deque<transaction_id> ended_by_age_;
};

}
