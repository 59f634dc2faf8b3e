#include "Proxy/fence.h"

#include <utility>

namespace persimmonshelf {

namespace {

// Added to the life of the evidence: the clocks of two machines run at slightly different speed.
constexpr duration clock_margin = std::chrono::milliseconds(100);

}

fence::fence(instant began)
  : unknown_until_(began + lead_answer_limit + clock_margin)
{
}

void
fence::set_registered(std::map<instance_id, incarnation_id> instances, instant now)
{
  for (const auto& [instance, incarnation] : registered_) {
    if (!instances.contains(instance)) {
      // Its evidence may outlive its entry.
      unknown_until_ = now + lead_answer_limit + clock_margin;
    }
  }
  registered_ = std::move(instances);
}

void
fence::report(const instance_report& report)
{
  auto& entry = obeyed_[report.instance];
  if (entry.incarnation != report.incarnation) {
    entry = { report.incarnation, 0 };
  }
  entry.revision = std::max(entry.revision, report.groups_revision);
}

std::vector<instance_id>
fence::missing(std::uint64_t revision) const
{
  std::vector<instance_id> missing;
  for (const auto& [instance, incarnation] : registered_) {
    const auto found = obeyed_.find(instance);
    if (found == obeyed_.end() || found->second.revision < revision) {
      missing.push_back(instance);
    }
  }
  return missing;
}

bool
fence::complete(std::uint64_t revision, instant recorded, instant now) const
{
  if (now - recorded > lead_answer_limit + clock_margin) {
    return true;
  }
  return now >= unknown_until_ && missing(revision).empty();
}

}
