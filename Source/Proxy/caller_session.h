#pragma once

#include "Places/evacuated_zones.h"
#include "Proxy/admission.h"
#include "Proxy/connection_pool.h"
#include "Proxy/fleet_configuration.h"
#include "Proxy/member_command.h"
#include "Proxy/position_history.h"
#include "Proxy/statement.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// A member's answer to one command, or the notification that none will come.
struct member_reply
{
  // True if the connection broke before the answer was complete; `answer` is then empty.
  bool lost = false;
  // True if the command could not be sent; `answer` then has the reason, and the member's state
  // before it.
  bool unsent = false;
  statement_answer answer{};
  // Time when the command was passed to the connection, and time when the answer was complete.
  instant sent{};
  instant received{};
};

// Functions that a session needs from the rest of the instance.
struct session_hooks
{
  std::function<const configuration_index&()> configuration;
  // Empty if requests with API keys may run now; otherwise the reason why not.
  std::function<std::optional<std::string>()> key_evidence_missing;
  // Counts one operation against the workspace's rate limit. The handler runs before this returns,
  // or later; then the result is the number with which the wait can be ended.
  std::function<std::optional<admission_number>(const workspace_id&,
                                                const operation_urgency&,
                                                admission::handler)>
    admit;
  // Reports how long an admitted operation ran, without the caller's pauses. May be unset.
  std::function<void(std::uint32_t priority, duration elapsed)> operation_ran{};
  // Ends the wait of an operation for its admission. The handler is not called any more.
  std::function<void(admission_number)> cancel_admission;
  std::function<request_number(connection_request,
                               connection_pool::grant_handler,
                               connection_pool::refuse_handler)>
    acquire;
  std::function<void(request_number)> cancel;
  std::function<void(connection_number, duration elapsed)> release;
  // Sends a command. The handler runs later, exactly once; replies come in the order of the
  // commands.
  std::function<void(connection_number, member_command, std::function<void(member_reply)>)> send;
  // Closes the connection and drops its outstanding replies.
  std::function<void(connection_number)> close_connection;
  std::function<std::optional<group_primary>(const std::string& group)> primary_of;
  // True if a commit that this member acknowledged now was made before any replacement of the
  // primary.
  std::function<bool(const std::string& group, const member_id& member)> commit_is_valid;
  // Minimum log position for a read that is at most `bound` stale; empty if none is known.
  std::function<std::optional<timed_position>(const std::string& group, duration bound)>
    position_for_staleness;
  // Reports whether a member lagged behind the position that a read needed.
  std::function<void(const member_id&, bool lagging)> observe_lag;
  // Reports the log position of a group, from a member's answer to a command that was sent at
  // `sent`.
  std::function<void(const std::string& group, const member_id&, const log_point&, instant sent)>
    observe_position;
  // When the use of a zone ends; empty if it is not evacuated. May be unset where no zone ever is.
  std::function<std::optional<evacuation_deadlines>(const zone_id&)> evacuation_of{};
  std::function<void(const statement_answer&)> answer;
  std::function<instant()> now;
  // Writes one line of the decision log.
  std::function<void(const std::string& event, const std::string& id, const std::string& detail)>
    log;
};

// Steps in the execution of a statement.
enum class execution_step : std::uint8_t
{
  waiting_for_admission,
  waiting_for_connection,
  preparing_connection,
  beginning,
  running,
};

// The open transaction of a session.
struct session_transaction
{
  bool read_only = false;
  bool wrote = false;
  // True once the operation was counted against the workspace's rate limit.
  bool admitted = false;
  proxy_route route;
  instant idle_since{};
  // Time of its statements so far, from their admission to their answer.
  duration run_time{};
  // True once it was rolled back because of an evacuation, until the caller's next statement.
  bool evacuated = false;
};

// The caller's statement in progress.
struct active_statement
{
  statement request;
  proxy_route route;
  bool writes = false;
  bool commits = false;
  execution_step step = execution_step::waiting_for_admission;
  instant arrived{};
  // Times when the operation was admitted and when the latest connection was granted.
  instant admitted_at{};
  instant granted_at{};
  instant expiry{};
  bool needs_primary = false;
  std::optional<log_point> min_position;
  // Observation that the position was chosen from.
  std::optional<timed_position> evidence;
  // True if the statement was sent to the member that was then known as the primary.
  bool sent_to_primary = false;
  std::optional<member_id> excluded_member;
  std::uint32_t attempts = 0;
  // Number of the wait for admission; empty if the operation does not wait.
  std::optional<admission_number> admission_wait;
  std::optional<request_number> pool_request;
};

// One session of a caller: its settings, prepared statements and transaction, and the connection
// that an open transaction uses. Statements are handled one at a time; each gets exactly one
// answer.
class caller_session
{
public:
  caller_session(database_id database, std::string key, session_hooks hooks);
  ~caller_session();
  caller_session(const caller_session&) = delete;
  caller_session& operator=(const caller_session&) = delete;

  // Empty if the session may start; otherwise the error for its first answer.
  std::optional<statement_error> check_start();

  // May be called only after the previous statement was answered.
  void handle(const statement& next);

  // Enforces the time limits of the statement in progress and of an idle transaction.
  void tick(instant now);

  // Ends the statement in progress with what is known about it.
  void give_up();

  // The caller disconnected: rolls back the transaction and returns the connection. Sends no
  // further answers.
  void disconnect();

  // Limit of a session's values and prepared statements, in bytes: twice the longest message.
  static constexpr std::size_t max_kept_bytes = 2 << 20;
  // Limit of a session's values. They are compared and copied for each statement, which takes 0.1
  // ms with as many values.
  static constexpr std::size_t max_settings = 1000;

  bool busy() const { return busy_; }
  // Bytes of the session's values and prepared statements.
  std::size_t kept_bytes() const { return kept_bytes_; }
  transaction_state state() const { return state_; }
  const workspace_id& workspace() const { return workspace_; }

private:
  void answer(const statement_answer& reply);
  void answer_success();
  void answer_error(statement_error error, std::string text);
  void fail_statement(statement_error error, const std::string& text);
  void handle_local(const statement& request);
  bool keep(const statement& request);
  bool is_write(const statement& request) const;
  void start_operation(const statement& request);
  void on_admission(std::optional<duration> refused_for);
  std::optional<std::string> refuse_access(const proxy_route*& route);
  std::optional<std::string> workspace_refusal(const proxy_route& route) const;
  bool end_if_access_changed();
  void end_unfinished(const std::string& reason);
  void cancel_waits();
  void select_target();
  void acquire();
  void connection_granted(std::shared_ptr<pooled_connection> connection);
  void end_unsent(const statement_answer& reason);
  void connection_prepared(transaction_state state);
  void preparation_refused(const statement_answer& refusal, transaction_state state);
  void connection_refused(statement_error error, const std::string& reason);
  void prepare_connection();
  void run();
  bool primary_changed_before_send() const;
  void send_begin();
  void begin_answered(const member_reply& reply);
  void send_statement();
  void statement_answered(const member_reply& reply);
  bool retry_on_another_member(statement_error error, transaction_state state);
  void reply_lost();
  void finish(const member_reply& reply);
  void log_if_late(const member_reply& reply) const;
  void report_run_time(const member_reply& reply);
  std::string describe_position() const;
  void forget_large_state();
  void release_connection(duration elapsed);
  void close_connection();
  void roll_back_connection();
  std::optional<evacuation_deadlines> evacuation() const;
  bool may_send() const;
  bool end_evacuated_use(instant now);
  bool leave_evacuated_member();
  bool end_evacuated_transaction();
  bool transaction_primary_changed() const;
  bool is_at_primary() const;

  database_id database_;
  std::string key_;
  workspace_id workspace_;
  std::shared_ptr<session_hooks> hooks_;
  // Handlers that may outlive the session hold a weak pointer to this.
  std::shared_ptr<caller_session*> self_;
  session_settings settings_;
  std::map<std::string, prepared_statement> prepared_;
  std::size_t kept_bytes_ = 0;
  transaction_state state_ = transaction_state::idle;
  bool busy_ = false;
  std::optional<session_transaction> transaction_;
  std::optional<active_statement> active_;
  std::shared_ptr<pooled_connection> connection_;
  // True once a transaction was started on the connection.
  bool in_transaction_ = false;
  std::map<std::string, log_point> session_commits_;
};

}
