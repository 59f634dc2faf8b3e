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

// Sends single commands to members, each on a new connection. The coordinator uses it to compare,
// pause and demote members.
class member_command_client
{
public:
  explicit member_command_client(boost::asio::io_context& context);

  // Passes an empty value to `done` if no status arrives within the time limit.
  void execute(const listed_member& member,
               const member_command& command,
               std::function<void(std::optional<member_status>)> done);

private:
  boost::asio::io_context& context_;
};

}
