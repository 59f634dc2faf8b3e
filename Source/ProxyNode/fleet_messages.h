#pragma once

#include "Proxy/coordinator_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Encode the datagrams that instances send each other.
std::string
encode_report(const instance_report& report);
std::string
encode_view(const fleet_view& view);

// Content of one datagram. Both fields are empty if the datagram cannot be decoded.
struct fleet_datagram
{
  std::optional<instance_report> report;
  std::optional<fleet_view> view;
};
fleet_datagram
decode_datagram(std::string_view bytes);

}
