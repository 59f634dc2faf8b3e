#include "Base/result_code.h"

#include <algorithm>

namespace persimmonshelf {

namespace {

const result_code_entry*
find_entry(result_code code)
{
  const auto& table = result_code_table();
  const auto found =
    std::find_if(table.begin(), table.end(), [&](const auto& entry) { return entry.code == code; });
  return found == table.end() ? nullptr : &*found;
}

}

const std::vector<result_code_entry>&
result_code_table()
{
  using code = result_code;
  constexpr auto done = run_outcome::done;
  constexpr auto not_run = run_outcome::not_run;
  constexpr auto unknown = run_outcome::unknown;
  static const std::vector<result_code_entry> table = {
    { code::ok, "ok", done, "the request was answered" },
    { code::bad_request, "bad_request", not_run, "the request is malformed" },
    { code::unknown_route, "unknown_route", not_run, "the configuration has no such route" },
    { code::unknown_database, "unknown_database", not_run, "the route does not use this database" },
    { code::bad_session_token, "bad_session_token", not_run, "the session token is damaged" },
    { code::key_missing, "key_missing", not_run, "the route needs a workspace key" },
    { code::key_rejected, "key_rejected", not_run, "the key is not valid" },
    { code::workspace_not_allowed,
      "workspace_not_allowed",
      not_run,
      "the workspace may not use the route" },
    { code::body_too_large, "body_too_large", not_run, "the request body is over the limit" },
    { code::unknown_transaction, "unknown_transaction", not_run, "the transaction is not open" },
    { code::transaction_lost, "transaction_lost", not_run, "the transaction was rolled back" },
    { code::rate_exceeded, "rate_exceeded", not_run, "the workspace is over its rate and burst" },
    { code::queue_full, "queue_full", not_run, "the workspace's queue for this member is full" },
    { code::overloaded, "overloaded", not_run, "the instance is overloaded" },
    { code::rate_share_unavailable,
      "rate_share_unavailable",
      not_run,
      "no share of the workspace's rate is available here" },
    { code::no_primary, "no_primary", not_run, "no primary is known" },
    { code::no_fresh_member, "no_fresh_member", not_run, "no reachable member is fresh enough" },
    { code::home_unreachable,
      "home_unreachable",
      not_run,
      "the home of the member cannot be reached" },
    { code::deadline_expired,
      "deadline_expired",
      not_run,
      "the deadline passed before the request was run" },
    { code::wrong_home,
      "wrong_home",
      not_run,
      "the request reached an instance that does not serve the member" },
    { code::draining, "draining", not_run, "the instance is stopping" },
    { code::key_evidence_stale,
      "key_evidence_stale",
      not_run,
      "the instance cannot confirm that the key is still valid" },
    { code::retry_budget_exhausted,
      "retry_budget_exhausted",
      not_run,
      "the request failed and the retry budget is used up" },
    { code::no_configuration,
      "no_configuration",
      not_run,
      "the instance has no configuration yet" },
    { code::backend_busy, "backend_busy", not_run, "the backend server has no free slot" },
    { code::backend_wrong_term,
      "backend_wrong_term",
      not_run,
      "the backend server refused the term" },
    { code::backend_not_primary,
      "backend_not_primary",
      not_run,
      "the backend server is not the primary" },
    { code::statement_failed, "statement_failed", done, "the statement ran and reported an error" },
    { code::backend_connect_failed,
      "backend_connect_failed",
      not_run,
      "no connection to the backend server" },
    { code::backend_leaving, "backend_leaving", not_run, "the backend server is leaving" },
    { code::answer_overdue, "answer_overdue", unknown, "no answer came before the deadline" },
    { code::connection_lost,
      "connection_lost",
      unknown,
      "the connection failed after the request was sent" },
    { code::home_lost,
      "home_lost",
      unknown,
      "the home did not answer after the request was forwarded" },
    { code::not_replicated,
      "not_replicated",
      unknown,
      "the write was not held by a majority before the deadline" },
    { code::malformed_answer,
      "malformed_answer",
      unknown,
      "the backend server's answer was damaged" },
    { code::key_withdrawn_in_flight,
      "key_withdrawn_in_flight",
      unknown,
      "the key was withdrawn while the request ran" },
    { code::transaction_broken,
      "transaction_broken",
      unknown,
      "the statement may have run; its transaction was rolled back" },
    { code::config_invalid, "config_invalid", not_run, "the configuration text is invalid" },
    { code::config_conflict, "config_conflict", not_run, "another edit was accepted first" },
    { code::platform_unavailable,
      "platform_unavailable",
      not_run,
      "the platform's service did not answer" },
    { code::stored_not_in_force,
      "stored_not_in_force",
      done,
      "stored, not yet confirmed by enough instances" },
    { code::older_version, "older_version", not_run, "the version is older than the one in force" },
    { code::not_found, "not_found", not_run, "no such entry" },
    { code::settings_invalid, "settings_invalid", not_run, "the settings file is invalid" },
    { code::address_unavailable, "address_unavailable", not_run, "the address cannot be bound" },
    { code::usage_error, "usage_error", not_run, "the command line is invalid" },
    { code::chart_invalid, "chart_invalid", not_run, "a state chart is invalid" },
    { code::internal_error, "internal_error", unknown, "an internal check failed" },
  };
  return table;
}

std::string_view
name_of(result_code code)
{
  const auto* entry = find_entry(code);
  return entry == nullptr ? "unlisted" : entry->name;
}

run_outcome
outcome_of(result_code code)
{
  const auto* entry = find_entry(code);
  return entry == nullptr ? run_outcome::unknown : entry->outcome;
}

std::string_view
name_of(run_outcome outcome)
{
  switch (outcome) {
    case run_outcome::done:
      return "done";
    case run_outcome::not_run:
      return "not_run";
    case run_outcome::unknown:
      break;
  }
  return "unknown";
}

}
