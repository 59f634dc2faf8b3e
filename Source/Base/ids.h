#pragma once

#include "Base/strong.h"

#include <cstdint>
#include <string>

namespace persimmonshelf {

// Name of an entry instance, unique in the fleet and kept over restarts.
using instance_id = strong<struct instance_tag, std::string>;

// Random id of one run of a daemon; two runs of one instance never share it.
using incarnation_id = strong<struct incarnation_tag, std::uint64_t>;

using zone_id = strong<struct zone_tag, std::string>;
using workspace_id = strong<struct workspace_tag, std::string>;
using database_id = strong<struct database_tag, std::string>;
using member_id = strong<struct member_tag, std::string>;
using route_id = strong<struct route_tag, std::string>;

// Unique over the fleet: incarnation and counter of the instance that admitted the request.
using request_id = strong<struct request_tag, std::string>;

// Names the home, its incarnation and the transaction on it.
using transaction_id = strong<struct transaction_tag, std::string>;

// Number of a primary's reign; only rises. Zero means that no primary was ever promoted.
using term = strong<struct term_tag, std::uint64_t>;

// Position in a member's log, in entries. Zero means an empty log.
using log_position = strong<struct log_position_tag, std::uint64_t>;

// Version of the configuration text or of the key set; only rises.
using config_version = strong<struct config_version_tag, std::uint64_t>;

// Point in a database's history: a log position written by the primary of a term.
struct log_point
{
  term in_term;
  log_position position;

  friend auto operator<=>(const log_point&, const log_point&) = default;
};

}
