#pragma once

#include "Base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmonshelf {

// One message of the proxy to a member, before it is encoded.
struct member_command
{
  enum class command_kind : std::uint8_t
  {
    // A caller's statement, text unchanged.
    verbatim,
    // A caller's execution of a prepared statement, which has its own name at the member.
    execute,
    begin,
    begin_read,
    rollback,
    set,
    prepare,
    // Drops all settings and prepared statements of the connection.
    reset,
    // Asks for role, term and position.
    status,
    // Stops a replica from receiving entries.
    pause,
    // Makes a primary of a lower term a replica.
    demote,
  };
  command_kind kind = command_kind::verbatim;
  // The caller's id; empty for the proxy's own commands.
  std::string id{};
  std::string text{};
  std::string name{};
  std::string argument{};
  bool writes = false;
  // The member refuses a read or a begin if its log lacks this position.
  std::optional<log_point> min_position{};
  // For pause and demote.
  term above_term{};
};

}
