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

// Settings of one instance, read once at startup. All addresses are IP addresses with ports.
struct instance_settings
{
  instance_id instance;
  zone_id zone;
  tcp_address caller_address;
  tcp_address operator_address;
  tcp_address peer_address;
  tcp_address metrics_address;
  tcp_address platform_address;
  // Peers that provide the configuration if the platform is unavailable at startup.
  std::vector<std::string> seed_peers;
  // Secret, shared by all instances, that signs session tokens.
  std::string session_secret;
  std::chrono::milliseconds drain_timeout{ 30000 };
  std::int64_t caller_connection_limit = 20000;
  std::chrono::seconds caller_idle_timeout{ 120 };
};

// Parses and validates the JSON text of a settings file. Fails with settings_invalid; the message
// names the field.
result<instance_settings>
parse_settings(std::string_view text);

// Reads and parses a settings file. Error messages start with the path of the file.
result<instance_settings>
load_settings(const std::string& path);

}
