#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Base/instant.h"
#include "Net/http_connection.h"
#include "Proxy/rate_limiter.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonshelf {

// Resources of the machine that the process may use.
struct resource_limits
{
  std::uint64_t memory_bytes = 0;
  // Number of open descriptors.
  std::uint32_t descriptors = 0;

  friend bool operator==(const resource_limits&, const resource_limits&) = default;
};

// Settings of one proxy instance, read from a JSON file.
struct node_settings
{
  // File that the settings were read from. Empty if they were parsed from text.
  std::string path;
  instance_id name;
  zone_id zone;
  // IP addresses of instances that may already be running at start. All instances use the same port
  // for peers.
  std::vector<std::string> seeds;
  tcp_address callers;
  tcp_address readiness;
  tcp_address metrics;
  tcp_address peers;
  // Address on which other instances connect to relay sessions.
  tcp_address relay;
  tcp_address store;
  tcp_address promotion_api;
  // True if the platform delegates the replacement of primaries to the fleet.
  bool replaces_primaries = false;
  // A withdrawn key must be rejected at the latest this long after its withdrawal.
  duration key_revocation_limit{};
  duration stop_grace{};
  // A newer configuration must be in force at the latest this long after it was stored.
  duration configuration_apply_limit{};
  // What workspaces may use beyond their rates while instances are out of contact.
  rate_tolerance tolerance;
  // Number of processor cores that the instance has, possibly a fraction.
  double capacity = 0;
  resource_limits resources;
  // From this long after the operator took a zone out of use, nothing may be sent to its members.
  duration evacuation_limit{};
  // From this long after the store acknowledged that a member is draining, nothing new may be sent
  // to it.
  duration drain_limit{};
  // True at the first start of the whole fleet.
  bool first_start = false;

  friend bool operator==(const node_settings&, const node_settings&) = default;
};

// Fails with settings_invalid and names the wrong field.
result<node_settings>
parse_node_settings(std::string_view text);

// Fails with settings_invalid if the file cannot be read or is not valid.
result<node_settings>
load_node_settings(const std::string& path);

}
