#pragma once

#include "Proxy/fleet_exchange.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace persimmonshelf {

// Tells when no instance can still pass on a commit of a primary that is being replaced: when every
// registered instance reported that it obeys the record of the change, or when the evidence that an
// instance may still hold has run out.
class fence
{
public:
  // `began` is when this coordinator took over: what the former one removed from the register
  // before may be unknown.
  explicit fence(instant began);

  void set_registered(std::map<instance_id, incarnation_id> instances, instant now);
  void report(const instance_report& report);

  // True once the change recorded at `revision`, acknowledged by the store at `recorded`, is obeyed
  // by all that could act otherwise.
  bool complete(std::uint64_t revision, instant recorded, instant now) const;

  // Instances that have not confirmed the revision.
  std::vector<instance_id> missing(std::uint64_t revision) const;

private:
  struct obeyed
  {
    incarnation_id incarnation;
    std::uint64_t revision = 0;
  };
  instant unknown_until_;
  std::map<instance_id, incarnation_id> registered_;
  std::map<instance_id, obeyed> obeyed_;
};

}
