#pragma once

#include "Base/ids.h"
#include "Base/instant.h"
#include "Scheduling/scheduling_types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace persimmonshelf {

// Settings of a session by name.
using session_settings = std::map<std::string, std::string>;

// A prepared statement at a member: its shape (the statement without arguments) and whether it
// writes.
struct prepared_statement
{
  std::string shape;
  bool writes = false;

  friend auto operator<=>(const prepared_statement&, const prepared_statement&) = default;
};

// Memory of one entry of a map or set in addition to its texts, in bytes.
inline constexpr std::size_t entry_overhead_bytes = 128;

inline std::size_t
bytes_of(const session_settings& settings)
{
  std::size_t bytes = 0;
  for (const auto& [name, value] : settings) {
    bytes += name.size() + value.size() + entry_overhead_bytes;
  }
  return bytes;
}

inline std::size_t
bytes_of(const prepared_statement& prepared)
{
  return prepared.shape.size() + entry_overhead_bytes;
}

inline std::size_t
bytes_of(const std::set<prepared_statement>& prepared)
{
  std::size_t bytes = 0;
  for (const auto& entry : prepared) {
    bytes += bytes_of(entry);
  }
  return bytes;
}

// One connection to a member, with the session state that the member keeps for it.
struct pooled_connection
{
  enum class connection_state : std::uint8_t
  {
    opening,
    idle,
    in_use,
    // The connection is closed; a session may still hold the object.
    closed,
  };
  connection_number number;
  member_id member;
  std::string group;
  // Zone of the member when the connection was opened.
  zone_id zone;
  workspace_id workspace;
  connection_state state = connection_state::opening;
  session_settings settings;
  std::set<prepared_statement> prepared;
  // The member keeps values or prepared statements that are not listed here any more.
  bool needs_reset = false;
  instant state_changed_at{};
};

}
