#pragma once

#include "Proxy/coordinator_messages.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace persimmonshelf {

// Determines when no instance can still pass on a commit of a primary that is being replaced, or
// read at it as the primary: when every registered instance reported that it has applied the record
// of the replacement, or when any evidence that an instance may still use has expired.
class fence
{
public:
  // `began` is the time when this coordinator acquired the lease. Instances that the previous
  // coordinator removed from the register shortly before may be unknown.
  explicit fence(instant began);

  void set_registered_instances(std::map<instance_id, incarnation_id> instances, instant now);
  void record_report(const instance_report& report);

  // True once every instance that could still act on the old record has applied the change, which
  // was recorded at `version` and acknowledged by the store at `recorded`.
  bool is_complete(const store_version& version, instant recorded, instant now) const;

  // Registered instances that have not confirmed the version.
  std::vector<instance_id> unconfirmed_instances(const store_version& version) const;

private:
  struct acknowledgement
  {
    incarnation_id incarnation;
    store_version version;
  };
  instant unregistered_evidence_until_;
  std::map<instance_id, incarnation_id> registered_;
  std::map<instance_id, acknowledgement> acknowledgements_;
};

}
