#pragma once

#include "Base/ids.h"
#include "Net/http_types.h"
#include "StandIns/standin_backend_log.h"

#include <boost/json/array.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace persimmonshelf {

// Reason for which a member refused a call. A call that was refused had no effect.
enum class standin_refusal
{
  none,
  busy,
  wrong_term,
  not_primary,
  not_promised,
  leaving,
  bad_statement,
  // Only in replication: the member's log lacks the entry that precedes the sent ones.
  mismatch,
};

std::string_view
name_of(standin_refusal refusal);

enum class standin_operation
{
  statement,
  begin,
  commit,
  rollback,
};

// One call of a client. `admit` sets in_transaction.
struct standin_call
{
  accepted_number connection = 0;
  standin_operation operation = standin_operation::statement;
  std::string request_id;
  term in_term;
  bool write = false;
  std::string text;
  bool in_transaction = false;
};

struct standin_outcome
{
  standin_refusal refusal = standin_refusal::none;
  std::string message;
  // Log entry that the call wrote, or the end of the log at the time of a read.
  log_point at;
  boost::json::array rows;
};

// Log entries that the primary of a term sends to follow the entry `previous`. The last entry
// always belongs to the primary's own term: if a member accepted entries of older terms alone, a
// majority could appear to hold an old entry that a later primary then removes.
struct standin_append
{
  term in_term;
  std::string origin;
  log_point previous;
  std::vector<standin_entry> entries;
  // Minimum time for which the sender delayed each entry.
  std::chrono::milliseconds held{ 0 };
};

struct standin_append_outcome
{
  standin_refusal refusal = standin_refusal::none;
  // On success, the last position up to which the log matches the primary's. After a mismatch, the
  // position of `previous` for the next attempt.
  log_position matched;
};

// Protocol state of one member of a database group: terms, log, slots and transactions. Contains no
// network I/O and no timers.
class standin_member
{
public:
  // `changed` is called after each change of the log, the role, the promised term or the leaving
  // state.
  standin_member(std::string name, std::size_t slots, std::function<void()> changed = {});

  // Makes the member primary of term 1 and writes the first log entry of the group.
  void start_as_primary();

  // Promises to refuse every lower term, ends the primary role and rolls back open transactions.
  // Returns false if a higher term, or this term for another candidate, was promised before.
  // Repeating a granted call has no effect and returns true.
  bool fence(term in_term, const std::string& candidate);

  // Makes the member primary of a term that the same candidate fenced, and writes the first log
  // entry of the term.
  standin_refusal promote(term in_term, const std::string& candidate);

  // Accepts another member as the primary of a term. Refuses a term lower than the promised one,
  // and the term of which this member is the primary.
  standin_refusal follow(term in_term);

  // Appends entries from the primary of the promised or a higher term. Existing entries that
  // conflict with them are truncated.
  standin_append_outcome accept(const standin_append& append);

  // Checks a call and acquires a slot unless the connection's transaction already holds one. A
  // successful call must be followed by `execute`.
  standin_outcome admit(standin_call& call);

  // Executes an admitted call and releases its slot. A transaction holds its slot until it ends.
  standin_outcome execute(const standin_call& call);

  // Rolls back the connection's transaction, if there is one.
  void connection_closed(accepted_number number);

  // Simulates a server restart: the role and open transactions are lost; the log and the promised
  // term are durable.
  void restart();

  void set_leaving(bool leaving);
  // While true, new statements and transactions are refused; open transactions may finish.
  void refuse_new_work(bool refuse) { refuse_new_work_ = refuse; }

  const std::string& name() const { return name_; }
  bool is_primary() const { return primary_; }
  bool is_leaving() const { return leaving_; }
  term promised() const { return promised_; }
  std::size_t slots() const { return slots_; }
  std::size_t free_slots() const { return slots_ - slots_used_; }
  const standin_log& log() const { return log_; }

  // Number of executions by request id.
  const std::map<std::string, std::uint64_t>& runs() const { return runs_; }

private:
  struct transaction
  {
    std::vector<standin_change> changes;
    // Set when the member was fenced or restarted; further statements of the transaction are
    // refused.
    bool aborted = false;
  };

  void raise_promise(term in_term, const std::string& candidate);
  void end_primary_role();
  void abort_transactions();
  void changed() const;
  standin_outcome refuse(standin_refusal refusal, std::string message) const;
  standin_outcome check_primary(term in_term) const;
  standin_outcome run_statement(const standin_call& call, std::vector<standin_change>& pending);
  void write(const std::string& id, std::vector<standin_change> changes);

  std::string name_;
  std::size_t slots_;
  std::function<void()> changed_;
  standin_log log_;
  term promised_;
  // Candidate for which the term was promised. Empty if the promise was raised by entries of a
  // primary or by `follow`.
  std::string candidate_;
  // Primary of the promised term; empty if unknown.
  std::string primary_of_term_;
  bool primary_ = false;
  bool leaving_ = false;
  bool refuse_new_work_ = false;
  std::size_t slots_used_ = 0;
  std::unordered_map<accepted_number, transaction> transactions_;
  std::map<std::string, std::uint64_t> runs_;
};

}
