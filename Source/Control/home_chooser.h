#pragma once

#include "Control/membership.h"

#include <map>
#include <vector>

namespace persimmonshelf {

// Chooses home instances for many members at one instant. Sorts the live instances by zone once.
// The result is the same as that of membership::home_of.
class home_chooser
{
public:
  // `members` must outlive this object and must not change during its lifetime.
  home_chooser(const membership& members, instant now);

  // Returns the home instance of the database's members in a zone.
  const instance_id& home_of(const database_id& database, const zone_id& zone) const;

private:
  using candidates = std::vector<const instance_record*>;

  const membership& members_;
  candidates all_;
  std::map<zone_id, candidates> zones_;
};

}
