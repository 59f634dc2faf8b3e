#pragma once

#include "Base/ids.h"
#include "Base/instant.h"

#include <optional>

namespace persimmonshelf {

// Fetches of configurations that views announce: which version is wanted, and for which time a
// fetched one counts as the newest. Times are on this instance's clock.
class configuration_fetch
{
public:
  // A view named `version` as the newest one at `confirmed_at`.
  void announce(config_version version, instant confirmed_at);

  // True if a version newer than `current` was announced and no fetch is in flight.
  bool is_due(config_version current) const;

  void begin();
  // Ends the fetch. Returns the time at which no version newer than `fetched` existed; empty if the
  // fetched version is older than the one that was announced before the fetch.
  std::optional<instant> finish(config_version fetched);
  // Ends a fetch that brought no configuration.
  void fail();

private:
  struct announcement
  {
    config_version version;
    instant confirmed_at{};
  };
  announcement newest_;
  // The newest announcement when the fetch in flight began.
  std::optional<announcement> fetched_for_;
};

}
