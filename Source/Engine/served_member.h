#pragma once

#include "Engine/home_service.h"

#include <map>
#include <memory>
#include <string>

namespace persimmonshelf {

// A member that this instance serves, with its backend connections.
struct home_service::served_member
{
  member_id id;
  database_id database;
  std::string address;
  std::unique_ptr<member_home> home;
  std::map<connection_number, backend_connection_id> connections;
  bool retired = false;
};

// A forwarded request that has not been answered yet.
struct home_service::open_request
{
  requester from;
  database_id database;
  bool session_discarded = false;
  bool needs_primary = false;
};

}
