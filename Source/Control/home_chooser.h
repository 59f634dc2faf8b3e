#pragma once

#include "Control/membership.h"

#include <map>
#include <vector>

namespace persimmonshelf {

// Chooses homes for many members at one instant, with the live instances sorted by zone once.
// Chooses the same as membership::home_of.
class home_chooser
{
public:
  // `members` must outlive this object and not change meanwhile.
  home_chooser(const membership& members, instant now);

  const instance_id& home_of(const database_id& database, const zone_id& zone) const;

private:
  using candidates = std::vector<const instance_record*>;

  const membership& members_;
  candidates all_;
  std::map<zone_id, candidates> zones_;
};

}
