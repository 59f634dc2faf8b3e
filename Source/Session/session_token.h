#pragma once

#include "Base/error.h"
#include "Base/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Longest token that is written or read, in characters. About 300 databases fit.
constexpr std::size_t max_session_token_length = 16 * 1024;

// What a session has seen of one database.
struct session_position
{
  // Highest point seen.
  log_point point;
  // Set if the outcome of a write is unknown: the highest term in which such a write was sent. The
  // next read then needs the primary of this term or a later one.
  std::optional<term> pending_write_term;

  friend bool operator==(const session_position&, const session_position&) = default;
};

// What a session has seen of all its databases. Instances keep none of it; it travels in the token.
struct session_state
{
  std::map<database_id, session_position> databases;

  friend bool operator==(const session_state&, const session_state&) = default;

  // Keeps the highest point and every pending mark. Merging is commutative and idempotent.
  void merge(const session_state& other);

  // A replica, or a primary of a term that is not known, answered a read at this point.
  void record_read(const database_id& database, const log_point& seen);

  // The primary of `primary_term` answered a read at this point, or a write of that term was
  // acknowledged at it. Clears a pending mark of this term or an older one.
  void record_primary_answer(const database_id& database, term primary_term, const log_point& seen);

  // A write was sent in `sent_in` and its outcome is unknown. `written` is its point if the primary
  // answered but no majority was seen to hold it.
  void record_unknown_write(const database_id& database,
                            term sent_in,
                            const std::optional<log_point>& written);
};

// Text form of a session state: base64url of version, positions and an HMAC-SHA-256 under the
// fleet's secret. A caller can neither read a meaning into it nor change it.
class session_token
{
public:
  // Fails with settings_invalid if the secret is empty, and with bad_session_token if the token
  // would be longer than max_session_token_length.
  static result<std::string> encode(const session_state& state, std::string_view secret);

  // Fails with bad_session_token for everything that `encode` did not write under this secret. An
  // empty text is the state of a new session.
  static result<session_state> parse(std::string_view text, std::string_view secret);
};

}
