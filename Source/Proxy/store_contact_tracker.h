#pragma once

#include "Base/instant.h"

namespace persimmonshelf {

// Knows since when an instance has been in contact with the store, by itself or through a
// coordinator that holds its lease. What it failed to reach without contact tells of its own cut
// and not of the members.
class store_contact_tracker
{
public:
  void record_contact(instant now);

  // The part of a failure that counts against a member.
  duration attributable_failure(duration failing, instant now) const;

private:
  instant last_{};
  instant since_{};
};

}
