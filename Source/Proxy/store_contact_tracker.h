#pragma once

#include "Base/instant.h"

namespace persimmonshelf {

// Tracks since when an instance has been in contact with the store, either directly or through a
// coordinator that holds its lease. Failures to reach members without such contact are caused by
// the instance's own partition and do not count against the members.
class store_contact_tracker
{
public:
  void record_contact(instant now);

  // The part of a failure's duration that counts against a member.
  duration attributable_failure(duration failing, instant now) const;

private:
  instant last_contact_{};
  instant in_contact_since_{};
};

}
