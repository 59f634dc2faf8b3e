#include "Proxy/statement.h"

namespace persimmonshelf {

bool
keeps_nothing(statement_error error)
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
