#pragma once

#include "Proxy/fleet_configuration.h"
#include "Proxy/member_command.h"
#include "Proxy/member_status.h"
#include "ProxyNode/member_connection.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>

namespace persimmonshelf {

// Sends one command to a member on a fresh connection, as the coordinator does to compare, freeze
// and demote members.
class member_command_client
{
public:
  explicit member_command_client(boost::asio::io_context& context);

  // Empty if no status came in time.
  void execute(const listed_member& member,
               const member_command& command,
               std::function<void(std::optional<member_status>)> done);

private:
  boost::asio::io_context& context_;
};

}
