#pragma once

#include "Base/ids.h"

namespace persimmonshelf {

// Status that a member reports about itself.
struct member_status
{
  bool primary = false;
  // Newest term that the member has seen.
  term newest_term;
  // Newest entry that it received; it may not have applied it.
  log_point received;
  // Term for which it promised to accept no entries of older terms, or zero.
  term promised_term;
};

}
