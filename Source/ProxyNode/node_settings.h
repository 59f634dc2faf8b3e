#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Base/instant.h"
#include "Net/http_connection.h"

#include <cstdint>
#include <string>
#include <vector>

namespace persimmonshelf {

// Settings of one proxy instance, from a JSON file.
struct node_settings
{
  // File that the settings were read from; empty if they came from elsewhere.
  std::string path;
  instance_id name;
  zone_id zone;
  // IP numbers of instances that may be there at start. All instances use one port for peers.
  std::vector<std::string> seeds;
  tcp_address callers;
  tcp_address readiness;
  tcp_address metrics;
  tcp_address peers;
  // Where instances that pass sessions on connect.
  tcp_address relay;
  tcp_address store;
  tcp_address promotion_api;
  // True if the platform asks the fleet to replace primaries.
  bool replaces_primaries = false;
  // A key that was withdrawn this long ago must not work any more.
  duration key_revocation_limit{};
  duration stop_grace{};
  // A newer configuration must hold this long after it was stored.
  duration configuration_apply_limit{};
  // Part of a processor core that the instance has.
  double capacity = 0;
  // True if the whole fleet starts for the first time.
  bool first_start = false;

  friend bool operator==(const node_settings&, const node_settings&) = default;
};

// Fails with settings_invalid and the name of the field.
result<node_settings>
parse_node_settings(std::string_view text);

// Fails with settings_invalid if the file cannot be read or is not valid.
result<node_settings>
load_node_settings(const std::string& path);

}
