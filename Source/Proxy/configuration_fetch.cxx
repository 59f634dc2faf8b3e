#include "Proxy/configuration_fetch.h"

#include <utility>

namespace persimmonshelf {

void
configuration_fetch::announce(config_version version, instant confirmed_at)
{
  if (version >= newest_.version) {
    newest_ = { version, confirmed_at };
  }
}

bool
configuration_fetch::is_due(config_version current) const
{
  return current < newest_.version && !fetched_for_;
}

void
configuration_fetch::begin()
{
  fetched_for_ = newest_;
}

std::optional<instant>
configuration_fetch::finish(config_version fetched)
{
  const auto fetched_for = std::exchange(fetched_for_, std::nullopt);
  if (!fetched_for || fetched < fetched_for->version) {
    return std::nullopt;
  }
  return fetched_for->confirmed_at;
}

void
configuration_fetch::fail()
{
  fetched_for_.reset();
}

}
