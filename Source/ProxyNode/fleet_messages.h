#pragma once

#include "Proxy/coordinator_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Datagrams between instances.
std::string
encode_report(const instance_report& report);
std::string
encode_view(const fleet_view& view);

// What one datagram holds; neither is set if it cannot be read.
struct fleet_datagram
{
  std::optional<instance_report> report;
  std::optional<fleet_view> view;
};
fleet_datagram
decode_datagram(std::string_view bytes);

}
