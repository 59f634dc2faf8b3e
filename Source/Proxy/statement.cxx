#include "Proxy/statement.h"

namespace persimmonshelf {

namespace {

constexpr std::size_t max_quoted_bytes = 100;

}

std::string
quote(const std::string& text)
{
  return text.size() <= max_quoted_bytes ? text : text.substr(0, max_quoted_bytes) + "...";
}

std::string_view
name_of(statement_error error)
{
  switch (error) {
    case statement_error::busy:
      return "busy";
    case statement_error::aborted:
      return "aborted";
    case statement_error::lagging:
      return "lagging";
    case statement_error::read_only:
      return "read_only";
    case statement_error::misrouted:
      return "misrouted";
    case statement_error::too_many:
      return "too_many";
    case statement_error::failed:
      return "failed";
    case statement_error::timed_out:
      return "timed_out";
    case statement_error::outcome_unknown:
      return "outcome_unknown";
    case statement_error::unknown_database:
      return "unknown_database";
    case statement_error::unknown_key:
      return "unknown_key";
    case statement_error::malformed:
      return "malformed";
    case statement_error::unknown_statement:
      return "unknown_statement";
    case statement_error::other:
      break;
  }
  return "other";
}

bool
leaves_no_effect(statement_error error)
{
  switch (error) {
    case statement_error::busy:
    case statement_error::aborted:
    case statement_error::lagging:
    case statement_error::read_only:
    case statement_error::misrouted:
    case statement_error::too_many:
      return true;
    default:
      return false;
  }
}

bool
has_not_run(statement_error error)
{
  switch (error) {
    case statement_error::busy:
    case statement_error::lagging:
    case statement_error::read_only:
    case statement_error::unknown_statement:
    case statement_error::misrouted:
    case statement_error::too_many:
      return true;
    default:
      return false;
  }
}

}
