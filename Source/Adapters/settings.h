#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Net/http_connection.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonshelf {

// Settings of one instance, read once at start. All addresses are IP numbers with ports.
struct instance_settings
{
  instance_id instance;
  zone_id zone;
  tcp_address caller_address;
  tcp_address operator_address;
  tcp_address peer_address;
  tcp_address metrics_address;
  tcp_address platform_address;
  // Peers asked for the configuration when the platform is out at start.
  std::vector<std::string> seed_peers;
  // Secret that all instances share and that signs session tokens.
  std::string session_secret;
  std::chrono::milliseconds drain_timeout{ 30000 };
  std::int64_t caller_connection_limit = 20000;
  std::chrono::seconds caller_idle_timeout{ 120 };
};

// Parses and checks the JSON text of a settings file. Errors are settings_invalid and name the
// field.
result<instance_settings>
parse_settings(std::string_view text);

// Reads and parses a settings file; errors name the file.
result<instance_settings>
load_settings(const std::string& path);

}
