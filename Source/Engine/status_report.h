#pragma once

#include "Engine/engine.h"

#include <boost/json/object.hpp>

#include <optional>

namespace persimmonshelf {

// Returns this instance's view of the fleet: instances, versions, key evidence and homes.
boost::json::object
describe_fleet(engine& target, instant now);

// Returns this instance's view of a database, or an empty value if the database is not configured.
// Positions and ages are included only on the homes of the database.
std::optional<boost::json::object>
describe_database(engine& target, const database_id& database, instant now);

// Returns the rate limit of a workspace and this instance's share of it, or an empty value if the
// workspace is not configured.
std::optional<boost::json::object>
describe_workspace(engine& target, const workspace_id& workspace, instant now);

}
