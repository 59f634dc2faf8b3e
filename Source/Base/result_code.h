#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// Whether a request was run, as known when it ends. `not_run` requires that no byte of the request
// can have reached a backend server.
enum class run_outcome : std::uint8_t
{
  done,
  not_run,
  unknown,
};

// Results of requests and operator commands. The numbers never change. docs/result-codes.md lists
// all codes.
enum class result_code : std::uint16_t
{
  ok = 0,

  bad_request = 100,
  unknown_route = 101,
  unknown_database = 102,
  bad_session_token = 103,
  key_missing = 104,
  key_rejected = 105,
  workspace_not_allowed = 106,
  body_too_large = 107,
  unknown_transaction = 108,
  transaction_lost = 109,

  rate_exceeded = 200,
  queue_full = 201,
  overloaded = 202,
  rate_share_unavailable = 203,

  no_primary = 300,
  no_fresh_member = 301,
  home_unreachable = 302,
  deadline_expired = 303,
  wrong_home = 304,
  draining = 305,
  key_evidence_stale = 306,
  retry_budget_exhausted = 307,
  no_configuration = 308,

  backend_busy = 400,
  backend_wrong_term = 401,
  backend_not_primary = 402,
  statement_failed = 403,
  backend_connect_failed = 404,
  backend_leaving = 405,

  answer_overdue = 500,
  connection_lost = 501,
  home_lost = 502,
  not_replicated = 503,
  malformed_answer = 504,
  key_withdrawn_in_flight = 505,
  transaction_broken = 506,

  config_invalid = 600,
  config_conflict = 601,
  platform_unavailable = 602,
  stored_not_in_force = 603,
  older_version = 604,
  not_found = 605,

  settings_invalid = 700,
  address_unavailable = 701,
  usage_error = 702,

  chart_invalid = 800,
  internal_error = 900,
};

// Name, outcome and description of a result code.
struct result_code_entry
{
  result_code code;
  std::string_view name;
  run_outcome outcome;
  std::string_view meaning;
};

// All result codes in ascending order.
const std::vector<result_code_entry>&
result_code_table();

// Returns the name of a code, or "unlisted" if it is not in the table.
std::string_view
name_of(result_code code);

// Returns the outcome that a response with this code reports; unknown if the code is not in the
// table.
run_outcome
outcome_of(result_code code);

std::string_view
name_of(run_outcome outcome);

}
