#pragma once

#include "Base/error.h"
#include "Proxy/carriers.h"
#include "Proxy/coordinator_lease.h"
#include "Proxy/fleet_state.h"

#include <string>
#include <string_view>

namespace persimmonshelf {

// Table of the store that holds the fleet's own state, and its keys.
inline constexpr std::string_view fleet_table = "persimmonshelf";
inline constexpr std::string_view coordinator_key = "coordinator";
inline constexpr std::string_view group_key_prefix = "group.";
inline constexpr std::string_view plan_key = "carriers";
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
std::string
encode_plan(const carrier_plan& plan);
result<carrier_plan>
decode_plan(std::string_view text);

}
