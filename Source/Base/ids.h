#pragma once

#include "Base/strong.h"

#include <cstdint>
#include <string>

namespace persimmonshelf {

// Name of an instance, unique in the fleet. A restart keeps it.
using instance_id = strong<struct instance_tag, std::string>;

// Random id of one incarnation of an instance, which is one run of its process. Every restart gets
// a new one.
using incarnation_id = strong<struct incarnation_tag, std::uint64_t>;

using zone_id = strong<struct zone_tag, std::string>;
using workspace_id = strong<struct workspace_tag, std::string>;
using database_id = strong<struct database_tag, std::string>;
using member_id = strong<struct member_tag, std::string>;
using route_id = strong<struct route_tag, std::string>;

// Unique in the fleet. Consists of the incarnation of the instance that admitted the request and a
// counter.
using request_id = strong<struct request_tag, std::string>;

// Identifies the home instance, its incarnation and the transaction in it.
using transaction_id = strong<struct transaction_tag, std::string>;

// Number of a primary's term. It increases with every promotion and never decreases. Zero means
// that no primary was ever promoted.
using term = strong<struct term_tag, std::uint64_t>;

// Position in a member's replication log, in entries. Zero means an empty log.
using log_position = strong<struct log_position_tag, std::uint64_t>;

// Version of the configuration text or of the key set. Never decreases.
using config_version = strong<struct config_version_tag, std::uint64_t>;

// Point in a database's replication history: a log position and the term of the primary that wrote
// it.
struct log_point
{
  term in_term;
  log_position position;

  friend auto operator<=>(const log_point&, const log_point&) = default;
};

}
