#pragma once

#include "Base/error.h"
#include "Home/home_types.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace persimmonshelf {

// Parts of a transaction id, which names the home that owns the transaction.
struct transaction_id_parts
{
  instance_id instance;
  incarnation_id incarnation;
  std::uint64_t number = 0;
  // Makes the id impossible to guess for another caller.
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
  // The connection failed before a commit was sent; the backend server rolls back.
  lost,
  // The connection failed after a commit was sent.
  unknown,
};

enum class transaction_event : std::uint8_t
{
  statement_sent,
  commit_sent,
  rollback_sent,
  answered,
  // The server answered that nothing ran; the request may be sent again.
  not_run_retryable,
  // The server answered that nothing ran and that it takes no more work of the transaction's term,
  // or the connection failed before a byte was sent.
  not_run_final,
  connection_failed,
};

// One open transaction, or one that has just ended.
struct transaction
{
  transaction_id id;
  workspace_id workspace;
  sha256_digest key_digest{};
  connection_number connection;
  term in_term;
  transaction_state state = transaction_state::opening;
  // Start of the use of its slot.
  instant slot_since;
  // Last time that a request of it ended.
  instant idle_since;
  // Nothing is sent earlier; the delay after a busy answer.
  instant not_before;
  // Requests that wait for their turn: one statement runs at a time.
  std::deque<request_id> waiting;
};

// The open transactions of one home. Each owns its connection until commit or rollback is
// confirmed, and is known only to the workspace and key that opened it.
class transaction_table
{
public:
  struct options
  {
    instance_id instance;
    incarnation_id incarnation;
    duration idle_timeout = std::chrono::seconds(10);
    // A transaction that is open for longer is rolled back before its next request. It holds one of
    // a few slots, which a caller could otherwise keep for ever by sending statements in time.
    duration max_open_time = std::chrono::minutes(5);
    // Most requests of one transaction that wait for their turn.
    std::size_t max_waiting = 16;
    // How long the end of a transaction is remembered, and of how many.
    duration ended_retention = std::chrono::seconds(60);
    std::size_t max_ended = 16'384;
  };

  transaction_table(options settings, std::function<std::uint64_t()> random_bits);

  // Starts a transaction whose begin is being sent on `connection`.
  transaction& open(const home_request& request,
                    connection_number connection,
                    term in_term,
                    instant now);

  // Finds the transaction that a request belongs to. Fails with unknown_transaction if it is not
  // open for this workspace and key, transaction_lost if it was rolled back, wrong_home if another
  // instance owns it, connection_lost if it ended with a commit of unknown outcome and the request
  // is a commit.
  result<transaction*> find(const home_request& request);
  transaction* find(connection_number connection);
  transaction* find(const transaction_id& id);

  // True if another request may wait for its turn in the transaction.
  bool can_queue_request(const transaction& target) const
  {
    return target.waiting.size() < options_.max_waiting;
  }

  // Moves the transaction to its next state. Fails with internal_error if the table has no row for
  // the event in the present state.
  static result<void> apply(transaction& target, transaction_event event, instant now);

  // Forgets the transaction, except for its last state.
  void close(const transaction_id& id, instant now);

  // True for a transaction between two requests that is past its idle or open limit.
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
  std::deque<transaction_id> ended_by_age_;
};

}
