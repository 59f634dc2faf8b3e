#include "Proxy/fence.h"

#include <utility>

namespace persimmonshelf {

namespace {

// Added to the age limit of the evidence, because the clocks of two machines run at slightly
// different speeds.
constexpr duration clock_margin = std::chrono::milliseconds(100);

}

fence::fence(instant began)
  : unregistered_evidence_until_(began + commit_answer_limit + clock_margin)
{
}

void
fence::set_registered_instances(std::map<instance_id, incarnation_id> instances, instant now)
{
  for (const auto& [instance, incarnation] : registered_) {
    if (!instances.contains(instance)) {
      // The instance's evidence may still be valid after its entry was removed.
      unregistered_evidence_until_ = now + commit_answer_limit + clock_margin;
    }
  }
  registered_ = std::move(instances);
}

void
fence::record_report(const instance_report& report)
{
  auto& entry = acknowledgements_[report.instance];
  if (entry.incarnation != report.incarnation) {
    entry = { report.incarnation, {} };
  }
  entry.version = std::max(entry.version, report.groups_version);
}

std::vector<instance_id>
fence::unconfirmed_instances(const store_version& version) const
{
  std::vector<instance_id> missing;
  for (const auto& [instance, incarnation] : registered_) {
    const auto found = acknowledgements_.find(instance);
    if (found == acknowledgements_.end() || found->second.version < version) {
      missing.push_back(instance);
    }
  }
  return missing;
}

bool
fence::is_complete(const store_version& version, instant recorded, instant now) const
{
  if (now - recorded > commit_answer_limit + clock_margin) {
    return true;
  }
  return now >= unregistered_evidence_until_ && unconfirmed_instances(version).empty();
}

}
