#pragma once

#include "Base/ids.h"

namespace persimmonshelf {

// What a member reports of itself.
struct member_status
{
  bool primary = false;
  // Newest term the member knows.
  term newest_term;
  // Newest entry that it received, which it may not have applied.
  log_point received;
  // Term that it promised to hold back for, or zero.
  term promised_term;
};

}
