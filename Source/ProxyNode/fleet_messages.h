#pragma once

#include "Base/error.h"
#include "Proxy/coordinator_lease.h"
#include "Proxy/fleet_exchange.h"

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

// Rows of the fleet's own table in the store.
inline constexpr std::string_view fleet_table = "persimmonshelf";
inline constexpr std::string_view coordinator_key = "coordinator";
inline constexpr std::string_view group_key_prefix = "group.";
inline constexpr std::string_view instance_key_prefix = "instance.";

std::string
encode_coordinator(const coordinator_row& row);
result<coordinator_row>
decode_coordinator(std::string_view text);
std::string
encode_group(const group_record& record);
result<group_record>
decode_group(std::string_view text);
std::string
encode_instance(incarnation_id incarnation);
result<incarnation_id>
decode_instance(std::string_view text);

}
