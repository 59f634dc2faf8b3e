#pragma once

#include "Base/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonshelf {

// One message on a connection from an instance that accepts callers to a carrier that runs their
// sessions; a line each.
struct relay_message
{
  enum class message_kind : std::uint8_t
  {
    // Newest configuration version whose effects the sender may have shown a caller.
    version,
    // The carrier answers a ping with the same number.
    ping,
    pong,
    // Where the coordinator of this token hears instances.
    coordinator,
    // The carrier stops; sessions should begin elsewhere.
    leaving,
    // A session begins with the caller's first message. The carrier names a better home instead,
    // unless the session insists.
    open,
    open_without_redirect,
    redirect,
    // One message of the caller or to it.
    data,
    // The session ended.
    close,
  };
  message_kind kind = message_kind::data;
  // Version, token or number of a ping; the session for all other kinds.
  std::uint64_t number = 0;
  std::string text;
};

std::string
encode_relay_message(const relay_message& message);

// Fails with malformed_answer.
result<relay_message>
parse_relay_message(std::string_view line);

}
