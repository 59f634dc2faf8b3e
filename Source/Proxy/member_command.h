#pragma once

#include "Base/ids.h"
#include "Base/strong.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Number of a prepared statement on one connection to a member.
using prepared_number = strong<struct prepared_number_tag, std::uint32_t>;

// One message from the proxy to a member, before it is encoded.
struct member_command
{
  enum class command_kind : std::uint8_t
  {
    // A caller's statement, with its text unchanged.
    verbatim,
    // A caller's execution of a prepared statement, under its number at the member.
    execute,
    begin,
    begin_read,
    rollback,
    set,
    prepare,
    deallocate,
    // Clears all settings and prepared statements of the connection.
    reset,
    // Requests the role, term and position.
    status,
    // Stops a replica from receiving entries.
    pause,
    // Makes a primary of a lower term a replica.
    demote,
  };
  command_kind kind = command_kind::verbatim;
  // The caller's statement id; empty for the proxy's own commands.
  std::string id{};
  std::string text{};
  // Name of a setting.
  std::string name{};
  // The prepared statement that is prepared, executed or removed.
  prepared_number prepared{};
  // Value of a setting, shape of a prepared statement, or arguments of an execution.
  std::string argument{};
  bool writes = false;
  // The member refuses a read or BEGIN if its log does not contain this position.
  std::optional<log_point> min_position{};
  // Term of a pause or demote; demote affects only a primary of a lower term.
  term above_term{};
};

// Name of the kind in logs and metrics.
std::string_view
name_of(member_command::command_kind kind);

}
