#pragma once

#include "Base/error.h"
#include "Base/ids.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace persimmonshelf {

// Maximum length of a token, in characters. About 300 databases fit.
constexpr std::size_t max_session_token_length = 16 * 1024;

// What a session has observed of one database.
struct session_position
{
  // Highest log point observed.
  log_point point;
  // Highest term in which a write of unknown outcome was sent; empty if there is none. The next
  // read then needs the primary of this term or a later one.
  std::optional<term> pending_write_term;

  friend bool operator==(const session_position&, const session_position&) = default;
};

// What a session has observed of all its databases. Instances do not store it; the caller sends it
// with each request in the session token.
struct session_state
{
  std::map<database_id, session_position> databases;

  friend bool operator==(const session_state&, const session_state&) = default;

  // Keeps the highest log point and the highest pending write term of each database. Merging is
  // commutative and idempotent.
  void merge(const session_state& other);

  // Records that a replica, or a primary of unknown term, answered a read at this point.
  void record_read(const database_id& database, const log_point& point);

  // Records that the primary of `primary_term` answered a read at this point or acknowledged a
  // write of that term at it. Clears a pending write of this term or an older one.
  void record_primary_answer(const database_id& database,
                             term primary_term,
                             const log_point& point);

  // Records that a write was sent in `write_term` and its outcome is unknown. `write_point` is its
  // log point if the primary answered but replication to a majority was not confirmed.
  void record_unknown_write(const database_id& database,
                            term write_term,
                            const std::optional<log_point>& write_point);
};

// Text form of a session state: base64url of version, positions and an HMAC-SHA-256 with the secret
// of the fleet. Opaque to callers, who cannot change it without invalidating the signature.
class session_token
{
public:
  // Fails with settings_invalid if the secret is empty, and with bad_session_token if the token
  // would be longer than max_session_token_length.
  static result<std::string> encode(const session_state& state, std::string_view secret);

  // Fails with settings_invalid if the secret is empty, and with bad_session_token for any text
  // that `encode` did not write with this secret. An empty text is the state of a new session.
  static result<session_state> parse(std::string_view text, std::string_view secret);
};

}
