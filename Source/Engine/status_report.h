#pragma once

#include "Engine/engine.h"

#include <boost/json/object.hpp>

#include <optional>

namespace persimmonshelf {

// What this instance knows of the fleet: instances, versions and key evidence.
boost::json::object
describe_fleet(engine& target, instant now);

// What this instance knows of a database; empty if the configuration does not name it. Positions
// and ages are known only at its homes.
std::optional<boost::json::object>
describe_database(engine& target, const database_id& database, instant now);

// A workspace's limit, and the part of it that this instance holds; empty if it is not configured.
std::optional<boost::json::object>
describe_workspace(engine& target, const workspace_id& workspace, instant now);

}
