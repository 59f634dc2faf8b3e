#pragma once

#include "Proxy/member_command.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

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

// Memory of the settings and of the prepared statement, in bytes.
std::size_t
bytes_of(const session_settings& settings);
std::size_t
bytes_of(const prepared_statement& prepared);

// Settings and prepared statements that a member keeps for one connection. Callers share the
// connection one after the other, and the names of their prepared statements may collide. So each
// prepared statement has a number on its connection, whose length and range are bounded. What the
// member keeps counts as known only once it has confirmed each change.
class member_session
{
public:
  // Most prepared statements of one connection, and most bytes that several of them have together.
  // The least recently used ones are removed beyond that.
  static constexpr std::size_t max_prepared = 512;
  static constexpr std::size_t max_prepared_bytes = 2 << 20;

  // The commands after which the member has exactly these settings, and the prepared statement if
  // there is one. If there are any, the member's state is unknown until confirm() is called.
  std::vector<member_command> prepare(const session_settings& settings,
                                      const std::optional<prepared_statement>& statement);

  // The command that clears the member's state; confirm() follows here too.
  member_command reset();

  // The member carried out all commands so far.
  void confirm() { known_ = true; }

  // Drops everything, because the member's state is unknown or too large to be kept here. The next
  // commands begin with a reset.
  void forget();

  // Number of the statement on this connection; empty if it is not prepared.
  std::optional<prepared_number> number_of(const prepared_statement& statement) const;

  // True if the member is known to have exactly these settings.
  bool has_settings(const session_settings& settings) const
  {
    return known_ && settings_ == settings;
  }

  // True if the state takes more memory than an unused connection should.
  bool is_large() const;

private:
  struct prepared_entry
  {
    prepared_number number;
    // Value of `uses_` at its latest use.
    std::uint64_t used = 0;
  };

  void clear();
  void add_settings(const session_settings& settings, std::vector<member_command>& commands);
  void add_statement(const prepared_statement& statement, std::vector<member_command>& commands);
  void remove_least_recently_used(std::vector<member_command>& commands);

  bool known_ = true;
  session_settings settings_;
  std::map<prepared_statement, prepared_entry> prepared_;
  std::size_t prepared_bytes_ = 0;
  // Numbers below `next_number_` that no statement has.
  std::set<prepared_number> free_numbers_;
  std::uint32_t next_number_ = 1;
  std::uint64_t uses_ = 0;
};

}
