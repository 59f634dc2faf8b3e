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

// Why a member refused a call. With any value but `none`, nothing of the call was run.
enum class standin_refusal
{
  none,
  busy,
  wrong_term,
  not_primary,
  not_promised,
  leaving,
  bad_statement,
  // Only between members: the entries do not connect to the log.
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

// One call of a client. `admit` fills in_transaction.
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
  // The entry written, or the end of the log that a read saw.
  log_point at;
  boost::json::array rows;
};

// Entries from the primary of a term, after the entry `previous`. The last entry is always of the
// primary's own term: a member that took older entries alone could make a majority seem to hold an
// old entry that a later primary then removes.
struct standin_append
{
  term in_term;
  std::string origin;
  log_point previous;
  std::vector<standin_entry> entries;
  // Each entry was held back by the sender for at least this time.
  std::chrono::milliseconds held{ 0 };
};

struct standin_append_outcome
{
  standin_refusal refusal = standin_refusal::none;
  // On success the position that is now known to match the primary; after a mismatch the position
  // after which to try next.
  log_position matched;
};

// The rules of one member of a database group: terms, log, slots, transactions. It owns no socket
// and no clock.
class standin_member
{
public:
  // `changed` is called after each change of the log, the role or the promise.
  standin_member(std::string name, std::size_t slots, std::function<void()> changed = {});

  // Starts the group's history as primary of term 1.
  void start_as_primary();

  // Promises to refuse every lower term. False if a higher term, or this term for another
  // candidate, was promised before. Ends the primary role and rolls back open transactions.
  bool fence(term in_term, const std::string& candidate);

  // Becomes primary of a term that the same candidate fenced, and writes the term's first entry.
  standin_refusal promote(term in_term, const std::string& candidate);

  // Accepts that another member is the primary of a term.
  standin_refusal follow(term in_term);

  // Takes entries from a primary of a term at or above the promised one; a tail that differs from
  // the primary's log is truncated.
  standin_append_outcome accept(const standin_append& append);

  // Checks a call and takes a slot unless a transaction holds one. After success `execute` must
  // follow.
  standin_outcome admit(standin_call& call);

  // Runs an admitted call and releases its slot.
  standin_outcome execute(const standin_call& call);

  // Rolls back the connection's transaction.
  void connection_closed(accepted_number number);

  // Loses what a restarted server loses: role, transactions. Log and promise are durable.
  void restart();

  void set_leaving(bool leaving);
  // While true, new work is refused; open transactions may end.
  void refuse_new_work(bool refuse) { refuse_new_work_ = refuse; }

  const std::string& name() const { return name_; }
  bool is_primary() const { return primary_; }
  bool is_leaving() const { return leaving_; }
  term promised() const { return promised_; }
  std::size_t slots() const { return slots_; }
  std::size_t free_slots() const { return slots_ - slots_used_; }
  const standin_log& log() const { return log_; }

  // How often each request id was run.
  const std::map<std::string, std::uint64_t>& runs() const { return runs_; }

private:
  struct transaction
  {
    std::vector<standin_change> changes;
    // The member was fenced or restarted; nothing more of the transaction may run.
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
  // Empty when the promise was raised by a primary's entries.
  std::string candidate_;
  // Member that wrote entries of the promised term, if known.
  std::string primary_of_term_;
  bool primary_ = false;
  bool leaving_ = false;
  bool refuse_new_work_ = false;
  std::size_t slots_used_ = 0;
  std::unordered_map<accepted_number, transaction> transactions_;
  std::map<std::string, std::uint64_t> runs_;
};

}
