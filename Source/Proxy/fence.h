#pragma once

#include "Proxy/coordinator_messages.h"

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

  void set_registered_instances(std::map<instance_id, incarnation_id> instances, instant now);
  void record_report(const instance_report& report);

  // True once the change recorded at `revision`, acknowledged by the store at `recorded`, is obeyed
  // by all that could act otherwise.
  bool is_complete(std::uint64_t revision, instant recorded, instant now) const;

  // Instances that have not confirmed the revision.
  std::vector<instance_id> unconfirmed_instances(std::uint64_t revision) const;

private:
  struct acknowledgement
  {
    incarnation_id incarnation;
    std::uint64_t revision = 0;
  };
  instant unregistered_evidence_until_;
  std::map<instance_id, incarnation_id> registered_;
  std::map<instance_id, acknowledgement> acknowledgements_;
};

}
